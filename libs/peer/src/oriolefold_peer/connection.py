"""Framed connection, used by both the calling and the listening side.

Pings at a fixed interval make the connection a failure detector: a peer that
sends no frame for too long is treated as lost.
"""

import asyncio
import contextlib
from typing import Any

from oriolefold_core import errors
from oriolefold_peer import codec, messages

PING_INTERVAL_S = 0.25
SILENCE_LIMIT_S = 1.0  # Time without data after which the peer counts as lost.
MAX_UNSENT_BYTES = 32 * 1024 * 1024


class Connection:
    """Reads and writes frames and detects a silent peer."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        frame_codec: codec.Codec,
    ):
        self._reader = reader
        self._writer = writer
        self._codec = frame_codec

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
            async with asyncio.timeout(SILENCE_LIMIT_S):
                prefix = await self._reader.readexactly(
                    codec.LENGTH_PREFIX.size
                )
            (length,) = codec.LENGTH_PREFIX.unpack(prefix)
            if length > codec.MAX_FRAME_BYTES:
                raise errors.ProtocolError(f'frame is too long: {length} bytes')
            return self._codec.decode(await self._body(length))
        except TimeoutError as error:
            raise errors.OutcomeUnknownError(
                'the peer was silent for too long'
            ) from error
        except (OSError, EOFError) as error:
            raise errors.OutcomeUnknownError(
                'the connection was closed'
            ) from error

    async def _body(self, length: int) -> bytes:
        # A large body may take longer than the limit, so the timeout applies to
        # each part of it.
        parts = []
        while length > 0:
            async with asyncio.timeout(SILENCE_LIMIT_S):
                part = await self._reader.read(length)
            if not part:
                raise EOFError('connection closed within a frame')
            parts.append(part)
            length -= len(part)
        return parts[0] if len(parts) == 1 else b''.join(parts)

    async def keep_alive(self) -> None:
        """Sends pings at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(PING_INTERVAL_S)
            with contextlib.suppress(errors.OverloadedError):
                self.send(0, messages.Ping())

    async def wait_for_room(self) -> None:
        """Waits until another frame can be written."""
        with contextlib.suppress(ConnectionError):
            while self._unsent_bytes() > MAX_UNSENT_BYTES:
                await self._writer.drain()

    async def flush(self) -> None:
        """Waits until all frames are handed to the kernel."""
        self._writer.transport.set_write_buffer_limits(high=0)
        with contextlib.suppress(ConnectionError):
            await self._writer.drain()

    def _unsent_bytes(self) -> int:
        return self._writer.transport.get_write_buffer_size()

    def close(self) -> None:
        """Aborts the connection without sending what is buffered."""
        self._writer.transport.abort()
