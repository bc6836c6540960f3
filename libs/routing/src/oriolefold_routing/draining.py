"""Decides which requests a VM that is about to stop may still send."""

import collections
import dataclasses

from oriolefold_core import data

ANSWER_MARGIN_S = 0.1  # Time to write an answer before the stop.
# The next of a series outlasts all of the last 100 with probability 1/101.
RECENT_COUNT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """When a VM that is about to stop does what.

    Attributes:
        announced_at_s: Until this time new callers may still be sent to the VM,
            since they cannot know yet that it is about to stop.
        stops_at_s: When the requests in progress are ended.
    """

    announced_at_s: float
    stops_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Prospect:
    """What is known about the end of a request before it is sent.

    Attributes:
        expires_at_s: When the request ends in any case.
        idempotent: Whether the request may be repeated.
        likely_time_s: Time in which nearly all requests of this kind end, or
            None if it is unknown.
    """

    expires_at_s: float
    idempotent: bool
    likely_time_s: float | None


class RecentTimes:
    """Times that the latest requests of one kind took until they ended."""

    def __init__(self):
        self._times_s: collections.deque[float] = collections.deque(
            maxlen=RECENT_COUNT
        )

    def record(self, time_s: float) -> None:
        """Records the time of a request that has been sent and has ended."""
        self._times_s.append(time_s)

    def likely_time_s(self) -> float | None:
        """Returns a time that 99 in 100 do not exceed, None before it is known.

        Fewer requests do not tell: a kind with one long request in 50 would
        often look quick.
        """
        if len(self._times_s) < RECENT_COUNT:
            return None
        return max(self._times_s)


def may_send(schedule: Schedule, prospect: Prospect, now_s: float) -> bool:
    """Returns whether a request may be sent by a VM that is about to stop.

    A request whose deadline is before the stop always ends in time. If another
    one is cut, its outcome is unknown, so it has to be repeatable and likely
    to end in time; and once callers know that the VM leaves, they lose nothing
    by a refusal.
    """
    ends_by_s = schedule.stops_at_s - ANSWER_MARGIN_S
    if prospect.expires_at_s <= ends_by_s:
        return True
    if not prospect.idempotent or prospect.likely_time_s is None:
        return False
    if now_s >= schedule.announced_at_s:
        return False
    return ends_by_s - now_s >= prospect.likely_time_s


def may_send_request(
    schedule: Schedule | None, request: data.Request, now_s: float
) -> bool:
    """Returns whether a request of unknown likely time may be sent.

    Args:
        schedule: Times of the stop, or None if the VM is not about to stop.
        request: The request.
        now_s: Current time.
    """
    if schedule is None:
        return True
    prospect = Prospect(request.expires_at_s, request.idempotent, None)
    return may_send(schedule, prospect, now_s)
