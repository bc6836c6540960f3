"""One request of a caller and its answer, on a connection."""

import asyncio
import dataclasses
import enum
import json
import re
import sys
import uuid

from tornado import http1connection, httputil, iostream

from oriolefold_backend import headers as backend_headers
from oriolefold_core import data, errors, results, tasks
from oriolefold_gateway import callerstream, messages
from oriolefold_telemetry import logs

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
CROSSED = 'crossed'  # Stage of a request that is behind the connection's end.


_SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
_LINE_BREAK = re.compile(r'[\r\n]')


class Stage(enum.Enum):
    """How far a request has come."""

    IDLE = 'idle'
    READING = 'reading'
    HELD = 'held'  # Read; waits for the responses of earlier requests.
    WAITING = 'waiting'
    WRITING = 'writing'
    WRITTEN = 'written'


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response that is ready to be written.

    Attributes:
        head: Status line and headers, without the empty line after them.
        body: The body.
        is_raw: Whether `head` is all that is written.
    """

    head: bytes
    body: bytes
    is_raw: bool = False


class Exchange(httputil.HTTPMessageDelegate):
    """Reads one request of a caller and has its response."""

    def __init__(
        self,
        frontend,
        dispatcher: tasks.Task,
        http: http1connection.HTTP1Connection,
        stream: callerstream.CallerStream,
        queue,
    ):
        """Initializes the exchange before its request begins to arrive.

        Args:
            frontend: The front end, which has the limits and the counts.
            dispatcher: Task that handles the request.
            http: Reads the request.
            stream: The stream to which the response is written.
            queue: The `ResponseQueue` of the connection.
        """
        self._frontend = frontend
        self._dispatcher = dispatcher
        self._max_body_bytes = 0
        self._http = http
        self._stream = stream
        self._queue = queue
        self._stage = Stage.IDLE
        self._response: Response | None = None
        self._interim = b''
        self._is_last = False
        self._dispatch: messages.Dispatch | None = None
        self._read_at_s = 0.0
        self._is_read = False
        self._is_ignored = False
        self._is_logged = False
        self._start_line: httputil.RequestStartLine | None = None
        self._headers: httputil.HTTPHeaders | None = None
        self._chunks: list[bytes] = []
        self._room = frontend.bodies.open()
        self._body_size = 0
        self._request_id = ''
        self._reply: asyncio.Future | None = None
        self._created_at_s = asyncio.get_running_loop().time()
        self._began_at_s = self._created_at_s

    @property
    def has_begun(self) -> bool:
        """Whether the request has begun to arrive."""
        return self._stage is not Stage.IDLE

    @property
    def has_head(self) -> bool:
        """Whether the head of the request has arrived."""
        return self._headers is not None

    @property
    def is_read(self) -> bool:
        """Whether the whole request has arrived."""
        return self._is_read

    @property
    def request_id(self) -> str:
        """Id of the request; empty before its head has arrived."""
        return self._request_id

    @property
    def has_safe_method(self) -> bool:
        """Whether the method allows requests to be in progress beside it."""
        return (
            self._start_line is not None
            and self._start_line.method in _SAFE_METHODS
        )

    @property
    def has_response(self) -> bool:
        """Whether the response is ready."""
        return self._response is not None

    @property
    def is_held(self) -> bool:
        """Whether the request is read and waits for earlier responses."""
        return self._stage is Stage.HELD

    @property
    def is_passed_on(self) -> bool:
        """Whether the request was passed on, so that it must be answered."""
        return self._reply is not None

    @property
    def is_owed(self) -> bool:
        """Whether the caller waits for a response to a whole request."""
        return self._is_read or self.has_response

    @property
    def is_last(self) -> bool:
        """Whether the connection ends after the response."""
        return self._is_last

    def note_idle(self, since_s: float) -> None:
        """Notes that the connection has become idle before this request."""
        self._created_at_s = since_s

    def begin(self) -> None:
        """Notes that the request begins to arrive."""
        self._stage = Stage.READING
        self._began_at_s = asyncio.get_running_loop().time()
        self._frontend.request_started()
        self._queue.add(self)

    def headers_received(self, start_line, headers):
        """Checks the sizes of headers and body, and reserves room for it."""
        self._start_line = start_line
        self._headers = headers
        self._request_id = self._choose_request_id()
        if self._is_ignored:
            return
        if not self.has_begun:
            self.begin()
        self._is_last = not _can_keep_alive(start_line, headers)
        # The limits may have been changed since the connection became idle.
        self._max_body_bytes = self._frontend.max_body_bytes
        self._http.set_max_body_size(
            self._frontend.http_parameters.max_body_size
        )
        max_header_bytes = self._frontend.max_header_bytes
        if _head_size(start_line, headers) > max_header_bytes:
            text = f'the headers have more than {max_header_bytes} bytes'
            self._refuse_unread(errors.HeadersTooLargeError(text))
            return
        announced_bytes = _announced_bytes(headers)
        if announced_bytes > self._max_body_bytes:
            self._refuse_body()
        elif announced_bytes > 0:
            self._reserve_room(announced_bytes)

    def data_received(self, chunk):
        """Collects a part of the body, up to the limit."""
        if self._is_ignored:
            return
        self._body_size += len(chunk)
        if self._body_size > self._max_body_bytes:
            self._refuse_body()
        elif self._reserve_room(self._body_size - self._room.size):
            self._chunks.append(chunk)

    def finish(self):
        """Passes the complete request to the dispatcher, or holds it."""
        self._is_read = True
        # The next request is read while this one is in progress.
        self._http.detach()
        if self._is_ignored:
            return
        if self._frontend.refusing:
            self._write_failure(errors.StoppingError('this VM is stopping'))
            return
        try:
            self._dispatch = self._make_dispatch()
        except errors.RequestError as error:
            self._write_failure(error)
            return
        except Exception as error:
            self._log_failure('request.unreadable', error)
            text = f'the request cannot be handled: {error!r}'
            self._write_failure(errors.NotRunError(text))
            return
        self._read_at_s = asyncio.get_running_loop().time()
        self._stage = Stage.HELD
        if self._queue.may_pass_on(self):
            self._pass_on()

    def reach_front(self) -> None:
        """Goes on with a request that no earlier one holds up any longer."""
        if self._stage is Stage.HELD:
            self._pass_on()
        elif self._interim and not self._is_ignored:
            interim, self._interim = self._interim, b''
            self._stream.write(interim)

    def queue_interim(self, interim: bytes) -> None:
        """Writes an interim response once the request is the first."""
        self._interim = interim
        self._queue.advance()

    def reject_malformed(self, response: bytes) -> None:
        """Answers a request that cannot be parsed, unless it was refused."""
        if self.has_response:
            return
        logs.event('request.unreadable', request=self._request_id)
        self._is_logged = True
        self._complete(Response(response, b'', is_raw=True), close=True)

    def end_connection(self) -> None:
        """Ends the connection after the earlier responses."""
        if not self.has_response:
            self._complete(Response(b'', b'', is_raw=True), close=True)

    def write_response(self, is_closing: bool) -> asyncio.Future:
        """Begins to write the response and returns the end of that.

        Args:
            is_closing: Whether the connection ends after it.
        """
        response, self._response = self._response, Response(b'', b'')
        self._stage = Stage.WRITING
        if response.is_raw:
            return self._stream.write(response.head)
        connection = self._connection_header(is_closing)
        return self._stream.write(
            b''.join((response.head, connection, b'\r\n', response.body))
        )

    def note_written(self) -> None:
        """Notes that the kernel has taken the whole response."""
        if not self._stream.closed():
            self._stage = Stage.WRITTEN

    def drop(self) -> None:
        """Gives up a request behind the end of the connection, as unread."""
        self._is_ignored = True
        if self._stage in (Stage.READING, Stage.HELD):
            self._chunks = []
            self._dispatch = None
            self._room.release()
            self._log_cut('vm', stage=CROSSED)

    def on_connection_close(self):
        """Cancels a request whose connection ended before its answer."""
        if self._reply is not None:
            self._reply.cancel()

    def ignore(self) -> None:
        """Ignores a request that arrives from now on."""
        self._is_ignored = True

    def stop(self) -> None:
        """Answers a request in progress without waiting for its result."""
        if self.has_response:
            return
        if self._stage is Stage.READING:
            self.cut_reading(errors.StoppingError('this VM is stopping'))
        elif self._stage is Stage.HELD:
            self._dispatch = None
            self._write_failure(errors.StoppingError('this VM is stopping'))
        elif self._stage is Stage.WAITING and not self._reply.done():
            self._log_cut('vm')
            self._write_failure(
                errors.OutcomeUnknownError('this VM stopped before the answer')
            )
            self._reply.cancel()

    def cut_reading(self, error: errors.OriolefoldError) -> None:
        """Refuses a request that has not arrived completely."""
        self._log_cut('vm')
        self._refuse_unread(error)

    def end(self) -> None:
        """Notes that the answer is written or the connection has ended."""
        if not self.has_begun:
            return
        if self._stage is not Stage.WRITTEN:
            is_closing = self._frontend.is_closing
            is_endless = isinstance(
                self._stream.error, iostream.UnsatisfiableReadError
            )
            by_vm = is_closing or is_endless or self._stream.stalled
            self._log_cut('vm' if by_vm else 'caller')
        self._room.release()
        self._frontend.request_ended()

    def _pass_on(self) -> None:
        dispatch, self._dispatch = self._dispatch, None
        held_s = asyncio.get_running_loop().time() - self._read_at_s
        dispatch.held_s = held_s
        self._stage = Stage.WAITING
        self._reply = dispatch.reply
        self._reply.add_done_callback(self._on_reply)
        self._dispatcher.post(dispatch)

    def _reserve_room(self, count: int) -> bool:
        """Reserves room for the body; without room, refuses the request."""
        if count <= 0 or self._room.reserve(count):
            return True
        bodies = self._frontend.bodies
        logs.event(
            'body.refused',
            request=self._request_id,
            body_bytes=self._room.size + count,
            held_bytes=bodies.held_bytes,
            max_body_bytes=bodies.max_body_bytes,
        )
        text = 'this VM has no room for the body now'
        self._refuse_unread(errors.OverloadedError(text))
        return False

    def _refuse_body(self) -> None:
        text = f'the body is larger than {self._max_body_bytes} bytes'
        self._refuse_unread(errors.BodyTooLargeError(text))

    def _refuse_unread(self, error: errors.OriolefoldError) -> None:
        """Refuses a request before all of it has been read."""
        self._is_ignored = True
        self._chunks = []
        self._room.release()
        # The rest of the body is discarded, however long it is.
        self._http.set_max_body_size(sys.maxsize)
        # The rest of the request has not been read, so the connection cannot
        # be reused.
        self._write_failure(error, close=True)

    def _choose_request_id(self) -> str:
        given = self._headers.get(results.REQUEST_ID_HEADER, '')
        if _REQUEST_ID.fullmatch(given):
            return given
        return uuid.uuid4().hex

    def _on_reply(self, reply: asyncio.Future) -> None:
        self._room.release()
        if reply.cancelled():
            error = errors.OutcomeUnknownError('the request was cancelled')
        else:
            error = reply.exception()
        if self._stage is not Stage.WAITING or self._stream.closed():
            return
        # Every kind of exception is reported to the caller with an outcome.
        if error is not None:
            self._write_failure(error)
        else:
            try:
                self._write_answer(reply.result())
            except Exception as error:
                self._log_failure('answer.unwritable', error)
                self._write_failure(error)

    def _log_failure(self, event: str, error: Exception) -> None:
        logs.event(event, request=self._request_id, error=repr(error))

    def _log_cut(self, closed_by: str, stage: str | None = None) -> None:
        """Logs a cut request once; a caller may leave while it waits."""
        if self._is_logged:
            return
        self._is_logged = True
        if closed_by == 'caller' and self._stage is Stage.WAITING:
            return
        now_s = asyncio.get_running_loop().time()
        self._frontend.request_cut(
            self._request_id,
            stage or self._stage.value,
            closed_by=closed_by,
            age_ms=round((now_s - self._began_at_s) * 1000),
            idle_before_ms=round(
                (self._began_at_s - self._created_at_s) * 1000
            ),
        )

    def _make_dispatch(self) -> messages.Dispatch:
        method = self._start_line.method
        if method not in _METHODS:
            raise errors.RequestError(
                f'method {method[:16]!r} is not supported'
            )
        body = b''.join(self._chunks)
        self._chunks = []
        return messages.Dispatch(
            self._request_id,
            method,
            self._start_line.path,
            self._headers,
            backend_headers.forwarded(self._headers.get_all()),
            body,
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
                results.OUTCOME_HEADER: results.outcome_of(failure).value,
            }
        )
        # Before the head has been read, any ID would be of another request.
        if self._request_id:
            response_headers[results.REQUEST_ID_HEADER] = self._request_id
        status = results.status_of(failure)
        if status == results.DEFAULT_STATUS:
            response_headers['Retry-After'] = f'{_retry_after_s(error):g}'
        body = json.dumps(
            {
                'outcome': results.outcome_of(failure).value,
                'category': failure.category.value,
                'message': failure.message,
                'request_id': self._request_id,
            }
        )
        self._write(status, response_headers, body.encode() + b'\n', close)

    def _write(
        self, status, response_headers, body: bytes, close: bool = False
    ) -> None:
        is_head = (
            self._start_line is not None and self._start_line.method == 'HEAD'
        )
        if status in _NO_BODY_STATUS or is_head:
            body = b''
        if status == 204:
            response_headers.pop('Content-Length', None)
        if self.has_head and results.CALL_ID_HEADER in self._headers:
            response_headers[results.CALL_ID_HEADER] = self._headers[
                results.CALL_ID_HEADER
            ]
        if status not in _NO_BODY_STATUS and not is_head:
            response_headers['Content-Length'] = str(len(body))
        head = _encode_head(status, response_headers)
        self._complete(Response(head, body), close)

    def _complete(self, response: Response, close: bool) -> None:
        self._response = response
        self._is_last = self._is_last or close
        self._queue.advance()

    def _connection_header(self, is_closing: bool) -> bytes:
        if is_closing:
            return b'Connection: close\r\n'
        if self.has_head and self._start_line.version == 'HTTP/1.0':
            return b'Connection: Keep-Alive\r\n'
        return b''


def _encode_head(status: int, headers: httputil.HTTPHeaders) -> bytes:
    """Returns the status line and the headers of a response.

    Raises:
        TypeError: If a header is no text.
        ValueError: If a header has a line break or cannot be encoded.
    """
    lines = [f'HTTP/1.1 {status} {httputil.responses.get(status, "Unknown")}']
    lines += [name + ': ' + value for name, value in headers.get_all()]
    for line in lines:
        if _LINE_BREAK.search(line):
            raise ValueError(f'line break in header {line[:64]!r}')
    return '\r\n'.join([*lines, '']).encode('latin-1')


def _can_keep_alive(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> bool:
    """Returns whether the caller keeps the connection after the response."""
    options = {
        option.strip().lower()
        for option in headers.get('Connection', '').split(',')
    }
    if start_line.version == 'HTTP/1.1':
        return 'close' not in options
    return 'keep-alive' in options


def _head_size(
    start_line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int:
    """Returns the size of the request line and the headers, in bytes."""
    size = sum(len(part) + 1 for part in start_line)
    return size + sum(len(n) + len(v) + 4 for n, v in headers.get_all())


def _announced_bytes(headers: httputil.HTTPHeaders) -> int:
    """Returns the announced size of a body; Tornado refuses invalid ones."""
    try:
        return int(headers.get('Content-Length', '0'))
    except ValueError:
        return 0


def _retry_after_s(error: BaseException) -> float:
    """Returns the value of the Retry-After header, in seconds."""
    if isinstance(error, errors.NotRunError):
        return error.retry_after_s
    return errors.NotRunError.retry_after_s
