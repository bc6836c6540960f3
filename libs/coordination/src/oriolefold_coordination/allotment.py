"""Decides which instance is to own which keys."""

import dataclasses
import heapq
from collections.abc import Sequence

from oriolefold_coordination import keyload, ranges

IDLE_SHARE = 0.25  # Utilization over the mean below which keys are given.
BUSY_UTILIZATION = 0.75  # From here on waiting takes a good part of the time.
UNEVEN_SHARE = 1.3  # Utilization over the mean that is left alone.
LEAST_GAIN = 0.2  # Utilization that a move has to take off the fullest.
MAX_MOVES = 8  # Voluntary moves in one plan.
MAX_TAKERS = 12  # Instances weighed for a move, those with the most room.
MAX_PIECES = 3  # Parts that a range without an owner is divided into.


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may own keys.

    Attributes:
        holder: The instance.
        capacity: Requests a second that it can run.
    """

    holder: ranges.Holder
    capacity: float


def allot(
    key_map: ranges.KeyMap,
    candidates: Sequence[Candidate],
    profile: keyload.Profile,
    may_balance: bool,
) -> ranges.KeyMap:
    """Returns a map in which every range has an owner that lives.

    Ranges that nobody may own stay as they are if there is no candidate.

    Args:
        key_map: The present map.
        candidates: Instances that may own keys.
        profile: Load of the keys.
        may_balance: Whether keys of owners that live may be moved.
    """
    if not candidates:
        return key_map
    table = _Table(key_map, candidates, profile)
    if not key_map.ranges:
        table.divide()
    table.place_orphans()
    if may_balance:
        table.fill_idle()
        table.relieve()
    return table.result()


@dataclasses.dataclass(frozen=True, slots=True)
class _Shift:
    """A move of keys from one owner to another.

    Attributes:
        key_range: Range that the keys are part of.
        piece: First and last key to move.
        taker: Who gets them.
        utilization: Of the busier of the two after the move.
    """

    key_range: ranges.KeyRange
    piece: tuple[int, int]
    taker: Candidate
    utilization: float


class _Table:
    """A key map under change."""

    def __init__(self, key_map, candidates, profile):
        self._before = key_map
        self._by_life = {_life(c.holder): c for c in candidates}
        self._profile = profile
        self._next_token = key_map.next_token
        self._ranges = list(key_map.ranges)
        self._rates = dict.fromkeys(self._by_life, 0.0)
        for key_range in self._ranges:
            owner = _life(key_range.owner)
            if owner in self._rates:
                self._rates[owner] += self._rate(key_range)

    def result(self) -> ranges.KeyMap:
        """Returns the map, neighbours with the same owner joined."""
        if self._next_token == self._before.next_token:
            return self._before
        joined: list[ranges.KeyRange] = []
        for key_range in sorted(self._ranges, key=_first):
            last = joined[-1] if joined else None
            if (
                last is not None
                and last.owner == key_range.owner
                and not last.priors
                and not key_range.priors
            ):
                joined[-1] = ranges.KeyRange(
                    last.first, key_range.last, last.owner, self._next_token
                )
                self._next_token += 1
            else:
                joined.append(key_range)
        return ranges.KeyMap(
            self._before.service_id, self._next_token, tuple(joined)
        )

    def divide(self) -> None:
        """Divides all keys for the first time."""
        candidates = list(self._by_life.values())
        whole = (0, ranges.KEY_COUNT - 1)
        for candidate, piece in self._pieces(whole, candidates):
            self._add(piece, candidate, ())

    def place_orphans(self) -> None:
        """Gives ranges whose owner is gone to those that have least to do."""
        for key_range in list(self._ranges):
            if _life(key_range.owner) in self._by_life:
                continue
            self._ranges.remove(key_range)
            again = self._new_life(key_range.owner)
            if again is not None:
                # The former life has ended and holds nothing.
                self._add(_span(key_range), again, key_range.priors)
                continue
            priors = (key_range.owner, *key_range.priors)
            takers = self._emptiest(self._piece_count(key_range))
            for taker, piece in self._pieces(_span(key_range), takers):
                self._add(piece, taker, priors)

    def fill_idle(self) -> None:
        """Gives keys to instances that have next to nothing to do."""
        for life, candidate in self._by_life.items():
            mean = self._mean_utilization()
            if self._utilization(life) >= IDLE_SHARE * mean:
                continue
            giver = max(self._rates, key=self._utilization)
            shift = self._best_shift(giver, [candidate])
            if shift is not None:
                self._shift(shift)

    def relieve(self) -> None:
        """Moves keys off instances that are too busy."""
        for _ in range(MAX_MOVES):
            giver = max(self._rates, key=self._utilization)
            before = self._utilization(giver)
            enough = UNEVEN_SHARE * self._mean_utilization()
            if before <= max(BUSY_UTILIZATION, enough):
                return
            shift = self._best_shift(giver, self._roomiest())
            if shift is None or before - shift.utilization < LEAST_GAIN:
                return
            self._shift(shift)

    def _best_shift(self, giver, takers: list[Candidate]) -> '_Shift | None':
        """Returns the move that leaves the busier of two least busy."""
        best = None
        giver_capacity = self._by_life[giver].capacity
        owned = [
            r for r in self._ranges if _life(r.owner) == giver and not r.priors
        ]
        for taker in takers:
            life = _life(taker.holder)
            if life == giver:
                continue
            # This rate would leave both equally busy.
            wanted = (
                self._rates[giver] * taker.capacity
                - self._rates[life] * giver_capacity
            ) / (giver_capacity + taker.capacity)
            if wanted <= 0:
                continue
            for key_range in owned:
                for piece in self._parts(key_range, wanted):
                    rate = self._profile.rate(*piece)
                    utilization = max(
                        (self._rates[giver] - rate) / giver_capacity,
                        (self._rates[life] + rate) / taker.capacity,
                    )
                    if best is None or utilization < best.utilization:
                        best = _Shift(key_range, piece, taker, utilization)
        return best

    def _shift(self, shift: '_Shift') -> None:
        key_range = shift.key_range
        self._ranges.remove(key_range)
        first, last = shift.piece
        if first > key_range.first:
            self._ranges.append(dataclasses.replace(key_range, last=first - 1))
        if last < key_range.last:
            self._ranges.append(dataclasses.replace(key_range, first=last + 1))
        giver = _life(key_range.owner)
        self._rates[giver] -= self._profile.rate(*shift.piece)
        self._add(shift.piece, shift.taker, (key_range.owner,))

    def _parts(self, key_range, wanted: float) -> list[tuple[int, int]]:
        """Returns parts of a range that may be moved."""
        pieces = self._ends(key_range, wanted)
        key = self._profile.heaviest(key_range.first, key_range.last)
        if key is not None:
            pieces.append((key, key))
        return pieces

    def _ends(self, key_range, wanted: float) -> list[tuple[int, int]]:
        """Returns parts at both ends of a range with at most a rate."""
        first, last = _span(key_range)
        pieces = []
        end = self._profile.cut(first, last, wanted)
        if end >= first:
            pieces.append((first, end))
        rest = self._rate(key_range) - wanted
        start = self._profile.cut(first, last, max(0.0, rest)) + 1
        if start < last and self._profile.rate(start, last) > wanted:
            start += 1
        if start <= last and self._profile.rate(start, last) <= wanted:
            pieces.append((start, last))
        return pieces

    def _pieces(self, span, takers: list[Candidate]):
        """Yields takers with parts of a range by their capacities."""
        first, last = span
        capacity = sum(taker.capacity for taker in takers)
        for index, taker in enumerate(takers):
            if first > last:
                return
            if index == len(takers) - 1:
                end = last
            else:
                left = self._profile.rate(first, last)
                share = left * taker.capacity / capacity
                end = max(first, self._profile.cut(first, last, share))
            yield taker, (first, end)
            first = end + 1
            capacity -= taker.capacity

    def _add(self, piece, candidate: Candidate, priors) -> None:
        key_range = ranges.KeyRange(
            *piece, candidate.holder, self._next_token, priors
        )
        self._next_token += 1
        self._ranges.append(key_range)
        self._rates[_life(candidate.holder)] += self._rate(key_range)

    def _piece_count(self, key_range) -> int:
        mean = sum(self._rates.values()) / len(self._rates)
        if mean <= 0:
            return MAX_PIECES
        wanted = round(2 * self._rate(key_range) / mean)
        return max(1, min(MAX_PIECES, wanted))

    def _emptiest(self, count: int) -> list[Candidate]:
        lives = sorted(self._rates, key=self._utilization)[:count]
        return [self._by_life[life] for life in lives]

    def _roomiest(self) -> list[Candidate]:
        """Returns the candidates that can take the most requests a second."""
        return heapq.nlargest(
            MAX_TAKERS,
            self._by_life.values(),
            key=lambda c: c.capacity - self._rates[_life(c.holder)],
        )

    def _new_life(self, owner: ranges.Holder) -> Candidate | None:
        for (instance_id, born_ms), candidate in self._by_life.items():
            if instance_id == owner.instance_id and born_ms > owner.born_ms:
                return candidate
        return None

    def _rate(self, key_range) -> float:
        return self._profile.rate(key_range.first, key_range.last)

    def _utilization(self, life) -> float:
        return self._rates[life] / self._by_life[life].capacity

    def _mean_utilization(self) -> float:
        capacity = sum(c.capacity for c in self._by_life.values())
        return sum(self._rates.values()) / capacity


def _life(holder: ranges.Holder) -> tuple[str, int]:
    return holder.instance_id, holder.born_ms


def _first(key_range: ranges.KeyRange) -> int:
    return key_range.first


def _span(key_range: ranges.KeyRange) -> tuple[int, int]:
    return key_range.first, key_range.last
