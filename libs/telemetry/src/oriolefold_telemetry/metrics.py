"""Metrics of the daemon, with the Prometheus client and HdrHistogram."""

import prometheus_client

from oriolefold_telemetry import latency


class Metrics:
    """Metrics of one daemon, in its own Prometheus registry."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            'oriolefold_requests',
            'Requests of callers by service, outcome and category.',
            ('service', 'outcome', 'category'),
            registry=self._registry,
        )
        self._hops = prometheus_client.Counter(
            'oriolefold_hops',
            'Sends by kind of hop and distance (0 zone, 1 region, 2 across).',
            ('kind', 'distance'),
            registry=self._registry,
        )
        self._bytes = prometheus_client.Counter(
            'oriolefold_cross_region_bytes',
            'Bytes of bodies sent to and received from other regions.',
            ('kind',),
            registry=self._registry,
        )
        self._children: dict[tuple, prometheus_client.Counter] = {}
        self._latencies_by_service_id: dict[str, latency.LatencyHistogram] = {}

    def count_request(
        self, service_id: str, outcome: str, category: str, seconds: float
    ) -> None:
        """Counts a finished request and records its latency."""
        self._child(self._requests, service_id, outcome, category).inc()
        latencies = self._latencies_by_service_id.get(service_id)
        if latencies is None:
            latencies = latency.LatencyHistogram()
            self._latencies_by_service_id[service_id] = latencies
        latencies.record_s(seconds)

    def count_hop(self, kind: str, distance: int, size: int) -> None:
        """Counts a send and, if it crosses regions, its body bytes.

        Args:
            kind: Kind of the hop: `server` or `peer`.
            distance: 0 within the zone, 1 within the region, 2 across regions.
            size: Length of the bodies of request and answer, in bytes.
        """
        self._child(self._hops, kind, str(distance)).inc()
        if distance == 2:
            self._child(self._bytes, kind).inc(size)

    def text(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        lines = [
            '# HELP oriolefold_latency_ms Latency of requests by service.',
            '# TYPE oriolefold_latency_ms summary',
        ]
        for service_id, latencies in self._latencies_by_service_id.items():
            for percent in latency.PERCENTILES:
                value = latencies.percentile_ms(percent)
                labels = f'service="{service_id}",quantile="{percent / 100:g}"'
                lines.append(f'oriolefold_latency_ms{{{labels}}} {value:g}')
            label = f'service="{service_id}"'
            lines.append(
                f'oriolefold_latency_ms_count{{{label}}} {latencies.count}'
            )
        text = '\n'.join(lines) + '\n'
        return prometheus_client.generate_latest(self._registry) + text.encode()

    def _child(self, counter, *labels: str):
        # Cached, because the lookup by labels costs more than the increment.
        key = (counter, *labels)
        child = self._children.get(key)
        if child is None:
            child = counter.labels(*labels)
            self._children[key] = child
        return child
