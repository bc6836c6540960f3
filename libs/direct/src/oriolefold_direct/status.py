"""HTTP server for readiness, metrics and requests from peer VMs."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from tornado import httpserver, httputil

from oriolefold_core import data, errors, results, tasks
from oriolefold_direct import changefeed, peering
from oriolefold_gateway import accepting
from oriolefold_telemetry import counters, logs

_LOGGER = logging.getLogger(__name__)
MAX_BODY_BYTES = 1024 * 1024  # Several times the largest report.
BODY_TIMEOUT_S = 2.0
# For the next request to arrive with its headers. Peers reuse connections that
# were idle for up to 4 s.
HEADER_TIMEOUT_S = 10.0


class StatusServer:
    """Serves readiness, metrics, load reports and change feed polls."""

    def __init__(
        self,
        address: data.Address,
        ready_path: str,
        metrics_path: str,
        is_ready: Callable[[], bool],
        recorder: counters.Counters,
        coordinators: tasks.Task,
        feed: changefeed.ChangeFeed,
    ):
        """Initializes the server.

        Args:
            address: Address to listen on.
            ready_path: Path that answers 200 while this VM is ready.
            metrics_path: Path of the metrics.
            is_ready: Returns whether this VM accepts callers.
            recorder: Source of the metrics.
            coordinators: Task that receives load reports and ends terms.
            feed: Change feed that peer VMs poll.
        """
        self._address = address
        self._ready_path = ready_path
        self._metrics_path = metrics_path
        self._is_ready = is_ready
        self._metrics = recorder
        self._coordinators = coordinators
        self._feed = feed
        self._poll_tasks: set[asyncio.Task] = set()
        self._server: httpserver.HTTPServer | None = None
        self._acceptor: accepting.Acceptor | None = None

    def start(self) -> None:
        """Opens the listening socket."""
        self._server = httpserver.HTTPServer(
            self._answer,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=HEADER_TIMEOUT_S,
        )
        self._acceptor = accepting.serve(self._server, self._address)

    async def stop(self) -> None:
        """Cancels pending polls and closes all connections."""
        for poll_task in self._poll_tasks:
            poll_task.cancel()
        self._acceptor.stop()
        await self._server.close_all_connections()

    def _answer(self, request: httputil.HTTPServerRequest) -> None:
        status, body = 404, b''
        if request.path == self._ready_path:
            status = 200 if self._is_ready() else 503
        elif request.path == self._metrics_path:
            status, body = 200, self._metrics.text()
        elif request.path == peering.REPORT_PATH:
            self._pass_on(
                request,
                'load.unreadable',
                lambda body: peering.decode_report(body, request.query),
                (
                    peering.encode_load_reply
                    if request.query
                    in (peering.GRANTED_QUERY, peering.ADMISSIONS_QUERY)
                    else peering.encode_shares
                ),
            )
            return
        elif request.path == peering.END_TERMS_PATH:
            self._pass_on(
                request,
                'end_terms.unreadable',
                peering.decode_end_terms,
                peering.encode_terms_ended,
            )
            return
        elif request.path == peering.CHANGES_PATH:
            self._answer_poll(request)
            return
        _write(request, status, body)

    def _answer_poll(self, request: httputil.HTTPServerRequest) -> None:
        try:
            follower, revisions = peering.decode_poll(request.body)
        except errors.ProtocolError as error:
            logs.event('changes.unreadable', error=str(error))
            _write(request, 400, b'')
            return

        async def answer_when_changed() -> None:
            try:
                reply = await self._feed.changes(follower, revisions)
                body = b'' if reply is None else peering.encode_changes(reply)
                stale_status = 503 if self._feed.is_source else 410
            except Exception:  # pylint: disable=broad-except
                # Without an answer the follower would wait for its time-out.
                _LOGGER.exception('a poll of %s failed', follower.address)
                _write(request, 500, b'')
                return
            _write(request, 200 if body else stale_status, body)

        poll_task = asyncio.create_task(answer_when_changed())
        self._poll_tasks.add(poll_task)
        poll_task.add_done_callback(self._poll_tasks.discard)

    def _pass_on(
        self,
        request: httputil.HTTPServerRequest,
        unreadable_event: str,
        decode: Callable[[bytes], tasks.Ask],
        encode: Callable[[Any], bytes],
    ) -> None:
        """Passes a request on to the coordinators and sends their reply."""
        try:
            ask = decode(request.body)
        except errors.ProtocolError as error:
            logs.event(unreadable_event, error=str(error))
            _write(request, 400, b'')
            return

        def send_reply(reply: asyncio.Future) -> None:
            if reply.cancelled() or reply.exception() is not None:
                _write(request, 500, b'')
            else:
                _write(request, 200, encode(reply.result()))

        ask.reply.add_done_callback(send_reply)
        self._coordinators.post(ask)


def _write(
    request: httputil.HTTPServerRequest, status: int, body: bytes
) -> None:
    start = httputil.ResponseStartLine(
        'HTTP/1.1', status, httputil.responses[status]
    )
    headers = httputil.HTTPHeaders({'Content-Length': str(len(body))})
    call_id = request.headers.get(results.CALL_ID_HEADER)
    if call_id is not None:
        headers[results.CALL_ID_HEADER] = call_id
    # A failed write means that the client has disconnected. Its exception is
    # retrieved so that asyncio does not log it.
    written = request.connection.write_headers(start, headers, body)
    written.add_done_callback(lambda future: future.exception())
    request.connection.finish()
