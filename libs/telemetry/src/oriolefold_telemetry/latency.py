"""Latency histogram on HdrHistogram."""

from hdrh import histogram

LOWEST_LATENCY_US = 1
HIGHEST_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)  # In percent.


class LatencyHistogram:
    """Histogram of latencies, with microsecond resolution.

    Values out of range count as the lowest or highest latency.
    """

    def __init__(self):
        self._histogram = histogram.HdrHistogram(
            LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS
        )

    def record_s(self, seconds: float) -> None:
        """Records a latency in seconds."""
        value = int(seconds * 1e6)
        value = max(LOWEST_LATENCY_US, min(HIGHEST_LATENCY_US, value))
        self._histogram.record_value(value)

    @property
    def count(self) -> int:
        """Number of recorded latencies."""
        return self._histogram.get_total_count()

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the latency in milliseconds, 0 if empty."""
        if not self.count:
            return 0.0
        return self._histogram.get_value_at_percentile(percent) / 1000
