"""Reservation of room at an instance that requests of several ranks share.

Long requests of a low rank would otherwise fill the room that this VM has at
the instance, and short urgent ones would wait for their end. The rules apply
only while requests of different ranks were seen there recently.
"""

import dataclasses

RECENT_S = 3.0  # A rank counts as present this long after its last request.
LOWER_RANK_FRACTION = 0.75  # Part of the room open to lower ranks.
LONG_WORK_FRACTION = 0.5  # The same for lower ranks whose work is long.
LONG_WORK_RATIO = 2.0  # Times the work of a higher rank that count as long.
TIME_SMOOTHING = 0.2  # Weight of a new sample in the time of a rank.
# A lower rank's request in flight for longer than this multiple of the usual
# time shows a queue, in which a request beside it would wait too.
QUEUEING_FACTOR = 1.5
MIN_DIVISIBLE_ROOM = 2.0  # Smaller rooms cannot be divided between ranks.


@dataclasses.dataclass(slots=True)
class RankUse:
    """Use of an instance by the requests of one rank.

    Attributes:
        seen_at_s: When the last request was sent or waited.
        sent_at_s: When the last request was sent.
        in_flight: Requests sent that have not ended.
        time_s: Moving average of the time to an answer; 0 if unknown.
        next_send_at_s: Earliest next send under a quota below one request.
    """

    seen_at_s: float = float('-inf')
    sent_at_s: float = float('-inf')
    in_flight: int = 0
    time_s: float = 0.0
    next_send_at_s: float = 0.0


class Reservation:
    """Use of one instance by rank, and the room that each rank has there.

    Attributes:
        has_ranks: Whether requests of different ranks were ever seen.
    """

    __slots__ = ('_uses_by_rank', 'has_ranks')

    def __init__(self):
        self.has_ranks = False
        self._uses_by_rank: dict[int, RankUse] = {}

    def record_seen(self, rank: int, now_s: float) -> None:
        """Records that a request of a rank is sent there or waits for it."""
        self._use(rank).seen_at_s = now_s

    def record_send(self, rank: int, now_s: float) -> None:
        """Counts a request in flight."""
        use = self._use(rank)
        use.seen_at_s = use.sent_at_s = now_s
        use.in_flight += 1

    def record_end(self, rank: int) -> None:
        """Stops counting a request in flight."""
        self._use(rank).in_flight -= 1

    def record_time(self, rank: int, took_s: float) -> None:
        """Records the time to an answer."""
        use = self._use(rank)
        if not use.time_s:
            use.time_s = took_s
        use.time_s += TIME_SMOOTHING * (took_s - use.time_s)

    def time_s(self, rank: int) -> float:
        """Returns the usual time to an answer of a rank, 0 if unknown."""
        use = self._uses_by_rank.get(rank)
        return use.time_s if use is not None else 0.0

    def is_shared(self, now_s: float) -> bool:
        """Whether requests of different ranks were seen recently."""
        if not self.has_ranks:
            return False
        oldest_s = now_s - RECENT_S
        uses = self._uses_by_rank.values()
        return sum(use.seen_at_s >= oldest_s for use in uses) > 1

    def has_room(
        self, rank: int, room: float, usual_s: float, now_s: float
    ) -> bool:
        """Whether one more request of a rank fits beside the other ranks.

        Args:
            rank: Rank of the request.
            room: Requests that this VM may have in flight there.
            usual_s: Usual time to an answer without a queue.
            now_s: Current time.
        """
        in_flight = running_lower = 0
        queueing_s = QUEUEING_FACTOR * usual_s
        for other, use in self._uses_by_rank.items():
            in_flight += use.in_flight
            if other > rank and now_s - use.sent_at_s <= queueing_s:
                running_lower += use.in_flight
        if room < MIN_DIVISIBLE_ROOM:
            # Requests of lower ranks do not count against a room for one, which
            # a long one would close for its whole time.
            return in_flight - running_lower < room
        if in_flight >= room:
            return False
        higher = sum(
            use.in_flight
            for other, use in self._uses_by_rank.items()
            if other < rank
        )
        open_to_rank = max(1.0, room * self.fraction(rank, now_s))
        return in_flight - higher < open_to_rank

    def fraction(self, rank: int, now_s: float) -> float:
        """Returns the part of the room that is open to a rank."""
        oldest_s = now_s - RECENT_S
        own_s = self._use(rank).time_s
        fraction = 1.0
        for other, use in self._uses_by_rank.items():
            if other >= rank or use.seen_at_s < oldest_s:
                continue
            if use.time_s and own_s > LONG_WORK_RATIO * use.time_s:
                return LONG_WORK_FRACTION
            fraction = LOWER_RANK_FRACTION
        return fraction

    def may_send_at_s(self, rank: int) -> float:
        """Returns the earliest next send of a rank under a small quota."""
        return self._use(rank).next_send_at_s

    def pace(
        self, rank: int, quota: float, default_time_s: float, now_s: float
    ) -> None:
        """Sets the earliest next send of a rank under a quota below one.

        Each rank is paced by its own sends and its own time, so that a long
        request of a low rank does not use up the turn of a higher one.

        Args:
            rank: Rank of the request that is about to be sent.
            quota: Average requests in flight allotted to this VM.
            default_time_s: Time to an answer if that of the rank is unknown.
            now_s: Current time.
        """
        use = self._use(rank)
        share = quota * self.fraction(rank, now_s)
        use.next_send_at_s = now_s + (use.time_s or default_time_s) / share

    def _use(self, rank: int) -> RankUse:
        use = self._uses_by_rank.get(rank)
        if use is None:
            use = self._uses_by_rank[rank] = RankUse()
            self.has_ranks = len(self._uses_by_rank) > 1
        return use
