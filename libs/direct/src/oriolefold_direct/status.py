"""HTTP interface for readiness, metrics and reports of other VMs."""

import asyncio
from collections.abc import Callable

from tornado import httpserver, httputil, netutil

from oriolefold_core import data, errors, tasks
from oriolefold_direct import feeding, peering
from oriolefold_telemetry import counters, logs


class StatusServer:
    """Tells whether this VM takes callers, and its metrics."""

    def __init__(
        self,
        address: data.Address,
        ready_path: str,
        metrics_path: str,
        is_ready: Callable[[], bool],
        recorder: counters.Counters,
        coordinators: tasks.Task,
        feed: feeding.Feed,
    ):
        """Makes the server.

        Args:
            address: Where to listen.
            ready_path: Path that answers 200 while this VM takes callers.
            metrics_path: Path of the metrics.
            is_ready: Tells whether this VM takes callers.
            recorder: Has the metrics.
            coordinators: Task that gets the reports of load.
            feed: What this VM tells others of the store.
        """
        self._address = address
        self._ready_path = ready_path
        self._metrics_path = metrics_path
        self._is_ready = is_ready
        self._metrics = recorder
        self._coordinators = coordinators
        self._feed = feed
        self._feeding: set[asyncio.Task] = set()
        self._server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Opens the listening socket."""
        self._server = httpserver.HTTPServer(self._answer)
        self._server.add_sockets(
            netutil.bind_sockets(self._address.port, self._address.host)
        )

    async def stop(self) -> None:
        """Closes all connections."""
        for telling in self._feeding:
            telling.cancel()
        self._server.stop()
        await self._server.close_all_connections()

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        status, body = 404, b''
        if request.path == self._ready_path:
            status = 200 if self._is_ready() else 503
        elif request.path == self._metrics_path:
            status, body = 200, self._metrics.text()
        elif request.path == peering.REPORT_PATH:
            self._take_report(request)
            return
        elif request.path == peering.CHANGES_PATH:
            self._tell_changes(request)
            return
        _write(request, status, body)

    def _tell_changes(self, request: httputil.HTTPServerRequest) -> None:
        try:
            asker, revisions = peering.read_poll(request.body)
        except errors.ProtocolError as error:
            logs.event('changes.unreadable', error=str(error))
            _write(request, 400, b'')
            return

        async def tell() -> None:
            told = await self._feed.changes(asker, revisions)
            if told is None:
                _write(request, 503, b'')
            else:
                _write(request, 200, peering.told_text(told))

        telling = asyncio.create_task(tell())
        self._feeding.add(telling)
        telling.add_done_callback(self._feeding.discard)

    def _take_report(self, request: httputil.HTTPServerRequest) -> None:
        try:
            report = peering.read_report(request.body)
        except errors.ProtocolError as error:
            logs.event('load.unreadable', error=str(error))
            _write(request, 400, b'')
            return

        def reply(shares: asyncio.Future) -> None:
            if shares.cancelled() or shares.exception() is not None:
                _write(request, 500, b'')
            else:
                body = peering.shares_text(shares.result())
                _write(request, 200, body)

        report.reply.add_done_callback(reply)
        self._coordinators.post(report)


def _write(
    request: httputil.HTTPServerRequest, status: int, body: bytes
) -> None:
    start = httputil.ResponseStartLine(
        'HTTP/1.1', status, httputil.responses[status]
    )
    headers = httputil.HTTPHeaders({'Content-Length': str(len(body))})
    # A failed write means that the asker has gone.
    written = request.connection.write_headers(start, headers, body)
    written.add_done_callback(lambda future: future.exception())
    request.connection.finish()
