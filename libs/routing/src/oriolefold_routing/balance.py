"""Load balancing among the instances of a service without keys."""

import abc
import dataclasses
import random
from collections.abc import Sequence

from oriolefold_core import data, errors

SAMPLE_SIZE = 2  # Instances compared ("power of two choices").
OTHER_REGION = 2  # Distance to an instance in another region.
FAILURE_PENALTY = 8.0  # Requests in flight that a failure rate of 1 adds.


@dataclasses.dataclass(slots=True)
class InstanceLoad:
    """Load and failure rate of an instance as seen by this sender.

    Attributes:
        instance: The instance.
        distance: 0 in the zone of the sender, 1 in its region, 2 elsewhere.
        in_flight: Requests sent that have not ended.
        failure_rate: Moving average of failed sends, 0 to 1.
    """

    instance: data.Instance
    distance: int
    in_flight: int = 0
    failure_rate: float = 0.0

    def record(self, failed: bool, weight: float = 0.2) -> None:
        """Updates the failure rate with the result of one send.

        Args:
            failed: Whether the send failed.
            weight: Weight of this send in the moving average, 0 to 1.
        """
        sample = 1.0 if failed else 0.0
        self.failure_rate += weight * (sample - self.failure_rate)

    @property
    def cost(self) -> float:
        """Requests in flight per slot, with a penalty for recent failures."""
        penalty = self.failure_rate * FAILURE_PENALTY
        return (self.in_flight + penalty) / self.instance.slots

    @property
    def has_free_slot(self) -> bool:
        """Whether this sender may use one more slot."""
        return self.in_flight < self.instance.slots


class Balancer(abc.ABC):
    """Load-balancing policy."""

    @abc.abstractmethod
    def choose(
        self, loads: Sequence[InstanceLoad], excluded: frozenset[str]
    ) -> InstanceLoad:
        """Chooses an instance.

        Args:
            loads: The instances of the service and their loads.
            excluded: IDs of the instances that were already tried.

        Raises:
            OverloadedError: If no instance can take the request.
        """


class NearestFirst(Balancer):
    """Locality-aware balancer: own zone first, then region, then the rest.

    Among instances at the same distance it takes the less loaded of two random
    ones ("power of two choices"). That needs no shared state and keeps several
    senders from all choosing the same idle instance.
    """

    def __init__(self, generator: random.Random):
        self._random = generator

    def choose(
        self, loads: Sequence[InstanceLoad], excluded: frozenset[str]
    ) -> InstanceLoad:
        """Chooses the less loaded of two random nearest free instances."""
        nearest = self._nearest_available(loads, excluded)
        if not nearest:
            raise errors.OverloadedError('every instance is full or excluded')
        if len(nearest) <= SAMPLE_SIZE:
            return min(nearest, key=_cost)
        return min(self._random.sample(nearest, SAMPLE_SIZE), key=_cost)

    def _nearest_available(self, loads, excluded) -> list[InstanceLoad]:
        best: list[InstanceLoad] = []
        for load in loads:
            if not load.has_free_slot or load.instance.instance_id in excluded:
                continue
            if best and load.distance > best[0].distance:
                continue
            if best and load.distance < best[0].distance:
                best = []
            best.append(load)
        return best


def distance(register: data.Register, from_zone: str, to_zone: str) -> int:
    """Returns 0 for the same zone, 1 for the same region, 2 otherwise.

    A zone that is not in the register counts as another region.
    """
    if from_zone not in register.zones_by_id:
        return OTHER_REGION
    if from_zone == to_zone:
        return 0
    if register.region_of(from_zone) == register.region_of(to_zone):
        return 1
    return OTHER_REGION


def _cost(load: InstanceLoad) -> float:
    return load.cost
