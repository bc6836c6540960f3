"""Replaces the unreadable parts of JSON text, so that the rest can be decoded.

A decoder rejects a whole text for one part that it cannot read, such as a value
that is nested too deeply. In a list of objects of many writers, such a part
must not hide the objects beside it.
"""

import asyncio
import re

import msgspec

BYTES_PER_TURN = 100_000  # A few milliseconds of work between other tasks.
BYTES_PER_TOKEN = 50  # Bytes that are skipped in the time of one token.
NULL = b'null'
_STRING = rb'"(?:[^"\\]++|\\.?)*+(?:"|\Z)'  # \Z ends one that is not closed.
# Short arrays and objects without others in them.
_SCALARS = rb'(?:' + _STRING + rb'|[^"\[\]{}]++){0,100}+'
_INNERMOST = rb'\[' + _SCALARS + rb'\]|\{' + _SCALARS + rb'\}'
# Each matches up to the next token that matters, which is its group, and stops
# earlier after many others, so that one match does not hold up other tasks.
_FLAT = re.compile(
    rb'(?:' + _STRING + rb'|[^"\[\]{},]++|' + _INNERMOST + rb'){0,10000}+'
    rb'(,|[\[{]++|[\]}])?',
    re.DOTALL,
)
_NESTED = re.compile(
    rb'(?:' + _STRING + rb'|[^"\[\]{}]++|' + _INNERMOST + rb'){0,10000}+'
    rb'([\[{]++|[\]}]++)?',
    re.DOTALL,
)
_KEY = re.compile(rb'\s*+(' + _STRING + rb')\s*+:', re.DOTALL)


async def replace_unreadable(text: bytes, levels: int) -> bytes:
    """Replaces the parts that cannot be decoded by null.

    The time is linear in the size of the text; other tasks run in between.

    Args:
        text: JSON text.
        levels: Number of arrays and objects, one within the other, of which
            only the unreadable elements are replaced. An array or object
            further within is replaced as a whole.
    """
    if _is_readable(text):
        return text
    await asyncio.sleep(0)
    if not levels:
        return NULL
    stripped = text.strip()
    opening, closing = stripped[:1], stripped[-1:]
    if (opening, closing) not in ((b'[', b']'), (b'{', b'}')):
        return NULL
    elements = await _split(stripped)
    if elements is None:
        return NULL
    parts = []
    for element in elements:
        key = b''
        if opening == b'{':
            found = _KEY.match(element)
            if found is None or not _is_readable(found[1]):
                continue  # Without its key, a value belongs to no field.
            key = found[0]
        value = await replace_unreadable(element[len(key) :], levels - 1)
        parts.append(key + value)
    repaired = opening + b','.join(parts) + closing
    return repaired if _is_readable(repaired) else NULL


async def _split(text: bytes) -> list[bytes] | None:
    """Returns the elements of an array, or the members of an object.

    The scan counts brackets outside of strings, without recursion. The result
    is None if the last bracket does not match the first one.
    """
    elements: list[bytes] = []
    position = begin = 1
    depth = work = 0
    while True:
        match = (_NESTED if depth else _FLAT).match(text, position)
        if match.end() == position:
            return None
        work += match.end() - position + BYTES_PER_TOKEN
        if work > BYTES_PER_TURN:
            await asyncio.sleep(0)
            work = 0
        position = match.end()
        token = match[1]
        if token is None:
            continue
        start = match.start(1)
        if token[0] in b'[{':
            depth += len(token)
        elif depth:
            # A run of closing brackets may go beyond the element.
            closed = min(depth, len(token))
            depth -= closed
            position = start + closed
        else:
            element = text[begin:start]
            if element.strip():
                elements.append(element)
            begin = position
            if token != b',':
                return elements if position == len(text) else None


def _is_readable(text: bytes) -> bool:
    try:
        msgspec.json.decode(text, type=msgspec.Raw)
    except (msgspec.MsgspecError, RecursionError):
        return False
    return True
