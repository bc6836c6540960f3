"""Adaptive concurrency limits, one per instance.

Each VM observes only its own requests and limits those in flight at an
instance. The limit increases additively with each answer that did not wait in a
queue and decreases multiplicatively on refusals and when latency shows a queue
(AIMD), so that the limits of all VMs together converge to the capacity of the
instance.
"""

import dataclasses
import enum
from collections.abc import Callable

from oriolefold_routing import (
    announcements,
    loadfigures,
    reservation,
    topology,
    warmuppermits,
)

INITIAL_SERVICE_TIME_S = 0.2  # Assumed until the first answer.
SMOOTHING_FACTOR = 0.2  # Weight of a new sample in moving averages.
REFUSAL_DECREASE_FACTOR = 0.7  # Limit after a refusal over the limit before.
REFUSAL_BACKOFF_S = 0.08  # Time without new requests after a refusal.
SILENCE_GROWTH_FACTOR = 0.2  # Growth of the limit after a silence, over usual.
SILENCE_EFFECT_S = 10.0  # Duration of the slow growth after a silence.
FAILURE_BACKOFF_S = 1.0  # Time without new requests after a failed connection.
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


class SendResult(enum.Enum):
    """How a send to an instance ended."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    SILENT = 'silent'  # Given up, since the instance gives no answer.
    UNREACHABLE = 'unreachable'
    CANCELLED = 'cancelled'
    WITHHELD = 'withheld'  # The instance wanted it no more; nothing was sent.


class Obstacle(enum.Enum):
    """Why an instance may not be sent one more request."""

    BACKOFF = 'backoff'
    COLD = 'cold'
    EVACUATED = 'evacuated'
    LEAVING = 'leaving'
    LIMIT = 'limit'
    PACING = 'pacing'
    PUSHBACK = 'pushback'
    QUOTA = 'quota'
    UNVERIFIED = 'unverified'
    RESERVED = 'reserved'  # For higher ranks.


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
        admitted: Part of the requests for it that it can take, by the leader;
            1 unless it is overloaded.
        admitted_until_s: When that expires.
        slow_growth_until_s: The limit grows slowly before this time.
        next_send_at_s: Earliest next send under a quota below one request.
        belief: What the instance has announced in its answers.
        permits: Permits of this VM for requests to cold instances.
        may_send_cold: Whether one request may be sent at a time although the
            instance is cold; None if it never may.
        load: What is known of the load that it reports; None if it does not.
        registered_late: Whether it registered after others of its service had
            reported their load.
        reserved: Room that each rank has at the instance.
        divides_room: Whether ranks that share the instance divide the room.
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
    admitted: float = 1.0
    admitted_until_s: float = 0.0
    slow_growth_until_s: float = 0.0
    next_send_at_s: float = 0.0
    belief: announcements.Belief = dataclasses.field(
        default_factory=lambda: announcements.Belief(0)
    )
    permits: warmuppermits.WarmUpPermits = dataclasses.field(
        default_factory=warmuppermits.WarmUpPermits
    )
    may_send_cold: Callable[[float], bool] | None = None
    load: loadfigures.KnownLoad | None = None
    registered_late: bool = False
    reserved: reservation.Reservation = dataclasses.field(
        default_factory=reservation.Reservation
    )
    divides_room: bool = False

    @property
    def max_limit(self) -> float:
        """Upper bound of the limit."""
        return self.endpoint.slots * (1 + MAX_QUEUED_PER_SLOT)

    @property
    def usable_from_s(self) -> float:
        """When its announced pushback and the back-off have ended."""
        return max(self.belief.busy_until_s, self.backoff_until_s)

    def has_capacity(self, now_s: float, rank: int = 0) -> bool:
        """Whether one more request of a rank may be sent now."""
        return self.obstacle(now_s, rank) is None

    def obstacle(self, now_s: float, rank: int = 0) -> Obstacle | None:
        """Returns what forbids one more request of a rank now, if anything."""
        if self.endpoint.evacuated:
            return Obstacle.EVACUATED
        if not self.belief.may_get_keyed(now_s):
            return Obstacle.LEAVING
        if self._is_restarting(now_s):
            if self.endpoint.unverified:
                return Obstacle.UNVERIFIED
            return Obstacle.COLD
        if now_s < self.belief.busy_until_s:
            return Obstacle.PUSHBACK
        if now_s < self.backoff_until_s:
            return Obstacle.BACKOFF
        limit, obstacle = self.limit, Obstacle.LIMIT
        shared = self.divides_room and self.reserved.is_shared(now_s)
        if now_s < self.quota_until_s:
            next_send_at_s = (
                self.reserved.may_send_at_s(rank)
                if shared
                else self.next_send_at_s
            )
            if self.quota < 1 and now_s < next_send_at_s:
                return Obstacle.PACING
            limit, obstacle = max(1.0, self.quota), Obstacle.QUOTA
        if now_s < self.warm_up_until_s:
            limit = max(1.0, limit / 2)
        if shared:
            usual_s = self.baseline_time_s or INITIAL_SERVICE_TIME_S
            if self.reserved.has_room(rank, limit, usual_s, now_s):
                return None
            return obstacle if self.in_flight >= limit else Obstacle.RESERVED
        return None if self.in_flight < limit else obstacle

    def is_cold(self, now_s: float) -> bool:
        """Whether it may be sent a request with a permit only."""
        return now_s < self.endpoint.cold_until_s

    def take_permit(self, now_s: float) -> bool:
        """Returns whether a request may be written now.

        If the instance is cold, that uses up a permit.
        """
        return not self.is_cold(now_s) or self.permits.take(
            self.endpoint.instance_id, now_s
        )

    def wants(self, keyed: bool, now_s: float) -> bool:
        """Whether its announcements allow a request that it was chosen for.

        Args:
            keyed: Whether the request is for a key that it owns.
            now_s: Current time.
        """
        if self.endpoint.evacuated or self.endpoint.unverified:
            return False
        if self._is_restarting(now_s) and not self.permits.may_take(
            self.endpoint.instance_id, now_s
        ):
            return False
        if now_s < self.belief.busy_until_s:
            return False
        if keyed:
            return self.belief.may_get_keyed(now_s)
        return not self.belief.is_leaving(now_s)

    def cold_until_s(self, now_s: float) -> float:
        """Returns until when it gets nothing since it is cold, else 0."""
        if now_s >= self.endpoint.cold_until_s or (
            self.may_send_cold is not None and self.may_send_cold(now_s)
        ):
            return 0.0
        return self.endpoint.cold_until_s

    def _is_restarting(self, now_s: float) -> bool:
        """Whether it gets nothing since it has, or may have, restarted."""
        return self.endpoint.unverified or self.cold_until_s(now_s) > 0

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

    def set_admitted(self, part: float, now_s: float) -> None:
        """Sets the part of its requests that the instance can take."""
        self.admitted = part
        self.admitted_until_s = now_s + QUOTA_TTL_S

    def record_send(self, now_s: float, rank: int = 0) -> None:
        """Counts a request that is about to be sent.

        A quota below one request is enforced over time by pacing: the next
        request may be sent after the baseline time divided by the quota.
        """
        self.in_flight += 1
        if self.is_cold(now_s):
            self.permits.assign(self.endpoint.instance_id, now_s)
        if self.load is not None:
            self.load.sends_since += 1
        self.reserved.record_send(rank, now_s)
        if self.quota < 1 and now_s < self.quota_until_s:
            self.next_send_at_s = now_s + self.baseline_time_s / self.quota
            self.reserved.pace(rank, self.quota, self.baseline_time_s, now_s)

    def record_end(self, rank: int = 0) -> None:
        """Stops counting a request that has ended or was not sent."""
        self.in_flight -= 1
        self.reserved.record_end(rank)

    def record(
        self, result: SendResult, took_s: float, now_s: float, rank: int = 0
    ) -> None:
        """Updates averages and limit with the result of a send.

        Args:
            result: How the send ended.
            took_s: Duration of the send, in seconds.
            now_s: Current time.
            rank: Rank of the request.
        """
        if result is SendResult.ANSWERED:
            self.reserved.record_time(rank, took_s)
        if result in (SendResult.WITHHELD, SendResult.SILENT):
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
        if self.load is not None:
            self.load.record_answer(took_s)
        if not self.is_queueing:
            if self.load and self.load.others_wait(self.in_flight, now_s):
                return
            self.limit = min(self.max_limit, self.limit + 1.0 / self.limit)
            growth = 1.0 / self.limit
            if now_s < self.slow_growth_until_s:
                growth *= SILENCE_GROWTH_FACTOR
            self.limit = min(self.max_limit, self.limit + growth)
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

    def record_silence(self, now_s: float) -> None:
        """Lowers the limit, since the instance could not queue a request.

        It is full then, so nothing is sent for the time of one request.
        """
        self.limit = max(1.0, self.limit * REFUSAL_DECREASE_FACTOR)
        backoff_s = max(REFUSAL_BACKOFF_S, self.baseline_time_s)
        self.backoff_until_s = max(self.backoff_until_s, now_s + backoff_s)
        self.slow_growth_until_s = now_s + SILENCE_EFFECT_S

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
