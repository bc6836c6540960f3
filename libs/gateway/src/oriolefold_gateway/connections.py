"""Connection of a caller: owns its socket and applies its time limits."""

import asyncio
import logging
import socket
from collections.abc import Callable

from tornado import http1connection, iostream

from oriolefold_core import errors, tasks
from oriolefold_gateway import (
    callerstream,
    exchange,
    requestreader,
    responsequeue,
)

LINGER_S = 1.0  # Time to read on after the output of a connection has ended.
DISCARD_BYTES = 65536
_LOGGER = logging.getLogger(__name__)


class Connection:
    """Reads the requests of one connection while earlier ones are served."""

    def __init__(
        self, accepted: socket.socket, frontend, dispatcher: tasks.Task
    ):
        """Initializes the connection; `start` begins to serve it.

        Args:
            accepted: The accepted socket.
            frontend: The front end, which has the limits and the counts.
            dispatcher: Task that handles the requests.
        """
        self._frontend = frontend
        self._dispatcher = dispatcher
        self._loop = asyncio.get_running_loop()
        self._stream = callerstream.CallerStream(
            accepted,
            self._on_input,
            self._on_output_ended,
            self._is_between_requests,
            self._owes_responses,
        )
        self._responses = responsequeue.ResponseQueue(
            frontend, self._stream, self._on_responses_written
        )
        self._accepted_at_s = self._loop.time()
        self._idle_since_s = self._accepted_at_s
        self._last_input_s = self._accepted_at_s
        self._has_received = False
        self._ended_at_s = self._accepted_at_s
        self._late_input_at_s: float | None = None
        self._late_exchange: exchange.Exchange | None = None
        self._exchange: exchange.Exchange | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._serving: asyncio.Task | None = None

    def is_busy(self, stall_s: float) -> bool:
        """Returns whether a request is in progress or its end is under way.

        Args:
            stall_s: Time without input after which a request that has not
                arrived completely no longer counts, in seconds.
        """
        current = self._exchange
        if self._stream.output_ended or self._owes_responses():
            return True
        if current is None or not current.has_begun:
            return False
        pause_s = self._loop.time() - self._last_input_s
        return pause_s < stall_s

    def is_delivering(self, stall_s: float) -> bool:
        """Returns whether the caller is still taking an earlier answer.

        If the connection were closed now, a byte that the caller sends later
        would destroy the rest of the answer.

        Args:
            stall_s: Time in which it has to take a byte, in seconds.
        """
        return self._stream.is_delivering(stall_s)

    def awaits_first_request(self, limit_s: float) -> bool:
        """Returns whether a first request may still be on its way.

        Args:
            limit_s: Longest time to wait for it, in seconds.
        """
        age_s = self._loop.time() - self._accepted_at_s
        return not self._has_received and age_s < limit_s

    def start(self) -> None:
        """Begins to serve the connection."""
        self._stream.set_nodelay(True)
        self._stream.set_close_callback(self._responses.drop_all)
        self._serving = asyncio.create_task(self._serve())

    def end(self) -> None:
        """Ends the connection once a request in progress has an answer.

        What has arrived in the kernel is read first.
        """
        if self._stream.output_ended:
            return
        if self._responses:
            for current in self._responses:
                current.stop()
        elif not self._stream.has_unread_input():
            self._end_idle()

    async def abort(self) -> None:
        """Closes the connection at once."""
        self._stream.abort()
        await self._serving

    async def _serve(self) -> None:
        try:
            while not self._stream.is_ending:
                await self._read_request()
                # Pipelined requests leave other connections their turn.
                await asyncio.sleep(0)
                await self._responses.wait_for_room()
            await self._discard_input()
        except iostream.StreamClosedError:
            pass
        except Exception:
            _LOGGER.exception('connection of a caller failed')
        finally:
            if self._timer is not None:
                self._timer.cancel()
            self._stream.abort()
            self._responses.drop_all()
            self._log_late_input()
            self._frontend.connection_ended(self)

    async def _read_request(self) -> None:
        reader = requestreader.RequestReader(self._stream)
        http = http1connection.HTTP1Connection(
            reader, False, self._frontend.http_parameters
        )
        current = exchange.Exchange(
            self._frontend,
            self._dispatcher,
            http,
            self._stream,
            self._responses,
        )
        reader.exchange = current
        self._exchange = current
        if self._timer is not None:
            self._timer.cancel()
        if self._stream.skip_empty_lines():
            self._begin(current)
        elif not self._responses:
            self._begin_idle_time()
        try:
            # Returns when the request has been read or the connection ended.
            await http.read_response(current)
        except iostream.StreamClosedError:
            pass
        finally:
            self._exchange = None

    def _owes_responses(self) -> bool:
        return self._responses.owes_responses

    def _on_responses_written(self) -> None:
        if self._stream.is_ending:
            return
        current = self._exchange
        if current is not None and not current.has_begun:
            self._begin_idle_time()

    def _begin_idle_time(self) -> None:
        self._idle_since_s = self._loop.time()
        self._exchange.note_idle(self._idle_since_s)
        self._set_timer(self._frontend.idle_timeout_s, self._on_idle_timeout)

    async def _discard_input(self) -> None:
        while True:
            await self._stream.read_bytes(DISCARD_BYTES, partial=True)
            await asyncio.sleep(0)

    def _end_idle(self) -> None:
        if self._exchange is not None:
            self._exchange.ignore()
        self._stream.close()

    def _on_input(self) -> None:
        self._has_received = True
        self._last_input_s = self._loop.time()
        current = self._exchange
        if self._stream.output_ended:
            is_late = current is None or not current.has_begun
            if is_late and self._late_input_at_s is None:
                self._late_input_at_s = self._last_input_s
                self._late_exchange = current
        elif current is not None and not current.has_begun:
            self._begin(current)

    def _log_late_input(self) -> None:
        """Logs a request that arrived after the end and was not passed on."""
        if self._late_input_at_s is None:
            return
        late = self._late_exchange
        idle_s = self._late_input_at_s - self._idle_since_s
        late_s = self._late_input_at_s - self._ended_at_s
        self._frontend.request_cut(
            late.request_id if late is not None else '',
            exchange.CROSSED,
            closed_by='vm',
            idle_before_ms=round(idle_s * 1000),
            after_close_ms=round(late_s * 1000),
        )

    def _is_between_requests(self) -> bool:
        current = self._exchange
        return current is None or current.is_read or not current.has_begun

    def _begin(self, current: exchange.Exchange) -> None:
        current.begin()
        self._set_timer(
            self._frontend.header_timeout_s, self._on_header_timeout
        )

    def _on_output_ended(self) -> None:
        self._ended_at_s = self._loop.time()
        self._responses.wake_reader()
        current = self._exchange
        if current is None or current.is_read:
            if self._stream.skip_empty_lines():
                # A pipelined request was read before the end.
                self._late_input_at_s = self._ended_at_s
        self._set_timer(LINGER_S, self._stream.abort)

    def _on_idle_timeout(self) -> None:
        if self._exchange is None or self._responses:
            return
        # The timeout may have been changed since the connection became idle.
        idle_s = self._loop.time() - self._idle_since_s
        remaining_s = self._frontend.idle_timeout_s - idle_s
        if remaining_s > 0:
            self._set_timer(remaining_s, self._on_idle_timeout)
        elif self._stream.has_unread_input():
            # Empty lines begin no request, which would set a timer of its own.
            self._set_timer(0, self._on_idle_timeout)
        else:
            self._end_idle()

    def _on_header_timeout(self) -> None:
        # After a pause of this process, the headers may have been read without
        # having been handled yet. The next request cancels the timer.
        self._set_timer(0, self._check_head)

    def _check_head(self) -> None:
        current = self._exchange
        if current is None or self._stream.output_ended:
            return
        if current.has_head:
            self._check_body()
            return
        if self._stream.has_unread_input():
            self._set_timer(0, self._on_header_timeout)
            return
        text = f'the headers took over {self._frontend.header_timeout_s:g} s'
        current.cut_reading(errors.RequestTimeoutError(text))

    def _on_body_timeout(self) -> None:
        self._set_timer(0, self._check_body)

    def _check_body(self) -> None:
        """Refuses a request whose body, which has room reserved, stalls."""
        current = self._exchange
        if current is None or current.is_read or self._stream.output_ended:
            return
        body_stall_s = self._frontend.body_stall_s
        remaining_s = self._last_input_s + body_stall_s - self._loop.time()
        if self._stream.has_unread_input():
            remaining_s = max(remaining_s, 0.0)
        elif remaining_s <= 0:
            text = f'no more of the body came for {body_stall_s:g} s'
            current.cut_reading(errors.RequestTimeoutError(text))
            return
        self._set_timer(remaining_s, self._on_body_timeout)

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, callback)
