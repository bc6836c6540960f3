"""Which headers may cross a hop."""

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
        'x-http-reason',  # Added by the HTTP client itself.
    }
)
# A caller must not be able to pose as one of our own processes.
_RESERVED = frozenset(
    name.lower()
    for name in (
        results.OUTCOME_HEADER,
        results.REQUEST_ID_HEADER,
        results.DEADLINE_HEADER,
        results.TOKEN_HEADER,
        results.SHARD_HEADER,
        results.NOT_RUN_HEADER,
    )
)
_DROPPED = _HOP_BY_HOP | _RESERVED


def forwarded(
    pairs: Iterable[tuple[str, str]],
) -> tuple[tuple[str, str], ...]:
    """Returns the headers that go on to the next hop.

    Headers that the sender's `Connection` names are left out as well.
    """
    pairs = tuple(pairs)
    dropped = _DROPPED
    for name, value in pairs:
        if name.lower() == 'connection':
            named = {part.strip().lower() for part in value.split(',')}
            dropped = dropped | named
    return tuple(
        (name, value) for name, value in pairs if name.lower() not in dropped
    )
