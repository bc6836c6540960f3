"""Decides which requests a VM that is about to stop may still send."""

import dataclasses

from oriolefold_core import data

ANSWER_MARGIN_S = 0.1  # Time to write an answer before the stop.


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
        likely_time_s: Time in which nearly all requests of the service end, or
            None if it is unknown.
    """

    expires_at_s: float
    idempotent: bool
    likely_time_s: float | None


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
    """Returns whether a request of unknown expected time may be sent.

    Args:
        schedule: Times of the stop, or None if the VM is not about to stop.
        request: The request.
        now_s: Current time.
    """
    if schedule is None:
        return True
    prospect = Prospect(request.expires_at_s, request.idempotent, None)
    return may_send(schedule, prospect, now_s)
