"""Retry budget: bounds the retries, the sends of a request after its first.

The bound holds for all VMs together. Each VM may retry a fraction of its own
requests, plus its part of a fixed allowance that is divided evenly among the
VMs.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Parameters of the retry budget of all VMs together.

    Attributes:
        ratio: Retries allowed per request.
        window_s: Length of the sliding window, in seconds.
        allowance: Retries allowed in each window in addition to the ratio.
        vm_count: Number of VMs that share the allowance.
    """

    ratio: float
    window_s: float
    allowance: float
    vm_count: int


# The clocks and request counts of the VMs differ.
SAFETY_FACTOR = 0.7  # Fraction of the bound that is used.


class AttemptBudget:
    """Retry budget of one service over a sliding window."""

    def __init__(self, limits: BudgetLimits):
        self._limits = limits
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Counts a new request."""
        self._requests.append(now_s)
        self._expire(now_s)

    def take(self, now_s: float) -> bool:
        """Takes one retry from the budget and returns whether one was left."""
        self._expire(now_s)
        limits = self._limits
        allowed = limits.ratio * len(self._requests)
        allowed += limits.allowance / max(1, limits.vm_count)
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._retries.append(now_s)
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._limits.window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()
