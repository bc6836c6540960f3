"""Decides which instance is to own which keys."""

import dataclasses
from collections.abc import Sequence

from oriolefold_coordination import keyload, ranges

ENOUGH_SHARE = 0.4  # Load over the mean from which an instance has its part.
OVERLOAD_SHARE = 1.6  # Load over the mean from which keys are moved away.
LEAST_REQUESTS = 40.0  # Decayed requests from which measured load counts.


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may own keys.

    Attributes:
        holder: The instance.
        capacity: Requests that it runs at a time.
    """

    holder: ranges.Holder
    capacity: float


def allot(
    key_map: ranges.KeyMap,
    candidates: Sequence[Candidate],
    weights: Sequence[float],
    may_balance: bool,
) -> ranges.KeyMap:
    """Returns a map in which every range has an owner that lives.

    Ranges that nobody may own stay as they are if there is no candidate.

    Args:
        key_map: The present map.
        candidates: Instances that may own keys.
        weights: Load of each bucket of keys.
        may_balance: Whether keys of owners that live may be moved.
    """
    if not candidates:
        return key_map
    table = _Table(key_map, candidates, weights)
    if not key_map.ranges:
        table.divide()
    table.place_orphans()
    if may_balance:
        table.fill_idle()
        table.relieve_fullest()
    return table.result()


class _Table:
    """A key map under change."""

    def __init__(self, key_map, candidates, weights):
        self._before = key_map
        self._by_holder_id = {
            (c.holder.instance_id, c.holder.born_ms): c for c in candidates
        }
        self._weights = weights
        self._next_token = key_map.next_token
        self._ranges = list(key_map.ranges)
        self._loads = dict.fromkeys(self._by_holder_id, 0.0)
        for key_range in self._ranges:
            owner = _life(key_range.owner)
            if owner in self._loads:
                self._loads[owner] += self._weight(key_range)

    def result(self) -> ranges.KeyMap:
        """Returns the map, neighbours in order."""
        if self._next_token == self._before.next_token:
            return self._before
        ordered = tuple(sorted(self._ranges, key=lambda r: r.first))
        return ranges.KeyMap(self._before.service_id, self._next_token, ordered)

    def divide(self) -> None:
        """Divides all keys for the first time."""
        pieces = self._cut(
            0,
            ranges.KEY_COUNT - 1,
            [c.capacity for c in self._by_holder_id.values()],
        )
        holders = list(self._by_holder_id.values())
        for candidate, piece in zip(holders, pieces, strict=False):
            self._add(piece, candidate, ())

    def place_orphans(self) -> None:
        """Gives ranges whose owner is gone to those that have least to do."""
        for key_range in list(self._ranges):
            if _life(key_range.owner) in self._by_holder_id:
                continue
            self._ranges.remove(key_range)
            priors = key_range.priors
            again = self._new_life(key_range.owner)
            if again is None:
                priors = (key_range.owner, *priors)
                takers = self._least_loaded(self._piece_count(key_range))
            else:
                takers = [again]
            shares = [1.0] * len(takers)
            pieces = self._cut(key_range.first, key_range.last, shares)
            for taker, piece in zip(takers, pieces, strict=False):
                self._add(piece, taker, priors)

    def fill_idle(self) -> None:
        """Gives keys to instances that have little to do."""
        for life, candidate in self._by_holder_id.items():
            mean = self._mean()
            if self._share(life) >= ENOUGH_SHARE * mean:
                continue
            fullest = max(self._loads, key=self._share)
            self._shift(fullest, candidate)

    def relieve_fullest(self) -> None:
        """Moves keys from the fullest instance to the emptiest."""
        if sum(self._weights) < LEAST_REQUESTS:
            return
        fullest = max(self._loads, key=self._share)
        if self._share(fullest) <= OVERLOAD_SHARE * self._mean():
            return
        emptiest = min(self._loads, key=self._share)
        self._shift(fullest, self._by_holder_id[emptiest])

    def _shift(self, giver, taker: Candidate) -> None:
        """Moves about half of the difference between two instances."""
        if giver == _life(taker.holder):
            return
        excess = (self._loads[giver] - self._loads[_life(taker.holder)]) / 2
        owned = [
            r for r in self._ranges if _life(r.owner) == giver and not r.priors
        ]
        owned.sort(key=self._weight)
        for key_range in owned:
            weight = self._weight(key_range)
            if weight <= excess:
                self._take(key_range, taker)
                return
        for key_range in reversed(owned):
            split = self._split_point(key_range, excess)
            if split is None:
                continue
            self._ranges.remove(key_range)
            self._ranges.append(dataclasses.replace(key_range, last=split - 1))
            moved = dataclasses.replace(key_range, first=split)
            self._ranges.append(moved)
            self._take(moved, taker)
            return

    def _take(self, key_range, taker: Candidate) -> None:
        self._ranges.remove(key_range)
        self._loads[_life(key_range.owner)] -= self._weight(key_range)
        piece = (key_range.first, key_range.last)
        self._add(piece, taker, (key_range.owner, *key_range.priors))

    def _split_point(self, key_range, weight: float) -> int | None:
        """Returns the first key of the part at the end with a weight."""
        if weight <= 0:
            return None
        size = keyload.BUCKET_KEYS
        taken = 0.0
        bucket = key_range.last // size
        while bucket * size > key_range.first:
            taken += self._weights[bucket]
            if taken >= weight:
                return bucket * size
            bucket -= 1
        return None

    def _add(self, piece, candidate: Candidate, priors) -> None:
        key_range = ranges.KeyRange(
            *piece, candidate.holder, self._next_token, priors
        )
        self._next_token += 1
        self._ranges.append(key_range)
        self._loads[_life(candidate.holder)] += self._weight(key_range)

    def _cut(self, first: int, last: int, shares: list[float]) -> list:
        """Cuts a range into parts whose weights are as the shares."""
        size = keyload.BUCKET_KEYS
        span = range(first // size, last // size + 1)
        left = sum(self._weights[b] for b in span)
        shares_left = sum(shares)
        pieces = []
        start, taken, index = first, 0.0, 0
        for bucket in span:
            taken += self._weights[bucket]
            end = min(last, (bucket + 1) * size - 1)
            if index == len(shares) - 1 or end == last:
                continue
            if taken >= left * shares[index] / shares_left:
                pieces.append((start, end))
                left -= taken
                shares_left -= shares[index]
                start, taken, index = end + 1, 0.0, index + 1
        pieces.append((start, last))
        return pieces

    def _piece_count(self, key_range) -> int:
        mean = max(self._mean_load(), keyload.IDLE_WEIGHT)
        return max(1, min(3, round(2 * self._weight(key_range) / mean)))

    def _least_loaded(self, count: int) -> list[Candidate]:
        lives = sorted(self._loads, key=self._share)[:count]
        return [self._by_holder_id[life] for life in lives]

    def _new_life(self, owner: ranges.Holder) -> Candidate | None:
        for (instance_id, born_ms), candidate in self._by_holder_id.items():
            if instance_id == owner.instance_id and born_ms > owner.born_ms:
                return candidate
        return None

    def _weight(self, key_range) -> float:
        size = keyload.BUCKET_KEYS
        span = range(key_range.first // size, key_range.last // size + 1)
        return sum(self._weights[bucket] for bucket in span)

    def _share(self, life) -> float:
        return self._loads[life] / self._by_holder_id[life].capacity

    def _mean(self) -> float:
        capacity = sum(c.capacity for c in self._by_holder_id.values())
        return sum(self._loads.values()) / capacity

    def _mean_load(self) -> float:
        return sum(self._weights) / len(self._by_holder_id)


def _life(holder: ranges.Holder) -> tuple[str, int]:
    return holder.instance_id, holder.born_ms
