"""Adaptive concurrency limits, one per instance.

Each VM observes only its own requests and limits those in flight at an
instance. The limit increases additively with each answer that did not wait in a
queue and decreases multiplicatively on refusals and when latency shows a queue
(AIMD), so that the limits of all VMs together converge to the capacity of the
instance.
"""

import dataclasses
import enum
from collections.abc import Iterable

from oriolefold_routing import announcements, topology

INITIAL_SERVICE_TIME_S = 0.2  # Assumed until the first answer.
SMOOTHING_FACTOR = 0.2  # Weight of a new sample in moving averages.
REFUSAL_DECREASE_FACTOR = 0.7  # Limit after a refusal over the limit before.
REFUSAL_BACKOFF_S = 0.08  # Time without new requests after a refusal.
FAILURE_BACKOFF_S = 1.0  # Time without new requests after a failed connection.
FAILURE_RATE_THRESHOLD = 0.35  # Above it, other instances are preferred.
MAX_QUEUED_PER_SLOT = 0.5  # Requests that one VM may queue, per slot.
QUEUEING_RATIO = 1.5  # Service time over baseline that indicates a queue.
MIN_DECREASE_FACTOR = 0.7  # Lower bound of the decrease when there is a queue.
BASELINE_SMOOTHING = 0.08  # Weight of a new sample in the baseline time.
MIN_BASELINE_ANSWERS = 12  # The baseline is their mean; fewer show no queue.
QUEUEING_BASELINE_SMOOTHING = 0.01  # The same while there is a queue.
OUTLIER_FACTOR = 3.0  # Samples are clipped to this multiple of the baseline.
QUOTA_MARGIN = 1.2  # Sum of the quotas of all VMs, per slot.
SMALL_QUOTA_MARGIN = 3.0  # The same for quotas below one request.
MIN_QUOTA = 0.1  # Average requests in flight that every VM may have.
QUOTA_TTL_S = 1.5  # Validity of a quota; it is renewed twice a second.
CROSS_ZONE_PENALTY = 1.15  # Cost relative to an instance in this zone.


class SendResult(enum.Enum):
    """How a send to an instance ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'
    WITHHELD = 'withheld'  # The instance wanted it no more; nothing was sent.


class Obstacle(enum.Enum):
    """Why an instance may not be sent one more request."""

    BACKOFF = 'backoff'
    LEAVING = 'leaving'
    LIMIT = 'limit'
    PACING = 'pacing'
    PUSHBACK = 'pushback'
    QUOTA = 'quota'


@dataclasses.dataclass(slots=True)
class InstanceState:
    """Load, latency and concurrency limit of one instance, as seen by this VM.

    Attributes:
        endpoint: The instance.
        distance: 0 in the zone of this VM, 1 in its region, 2 elsewhere.
        limit: Requests that this VM may have in flight at the instance.
        in_flight: Requests sent that have not ended.
        service_time_s: Moving average of the time to an answer; 0 if unknown.
        baseline_time_s: The same without queueing at the instance.
        clipped_time_s: Moving average like `service_time_s`, but of clipped
            times: one long request does not raise it as a queue does.
        answers: Number of answers so far.
        failure_rate: Moving average of failed sends, 0 to 1.
        decreased_at_s: When the limit was last decreased because of a queue.
        backoff_until_s: No requests are sent before this time.
        warm_up_until_s: The limit is halved before this time.
        quota: Requests in flight allotted to this VM while the instance is
            busy.
        quota_until_s: When the quota expires.
        next_send_at_s: Earliest next send under a quota below one request.
        belief: What the instance has announced in its answers.
    """

    endpoint: topology.Endpoint
    distance: int
    limit: float
    in_flight: int = 0
    service_time_s: float = 0.0
    baseline_time_s: float = 0.0
    clipped_time_s: float = 0.0
    answers: int = 0
    failure_rate: float = 0.0
    decreased_at_s: float = 0.0
    backoff_until_s: float = 0.0
    warm_up_until_s: float = 0.0
    quota: float = 0.0
    quota_until_s: float = 0.0
    next_send_at_s: float = 0.0
    belief: announcements.Belief = dataclasses.field(
        default_factory=lambda: announcements.Belief(0)
    )

    @property
    def max_limit(self) -> float:
        """Upper bound of the limit."""
        return self.endpoint.slots * (1 + MAX_QUEUED_PER_SLOT)

    def has_capacity(self, now_s: float) -> bool:
        """Whether one more request may be sent now."""
        return self.obstacle(now_s) is None

    def obstacle(self, now_s: float) -> Obstacle | None:
        """Returns what forbids to send one more request now, if anything."""
        if not self.belief.may_get_keyed(now_s):
            return Obstacle.LEAVING
        if now_s < self.belief.busy_until_s:
            return Obstacle.PUSHBACK
        if now_s < self.backoff_until_s:
            return Obstacle.BACKOFF
        limit, obstacle = self.limit, Obstacle.LIMIT
        if now_s < self.quota_until_s:
            if self.quota < 1 and now_s < self.next_send_at_s:
                return Obstacle.PACING
            limit, obstacle = max(1.0, self.quota), Obstacle.QUOTA
        if now_s < self.warm_up_until_s:
            limit = max(1.0, limit / 2)
        return None if self.in_flight < limit else obstacle

    def wants(self, keyed: bool, now_s: float) -> bool:
        """Whether its announcements allow a request that it was chosen for.

        Args:
            keyed: Whether the request is for a key that it owns.
            now_s: Current time.
        """
        if now_s < self.belief.busy_until_s:
            return False
        if keyed:
            return self.belief.may_get_keyed(now_s)
        return not self.belief.is_leaving(now_s)

    def set_quota(self, share: float, now_s: float) -> None:
        """Sets the quota to this VM's share of the slots of a busy instance.

        Args:
            share: Fraction of the slots, 0 to 1.
            now_s: Current time.
        """
        part = share * self.endpoint.slots
        # Unused quota cannot pass to another VM, so quotas below one request
        # are rounded up as far as the queue of the instance allows.
        rounded = min(1.0, part * SMALL_QUOTA_MARGIN)
        self.quota = max(MIN_QUOTA, rounded, part * QUOTA_MARGIN)
        self.quota_until_s = now_s + QUOTA_TTL_S

    def record_send(self, now_s: float) -> None:
        """Counts a request that is about to be sent.

        A quota below one request is enforced over time by pacing: the next
        request may be sent after the baseline time divided by the quota.
        """
        self.in_flight += 1
        if self.quota < 1 and now_s < self.quota_until_s:
            self.next_send_at_s = now_s + self.baseline_time_s / self.quota

    def record(self, result: SendResult, took_s: float, now_s: float) -> None:
        """Updates averages and limit with the result of a send.

        Args:
            result: How the send ended.
            took_s: Duration of the send, in seconds.
            now_s: Current time.
        """
        if result is SendResult.WITHHELD:
            return
        if result is SendResult.CANCELLED:
            # The duration is a lower bound of the time to an answer.
            if took_s > self.service_time_s > 0:
                self._update_current_times(took_s)
            return
        if result is SendResult.REFUSED:
            self.limit = max(1.0, self.limit * REFUSAL_DECREASE_FACTOR)
            self.backoff_until_s = now_s + REFUSAL_BACKOFF_S
            return
        if result is SendResult.UNREACHABLE:
            self.backoff_until_s = now_s + FAILURE_BACKOFF_S
        failed = result is not SendResult.ANSWERED
        self.failure_rate += SMOOTHING_FACTOR * (failed - self.failure_rate)
        if failed:
            return
        self._update_times(took_s)
        if not self.is_queueing:
            self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)
        elif now_s >= self.decreased_at_s + self.baseline_time_s:
            # Latency falls in proportion to the requests in flight, so the
            # limit is scaled by the ratio of both times. It is scaled once per
            # baseline time, since the requests in flight were still sent under
            # the old limit.
            ratio = QUEUEING_RATIO * self.baseline_time_s / self.clipped_time_s
            # A limit that was not in use falls in steps, since others may
            # have filled the queue, or long requests have come together.
            used = max(self.in_flight + 1.0, self.endpoint.slots / 2)
            base = min(self.limit, used)
            self.limit = max(1.0, base * max(MIN_DECREASE_FACTOR, ratio))
            self.decreased_at_s = now_s

    @property
    def is_queueing(self) -> bool:
        """Whether recent answers show a queue at the instance."""
        return (
            self.answers >= MIN_BASELINE_ANSWERS
            and self.clipped_time_s > QUEUEING_RATIO * self.baseline_time_s
        )

    def _update_times(self, took_s: float) -> None:
        self.answers += 1
        if self.answers == 1:
            self.service_time_s = self.baseline_time_s = took_s
            self.clipped_time_s = took_s
            return
        self._update_current_times(took_s)
        weight = max(BASELINE_SMOOTHING, 1 / self.answers)
        if self.is_queueing:
            weight = QUEUEING_BASELINE_SMOOTHING
        self.baseline_time_s += weight * (
            self._clip(took_s) - self.baseline_time_s
        )

    def _update_current_times(self, took_s: float) -> None:
        self.service_time_s += SMOOTHING_FACTOR * (took_s - self.service_time_s)
        self.clipped_time_s += SMOOTHING_FACTOR * (
            self._clip(took_s) - self.clipped_time_s
        )

    def _clip(self, took_s: float) -> float:
        return min(took_s, OUTLIER_FACTOR * self.baseline_time_s)


class InstanceTable:
    """Load state of all registered instances, grouped by service."""

    def __init__(self, locality: topology.Locality):
        self._locality = locality
        self.states_by_id: dict[str, InstanceState] = {}
        self._by_service_id: dict[str, list[InstanceState]] = {}
        self._announcements = announcements.Announcements()

    def update(
        self, endpoints_by_id: dict[str, topology.Endpoint], now_s: float
    ) -> None:
        """Replaces the set of registered instances.

        The state of an instance is kept until a new incarnation registers.
        """
        states: dict[str, InstanceState] = {}
        grouped: dict[str, list[InstanceState]] = {}
        for instance_id, endpoint in endpoints_by_id.items():
            known = self.states_by_id.get(instance_id)
            if known is None or _is_new_incarnation(known.endpoint, endpoint):
                known = InstanceState(
                    endpoint,
                    self._locality.distance_to(endpoint.zone_id),
                    max(1.0, endpoint.slots),
                    warm_up_until_s=now_s + endpoint.warm_up_s,
                )
            known.endpoint = endpoint
            known.belief = self._announcements.belief(
                instance_id, endpoint.born_ms
            )
            states[instance_id] = known
            grouped.setdefault(endpoint.service_id, []).append(known)
        self.states_by_id = states
        self._by_service_id = grouped

    def record_announcement(
        self,
        endpoint: topology.Endpoint,
        announcement: announcements.Announcement,
        now_s: float,
    ) -> announcements.Announcement:
        """Records what an instance has announced; returns what is new in it."""
        news = self._announcements.record(
            endpoint.instance_id, endpoint.born_ms, announcement, now_s
        )
        known = self.states_by_id.get(endpoint.instance_id)
        if known is not None:
            known.belief = self._announcements.belief(
                endpoint.instance_id, known.endpoint.born_ms
            )
        return news

    def leaving(self, service_id: str, now_s: float) -> list[InstanceState]:
        """Returns the instances of a service that announced that they leave."""
        return [
            state
            for state in self.of_service(service_id)
            if state.belief.is_leaving(now_s)
        ]

    def any_pushes_back(self, service_id: str, now_s: float) -> bool:
        """Whether an instance of a service wants no requests now."""
        return any(
            now_s < state.belief.busy_until_s
            for state in self.of_service(service_id)
        )

    def busy_until_s(
        self, service_id: str, excluded_ids: Iterable[str], now_s: float
    ) -> float:
        """Returns until when all instances for a request want no requests.

        The result is in the past if one of them may take it now, or if there
        are none. If all are excluded, they count nevertheless.
        """
        staying = [
            state
            for state in self.of_service(service_id)
            if not _leaves(state, now_s)
        ]
        others = [
            state
            for state in staying
            if state.endpoint.instance_id not in excluded_ids
        ]
        return min(
            (state.belief.busy_until_s for state in others or staying),
            default=float('-inf'),
        )

    def of_service(self, service_id: str) -> list[InstanceState]:
        """Returns the instances of a service."""
        return self._by_service_id.get(service_id, [])

    def typical_time_s(self, service_id: str) -> float:
        """Returns the average time to an answer of a service, in seconds."""
        times = [
            state.service_time_s
            for state in self.of_service(service_id)
            if state.service_time_s
        ]
        return sum(times) / len(times) if times else INITIAL_SERVICE_TIME_S

    def choose(
        self, service_id: str, excluded_ids: Iterable[str], now_s: float
    ) -> InstanceState | None:
        """Chooses the instance for a request to a service without keys.

        Failing instances come last. Among the others, another region is used
        only when no instance in this VM's region has capacity.

        Returns:
            The instance, or None if none has capacity.
        """
        typical_s = self.typical_time_s(service_id)
        best = None
        best_cost = ()
        for state in self.of_service(service_id):
            if (
                _leaves(state, now_s)
                or state.endpoint.instance_id in excluded_ids
                or not state.has_capacity(now_s)
            ):
                continue
            cost = _cost(state, typical_s)
            if best is None or cost < best_cost:
                best, best_cost = state, cost
        return best


def _leaves(state: InstanceState, now_s: float) -> bool:
    return state.endpoint.draining or state.belief.is_leaving(now_s)


def _is_new_incarnation(
    known: topology.Endpoint, endpoint: topology.Endpoint
) -> bool:
    return (known.born_ms, known.address) != (
        endpoint.born_ms,
        endpoint.address,
    )


def _cost(state: InstanceState, typical_s: float) -> tuple:
    time_s = state.service_time_s or typical_s
    # A VM sees only its own requests; they estimate the queue at the instance.
    cost = time_s * (state.in_flight + 1) / state.endpoint.slots
    if state.distance != topology.SAME_ZONE:
        cost *= CROSS_ZONE_PENALTY
    in_other_region = state.distance == topology.OTHER_REGION
    return (
        state.failure_rate > FAILURE_RATE_THRESHOLD,
        in_other_region,
        cost,
    )
