"""Stored form of guards."""

import msgspec

from oriolefold_coordination import shardmap
from oriolefold_core import errors, findings


def encode(guard: shardmap.Guard) -> bytes:
    """Returns a guard as JSON text."""
    return msgspec.json.encode(guard)


def decode(body: bytes, source: str) -> shardmap.Guard:
    """Reads a guard from JSON text.

    Raises:
        ConfigurationError: If the text is no guard.
    """
    try:
        return msgspec.json.decode(body, type=shardmap.Guard)
    except msgspec.MsgspecError as error:
        finding = findings.Finding(
            findings.Place(source), f'not a guard record: {error}'
        )
        raise errors.ConfigurationError((finding,)) from error
