"""Framed connection, used by both the calling and the listening side.

Pings at a fixed interval make the connection a failure detector: a peer that
sends no frame for too long is treated as lost.
"""

import asyncio
import contextlib
from typing import Any

from oriolefold_core import bytebudget, errors
from oriolefold_peer import codec, messages

PING_INTERVAL_S = 0.25
SILENCE_LIMIT_S = 1.0  # Time without data after which the peer counts as lost.
LINGER_S = 1.0  # Time in which a stop waits for a peer to take its replies.
DISCARD_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024
# Bytes of a long frame that have to arrive within the silence limit.
PART_BYTES = 64 * 1024
DEFAULT_BUDGET_BYTES = 2 * codec.MAX_FRAME_BYTES


class Connection:
    """Reads and writes frames and detects a silent peer."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        frame_codec: codec.Codec,
        budget: bytebudget.ByteBudget,
    ):
        """Initializes an open connection.

        Args:
            reader: Reader of the connection.
            writer: Writer of the connection.
            frame_codec: Codec of the frames.
            budget: Budget of the bytes of frames that are incomplete.
        """
        self._budget = budget
        self._reader = reader
        self._writer = writer
        self._codec = frame_codec
        self._output_ended = False

    @property
    def input_ended(self) -> bool:
        """Whether the peer has ended its output and all of it was read."""
        return self._reader.at_eof()

    @property
    def output_ended(self) -> bool:
        """Whether nothing more may be sent."""
        return self._output_ended

    def send(self, call_id: int, message: Any) -> None:
        """Writes a frame without waiting.

        Raises:
            OverloadedError: If the peer reads too slowly.
            ProtocolError: If the message cannot be encoded.
        """
        if self._unsent_bytes() > MAX_UNSENT_BYTES:
            raise errors.OverloadedError(
                'too many unsent bytes: the peer reads too slowly'
            )
        self._writer.write(self._codec.encode(call_id, message))

    async def receive(self) -> tuple[int, Any]:
        """Waits for the next frame.

        Raises:
            OutcomeUnknownError: If the connection is closed or silent.
            ProtocolError: If the frame is malformed.
        """
        try:
            prefix = await self._part(codec.LENGTH_PREFIX.size)
            (length,) = codec.LENGTH_PREFIX.unpack(prefix)
            if length > codec.MAX_FRAME_BYTES:
                raise errors.ProtocolError(f'frame is too long: {length} bytes')
            return self._codec.decode(await self._body(length))
        except TimeoutError as error:
            raise errors.OutcomeUnknownError(
                'the peer was silent or too slow for too long'
            ) from error
        except (OSError, EOFError) as error:
            raise errors.OutcomeUnknownError(
                'the connection was closed'
            ) from error

    async def _body(self, length: int) -> bytes | bytearray:
        if length <= PART_BYTES:
            return await self._part(length)
        # A large body may take longer than the limit, so the timeout applies to
        # each part of it.
        body = bytearray()
        hold = self._budget.open(self.close)
        hold.announced_size = length
        try:
            while len(body) < length:
                part = await self._part(min(length - len(body), PART_BYTES))
                hold.grow(len(part))
                body += part
        except BaseException:
            # The traceback of the error refers to the buffer.
            body.clear()
            raise
        finally:
            hold.release()
        return body

    async def _part(self, length: int) -> bytes:
        async with asyncio.timeout(SILENCE_LIMIT_S):
            return await self._reader.readexactly(length)

    async def keep_alive(self) -> None:
        """Sends pings at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            with contextlib.suppress(errors.OverloadedError):
                self.send(0, messages.Ping())

    async def wait_for_room(self) -> None:
        """Waits until another frame can be written."""
        with contextlib.suppress(OSError):
            while self._unsent_bytes() > MAX_UNSENT_BYTES:
                await self._writer.drain()

    async def flush(self) -> None:
        """Waits until all frames are handed to the kernel."""
        self._writer.transport.set_write_buffer_limits(high=0)
        with contextlib.suppress(OSError):
            await self._writer.drain()

    def _unsent_bytes(self) -> int:
        return self._writer.transport.get_write_buffer_size()

    def end_output(self) -> None:
        """Ends the output once all frames are written.

        When a socket is closed while the peer still sends, the kernel resets
        the connection, and the peer can lose frames that it has not read yet.
        So the owner reads on until the peer closes.
        """
        self._output_ended = True
        with contextlib.suppress(OSError):
            self._writer.write_eof()

    async def linger(self) -> None:
        """Ends the output, reads on for a bounded time, and closes."""
        self.end_output()
        with contextlib.suppress(OSError):
            async with asyncio.timeout(LINGER_S):
                while await self._reader.read(DISCARD_BYTES):
                    pass
        self.close()

    def close(self) -> None:
        """Aborts the connection without sending what is buffered."""
        self._writer.transport.abort()
