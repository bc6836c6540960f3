"""Chooses an instance for a request to a service without keys."""

import abc
import dataclasses
import random
from collections.abc import Sequence

from oriolefold_core import data, errors

PROBE_CHOICES = 2
FARTHEST = 2  # Distance to another region.
FAILURE_PENALTY = 8.0  # Requests in flight that a recent failure counts for.


@dataclasses.dataclass(slots=True)
class InstanceLoad:
    """What this sender sees of an instance.

    Attributes:
        instance: The instance.
        distance: 0 in the zone of the sender, 1 in its region, 2 elsewhere.
        in_flight: Requests sent and not yet answered.
        failure_share: Moving share of the sends that failed, 0 to 1.
    """

    instance: data.Instance
    distance: int
    in_flight: int = 0
    failure_share: float = 0.0

    def record(self, failed: bool, weight: float = 0.2) -> None:
        """Takes one result into the moving share of failures."""
        sample = 1.0 if failed else 0.0
        self.failure_share += weight * (sample - self.failure_share)

    @property
    def cost(self) -> float:
        """Load for comparison: in-flight work with a penalty for failures."""
        penalty = self.failure_share * FAILURE_PENALTY
        return (self.in_flight + penalty) / self.instance.slots

    @property
    def free(self) -> bool:
        """Whether a slot is free, as far as this sender sees."""
        return self.in_flight < self.instance.slots


class Balancer(abc.ABC):
    """Policy that chooses among the instances of a service."""

    @abc.abstractmethod
    def choose(
        self, loads: Sequence[InstanceLoad], excluded: frozenset[str]
    ) -> InstanceLoad:
        """Chooses an instance.

        Args:
            loads: The instances and their loads as seen here.
            excluded: Instances that this request has already tried.

        Raises:
            OverloadedError: If no instance can take the request.
        """


class NearestFirst(Balancer):
    """Fills the zone first, then the region, then other regions.

    Within a distance it takes the better of two random instances, which needs
    no shared state and does not chase one idle instance.
    """

    def __init__(self, generator: random.Random):
        self._random = generator

    def choose(
        self, loads: Sequence[InstanceLoad], excluded: frozenset[str]
    ) -> InstanceLoad:
        """Chooses the better of two in the nearest distance with room."""
        nearest = self._nearest_with_room(loads, excluded)
        if not nearest:
            raise errors.OverloadedError('every instance is full or excluded')
        if len(nearest) <= PROBE_CHOICES:
            return min(nearest, key=_cost)
        return min(self._random.sample(nearest, PROBE_CHOICES), key=_cost)

    def _nearest_with_room(self, loads, excluded) -> list[InstanceLoad]:
        best: list[InstanceLoad] = []
        for load in loads:
            if not load.free or load.instance.instance_id in excluded:
                continue
            if best and load.distance > best[0].distance:
                continue
            if best and load.distance < best[0].distance:
                best = []
            best.append(load)
        return best


def distance(register: data.Register, from_zone: str, to_zone: str) -> int:
    """Returns 0 for the same zone, 1 for the same region, 2 otherwise.

    A zone that the register does not know counts as far away from all others.
    """
    if from_zone not in register.zones_by_id:
        return FARTHEST
    if from_zone == to_zone:
        return 0
    if register.region_of(from_zone) == register.region_of(to_zone):
        return 1
    return FARTHEST


def _cost(load: InstanceLoad) -> float:
    return load.cost
