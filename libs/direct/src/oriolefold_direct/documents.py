"""Encoding and validation of stored key maps and leader records."""

import dataclasses
from typing import Annotated

import msgspec

from oriolefold_coordination import leaderelection, ranges
from oriolefold_core import errors, findings

LEADER_PREFIX = 'oriolefold-offices/'
KEY_MAP_PREFIX = 'oriolefold-key-maps/'
# Never written; reading it shows at low cost whether the store answers.
PROBE_NAME = LEADER_PREFIX + 'probe'
MAX_COUNTER = 2**63 - 1  # Of tokens, versions, revisions and heartbeats.
MAX_INHERITED_S = 3600.0  # Far above the sum of all leases.
Key = Annotated[int, msgspec.Meta(ge=0, le=ranges.KEY_COUNT - 1)]
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]


class _Holder(msgspec.Struct, forbid_unknown_fields=True):
    instance_id: str
    # Not limited, so that it does not cost the map of all keys.
    born_ms: int
    address: str


class _KeyRange(msgspec.Struct, forbid_unknown_fields=True):
    first: Key
    last: Key
    owner: _Holder
    token: Counter
    priors: list[_Holder] = []


class _KeyMap(msgspec.Struct, forbid_unknown_fields=True):
    service_id: str
    next_token: Counter
    ranges: list[_KeyRange]


class _LeaderRecord(msgspec.Struct, forbid_unknown_fields=True):
    vm_id: str
    incarnation: str
    beat: Counter
    address: str = ''
    inherited_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_INHERITED_S)] = 0.0


def encode_key_map(key_map: ranges.KeyMap) -> bytes:
    """Encodes a key map as JSON."""
    return msgspec.json.encode(key_map)


def decode_key_map(text: bytes, source: str) -> ranges.KeyMap:
    """Decodes and validates a key map.

    Args:
        text: JSON text.
        source: Name of the stored object, for error messages.

    Raises:
        ConfigurationError: If the text is not a valid key map.
    """
    stored = _decode(text, _KeyMap, source)
    key_ranges = []
    expected_first = 0
    for item in stored.ranges:
        if item.first != expected_first or item.last < item.first:
            raise _invalid(source, f'ranges: gap before key {item.first}')
        expected_first = item.last + 1
        key_ranges.append(
            ranges.KeyRange(
                item.first,
                item.last,
                _holder(item.owner),
                item.token,
                tuple(_holder(prior) for prior in item.priors),
            )
        )
    if key_ranges and expected_first != ranges.KEY_COUNT:
        raise _invalid(
            source, f'ranges: keys from {expected_first} on are not covered'
        )
    return ranges.KeyMap(
        stored.service_id, stored.next_token, tuple(key_ranges)
    )


def encode_leader_record(record: leaderelection.LeaderRecord) -> bytes:
    """Encodes a leader record as JSON."""
    return msgspec.json.encode(dataclasses.asdict(record))


def decode_leader_record(
    text: bytes, source: str
) -> leaderelection.LeaderRecord:
    """Decodes and validates a leader record.

    Args:
        text: JSON text.
        source: Name of the stored object, for error messages.

    Raises:
        ConfigurationError: If the text is not a valid leader record.
    """
    stored = _decode(text, _LeaderRecord, source)
    return leaderelection.LeaderRecord(
        stored.vm_id,
        stored.incarnation,
        stored.beat,
        stored.address,
        stored.inherited_s,
    )


def _holder(stored: _Holder) -> ranges.Holder:
    return ranges.Holder(stored.instance_id, stored.born_ms, stored.address)


def _decode(text: bytes, model: type, source: str):
    try:
        return msgspec.json.decode(text, type=model)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise _invalid(source, str(error)) from error


def _invalid(source: str, text: str) -> errors.ConfigurationError:
    finding = findings.Finding(findings.Location(source), text)
    return errors.ConfigurationError((finding,))
