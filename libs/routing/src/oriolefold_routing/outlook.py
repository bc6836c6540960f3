"""What each instance can still take, learnt from its own answers.

The VMs do not tell each other what they send. Each one bounds its requests in
flight at an instance by a limit that grows with answers and shrinks with
refusals, so the limits of all VMs together settle at what the instance takes.
"""

import dataclasses
import enum
from collections.abc import Iterable

from oriolefold_routing import fleet

FIRST_SERVICE_TIME_S = 0.2  # Until the first answer of a service was seen.
SMOOTHING = 0.2  # Weight of a new sample in moving means.
REFUSAL_FACTOR = 0.7  # Limit after a refusal, relative to before.
REFUSAL_PAUSE_S = 0.08  # Time without new requests after a refusal.
FAILURE_PAUSE_S = 1.0  # Time without new requests after a failed connection.
FAILURES_TO_AVOID = 0.35  # Share of failures from which others go first.
QUEUE_DEPTH = 0.5  # Requests beyond the slots that one VM may add, per slot.
QUEUEING_FACTOR = 1.5  # Mean time over the calm one that tells of a queue.
LEAST_DECREASE = 0.7  # Smallest factor by which a queue shrinks the limit.
CALM_SMOOTHING = 0.08  # Weight of a new sample in the calm mean.
BUSY_SMOOTHING = 0.01  # The same while answers wait in a queue.
OUTLIER_FACTOR = 3.0  # A sample counts for at most so many calm means.
QUOTA_MARGIN = 1.2  # Requests for each slot that all VMs may have in flight.
SMALL_QUOTA_MARGIN = 3.0  # The same for parts below one request.
LEAST_QUOTA = 0.1  # Requests in flight that a VM may always have, over time.
QUOTA_S = 1.5  # Time for which a quota holds; it is renewed twice a second.
ZONE_PENALTY = 1.15  # Cost of another zone, relative to the own one.


class Result(enum.Enum):
    """How a send ended, as far as the instance is concerned."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(slots=True)
class Outlook:
    """What this VM knows of one instance.

    Attributes:
        endpoint: The instance.
        distance: 0 in the zone of this VM, 1 in its region, 2 elsewhere.
        limit: Requests that this VM may have in flight there.
        in_flight: Requests sent and not yet ended.
        service_time_s: Moving mean of the time to an answer, or 0 if unknown.
        calm_time_s: Mean of answers that waited in no queue; 0 if unknown.
        answers: Number of answers.
        failure_share: Moving share of the sends that failed, 0 to 1.
        shrunk_at_s: When a queue last made the limit smaller.
        paused_until_s: Time from which new requests may be sent.
        warm_at_s: Time from which it runs at its full speed.
        quota: Requests in flight that are this VM's part of a busy instance.
        quota_until_s: Time until which the quota holds.
        paced_until_s: Time of the next send under a quota below one request.
    """

    endpoint: fleet.Endpoint
    distance: int
    limit: float
    in_flight: int = 0
    service_time_s: float = 0.0
    calm_time_s: float = 0.0
    answers: int = 0
    failure_share: float = 0.0
    shrunk_at_s: float = 0.0
    paused_until_s: float = 0.0
    warm_at_s: float = 0.0
    quota: float = 0.0
    quota_until_s: float = 0.0
    paced_until_s: float = 0.0

    @property
    def ceiling(self) -> float:
        """Highest value that the limit may reach."""
        return self.endpoint.slots * (1 + QUEUE_DEPTH)

    def has_room(self, now_s: float) -> bool:
        """Whether one more request may be sent now."""
        if now_s < self.paused_until_s:
            return False
        limit = self.limit
        if now_s < self.quota_until_s:
            if self.quota < 1 and now_s < self.paced_until_s:
                return False
            limit = max(1.0, self.quota)
        if now_s < self.warm_at_s:
            limit = max(1.0, limit / 2)
        return self.in_flight < limit

    def divide(self, share: float, now_s: float) -> None:
        """Takes this VM's part of the slots of a busy instance.

        Args:
            share: Part of the slots, 0 to 1.
            now_s: Present time.
        """
        part = share * self.endpoint.slots
        # VMs cannot lend each other what they do not use, so small parts are
        # rounded up as far as the queue of the instance takes it.
        rounded = min(1.0, part * SMALL_QUOTA_MARGIN)
        self.quota = max(LEAST_QUOTA, rounded, part * QUOTA_MARGIN)
        self.quota_until_s = now_s + QUOTA_S

    def begin(self, now_s: float) -> None:
        """Takes a place for a request.

        A quota below one request is kept over time: the next one has to wait
        as much longer than this one takes.
        """
        self.in_flight += 1
        if self.quota < 1 and now_s < self.quota_until_s:
            self.paced_until_s = now_s + self.calm_time_s / self.quota

    def record(self, result: Result, took_s: float, now_s: float) -> None:
        """Takes the end of a send into account.

        Args:
            result: How it ended.
            took_s: Time from the send to its end, in seconds.
            now_s: Present time.
        """
        if result is Result.CANCELLED:
            # A request that was given up took at least this long.
            if took_s > self.service_time_s > 0:
                self.service_time_s += SMOOTHING * (
                    took_s - self.service_time_s
                )
            return
        if result is Result.REFUSED:
            self.limit = max(1.0, self.limit * REFUSAL_FACTOR)
            self.paused_until_s = now_s + REFUSAL_PAUSE_S
            return
        if result is Result.UNREACHABLE:
            self.paused_until_s = now_s + FAILURE_PAUSE_S
        failed = result is not Result.ANSWERED
        self.failure_share += SMOOTHING * (failed - self.failure_share)
        if failed:
            return
        self._learn_time(took_s)
        if not self.is_queueing:
            self.limit = min(self.ceiling, self.limit + 1.0 / self.limit)
        elif now_s >= self.shrunk_at_s + self.calm_time_s:
            # Requests in flight and their time shrink together, so the limit
            # follows the ratio; once per service time, since what is in
            # flight already still tells of the old limit.
            ratio = QUEUEING_FACTOR * self.calm_time_s / self.service_time_s
            base = min(self.limit, self.in_flight + 1.0)
            self.limit = max(1.0, base * max(LEAST_DECREASE, ratio))
            self.shrunk_at_s = now_s

    @property
    def is_queueing(self) -> bool:
        """Whether recent answers took longer than without a queue."""
        return self.service_time_s > QUEUEING_FACTOR * self.calm_time_s

    def _learn_time(self, took_s: float) -> None:
        self.answers += 1
        if self.answers == 1:
            self.service_time_s = self.calm_time_s = took_s
            return
        self.service_time_s += SMOOTHING * (took_s - self.service_time_s)
        weight = max(CALM_SMOOTHING, 1 / self.answers)
        if self.is_queueing:
            weight = BUSY_SMOOTHING
        sample_s = min(took_s, OUTLIER_FACTOR * self.calm_time_s)
        self.calm_time_s += weight * (sample_s - self.calm_time_s)


class Fleet:
    """Outlooks of all instances, grouped by service."""

    def __init__(self, vicinity: fleet.Vicinity):
        self._vicinity = vicinity
        self.outlooks_by_id: dict[str, Outlook] = {}
        self._by_service_id: dict[str, list[Outlook]] = {}

    def update(
        self, endpoints_by_id: dict[str, fleet.Endpoint], now_s: float
    ) -> None:
        """Takes the instances that are registered now."""
        outlooks: dict[str, Outlook] = {}
        grouped: dict[str, list[Outlook]] = {}
        for instance_id, endpoint in endpoints_by_id.items():
            known = self.outlooks_by_id.get(instance_id)
            if known is None or _is_other_life(known.endpoint, endpoint):
                known = Outlook(
                    endpoint,
                    self._vicinity.distance_to(endpoint.zone_id),
                    max(1.0, endpoint.slots),
                    warm_at_s=now_s + endpoint.warm_up_s,
                )
            known.endpoint = endpoint
            outlooks[instance_id] = known
            grouped.setdefault(endpoint.service_id, []).append(known)
        self.outlooks_by_id = outlooks
        self._by_service_id = grouped

    def of_service(self, service_id: str) -> list[Outlook]:
        """Returns the outlooks of the instances of a service."""
        return self._by_service_id.get(service_id, [])

    def typical_time_s(self, service_id: str) -> float:
        """Returns the mean time to an answer of a service, in seconds."""
        times = [
            o.service_time_s
            for o in self.of_service(service_id)
            if o.service_time_s
        ]
        return sum(times) / len(times) if times else FIRST_SERVICE_TIME_S

    def choose(
        self, service_id: str, excluded_ids: Iterable[str], now_s: float
    ) -> Outlook | None:
        """Chooses the instance for a request that any of them may serve.

        The own region goes first; another one is used only when no instance of
        the own region has room.

        Returns:
            The outlook of the instance, or None if none has room.
        """
        typical_s = self.typical_time_s(service_id)
        best = None
        best_cost = ()
        for outlook in self.of_service(service_id):
            if (
                outlook.endpoint.draining
                or outlook.endpoint.instance_id in excluded_ids
                or not outlook.has_room(now_s)
            ):
                continue
            cost = _cost(outlook, typical_s)
            if best is None or cost < best_cost:
                best, best_cost = outlook, cost
        return best


def _is_other_life(known: fleet.Endpoint, endpoint: fleet.Endpoint) -> bool:
    return (known.born_ms, known.address) != (
        endpoint.born_ms,
        endpoint.address,
    )


def _cost(outlook: Outlook, typical_s: float) -> tuple:
    time_s = outlook.service_time_s or typical_s
    # Each VM sees only its own requests, so those stand for all that wait.
    cost = time_s * (outlook.in_flight + 1) / outlook.endpoint.slots
    if outlook.distance != fleet.SAME_ZONE:
        cost *= ZONE_PENALTY
    far = outlook.distance == fleet.OTHER_REGION
    return (outlook.failure_share > FAILURES_TO_AVOID, far, cost)
