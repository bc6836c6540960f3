"""Envelope around stored content that makes a write recognizable.

The answer to a write can be lost after the write took effect. Each content
therefore carries the identities of the last writes, so that a later read tells
the writer whether its write is among them.
"""

import dataclasses

import msgspec

from oriolefold_core import errors, findings

RECENT_WRITES = 32  # Identities that are kept in an object.


class _Envelope(msgspec.Struct):
    write_ids: list[str]
    body: msgspec.Raw


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """Content taken out of its envelope.

    Attributes:
        write_ids: Identities of the last writes, the newest first.
        body: JSON text of the content.
    """

    write_ids: tuple[str, ...]
    body: bytes


def seal(body: bytes, write_id: str, before: tuple[str, ...] = ()) -> bytes:
    """Returns the content to store.

    Args:
        body: JSON text.
        write_id: Identity of this write.
        before: Identities found in the version that is replaced.
    """
    write_ids = [write_id, *before][:RECENT_WRITES]
    return msgspec.json.encode(_Envelope(write_ids, msgspec.Raw(body)))


def unseal(content: bytes, source: str) -> Opened:
    """Takes stored content out of its envelope.

    Raises:
        ConfigurationError: If the content is not an envelope.
    """
    try:
        envelope = msgspec.json.decode(content, type=_Envelope)
    except msgspec.MsgspecError as error:
        finding = findings.Finding(
            findings.Place(source), f'not a stored envelope: {error}'
        )
        raise errors.ConfigurationError((finding,)) from error
    return Opened(tuple(envelope.write_ids), bytes(envelope.body))
