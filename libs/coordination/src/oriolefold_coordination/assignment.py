"""Assigns key ranges to instances by capacity and observed load.

Ranges whose owner is gone are reassigned. The load is rebalanced by a limited
number of moves to idle instances and off overloaded ones.
"""

import dataclasses
import heapq
from collections.abc import Sequence

from oriolefold_coordination import keyload, ranges

# Utilizations are offered load over capacity; ratios are relative to the mean.
IDLE_RATIO = 0.25  # An instance below it is given keys.
BUSY_UTILIZATION = 0.75  # Above it queueing is much of the response time.
IMBALANCE_RATIO = 1.3  # An instance below it is not offloaded.
MIN_GAIN = 0.2  # Minimum drop of the highest utilization by a move.
MAX_MOVES = 8  # Voluntary moves in one plan.
MAX_RECIPIENTS = 12  # Considered per move, those with most spare capacity.
MAX_PARTS = 3  # Parts that a range without an owner is split into.


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that may own keys.

    Attributes:
        holder: The instance.
        capacity: Requests per second that it can process.
    """

    holder: ranges.Holder
    capacity: float


def assign(
    key_map: ranges.KeyMap,
    candidates: Sequence[Candidate],
    profile: keyload.Profile,
    may_balance: bool,
) -> ranges.KeyMap:
    """Returns a map in which every range is owned by a candidate.

    Without candidates the map is returned unchanged.

    Args:
        key_map: The current map.
        candidates: Instances that may own keys.
        profile: Load of the keys.
        may_balance: Whether keys of available owners may be moved.
    """
    if not candidates:
        return key_map
    assignment = _Assignment(key_map, candidates, profile)
    if not key_map.ranges:
        assignment.assign_all()
    assignment.reassign_unowned()
    if may_balance:
        assignment.fill_idle()
        assignment.offload_busy()
    return assignment.result()


@dataclasses.dataclass(frozen=True, slots=True)
class _Move:
    """A move of keys from one owner to another.

    Attributes:
        key_range: Range that the keys are part of.
        span: First and last key to move.
        recipient: The new owner.
        utilization: Utilization of the busier of the two after the move.
    """

    key_range: ranges.KeyRange
    span: tuple[int, int]
    recipient: Candidate
    utilization: float


class _Assignment:
    """Working copy of a key map with the load of each candidate."""

    def __init__(self, key_map, candidates, profile):
        self._original = key_map
        self._by_incarnation = {_incarnation(c.holder): c for c in candidates}
        self._profile = profile
        self._next_token = key_map.next_token
        self._ranges = list(key_map.ranges)
        self._rates = dict.fromkeys(self._by_incarnation, 0.0)
        for key_range in self._ranges:
            owner = _incarnation(key_range.owner)
            if owner in self._rates:
                self._rates[owner] += self._rate(key_range)

    def result(self) -> ranges.KeyMap:
        """Returns the map with adjacent ranges of one owner merged."""
        if self._next_token == self._original.next_token:
            return self._original
        merged: list[ranges.KeyRange] = []
        for key_range in sorted(self._ranges, key=_first):
            last = merged[-1] if merged else None
            if (
                last is not None
                and last.owner == key_range.owner
                and not last.priors
                and not key_range.priors
            ):
                merged[-1] = ranges.KeyRange(
                    last.first, key_range.last, last.owner, self._next_token
                )
                self._next_token += 1
            else:
                merged.append(key_range)
        return ranges.KeyMap(
            self._original.service_id, self._next_token, tuple(merged)
        )

    def assign_all(self) -> None:
        """Makes the initial assignment of all keys."""
        candidates = list(self._by_incarnation.values())
        whole = (0, ranges.KEY_COUNT - 1)
        for candidate, span in self._split(whole, candidates):
            self._add(span, candidate, ())

    def reassign_unowned(self) -> None:
        """Gives ranges without an owner to the least utilized candidates."""
        for key_range in list(self._ranges):
            if _incarnation(key_range.owner) in self._by_incarnation:
                continue
            self._ranges.remove(key_range)
            restarted = self._restarted_candidate(key_range.owner)
            if restarted is not None:
                # The former incarnation has ended and holds nothing, so it is
                # no prior.
                self._add(_span(key_range), restarted, key_range.priors)
                continue
            priors = (key_range.owner, *key_range.priors)
            recipients = self._least_utilized(self._part_count(key_range))
            for recipient, span in self._split(_span(key_range), recipients):
                self._add(span, recipient, priors)

    def fill_idle(self) -> None:
        """Moves keys to nearly idle instances."""
        for incarnation, candidate in self._by_incarnation.items():
            mean = self._mean_utilization()
            if self._utilization(incarnation) >= IDLE_RATIO * mean:
                continue
            donor = max(self._rates, key=self._utilization)
            move = self._best_move(donor, [candidate])
            if move is not None:
                self._apply(move)

    def offload_busy(self) -> None:
        """Moves keys off overloaded instances."""
        for _ in range(MAX_MOVES):
            donor = max(self._rates, key=self._utilization)
            before = self._utilization(donor)
            enough = IMBALANCE_RATIO * self._mean_utilization()
            if before <= max(BUSY_UTILIZATION, enough):
                return
            move = self._best_move(donor, self._by_spare_capacity())
            if move is None or before - move.utilization < MIN_GAIN:
                return
            self._apply(move)

    def _best_move(self, donor, recipients: list[Candidate]) -> '_Move | None':
        """Returns the move with the lowest utilization of the busier side."""
        best = None
        donor_capacity = self._by_incarnation[donor].capacity
        owned = [
            r
            for r in self._ranges
            if _incarnation(r.owner) == donor and not r.priors
        ]
        for recipient in recipients:
            incarnation = _incarnation(recipient.holder)
            if incarnation == donor:
                continue
            # Moving this rate equalizes the two utilizations.
            wanted = (
                self._rates[donor] * recipient.capacity
                - self._rates[incarnation] * donor_capacity
            ) / (donor_capacity + recipient.capacity)
            if wanted <= 0:
                continue
            for key_range in owned:
                for span in self._movable_spans(key_range, wanted):
                    rate = self._profile.rate(*span)
                    utilization = max(
                        (self._rates[donor] - rate) / donor_capacity,
                        (self._rates[incarnation] + rate) / recipient.capacity,
                    )
                    if best is None or utilization < best.utilization:
                        best = _Move(key_range, span, recipient, utilization)
        return best

    def _apply(self, move: '_Move') -> None:
        key_range = move.key_range
        self._ranges.remove(key_range)
        first, last = move.span
        if first > key_range.first:
            self._ranges.append(dataclasses.replace(key_range, last=first - 1))
        if last < key_range.last:
            self._ranges.append(dataclasses.replace(key_range, first=last + 1))
        donor = _incarnation(key_range.owner)
        self._rates[donor] -= self._profile.rate(*move.span)
        self._add(move.span, move.recipient, (key_range.owner,))

    def _movable_spans(self, key_range, wanted: float) -> list[tuple[int, int]]:
        """Returns candidate parts of a range to move.

        A single hot key may exceed the wanted rate; `_best_move` weighs it.
        """
        spans = self._edge_spans(key_range, wanted)
        key = self._profile.heaviest(key_range.first, key_range.last)
        if key is not None:
            spans.append((key, key))
        return spans

    def _edge_spans(self, key_range, wanted: float) -> list[tuple[int, int]]:
        """Returns the parts at both ends with at most the wanted rate."""
        first, last = _span(key_range)
        spans = []
        end = self._profile.prefix_end(first, last, wanted)
        if end >= first:
            spans.append((first, end))
        rest = self._rate(key_range) - wanted
        start = self._profile.prefix_end(first, last, max(0.0, rest)) + 1
        if start < last and self._profile.rate(start, last) > wanted:
            start += 1
        if start <= last and self._profile.rate(start, last) <= wanted:
            spans.append((start, last))
        return spans

    def _split(self, span, recipients: list[Candidate]):
        """Yields each recipient with a part in proportion to its capacity."""
        first, last = span
        capacity = sum(recipient.capacity for recipient in recipients)
        for index, recipient in enumerate(recipients):
            if first > last:
                return
            if index == len(recipients) - 1:
                end = last
            else:
                left = self._profile.rate(first, last)
                share = left * recipient.capacity / capacity
                end = max(first, self._profile.prefix_end(first, last, share))
            yield recipient, (first, end)
            first = end + 1
            capacity -= recipient.capacity

    def _add(self, span, candidate: Candidate, priors) -> None:
        key_range = ranges.KeyRange(
            *span, candidate.holder, self._next_token, priors
        )
        self._next_token += 1
        self._ranges.append(key_range)
        self._rates[_incarnation(candidate.holder)] += self._rate(key_range)

    def _part_count(self, key_range) -> int:
        mean = sum(self._rates.values()) / len(self._rates)
        if mean <= 0:
            return MAX_PARTS
        wanted = round(2 * self._rate(key_range) / mean)
        return max(1, min(MAX_PARTS, wanted))

    def _least_utilized(self, count: int) -> list[Candidate]:
        incarnations = sorted(self._rates, key=self._utilization)[:count]
        return [
            self._by_incarnation[incarnation] for incarnation in incarnations
        ]

    def _by_spare_capacity(self) -> list[Candidate]:
        """Returns the candidates with the most spare requests per second."""
        return heapq.nlargest(
            MAX_RECIPIENTS,
            self._by_incarnation.values(),
            key=lambda c: c.capacity - self._rates[_incarnation(c.holder)],
        )

    def _restarted_candidate(self, owner: ranges.Holder) -> Candidate | None:
        for (instance_id, born_ms), candidate in self._by_incarnation.items():
            if instance_id == owner.instance_id and born_ms > owner.born_ms:
                return candidate
        return None

    def _rate(self, key_range) -> float:
        return self._profile.rate(key_range.first, key_range.last)

    def _utilization(self, incarnation) -> float:
        return (
            self._rates[incarnation]
            / self._by_incarnation[incarnation].capacity
        )

    def _mean_utilization(self) -> float:
        capacity = sum(c.capacity for c in self._by_incarnation.values())
        return sum(self._rates.values()) / capacity


def _incarnation(holder: ranges.Holder) -> tuple[str, int]:
    return holder.instance_id, holder.born_ms


def _first(key_range: ranges.KeyRange) -> int:
    return key_range.first


def _span(key_range: ranges.KeyRange) -> tuple[int, int]:
    return key_range.first, key_range.last
