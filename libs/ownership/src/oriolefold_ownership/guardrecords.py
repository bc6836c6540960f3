"""Encoding of guard records as JSON for the store.

The guard record of a VM names the standby and the witness that guard its lease.
"""

import msgspec

from oriolefold_coordination import shardmap
from oriolefold_core import errors, findings


def encode(guard: shardmap.Guard) -> bytes:
    """Encodes a guard record as JSON."""
    return msgspec.json.encode(guard)


def decode(body: bytes, source: str) -> shardmap.Guard:
    """Decodes a guard record from JSON.

    Args:
        body: JSON text.
        source: Name of the stored object, quoted in errors.

    Raises:
        ConfigurationError: If the text is not a valid guard record.
    """
    try:
        return msgspec.json.decode(body, type=shardmap.Guard)
    except (msgspec.MsgspecError, RecursionError) as error:
        finding = findings.Finding(
            findings.Location(source), f'invalid guard record: {error}'
        )
        raise errors.ConfigurationError((finding,)) from error
