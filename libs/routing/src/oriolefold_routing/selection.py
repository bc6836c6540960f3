"""Selection of one of several instances that may take a request."""

import abc
import dataclasses
import random
import zlib
from collections.abc import Collection, Sequence

from oriolefold_routing import concurrency, topology

FAILURE_RATE_THRESHOLD = 0.35  # Above it, other instances are preferred.
CROSS_ZONE_PENALTY = 1.15  # Cost relative to an instance in this zone.


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs of an instance.

    Attributes:
        service_id: Service that it is for.
        excluded_ids: Instances that it was sent to before.
        allowed_region_ids: Regions in which it may be served; empty if it may
            be served in all.
        body_bytes: Size of its body.
        left_s: Time until its latency objective, in seconds.
        rank: Its priority; 0 is the most urgent.
    """

    service_id: str
    excluded_ids: Collection[str] = ()
    allowed_region_ids: frozenset[str] = frozenset()
    body_bytes: int = 0
    left_s: float = 0.0
    rank: int = 0


class Selection(abc.ABC):
    """Policy that chooses among the instances that have capacity."""

    @abc.abstractmethod
    def choose(
        self,
        eligible: Sequence[concurrency.InstanceState],
        demand: Demand,
        typical_s: float,
        now_s: float,
    ) -> concurrency.InstanceState | None:
        """Chooses an instance.

        Args:
            eligible: Instances with capacity, at least one.
            demand: What the request needs.
            typical_s: Average time to an answer of the service, in seconds.
            now_s: Current time.

        Returns:
            The instance, or None if waiting for another one is better.
        """


class NearestCheapest(Selection):
    """Takes the instance with the lowest cost in the nearest region.

    Failing instances come last. Among the others, another region is used only
    when no instance in the region of this VM has capacity.
    """

    def choose(
        self,
        eligible: Sequence[concurrency.InstanceState],
        demand: Demand,
        typical_s: float,
        now_s: float,
    ) -> concurrency.InstanceState | None:
        """Chooses the nearest instance with the lowest cost."""
        return min(eligible, key=lambda state: _cost(state, typical_s))


class SpreadCheapest(NearestCheapest):
    """Like `NearestCheapest`, but each VM breaks ties in an order of its own.

    With one or no request in flight most instances cost the same. VMs that all
    take the first one in the order of registration overrun it while others
    idle.
    """

    def __init__(self, generator: random.Random | None = None):
        """Initializes the order of this VM.

        Args:
            generator: Source of random numbers; by default its own.
        """
        self._salt = (generator or random.Random()).getrandbits(32)

    def choose(
        self,
        eligible: Sequence[concurrency.InstanceState],
        demand: Demand,
        typical_s: float,
        now_s: float,
    ) -> concurrency.InstanceState | None:
        """Chooses the nearest instance with the lowest cost."""
        return min(
            eligible,
            key=lambda state: (
                _cost(state, typical_s),
                zlib.crc32(state.endpoint.instance_id.encode(), self._salt),
            ),
        )


def _cost(state: concurrency.InstanceState, typical_s: float) -> tuple:
    time_s = state.service_time_s or typical_s
    # A VM sees only its own requests; they estimate the queue at the instance.
    cost = time_s * (state.in_flight + 1) / state.endpoint.slots
    if state.distance != topology.SAME_ZONE:
        cost *= CROSS_ZONE_PENALTY
    return (
        state.failure_rate > FAILURE_RATE_THRESHOLD,
        state.distance == topology.OTHER_REGION,
        cost,
    )
