"""Deadline propagation: the remaining time is passed on at every hop."""

from oriolefold_core import errors

MAX_DEADLINE_S = 600.0


def initial_deadline(
    now_s: float, limit_s: float, requested_ms: str | None
) -> float:
    """Returns the deadline of a new request on the clock of this process.

    Args:
        now_s: Current time.
        limit_s: Longest time that the service allows.
        requested_ms: Value of the deadline header, or None without one.

    Raises:
        RequestError: If the text is not a whole number of milliseconds.
        DeadlineExpiredError: If the requested time is zero.
    """
    if requested_ms is None:
        return now_s + limit_s
    text = requested_ms.strip()
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise errors.RequestError(
            f'deadline {text[:32]!r} is not a whole number of milliseconds'
        )
    if int(text) == 0:
        raise errors.DeadlineExpiredError('the deadline is zero')
    return now_s + min(limit_s, int(text) / 1000)


def remaining_ms(now_s: float, expires_at_s: float) -> int:
    """Returns the remaining whole milliseconds, to send to the next hop.

    Raises:
        DeadlineExpiredError: If less than one millisecond is left.
    """
    left_ms = int((expires_at_s - now_s) * 1000)
    if left_ms < 1:
        raise errors.DeadlineExpiredError('the deadline passed before sending')
    return left_ms
