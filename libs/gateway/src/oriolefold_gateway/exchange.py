"""One request of a caller and its answer, on a connection."""

import asyncio
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


class Stage(enum.Enum):
    """How far a request has come."""

    IDLE = 'idle'
    READING = 'reading'
    WAITING = 'waiting'
    WRITING = 'writing'
    WRITTEN = 'written'


class Exchange(httputil.HTTPMessageDelegate):
    """Reads one request of a caller and writes its answer."""

    def __init__(
        self,
        frontend,
        dispatcher: tasks.Task,
        http: http1connection.HTTP1Connection,
        stream: callerstream.CallerStream,
    ):
        """Initializes the exchange before its request begins to arrive.

        Args:
            frontend: The front end, which has the limits and the counts.
            dispatcher: Task that handles the request.
            http: Reads the request and writes the answer.
            stream: The stream that `http` uses.
        """
        self._frontend = frontend
        self._dispatcher = dispatcher
        self._max_body_bytes = 0
        self._http = http
        self._stream = stream
        self._stage = Stage.IDLE
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

    def begin(self) -> None:
        """Notes that the request begins to arrive."""
        self._stage = Stage.READING
        self._began_at_s = asyncio.get_running_loop().time()
        self._frontend.request_started()

    def headers_received(self, start_line, headers):
        """Checks the sizes of headers and body, and reserves room for it."""
        self._start_line = start_line
        self._headers = headers
        self._request_id = self._choose_request_id()
        if self._is_ignored:
            return
        if not self.has_begun:
            self.begin()
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
        """Passes the complete request to the dispatcher."""
        self._is_read = True
        if self._is_ignored:
            return
        if self._frontend.refusing:
            self._write_failure(errors.StoppingError('this VM is stopping'))
            return
        try:
            dispatch = self._make_dispatch()
        except errors.RequestError as error:
            self._write_failure(error)
            return
        except Exception as error:
            self._log_failure('request.unreadable', error)
            text = f'the request cannot be handled: {error!r}'
            self._write_failure(errors.NotRunError(text))
            return
        self._stage = Stage.WAITING
        self._reply = dispatch.reply
        self._reply.add_done_callback(self._on_reply)
        # Until the answer is written, Tornado reports a lost connection here.
        self._http.set_close_callback(self.on_connection_close)
        self._dispatcher.post(dispatch)

    def on_connection_close(self):
        """Cancels a request whose connection ended before its answer."""
        if self._reply is not None:
            self._reply.cancel()

    def ignore(self) -> None:
        """Ignores a request that arrives from now on."""
        self._is_ignored = True

    def stop(self) -> None:
        """Answers a request in progress without waiting for its result."""
        if self._stage is Stage.READING:
            self.cut_reading(errors.StoppingError('this VM is stopping'))
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
        if self._stage is Stage.READING and self._stream.output_ended:
            # Tornado has answered with status 400.
            logs.event('request.unreadable', request=self._request_id)
        elif self._stage is not Stage.WRITTEN:
            is_closing = self._frontend.is_closing
            is_endless = isinstance(
                self._stream.error, iostream.UnsatisfiableReadError
            )
            by_vm = is_closing or is_endless or self._stream.stalled
            self._log_cut('vm' if by_vm else 'caller')
        self._room.release()
        self._frontend.request_ended()

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
                if self._stage is Stage.WAITING:
                    self._write_failure(error)
                else:
                    self._stream.abort()

    def _log_failure(self, event: str, error: Exception) -> None:
        logs.event(event, request=self._request_id, error=repr(error))

    def _log_cut(self, closed_by: str) -> None:
        """Logs a cut request once; a caller may leave while it waits."""
        if self._is_logged:
            return
        self._is_logged = True
        if closed_by == 'caller' and self._stage is Stage.WAITING:
            return
        now_s = asyncio.get_running_loop().time()
        self._frontend.request_cut(
            self._request_id,
            self._stage.value,
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
        if status == 204:
            response_headers.pop('Content-Length', None)
        if self._frontend.draining:
            response_headers['Connection'] = 'close'
        if self.has_head and results.CALL_ID_HEADER in self._headers:
            response_headers[results.CALL_ID_HEADER] = self._headers[
                results.CALL_ID_HEADER
            ]
        if status not in _NO_BODY_STATUS and not is_head:
            response_headers['Content-Length'] = str(len(body))
        reason = httputil.responses.get(status, 'Unknown')
        start = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        if self.has_head:
            self._http.write_headers(start, response_headers, body)
            self._note_writing()
            self._http.finish()
        elif not self._stream.closed():
            # Tornado writes no answers before it has read the headers.
            lines = [f'HTTP/1.1 {status} {reason}']
            lines += [f'{n}: {v}' for n, v in response_headers.get_all()]
            head = '\r\n'.join(lines) + '\r\n\r\n'
            self._stream.write(head.encode('latin-1') + body)
            self._note_writing()
        if response_headers.get('Connection') == 'close':
            self._stream.close()

    def _note_writing(self) -> None:
        self._stage = Stage.WRITING
        if self._stream.writing():
            # Tornado does not report every write that is interrupted.
            self._stream.write(b'').add_done_callback(self._on_written)
            self._stream.watch_output(self._frontend.idle_timeout_s)
        elif not self._stream.closed():
            self._stage = Stage.WRITTEN

    def _on_written(self, written: asyncio.Future) -> None:
        if written.exception() is None:
            self._stage = Stage.WRITTEN


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
