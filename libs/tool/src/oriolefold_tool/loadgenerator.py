"""Open-loop load generator: sends a workload and counts the outcomes."""

import asyncio
import collections
import dataclasses
import itertools
import time
from collections.abc import Callable, Sequence

from oriolefold_core import data, errors, results
from oriolefold_http import client
from oriolefold_telemetry import latency as telemetry_latency
from oriolefold_tool import workloads

NO_ANSWER = 'no-answer'
NO_STATUS = 599
MAX_CLIENTS = 512
REQUEST_TIMEOUT_S = 30.0
PROGRESS_INTERVAL_S = 1.0
_BODY_METHODS = frozenset({'POST', 'PUT', 'PATCH'})


@dataclasses.dataclass(slots=True)
class Report:
    """Results of sending a workload.

    Attributes:
        sent: Number of requests sent.
        took_s: Time from the start to the last outcome.
        counts_by_outcome: Requests by outcome; `no-answer` if the entry VM did
            not report one.
        counts_by_status: Requests by HTTP status; 599 if there was no response.
        latency: Latencies of answered requests.
    """

    sent: int = 0
    took_s: float = 0.0
    counts_by_outcome: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    counts_by_status: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    latency: telemetry_latency.LatencyHistogram = dataclasses.field(
        default_factory=telemetry_latency.LatencyHistogram
    )

    @property
    def accounted(self) -> bool:
        """Whether every request has exactly one outcome."""
        return sum(self.counts_by_outcome.values()) == self.sent

    def to_record(self) -> dict:
        """Returns the report in a form that JSON can encode."""
        rate = self.sent / self.took_s if self.took_s else 0.0
        return {
            'sent': self.sent,
            'took_s': round(self.took_s, 3),
            'rate_per_s': round(rate, 1),
            'outcomes': dict(self.counts_by_outcome),
            'statuses': {
                str(status): count
                for status, count in sorted(self.counts_by_status.items())
            },
            'latency_ms': {
                f'p{percent:g}': round(self.latency.percentile_ms(percent), 2)
                for percent in telemetry_latency.PERCENTILES
            },
            'accounted': self.accounted,
        }


class LoadGenerator:
    """Sends each request at its time, without waiting for responses."""

    def __init__(
        self,
        targets: Sequence[data.Address],
        on_progress: Callable[[Report], None] | None = None,
    ):
        self._targets = itertools.cycle(targets)
        self._on_progress = on_progress
        self._client = client.HttpClient(MAX_CLIENTS)
        self.report = Report()

    async def run(self, requests) -> Report:
        """Sends all requests and waits for their outcomes.

        Args:
            requests: The `PlannedRequest`s, ordered by their times.
        """
        started_s = time.monotonic()
        progress = asyncio.create_task(self._show_progress())
        pending: set[asyncio.Task] = set()
        try:
            for request in requests:
                wait_s = started_s + request.at_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                self.report.sent += 1
                sending = asyncio.create_task(self._send(request))
                pending.add(sending)
                sending.add_done_callback(pending.discard)
            while pending:
                await asyncio.wait(pending)
        finally:
            progress.cancel()
            self._client.close()
        self.report.took_s = time.monotonic() - started_s
        return self.report

    async def _show_progress(self) -> None:
        while self._on_progress is not None:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            self._on_progress(self.report)

    async def _send(self, request: workloads.PlannedRequest) -> None:
        has_body = request.method in _BODY_METHODS
        started_s = time.monotonic()
        outcome, status = NO_ANSWER, NO_STATUS
        try:
            response = await self._client.call(
                request.method,
                f'http://{next(self._targets)}{request.target}',
                timeout_s=REQUEST_TIMEOUT_S,
                connect_timeout_s=REQUEST_TIMEOUT_S,
                headers=request.headers,
                body=b'x' * request.body_bytes if has_body else None,
                at_most_once=has_body,
            )
            status = response.code
            outcome = response.headers.get(results.OUTCOME_HEADER, NO_ANSWER)
        except errors.OriolefoldError as error:
            outcome = f'{NO_ANSWER} ({error.category.value})'
        self.report.counts_by_outcome[outcome] += 1
        self.report.counts_by_status[status] += 1
        if outcome == results.Outcome.ANSWERED.value:
            self.report.latency.record_s(time.monotonic() - started_s)
