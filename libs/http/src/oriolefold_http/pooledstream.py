"""Stream of a pooled connection, which counts what it reads."""

import asyncio

from tornado import iostream

from oriolefold_core import bytebudget

MAX_CHUNKS_PER_TURN = 16  # Chunks read before other tasks get their turn.


class PooledStream(iostream.IOStream):
    """Stream that counts what it reads.

    It closes itself when bytes arrive while it is idle, or when the budget of
    buffered bytes needs the room.

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
    _lines_read = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received that no read has returned."""
        return self._read_buffer_size > 0

    def read_until(self, delimiter, max_bytes=None):
        """Reads the line before a chunk; other tasks run now and then.

        Tornado itself leaves other tasks their turn by the number of bytes, so
        that many responses in tiny chunks would hold them up.
        """
        line = super().read_until(delimiter, max_bytes)
        self._lines_read += 1
        if self._lines_read % MAX_CHUNKS_PER_TURN:
            return line
        return _after_other_tasks(line)

    def read_from_fd(self, buf):
        """Reads from the socket; bytes received while idle are unexpected."""
        count = super().read_from_fd(buf)
        if not count:
            return count
        self.received_bytes += count
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


async def _after_other_tasks(reading: asyncio.Future) -> bytes:
    await asyncio.sleep(0)
    return await reading
