"""Envelope around stored content that identifies the last writes.

The answer to a write can be lost after the write took effect. Stored content
therefore carries the IDs of the last writes, so that the writer can read it
again and see whether its own write is among them.
"""

import dataclasses

import msgspec

from oriolefold_core import errors, findings

MAX_WRITE_IDS = 32  # The oldest IDs are dropped beyond this number.


class _Envelope(msgspec.Struct):
    write_ids: list[str]
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Unwrapped:
    """Content of an envelope.

    Attributes:
        write_ids: IDs of the last writes, newest first.
        body: JSON text of the content.
    """

    write_ids: tuple[str, ...]
    body: bytes


def wrap(
    body: bytes, write_id: str, earlier_ids: tuple[str, ...] = ()
) -> bytes:
    """Wraps content in an envelope, as bytes to store.

    Args:
        body: JSON text.
        write_id: ID of this write.
        earlier_ids: Write IDs in the version that is replaced.
    """
    write_ids = [write_id, *earlier_ids][:MAX_WRITE_IDS]
    return msgspec.json.encode(_Envelope(write_ids, msgspec.Raw(body)))


def unwrap(content: bytes, source: str) -> Unwrapped:
    """Extracts the content of a stored envelope.

    Args:
        content: Bytes as stored.
        source: Name of the stored object, quoted in errors.

    Raises:
        ConfigurationError: If the bytes are not a valid envelope.
    """
    try:
        envelope = msgspec.json.decode(content, type=_Envelope)
    except (msgspec.MsgspecError, RecursionError) as error:
        finding = findings.Finding(
            findings.Location(source), f'invalid envelope: {error}'
        )
        raise errors.ConfigurationError((finding,)) from error
    return Unwrapped(tuple(envelope.write_ids), bytes(envelope.body))
