"""Selection by the load that instances report, among a random sample.

Figures are old by the time they are used, and other VMs use the same ones. So
each choice compares only some random instances, and figures give way to the
average time to an answer as they age. Instances are drawn in proportion to
their capacity, so that faster ones do not get more than their share when
nothing newer is known.
"""

import random
from collections.abc import Sequence

from oriolefold_routing import concurrency, selection, topology

# Larger samples gained nothing with figures 0.2 to 0.5 s old, and smaller ones
# lost with figures from own answers only (docs/design/even-load.md).
SAMPLE_SIZE = 12
MAX_DRAWS = 24  # Bounds the work of one choice.
VALID_TIMES = 2.0  # Age from which on figures do not count, in usual times.
MIN_VALID_S = 0.04
# An instance that has recovered gets its share again within 1 s.
MAX_VALID_S = 0.9
# Time to the instance and back: 0.9 ms one way between zones, 12 ms between
# regions.
ROUND_TRIP_S_BY_DISTANCE = {
    topology.SAME_ZONE: 0.0,
    topology.SAME_REGION: 0.0018,
    topology.OTHER_REGION: 0.024,
}
# 10 kB between regions cost half the value of a request.
LARGE_BODY_BYTES = 10_000
# Part of the time to the objective that a request without a body may take here
# before other regions are considered; a large body may take all of it.
NEAR_PART = 0.6


class EvenLoad(selection.Selection):
    """Takes the instance with the shortest expected time of a sample.

    Failing instances come last. Among the others, another region is used if
    all sampled instances in the region of this VM would answer too late.
    """

    def __init__(self, generator: random.Random):
        """Initializes it.

        Args:
            generator: Source of random numbers.
        """
        self._random = generator

    def choose(
        self,
        eligible: Sequence[concurrency.InstanceState],
        demand: selection.Demand,
        typical_s: float,
        now_s: float,
    ) -> concurrency.InstanceState | None:
        """Chooses the instance with the shortest expected time."""
        sound = [
            state
            for state in eligible
            if state.failure_rate <= selection.FAILURE_RATE_THRESHOLD
        ] or eligible
        near = [
            state for state in sound if state.distance != topology.OTHER_REGION
        ]
        if not near:
            return self._fastest(sound, typical_s, now_s)[1]
        near_s, near_state = self._fastest(near, typical_s, now_s)
        is_large = demand.body_bytes >= LARGE_BODY_BYTES
        body_part = min(1.0, demand.body_bytes / LARGE_BODY_BYTES)
        near_limit_s = demand.left_s * (NEAR_PART + (1 - NEAR_PART) * body_part)
        if near_s <= near_limit_s or len(near) == len(sound):
            return near_state
        far = [
            state for state in sound if state.distance == topology.OTHER_REGION
        ]
        far_s, far_state = self._fastest(far, typical_s, now_s)
        if far_s >= near_s or (is_large and far_s > demand.left_s):
            return near_state
        return far_state

    def _fastest(
        self,
        states: Sequence[concurrency.InstanceState],
        typical_s: float,
        now_s: float,
    ) -> tuple[float, concurrency.InstanceState]:
        """Returns the shortest expected time of a sample, and whose it is."""
        sample = self._sample(states, typical_s)
        if _is_new(sample[0]):
            # All VMs learn of a new instance at once. It gets the share that
            # it is drawn for, and is not compared with queues elsewhere.
            return self.expected_s(sample[0], typical_s, now_s), sample[0]
        return min(
            (
                (self.expected_s(state, typical_s, now_s), state)
                for state in sample
                if not _is_new(state)
            ),
            key=lambda pair: pair[0],
        )

    def _sample(
        self, states: Sequence[concurrency.InstanceState], typical_s: float
    ) -> list[concurrency.InstanceState]:
        """Returns random instances, drawn in proportion to their capacity."""
        count = len(states)
        draw = self._random.random
        if count <= SAMPLE_SIZE:
            # A random start, since VMs with equal knowledge share the order.
            start = int(draw() * count)
            return [*states[start:], *states[:start]]
        # An instance at half of the typical time is always taken when drawn;
        # slower ones in proportion to their speed.
        fastest_s = typical_s / 2
        sample: dict[int, concurrency.InstanceState] = {}
        for _ in range(MAX_DRAWS):
            index = int(draw() * count)
            state = states[index]
            if draw() * _usual_time_s(state, typical_s) < fastest_s:
                sample[index] = state
                if len(sample) == SAMPLE_SIZE:
                    break
        return list(sample.values()) or [states[int(draw() * count)]]

    def expected_s(
        self,
        state: concurrency.InstanceState,
        typical_s: float,
        now_s: float,
    ) -> float:
        """Returns the expected time to an answer.

        Args:
            state: The instance.
            typical_s: Average time to an answer of the service, in seconds.
            now_s: Current time.
        """
        round_trip_s = ROUND_TRIP_S_BY_DISTANCE[state.distance]
        # As figures age, other VMs have sent by them, until the time to an
        # answer is again what it has been on average, queueing included. Each
        # own request counts in full: those of other VMs grow along with it.
        aged_s = (state.service_time_s or typical_s) * (1 + state.in_flight)
        known = state.load
        if known is None:
            return aged_s + round_trip_s
        usual_s = known.usual_time_s(typical_s)
        valid_s = min(MAX_VALID_S, max(MIN_VALID_S, VALID_TIMES * usual_s))
        weight = known.weight(valid_s, now_s)
        slots = known.figures.slots
        queued = max(0, known.requests(state.in_flight) + 1 - slots)
        new_s = usual_s * known.time_factor(now_s) * (1 + queued / slots)
        return aged_s + weight * (new_s - aged_s) + round_trip_s


def _is_new(state: concurrency.InstanceState) -> bool:
    return state.registered_late and state.load is None


def _usual_time_s(state: concurrency.InstanceState, typical_s: float) -> float:
    if state.load is None:
        return state.baseline_time_s or typical_s
    return state.load.usual_time_s(typical_s)
