"""Load of the keys of a service, by buckets of neighbouring keys."""

from oriolefold_coordination import ranges

BUCKET_KEYS = 64  # Keys that share one counter.
BUCKET_COUNT = ranges.KEY_COUNT // BUCKET_KEYS
HALF_LIFE_S = 4.0  # Age at which a request counts half.
IDLE_WEIGHT = 0.02  # Weight of a bucket that nobody asked for.


class KeyLoad:
    """Decaying request counts, in requests per half-life."""

    def __init__(self, now_s: float = 0.0):
        self._counts = [0.0] * BUCKET_COUNT
        self._counts_by_key: dict[int, float] = {}
        self._decayed_at_s = now_s

    def record(self, key: int) -> None:
        """Counts one request for a key."""
        self._counts[key // BUCKET_KEYS] += 1.0
        self._counts_by_key[key] = self._counts_by_key.get(key, 0.0) + 1.0

    def weights(self, now_s: float) -> list[float]:
        """Returns the weight of each bucket."""
        self._decay(now_s)
        return [count + IDLE_WEIGHT for count in self._counts]

    @property
    def total(self) -> float:
        """Decayed number of requests."""
        return sum(self._counts)

    def _decay(self, now_s: float) -> None:
        passed_s = now_s - self._decayed_at_s
        if passed_s <= 0:
            return
        factor = 0.5 ** (passed_s / HALF_LIFE_S)
        self._decayed_at_s = now_s
        self._counts = [count * factor for count in self._counts]
        self._counts_by_key = {
            key: count * factor
            for key, count in self._counts_by_key.items()
            if count * factor > 0.1
        }
