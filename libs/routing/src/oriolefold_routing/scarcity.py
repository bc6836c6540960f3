"""Admission control of one service when not all requests can be served.

The queue of a service consists of lines, one for each owner of keys, or a
single one. The pace at which requests leave a line tells how long a new one
would wait. It acts only for some time after ranks competed for capacity, or
after a request waited until its limit.
"""

import dataclasses

ACTIVE_S = 10.0  # For how long a sign of overload counts.
PACE_SMOOTHING = 0.2  # Weight of a new sample in the interval of a line.
MIN_SAMPLES = 5  # Intervals known before a wait is estimated.
LINE_TTL_S = 10.0  # Age after which the interval of a line is forgotten.
WAIT_MARGIN = 1.3  # Estimates vary; a request is rejected only beyond it.
MIN_SERVED_FRACTION = 0.25  # Served part of each kind over that of all kinds.
FAIRNESS_MARGIN = 1.5  # A kind goes first below this multiple of it.
HALF_LIFE_S = 10.0  # Of the counts of offered and served requests.
MIN_OFFERED = 8.0  # Requests of a kind before its served part means anything.
RETURNING_FRACTION = 0.75  # Of the usual time left; below it a caller returns.
USUAL_SMOOTHING = 0.005  # Weight of a shorter time left in the usual one.
MIN_RETRY_AFTER_S = 0.15
MIN_SPREAD_S = 0.05  # Shortest time told to callers with little time left.
GOLDEN_FRACTION = 0.618034  # Its multiples modulo 1 are spread evenly.


@dataclasses.dataclass(slots=True)
class Line:
    """Requests that wait for the same capacity.

    Attributes:
        started_at_s: When the last request left it to be sent.
        interval_s: Moving average of the time between two of them.
        samples: Number of intervals in the average.
        booked_until_s: Last turn that a rejected caller was told.
    """

    started_at_s: float
    interval_s: float = 0.0
    samples: int = 0
    booked_until_s: float = float('-inf')


@dataclasses.dataclass(slots=True)
class Kind:
    """Requests of one route.

    Attributes:
        offered: Requests that arrived first, halved each `HALF_LIFE_S`.
        served: The same of requests that were sent.
        usual_left_s: Usual time until the deadline on arrival.
    """

    offered: float = 0.0
    served: float = 0.0
    usual_left_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """Place of a request among those that wait.

    Attributes:
        rank: Rank by which it is served.
        returning: Whether its caller was rejected before, as its shorter time
            shows.
    """

    rank: int
    returning: bool = False


class Scarcity:
    """Admission control of one service."""

    def __init__(self):
        self._active_until_s = float('-inf')
        self._lines_by_id: dict[str, Line] = {}
        self._kinds_by_id: dict[str, Kind] = {}
        self._halved_at_s = 0.0
        self._spread = 0

    def is_active(self, now_s: float) -> bool:
        """Whether there was a sign of overload recently."""
        return now_s < self._active_until_s

    def record_overload(self, now_s: float) -> None:
        """Records that ranks compete, or that a wait ended without a send."""
        self._active_until_s = now_s + ACTIVE_S

    def record_arrival(self, kind_id: str, left_s: float, now_s: float) -> None:
        """Records a new request.

        Args:
            kind_id: Its kind.
            left_s: Time until the deadline of its caller, in seconds.
            now_s: Current time.
        """
        if now_s - self._halved_at_s >= HALF_LIFE_S:
            self._halved_at_s = now_s
            for known in self._kinds_by_id.values():
                known.offered /= 2
                known.served /= 2
        kind = self._kinds_by_id.setdefault(kind_id, Kind())
        # A caller that returns is still the same request.
        kind.offered += not _is_returning(kind, left_s)
        if left_s >= kind.usual_left_s:
            kind.usual_left_s = left_s
        else:
            kind.usual_left_s += USUAL_SMOOTHING * (left_s - kind.usual_left_s)

    def record_send(self, kind_id: str) -> None:
        """Records that a request was sent."""
        kind = self._kinds_by_id.get(kind_id)
        if kind is not None:
            kind.served += 1

    def record_start(self, line_id: str, since_s: float, now_s: float) -> None:
        """Records that a request left its line to be sent.

        Args:
            line_id: The line.
            since_s: When the request began to wait.
            now_s: Current time.
        """
        line = self._lines_by_id.get(line_id)
        if line is None or now_s - line.started_at_s > LINE_TTL_S:
            self._lines_by_id[line_id] = Line(now_s)
            return
        # The line was empty before the request came.
        interval_s = now_s - max(line.started_at_s, since_s)
        line.started_at_s = now_s
        line.samples += 1
        weight = max(PACE_SMOOTHING, 1 / line.samples)
        line.interval_s += weight * (interval_s - line.interval_s)

    def standing(
        self, kind_id: str, rank: int, left_s: float, now_s: float
    ) -> Standing:
        """Returns the place of a request among those that wait.

        Args:
            kind_id: Its kind.
            rank: Rank of the kind.
            left_s: Time until the deadline of its caller on arrival.
            now_s: Current time.
        """
        kind = self._kinds_by_id.get(kind_id)
        if kind is None or not self.is_active(now_s):
            return Standing(rank)
        returning = _is_returning(kind, left_s)
        if rank and kind.offered >= MIN_OFFERED:
            kinds = self._kinds_by_id.values()
            served = sum(k.served for k in kinds)
            offered = sum(k.offered for k in kinds)
            floor = FAIRNESS_MARGIN * MIN_SERVED_FRACTION * served / offered
            if kind.served / kind.offered < floor:
                return Standing(0, returning)
        return Standing(rank, returning)

    def expected_wait_s(self, line_id: str, ahead: int, now_s: float) -> float:
        """Returns the expected time until a request is sent; 0 if unknown."""
        line = self._lines_by_id.get(line_id)
        if line is None or line.samples < MIN_SAMPLES:
            return 0.0
        if now_s - line.started_at_s > LINE_TTL_S:
            return 0.0
        return (ahead + 1) * line.interval_s

    def exceeds_limit(
        self,
        line_id: str,
        ahead: int,
        left_s: float,
        now_s: float,
    ) -> bool:
        """Whether a request will not be sent before its limit.

        The first of a line never is, so that the pace stays known.

        Args:
            line_id: Its line.
            ahead: Requests of the line that go before it.
            left_s: Time until its limit.
            now_s: Current time.
        """
        if not ahead or not self.is_active(now_s):
            return False
        wait_s = self.expected_wait_s(line_id, ahead, now_s)
        return wait_s > WAIT_MARGIN * left_s

    def retry_after_s(
        self,
        line_id: str,
        waiting: int,
        left_s: float,
        now_s: float,
    ) -> float | None:
        """Returns when a rejected caller should return, or None if unknown.

        Each caller gets a turn of its own behind those that wait and those that
        were told to return, so that they do not come back all at once. Beyond
        the third of its time that a caller follows, they are spread evenly over
        the half before it.

        Args:
            line_id: Line of the request.
            waiting: Requests in the line.
            left_s: Time until the deadline of the caller.
            now_s: Current time.
        """
        line = self._lines_by_id.get(line_id)
        drain_s = self.expected_wait_s(line_id, waiting, now_s)
        if line is None or not drain_s or not self.is_active(now_s):
            return None
        longest_s = left_s / 3
        first_s = max(MIN_RETRY_AFTER_S, drain_s)
        turn_s = max(now_s + first_s, line.booked_until_s + line.interval_s)
        after_s = turn_s - now_s
        if after_s <= longest_s:
            line.booked_until_s = turn_s
        else:
            self._spread += 1
            position = (self._spread * GOLDEN_FRACTION) % 1.0
            after_s = longest_s * (0.5 + 0.5 * position)
        # Rounding up could exceed the third.
        return int(max(MIN_SPREAD_S, after_s) * 1000) / 1000


def _is_returning(kind: Kind, left_s: float) -> bool:
    return left_s < RETURNING_FRACTION * kind.usual_left_s
