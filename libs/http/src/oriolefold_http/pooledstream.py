"""Stream of a pooled connection, which counts what it reads."""

import socket
from collections.abc import Awaitable, Callable

from tornado import iostream

from oriolefold_core import bytebudget
from oriolefold_http import readturns

MAX_CHUNKS_PER_TURN = 16  # Chunks read before other tasks get their turn.
# The same for the bytes of a response of unknown length.
MAX_BYTES_PER_TURN = 256 * 1024


class PooledStream(iostream.IOStream):
    """Stream that counts what it reads.

    It closes itself when bytes arrive while it is idle, or when the budget of
    buffered bytes needs the room. Responses of many chunks, and large ones of
    unknown length, are read by turns.

    Attributes:
        idle: Whether no exchange uses the stream.
        received_bytes: Number of bytes that arrived in the present exchange.
        aborted: Whether the stream was closed in favor of other responses.
        hold: Counts the bytes of the present exchange.
    """

    idle = False
    received_bytes = 0
    aborted = False
    hold: bytebudget.Hold | None = None

    def __init__(self, connected: socket.socket, turns: readturns.ReadTurns):
        """Initializes the stream.

        Args:
            connected: Socket that the stream uses.
            turns: Turns, shared by the streams of a pool.
        """
        super().__init__(connected)
        self._turns = turns
        self._chunks_in_turn = 0
        self._bytes_in_turn = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received that no read has returned."""
        return self._read_buffer_size > 0

    def read_until(self, delimiter, max_bytes=None):
        """Reads the line before a chunk.

        Tornado itself leaves other tasks their turn by the number of bytes, so
        that many responses in tiny chunks would hold them up.
        """
        if self._chunks_in_turn < MAX_CHUNKS_PER_TURN:
            self._chunks_in_turn += 1
            return super().read_until(delimiter, max_bytes)
        return self._read_in_next_turn(self.read_until, delimiter, max_bytes)

    def read_bytes(self, num_bytes, partial=False):
        """Reads a part of a body."""
        if (
            self._bytes_in_turn < MAX_BYTES_PER_TURN
            or self.hold is None
            or not self.hold.is_of_unknown_length
        ):
            return super().read_bytes(num_bytes, partial)
        return self._read_in_next_turn(self.read_bytes, num_bytes, partial)

    async def _read_in_next_turn(
        self, read: Callable[..., Awaitable], *args
    ) -> bytes:
        await self._turns.wait()
        self._chunks_in_turn = 0
        self._bytes_in_turn = 0
        return await read(*args)

    def read_from_fd(self, buf):
        """Reads from the socket; bytes received while idle are unexpected."""
        count = super().read_from_fd(buf)
        if not count:
            return count
        self.received_bytes += count
        self._bytes_in_turn += count
        if self.idle:
            self.close()
        elif self.hold is not None:
            self.hold.grow(count)
        return None if self.closed() else count

    def close(self, exc_info=False):
        """Closes the stream and keeps the error that caused it."""
        super().close(exc_info)
        if self.error is not None:
            # Its frames refer to the request that was being written.
            self.error.__traceback__ = None

    def abort(self) -> None:
        """Closes the stream in favor of other responses."""
        self.aborted = True
        text = 'the budget of buffered response bytes is exhausted'
        self.close(exc_info=iostream.StreamBufferFullError(text))
