"""Stored form of key maps and offices, checked where they are read."""

import dataclasses

import msgspec

from oriolefold_coordination import office, ranges
from oriolefold_core import errors, findings

OFFICE_PREFIX = 'oriolefold-offices/'
KEY_MAP_PREFIX = 'oriolefold-key-maps/'


class _Holder(msgspec.Struct, forbid_unknown_fields=True):
    instance_id: str
    born_ms: int
    address: str


class _KeyRange(msgspec.Struct, forbid_unknown_fields=True):
    first: int
    last: int
    owner: _Holder
    token: int
    priors: list[_Holder] = []


class _KeyMap(msgspec.Struct, forbid_unknown_fields=True):
    service_id: str
    next_token: int
    ranges: list[_KeyRange]


class _Tenure(msgspec.Struct, forbid_unknown_fields=True):
    vm_id: str
    incarnation: str
    beat: int
    address: str = ''
    inherited_s: float = 0.0


def key_map_text(key_map: ranges.KeyMap) -> bytes:
    """Returns the JSON text of a key map."""
    return msgspec.json.encode(key_map)


def read_key_map(text: bytes, source: str) -> ranges.KeyMap:
    """Returns the key map in a JSON text.

    Raises:
        ConfigurationError: If the text is no key map.
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
        raise _invalid(source, f'ranges: end before key {expected_first}')
    return ranges.KeyMap(
        stored.service_id, stored.next_token, tuple(key_ranges)
    )


def tenure_text(tenure: office.Tenure) -> bytes:
    """Returns the JSON text of a tenure."""
    return msgspec.json.encode(dataclasses.asdict(tenure))


def read_tenure(text: bytes, source: str) -> office.Tenure:
    """Returns the tenure in a JSON text.

    Raises:
        ConfigurationError: If the text is no tenure.
    """
    stored = _decode(text, _Tenure, source)
    return office.Tenure(
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
    except msgspec.MsgspecError as error:
        raise _invalid(source, str(error)) from error


def _invalid(source: str, text: str) -> errors.ConfigurationError:
    finding = findings.Finding(findings.Place(source), text)
    return errors.ConfigurationError((finding,))
