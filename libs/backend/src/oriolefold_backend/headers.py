"""Filters the headers that a proxy forwards to the next hop."""

from collections.abc import Iterable

from oriolefold_core import results

_HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
        'x-http-reason',  # Added by the HTTP client.
    }
)
# Dropped so that a caller cannot impersonate a process of the system.
_RESERVED = frozenset(
    name.lower()
    for name in (
        results.OUTCOME_HEADER,
        results.REQUEST_ID_HEADER,
        results.DEADLINE_HEADER,
        results.TOKEN_HEADER,
        results.SHARD_HEADER,
        results.NOT_RUN_HEADER,
        results.CALL_ID_HEADER,
    )
)
_DROPPED = _HOP_BY_HOP | _RESERVED


def forwarded(
    pairs: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers, which go to the next hop.

    Hop-by-hop headers, those named in `Connection` and the reserved headers of
    this system are removed.
    """
    pairs = tuple(pairs)
    dropped = _DROPPED
    for name, value in pairs:
        if name.lower() == 'connection':
            listed = {part.strip().lower() for part in value.split(',')}
            dropped = dropped | listed
    return tuple(
        (name, value) for name, value in pairs if name.lower() not in dropped
    )
