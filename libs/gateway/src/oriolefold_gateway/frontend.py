"""HTTP server for callers, based on Tornado."""

import asyncio
import json
import re
import uuid

from tornado import httpserver, httputil, iostream, netutil

from oriolefold_backend import headers as backend_headers
from oriolefold_core import data, errors, results, tasks
from oriolefold_gateway import messages
from oriolefold_telemetry import logs

IDLE_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 64 * 1024
_REQUEST_ID = re.compile(r'[A-Za-z0-9._-]{1,64}')
_METHODS = frozenset(
    {
        'GET',
        'HEAD',
        'OPTIONS',
        'PUT',
        'DELETE',
        'POST',
        'PATCH',
    }
)
_NO_BODY_STATUS = frozenset({204, 304})


class Frontend:
    """Accepts HTTP requests of callers and passes them to a dispatcher.

    Attributes:
        draining: Whether each answer asks the caller to close the connection.
        refusing: Whether new requests are refused.
    """

    def __init__(
        self,
        address: data.Address,
        dispatcher: tasks.Task,
        max_body_bytes: int,
        deadline_header: str = results.DEADLINE_HEADER,
    ):
        """Initializes the server; `start` opens the socket.

        Args:
            address: Address to listen on.
            dispatcher: Task that handles the requests.
            max_body_bytes: Largest accepted body of a request.
            deadline_header: Header with the time that a caller is willing to
                wait, in milliseconds.
        """
        self._address = address
        self._dispatcher = dispatcher
        self.max_body_bytes = max_body_bytes
        self.max_header_bytes = MAX_HEADER_BYTES
        self.deadline_header = deadline_header
        self._server: httpserver.HTTPServer | None = None
        self.draining = False
        self.refusing = False
        self._is_closing = False
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_flight(self) -> int:
        """Number of requests in progress."""
        return self._in_flight

    @property
    def is_closing(self) -> bool:
        """Whether this VM is closing its connections to callers."""
        return self._is_closing

    def request_started(self) -> None:
        """Counts a request that has started."""
        self._in_flight += 1
        self._idle.clear()

    def request_ended(self) -> None:
        """Counts a request that has ended."""
        self._in_flight -= 1
        if not self._in_flight:
            self._idle.set()

    def start(self, reuse_port: bool) -> None:
        """Opens the listening socket."""
        self._server = httpserver.HTTPServer(
            _ServerDelegate(self, self._dispatcher),
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            # The handler enforces the actual limit and answers with a clear
            # error. Tornado's limit is larger, so that it does not apply first.
            max_body_size=2 * self.max_body_bytes + MAX_HEADER_BYTES,
        )
        sockets = netutil.bind_sockets(
            self._address.port, self._address.host, reuse_port=reuse_port
        )
        self._server.add_sockets(sockets)

    def set_limits(
        self, header_bytes: int, body_bytes: int, idle_timeout_s: float
    ) -> None:
        """Sets the limits for callers.

        Args:
            header_bytes: Largest size of the headers of a request. Headers of
                more than twice this size plus 64 KiB close the connection
                without an answer.
            body_bytes: Largest body of a request.
            idle_timeout_s: Time that a connection may stay idle, in seconds.
        """
        self.max_header_bytes = header_bytes
        self.max_body_bytes = body_bytes
        parameters = self._server.conn_params
        parameters.max_header_size = 2 * header_bytes + MAX_HEADER_BYTES
        parameters.max_body_size = 2 * body_bytes + MAX_HEADER_BYTES
        parameters.header_timeout = idle_timeout_s

    async def drain(self) -> None:
        """Closes the listening socket and waits for the requests in progress.

        Meanwhile, requests on open connections are still served; each answer
        asks the caller to close the connection. Requests that arrive after the
        drain are refused, since their connections are about to be closed.
        """
        self.draining = True
        self._server.stop()
        while self._in_flight:
            await self._idle.wait()
        self.refusing = True

    async def stop(self) -> None:
        """Closes all connections."""
        self._is_closing = True
        self._server.stop()
        await self._server.close_all_connections()


class _ServerDelegate(httputil.HTTPServerConnectionDelegate):
    """Creates a handler for each request."""

    def __init__(self, frontend, dispatcher):
        self._frontend = frontend
        self._dispatcher = dispatcher

    def start_request(self, server_conn, request_conn):
        """Returns the handler of one request."""
        return _RequestHandler(self._frontend, self._dispatcher, request_conn)


class _RequestHandler(httputil.HTTPMessageDelegate):
    """Reads one request of a caller and writes its answer."""

    def __init__(self, frontend, dispatcher, connection):
        self._frontend = frontend
        self._dispatcher = dispatcher
        self._max_header_bytes = frontend.max_header_bytes
        self._max_body_bytes = frontend.max_body_bytes
        self._connection = connection
        self._start_line = None
        self._headers = None
        self._chunks: list[bytes] = []
        self._body_size = 0
        self._refused = False
        self._request_id = ''
        self._reply: asyncio.Future | None = None
        self._created_at_s = asyncio.get_running_loop().time()
        self._began_at_s = self._created_at_s

    def headers_received(self, start_line, headers):
        """Checks the size of the headers and the announced size of the body."""
        self._began_at_s = asyncio.get_running_loop().time()
        self._start_line = start_line
        self._headers = headers
        if _head_size(start_line, headers) > self._max_header_bytes:
            text = f'the headers have more than {self._max_header_bytes} bytes'
            self._refuse_unread(errors.HeadersTooLargeError(text))
            return
        length = headers.get('Content-Length', '0')
        if length.isdigit() and int(length) > self._max_body_bytes:
            self._refuse_body()

    def data_received(self, chunk):
        """Collects a part of the body, up to the limit."""
        if self._refused:
            return
        self._body_size += len(chunk)
        if self._body_size > self._max_body_bytes:
            self._refuse_body()
        else:
            self._chunks.append(chunk)

    def finish(self):
        """Passes the complete request to the dispatcher."""
        if self._refused:
            return
        self._request_id = self._choose_request_id()
        if self._frontend.refusing:
            self._write_failure(errors.StoppingError('this VM is stopping'))
            return
        self._frontend.request_started()
        try:
            dispatch = self._dispatch()
        except errors.RequestError as error:
            self._write_failure(error)
            self._frontend.request_ended()
            return
        self._reply = dispatch.reply
        self._reply.add_done_callback(self._on_reply)
        # Until the answer is written, Tornado reports a lost connection here.
        self._connection.set_close_callback(self.on_connection_close)
        self._dispatcher.post(dispatch)

    def on_connection_close(self):
        """Cancels a request whose connection ended before its answer."""
        if self._reply is None:
            return
        if self._frontend.is_closing or self._reply.done():
            self._log_cut()
        self._reply.cancel()

    def _refuse_body(self) -> None:
        text = f'the body is larger than {self._max_body_bytes} bytes'
        self._refuse_unread(errors.BodyTooLargeError(text))

    def _refuse_unread(self, error: errors.RequestError) -> None:
        """Refuses a request before all of it has been read."""
        self._refused = True
        self._chunks = []
        # The rest of the body has not been read, so the connection cannot be
        # reused.
        self._request_id = self._choose_request_id()
        self._write_failure(error, close=True)

    def _choose_request_id(self) -> str:
        given = self._headers.get(results.REQUEST_ID_HEADER, '')
        if _REQUEST_ID.fullmatch(given):
            return given
        return uuid.uuid4().hex

    def _on_reply(self, reply: asyncio.Future) -> None:
        try:
            if reply.cancelled():
                return
            # Every kind of exception is reported to the caller with an outcome.
            if reply.exception() is None:
                self._write_answer(reply.result())
            else:
                self._write_failure(reply.exception())
        except iostream.StreamClosedError:
            return
        finally:
            self._frontend.request_ended()

    def _log_cut(self) -> None:
        now_s = asyncio.get_running_loop().time()
        logs.event(
            'request.cut',
            request=self._request_id,
            closed_by='vm' if self._frontend.is_closing else 'caller',
            stage='writing' if self._reply.done() else 'waiting',
            draining=self._frontend.draining,
            age_ms=round((now_s - self._began_at_s) * 1000),
            idle_before_ms=round(
                (self._began_at_s - self._created_at_s) * 1000
            ),
        )

    def _dispatch(self) -> messages.Dispatch:
        method = self._start_line.method
        if method not in _METHODS:
            raise errors.RequestError(
                f'method {method[:16]!r} is not supported'
            )
        return messages.Dispatch(
            self._request_id,
            method,
            self._start_line.path,
            self._headers,
            backend_headers.forwarded(self._headers.get_all()),
            b''.join(self._chunks),
            self._headers.get(self._frontend.deadline_header),
        )

    def _write_answer(self, answer: data.Answer) -> None:
        response_headers = httputil.HTTPHeaders()
        for name, value in answer.headers:
            # Setting is much cheaper than adding; few names occur twice.
            if name in response_headers:
                response_headers.add(name, value)
            else:
                response_headers[name] = value
        response_headers[results.REQUEST_ID_HEADER] = self._request_id
        response_headers[results.OUTCOME_HEADER] = (
            results.Outcome.ANSWERED.value
        )
        self._write(answer.status, response_headers, answer.body)

    def _write_failure(self, error, close: bool = False) -> None:
        failure = errors.failure_of(error)
        response_headers = httputil.HTTPHeaders(
            {
                'Content-Type': 'application/json',
                results.REQUEST_ID_HEADER: self._request_id,
                results.OUTCOME_HEADER: results.outcome_of(failure).value,
            }
        )
        status = results.status_of(failure)
        if status == results.DEFAULT_STATUS:
            response_headers['Retry-After'] = f'{_retry_after_s(error):g}'
        if close:
            response_headers['Connection'] = 'close'
        body = json.dumps(
            {
                'outcome': results.outcome_of(failure).value,
                'category': failure.category.value,
                'message': failure.message,
                'request_id': self._request_id,
            }
        )
        self._write(status, response_headers, body.encode() + b'\n')

    def _write(self, status, response_headers, body: bytes) -> None:
        is_head = (
            self._start_line is not None and self._start_line.method == 'HEAD'
        )
        if status in _NO_BODY_STATUS or is_head:
            body = b''
        if self._frontend.draining:
            response_headers['Connection'] = 'close'
        if status not in _NO_BODY_STATUS and not is_head:
            response_headers['Content-Length'] = str(len(body))
        reason = httputil.responses.get(status, 'Unknown')
        start = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        # A failed write means that the caller has disconnected. Its exception
        # is retrieved so that asyncio does not log it.
        written = self._connection.write_headers(start, response_headers, body)
        written.add_done_callback(lambda future: future.exception())
        self._connection.finish()


def _head_size(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int:
    """Returns the size of the request line and the headers, in bytes."""
    size = sum(len(part) + 1 for part in start_line)
    return size + sum(len(n) + len(v) + 4 for n, v in headers.get_all())


def _retry_after_s(error: BaseException) -> float:
    """Returns the value of the Retry-After header, in seconds."""
    if isinstance(error, errors.NotRunError):
        return error.retry_after_s
    return errors.NotRunError.retry_after_s
