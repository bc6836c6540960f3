"""What Tornado's request parser may do with the connection of a caller."""

import asyncio
from collections.abc import Awaitable

from oriolefold_gateway import callerstream, exchange

_INTERIM_PREFIX = b'HTTP/1.1 100'


class RequestReader:
    """Reads from the stream; what the parser writes waits for its turn.

    The parser answers malformed requests by itself, and ends the connection
    after that. With pipelined requests, both have to wait until the earlier
    requests have their responses.
    """

    def __init__(self, stream: callerstream.CallerStream):
        """Initializes the reader of one request.

        Args:
            stream: The stream of the connection.
        """
        self._stream = stream
        self.exchange: exchange.Exchange | None = None

    @property
    def max_buffer_size(self) -> int:
        """Largest number of bytes that the stream buffers."""
        return self._stream.max_buffer_size

    def read_until_regex(
        self, regex: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Reads the head of a request."""
        return self._stream.read_until_regex(regex, max_bytes)

    def read_until(
        self, delimiter: bytes, max_bytes: int | None = None
    ) -> Awaitable[bytes]:
        """Reads the size of a chunk."""
        return self._stream.read_until(delimiter, max_bytes)

    def read_bytes(
        self, num_bytes: int, partial: bool = False
    ) -> Awaitable[bytes]:
        """Reads a part of a body."""
        return self._stream.read_bytes(num_bytes, partial)

    def write(self, data: bytes) -> asyncio.Future:
        """Queues an interim response, or one to a malformed request."""
        if data.startswith(_INTERIM_PREFIX):
            self.exchange.queue_interim(data)
        else:
            self.exchange.reject_malformed(data)
        written = asyncio.get_running_loop().create_future()
        written.set_result(None)
        return written

    def close(self) -> None:
        """Ends the connection once the request has its turn."""
        self.exchange.end_connection()

    def closed(self) -> bool:
        """Returns whether the connection has ended."""
        return self._stream.closed()

    def set_close_callback(self, callback) -> None:
        """Ignores the parser's callback; the connection has its own."""
