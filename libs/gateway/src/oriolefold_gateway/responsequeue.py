"""Responses of one connection, in the order of their requests (RFC 9112, 9.3).

Requests with safe methods that a caller has pipelined are in progress at the
same time. Each other request is passed on once those before it have their
responses. A response that ends the connection is the last one for a request
that was passed on: what was sent behind it has not been read for the caller.
"""

import asyncio
import collections
from collections.abc import Callable, Iterator

from oriolefold_gateway import callerstream, exchange

MAX_REQUESTS = 16  # In progress on one connection; then no more are read.


class ResponseQueue:
    """Decides which requests are passed on, and writes their responses."""

    def __init__(
        self,
        frontend,
        stream: callerstream.CallerStream,
        on_empty: Callable[[], None],
    ):
        """Initializes the queue.

        Args:
            frontend: The front end, which knows whether the VM is stopping.
            stream: The stream of the connection.
            on_empty: Called when the last response has been written.
        """
        self._frontend = frontend
        self._stream = stream
        self._on_empty = on_empty
        self._exchanges: collections.deque[exchange.Exchange] = (
            collections.deque()
        )
        self._is_writing = False
        self._room_waiter: asyncio.Future | None = None

    def __iter__(self) -> Iterator[exchange.Exchange]:
        return iter(tuple(self._exchanges))

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def owes_responses(self) -> bool:
        """Whether a request that was read has not got its whole response."""
        return any(e.is_owed for e in self._exchanges)

    def add(self, added: exchange.Exchange) -> None:
        """Adds a request that begins to arrive."""
        self._exchanges.append(added)

    def may_pass_on(self, read: exchange.Exchange) -> bool:
        """Returns whether a request may be passed on before it is the first.

        While the VM drains, a response before it may end the connection.
        """
        if self._exchanges[0] is read:
            return True
        return not self._frontend.draining and all(
            e.has_safe_method for e in self._exchanges
        )

    def advance(self) -> None:
        """Writes the responses that are ready and whose turn it is."""
        while self._exchanges and not self._is_writing:
            first = self._exchanges[0]
            if self._stream.closed() or self._stream.output_ended:
                return
            if not first.has_response:
                first.reach_front()
                if not first.has_response:
                    break
            self._write_first(first)
        if self._stream.input_stopped and not self.owes_responses:
            self._stream.abort()
        self.wake_reader()

    async def wait_for_room(self) -> None:
        """Waits until another request may be read, or the output has ended."""
        while not self._has_room() and not self._stream.is_ending:
            self._room_waiter = asyncio.get_running_loop().create_future()
            await self._room_waiter

    def wake_reader(self) -> None:
        """Lets the reader check again whether there is room."""
        waiter, self._room_waiter = self._room_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def drop_all(self) -> None:
        """Ends all requests, since the connection has ended."""
        exchanges = tuple(self._exchanges)
        self._exchanges.clear()
        for ended in exchanges:
            ended.on_connection_close()
            ended.end()
        self.wake_reader()

    def _has_room(self) -> bool:
        if len(self._exchanges) >= MAX_REQUESTS:
            return False
        return not any(e.is_held or e.is_last for e in self._exchanges)

    def _write_first(self, first: exchange.Exchange) -> None:
        later = list(self._exchanges)[1:]
        is_closing = first.is_last or self._frontend.draining
        if is_closing and any(e.is_passed_on for e in later):
            is_closing = False
        self._is_writing = True
        written = first.write_response(is_closing)
        if is_closing:
            for unread in later:
                unread.drop()
            self._stream.close()
        if self._stream.writing():
            # Tornado does not report every write that is interrupted.
            written.add_done_callback(
                lambda done: self._on_flushed(first, done)
            )
            self._stream.watch_output(self._frontend.idle_timeout_s)
        else:
            self._remove_first(first)

    def _on_flushed(
        self, first: exchange.Exchange, written: asyncio.Future
    ) -> None:
        if not written.cancelled() and written.exception() is None:
            self._remove_first(first)
            self.advance()

    def _remove_first(self, first: exchange.Exchange) -> None:
        """Removes a request whose response the kernel has taken."""
        self._is_writing = False
        if not self._exchanges or self._exchanges[0] is not first:
            return
        self._exchanges.popleft()
        first.note_written()
        first.end()
        if not self._exchanges:
            self._on_empty()
