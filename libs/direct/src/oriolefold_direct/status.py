"""HTTP interface for readiness, metrics and reports of other VMs."""

from collections.abc import Callable

from tornado import httpserver, httputil, netutil

from oriolefold_core import data, errors, tasks
from oriolefold_direct import peering
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
    ):
        """Makes the server.

        Args:
            address: Where to listen.
            ready_path: Path that answers 200 while this VM takes callers.
            metrics_path: Path of the metrics.
            is_ready: Tells whether this VM takes callers.
            recorder: Has the metrics.
            coordinators: Task that gets the reports of load.
        """
        self._address = address
        self._ready_path = ready_path
        self._metrics_path = metrics_path
        self._is_ready = is_ready
        self._metrics = recorder
        self._coordinators = coordinators
        self._server: httpserver.HTTPServer | None = None

    def start(self) -> None:
        """Opens the listening socket."""
        self._server = httpserver.HTTPServer(self._answer)
        self._server.add_sockets(
            netutil.bind_sockets(self._address.port, self._address.host)
        )

    async def stop(self) -> None:
        """Closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        status, body = 404, b''
        if request.path == self._ready_path:
            status = 200 if self._is_ready() else 503
        elif request.path == peering.REPORT_PATH:
            status = self._take_report(request.body)
        elif request.path == self._metrics_path:
            status, body = 200, self._metrics.text()
        start = httputil.ResponseStartLine(
            'HTTP/1.1', status, httputil.responses[status]
        )
        headers = httputil.HTTPHeaders()
        if status != peering.NO_CONTENT:
            headers['Content-Length'] = str(len(body))
        written = request.connection.write_headers(start, headers, body)
        written.add_done_callback(lambda future: future.exception())
        request.connection.finish()

    def _take_report(self, body: bytes) -> int:
        try:
            self._coordinators.post(peering.read_report(body))
        except errors.ProtocolError as error:
            logs.event('load.unreadable', error=str(error))
            return 400
        return peering.NO_CONTENT
