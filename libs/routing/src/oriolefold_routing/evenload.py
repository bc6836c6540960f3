"""Selection by the load that instances report, among a random sample.

Figures are old by the time they are used, and other VMs use the same ones. So
each choice compares only a few random instances, and figures count for less as
they age. Instances are drawn in proportion to their capacity, so that without
valid figures each gets its share.
"""

import random
from collections.abc import Sequence

from oriolefold_routing import concurrency, loadfigures, selection, topology

SAMPLE_SIZE = 3
MAX_DRAWS = 12  # Bounds the work of one choice.
RELAXATION_TIMES = 0.5  # Age at which figures count for 1/e, in usual times.
MIN_RELAXATION_S = 0.02
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

    Attributes:
        load: Average load of the service, updated by the owner of the object.
    """

    def __init__(self, generator: random.Random):
        """Initializes it without figures.

        Args:
            generator: Source of random numbers.
        """
        self.load = loadfigures.ServiceLoad()
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
        near_s, nearest = self._fastest(near, typical_s, now_s)
        is_large = demand.body_bytes >= LARGE_BODY_BYTES
        body_part = min(1.0, demand.body_bytes / LARGE_BODY_BYTES)
        patience_s = demand.left_s * (NEAR_PART + (1 - NEAR_PART) * body_part)
        if near_s <= patience_s or len(near) == len(sound):
            return nearest
        far = [
            state for state in sound if state.distance == topology.OTHER_REGION
        ]
        far_s, farthest = self._fastest(far, typical_s, now_s)
        if far_s >= near_s or (is_large and far_s > demand.left_s):
            return nearest
        return farthest

    def _fastest(
        self,
        states: Sequence[concurrency.InstanceState],
        typical_s: float,
        now_s: float,
    ) -> tuple[float, concurrency.InstanceState]:
        """Returns the shortest expected time of a sample, and whose it is."""
        return min(
            (
                (self.expected_s(state, typical_s, now_s), state)
                for state in self._sample(states, typical_s)
            ),
            key=lambda pair: pair[0],
        )

    def _sample(
        self, states: Sequence[concurrency.InstanceState], typical_s: float
    ) -> list[concurrency.InstanceState]:
        """Returns random instances, drawn in proportion to their capacity."""
        count = len(states)
        if count <= SAMPLE_SIZE:
            return list(states)
        draw = self._random.random
        # An instance at half of the typical time is always taken when drawn;
        # slower ones in proportion to their speed.
        fastest_s = typical_s / 2
        sample = []
        for _ in range(MAX_DRAWS):
            state = states[int(draw() * count)]
            usual_s = _usual_time_s(state, typical_s)
            if draw() * usual_s < fastest_s and state not in sample:
                sample.append(state)
                if len(sample) == SAMPLE_SIZE:
                    break
        return sample or [states[int(draw() * count)]]

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
        usual_s = _usual_time_s(state, typical_s)
        known = state.load
        if known is None:
            slots = state.endpoint.slots
            requests = self.load.per_slot * slots
            time_s = usual_s
        else:
            slots = known.figures.slots
            relaxation_s = max(MIN_RELAXATION_S, RELAXATION_TIMES * usual_s)
            requests = known.expected_requests(
                self.load.per_slot, relaxation_s, now_s
            )
            time_s = usual_s * known.time_factor(now_s)
        requests = max(requests, state.in_flight)
        queued = max(0.0, requests + 1 - slots)
        return (
            time_s * (1 + queued / slots)
            + ROUND_TRIP_S_BY_DISTANCE[state.distance]
        )


def _usual_time_s(state: concurrency.InstanceState, typical_s: float) -> float:
    if state.load is None:
        return state.baseline_time_s or typical_s
    return state.load.usual_time_s(typical_s)
