"""HTTP server that stops in the middle of its answers."""

import asyncio
import contextlib
import dataclasses
import socket
import struct
from collections.abc import Iterator

from oriolefold_core import data

RESET_DELAY_S = 0.005  # So that what was written before is read first.
BODY = b'whole'
_HEAD = b'HTTP/1.1 200 OK\r\nAge: 1\r\n'
_SIZED = _HEAD + b'Content-Length: 5\r\n\r\n' + BODY
_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
_ANSWERS_BY_FRAMING = {
    'length': _SIZED,
    'length after an interim answer': _HINTS + _SIZED,
    'chunks': _HEAD
    + b'Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n',
    'no body': b'HTTP/1.1 204 No Content\r\nAge: 1\r\n\r\n',
    'close': _HEAD + b'\r\n' + BODY,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """An answer and where it ends.

    Attributes:
        framing: What says where the body of the answer ends.
        sent: The part of the answer that is sent.
        is_reset: Whether the connection is reset and not closed.
    """

    framing: str
    sent: bytes
    is_reset: bool


def whole_answers() -> Iterator[Cut]:
    """Yields answers that are not cut."""
    for framing, answer in _ANSWERS_BY_FRAMING.items():
        yield Cut(framing, answer, is_reset=False)


def cut_answers() -> Iterator[Cut]:
    """Yields answers that are not whole, one for each byte after which to end.

    A body that ends with its connection is whole wherever it ends, unless the
    connection is reset.
    """
    for framing, answer in _ANSWERS_BY_FRAMING.items():
        for size in range(len(answer)):
            yield Cut(framing, answer[:size], is_reset=True)
            if framing != 'close' or size < len(answer) - len(BODY):
                yield Cut(framing, answer[:size], is_reset=False)
    yield Cut('close', _ANSWERS_BY_FRAMING['close'], is_reset=True)


class CutAnswerServer:
    """Sends a part of an answer on each connection.

    Attributes:
        cut: The answer.
    """

    def __init__(self):
        self.cut = next(whole_answers())
        self._server: asyncio.Server | None = None

    async def start(self, address: data.Address) -> None:
        """Opens the listening socket."""
        self._server = await asyncio.start_server(
            self._serve, address.host, address.port
        )

    def close(self) -> None:
        """Closes the listening socket."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(EOFError, ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.cut.sent)
            if self.cut.is_reset:
                await asyncio.sleep(RESET_DELAY_S)
                # Closing a socket that does not linger resets its connection.
                writer.get_extra_info('socket').setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
        writer.close()
