"""Bounds what is sent beyond the first send of each request.

All VMs together may send a share of the requests again. Each VM takes its part:
a share of the requests that it has itself, and a small allowance that is
divided by the number of VMs.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetTerms:
    """Bounds that hold for all VMs together.

    Attributes:
        ratio: Repeats allowed per request.
        window_s: Length of the sliding window, in seconds.
        allowance: Repeats allowed in each window beside the ratio.
        senders: VMs that share the allowance.
    """

    ratio: float
    window_s: float
    allowance: float
    senders: int


SAFETY = 0.7  # Part of the bound that is used; clocks and counts differ.


class AttemptBudget:
    """Repeats of the requests to one service, in a sliding window."""

    def __init__(self, terms: BudgetTerms):
        self._terms = terms
        self._requests: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Counts a request."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(self, now_s: float) -> bool:
        """Spends one repeat and returns whether there was one to spend."""
        self._expire(now_s)
        terms = self._terms
        allowed = terms.ratio * len(self._requests)
        allowed += terms.allowance / max(1, terms.senders)
        if len(self._repeats) + 1 > SAFETY * allowed:
            return False
        self._repeats.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._terms.window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
