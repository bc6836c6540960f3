"""Codec for the frames between daemons.

A frame is a length prefix and a MessagePack array of message kind, call number
and body. The application registers the message classes, each under its class
name, so that this library does not depend on them.
"""

import struct
from collections.abc import Iterable
from typing import Any

import msgspec

from oriolefold_core import errors

MAX_FRAME_BYTES = 64 * 1024 * 1024
LENGTH_PREFIX = struct.Struct('>I')


class _Envelope(msgspec.Struct, array_like=True):
    kind: str
    call_id: int
    body: msgspec.Raw


class Codec:
    """Encodes and decodes frames of registered message classes."""

    def __init__(self, message_classes: Iterable[type]):
        self._decoders_by_kind = {
            message_class.__name__: msgspec.msgpack.Decoder(message_class)
            for message_class in message_classes
        }
        self._body_encoder = msgspec.msgpack.Encoder()
        self._envelope_encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)

    def encode(self, call_id: int, message: Any) -> bytes:
        """Returns the frame of a message, with its length prefix.

        Raises:
            ProtocolError: If the class is not registered or the frame too long.
        """
        kind = type(message).__name__
        if kind not in self._decoders_by_kind:
            raise errors.ProtocolError(f'{kind} is not a registered message')
        body = msgspec.Raw(self._body_encoder.encode(message))
        frame = self._envelope_encoder.encode(_Envelope(kind, call_id, body))
        if len(frame) > MAX_FRAME_BYTES:
            raise errors.ProtocolError(
                f'{kind} is too long: {len(frame)} bytes'
            )
        return LENGTH_PREFIX.pack(len(frame)) + frame

    def decode(self, frame: bytes | bytearray) -> tuple[int, Any]:
        """Returns the call number and the message of a frame.

        Args:
            frame: The frame without its length prefix.

        Raises:
            ProtocolError: If the frame is malformed or of an unknown kind.
        """
        try:
            envelope = self._envelope_decoder.decode(frame)
            decoder = self._decoders_by_kind[envelope.kind]
            return envelope.call_id, decoder.decode(envelope.body)
        except KeyError as error:
            raise errors.ProtocolError(
                f'unknown message kind {error}'
            ) from error
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.ProtocolError(f'malformed frame: {error}') from error
