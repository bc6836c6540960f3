"""Counters that load the Prometheus client only when they are scraped.

Importing the client costs memory, which a small entry VM saves as long as its
metrics are not scraped.
"""

import collections
from collections.abc import Callable, Iterator

from oriolefold_telemetry import latency

_LABELS_BY_NAME = {
    'oriolefold_requests': ('service', 'outcome', 'category'),
    'oriolefold_sends': ('distance', 'result'),
    'oriolefold_load_reports': ('service',),
    'oriolefold_store_calls': ('call', 'result'),
    'oriolefold_grants': ('call', 'result'),
    'oriolefold_region_refusals': ('service', 'reason'),
    'oriolefold_health_checks': ('service', 'result'),
    'oriolefold_overload': ('service', 'decision'),
    'oriolefold_log_lines': ('result',),
    'oriolefold_warm_up_permits': ('result',),
}


class Counters:
    """Counters by metric name and labels, latencies by service, and gauges."""

    def __init__(self):
        self._gauges_by_name: dict[str, tuple[str, Callable[[], float]]] = {}
        self._counts: collections.Counter[tuple] = collections.Counter()
        self._latencies_by_service_id: dict[str, latency.LatencyHistogram] = {}

    def count_request(
        self, service_id: str, outcome: str, category: str, seconds: float
    ) -> None:
        """Counts a finished request and records its latency."""
        self._counts['oriolefold_requests', service_id, outcome, category] += 1
        latencies = self._latencies_by_service_id.get(service_id)
        if latencies is None:
            latencies = latency.LatencyHistogram()
            self._latencies_by_service_id[service_id] = latencies
        latencies.record_s(seconds)

    def count_send(self, distance: int, result: str) -> None:
        """Counts a send to an instance.

        Args:
            distance: 0 within the zone, 1 within the region, 2 across regions.
            result: Result of the send.
        """
        self._counts['oriolefold_sends', str(distance), result] += 1

    def count_load_report(self, service_id: str) -> None:
        """Counts load figures from an instance of a service."""
        self._counts['oriolefold_load_reports', service_id] += 1

    def count_overload(self, service_id: str, decision: str) -> None:
        """Counts a decision made because a service or instance was full."""
        self._counts['oriolefold_overload', service_id, decision] += 1

    def count_store_call(self, call: str, result: str) -> None:
        """Counts a call to the object store."""
        self._counts['oriolefold_store_calls', call, result] += 1

    def count_grant(self, call: str, result: str) -> None:
        """Counts a grant or release."""
        self._counts['oriolefold_grants', call, result] += 1

    def count_region_refusal(self, service_id: str, reason: str) -> None:
        """Counts a request kept from instances by its allowed regions."""
        self._counts['oriolefold_region_refusals', service_id, reason] += 1

    def count_warm_up(self, result: str, count: int = 1) -> None:
        """Counts permits for requests to cold instances."""
        self._counts['oriolefold_warm_up_permits', result] += count

    def count_health_check(self, service_id: str, result: str) -> None:
        """Counts a health check of an instance."""
        self._counts['oriolefold_health_checks', service_id, result] += 1

    def register_gauge(
        self, name: str, description: str, read: Callable[[], float]
    ) -> None:
        """Adds a gauge whose value is read when the metrics are scraped."""
        self._gauges_by_name[name] = description, read

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        import prometheus_client  # noqa: PLC0415

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(self) -> Iterator:
        """Yields the metric families; called by the Prometheus client."""
        from prometheus_client import core  # noqa: PLC0415

        for name, labels in _LABELS_BY_NAME.items():
            family = core.CounterMetricFamily(name, name, labels=labels)
            for (counted_name, *values), count in self._counts.items():
                if counted_name == name:
                    family.add_metric(values, count)
            yield family
        latency_family = core.GaugeMetricFamily(
            'oriolefold_latency_ms',
            'Latency of requests.',
            labels=('service', 'quantile'),
        )
        for service_id, latencies in self._latencies_by_service_id.items():
            for percent in latency.PERCENTILES:
                quantile = f'{percent / 100:g}'
                value = latencies.percentile_ms(percent)
                latency_family.add_metric((service_id, quantile), value)
        yield latency_family
        for name, (description, read) in self._gauges_by_name.items():
            yield core.GaugeMetricFamily(name, description, value=read())
