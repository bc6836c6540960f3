"""Per-key load of a service, estimated from its requests."""

import bisect
import itertools
import math
from collections.abc import Iterable, Mapping

from oriolefold_coordination import ranges

HALF_LIFE_S = 1.0  # Of the exponential decay of the counts.
MIN_COUNT = 0.05  # Keys with a lower decayed count are dropped.
UNSEEN_RATE_PER_S = 6.0  # Assumed on all keys together, beside observed load.


class Profile:
    """Snapshot of the request rates of all keys."""

    def __init__(self, rates_by_key: Mapping[int, float]):
        """Initializes the profile.

        Args:
            rates_by_key: Requests per second of each observed key.
        """
        self._keys = sorted(rates_by_key)
        rates = (rates_by_key[key] for key in self._keys)
        self._sums = [0.0, *itertools.accumulate(rates)]

    @property
    def total(self) -> float:
        """Requests per second on all observed keys."""
        return self._sums[-1]

    def rate(self, first: int, last: int) -> float:
        """Returns the expected requests per second on a key range."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        unseen = UNSEEN_RATE_PER_S * (last - first + 1) / ranges.KEY_COUNT
        return self._sums[high] - self._sums[low] + unseen

    def heaviest(self, first: int, last: int) -> int | None:
        """Returns the observed key with the highest rate, or None."""
        low = bisect.bisect_left(self._keys, first)
        high = bisect.bisect_right(self._keys, last)
        if low == high:
            return None
        sums = self._sums
        index = max(range(low, high), key=lambda i: sums[i + 1] - sums[i])
        return self._keys[index]

    def prefix_end(self, first: int, last: int, rate: float) -> int:
        """Returns the end of the longest prefix of a range within a rate.

        Returns:
            The last key of the prefix; `first - 1` if the first key alone
            exceeds the rate.
        """
        low, high = first - 1, last
        while low < high:
            middle = (low + high + 1) // 2
            if self.rate(first, middle) <= rate:
                low = middle
            else:
                high = middle - 1
        return low


class KeyLoad:
    """Exponentially decaying request counts by key."""

    def __init__(self, now_s: float = 0.0):
        self._counts_by_key: dict[int, float] = {}
        self._decayed_at_s = now_s

    def record(self, keys: Iterable[int], now_s: float) -> None:
        """Counts requests.

        Args:
            keys: Key of each request.
            now_s: Current time.
        """
        self._decay(now_s)
        counts = self._counts_by_key
        for key in keys:
            counts[key] = counts.get(key, 0.0) + 1.0

    def profile(self, now_s: float) -> Profile:
        """Returns the current rates of the keys."""
        self._decay(now_s)
        per_s = math.log(2) / HALF_LIFE_S
        return Profile(
            {key: n * per_s for key, n in self._counts_by_key.items()}
        )

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._decayed_at_s
        if passed_s <= 0:
            return
        factor = 0.5 ** (passed_s / HALF_LIFE_S)
        self._decayed_at_s = now_s
        self._counts_by_key = {
            key: count * factor
            for key, count in self._counts_by_key.items()
            if count * factor > MIN_COUNT
        }
