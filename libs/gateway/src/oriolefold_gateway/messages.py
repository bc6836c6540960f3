"""Messages to the dispatcher, and the request that is forwarded to a peer."""

import dataclasses
from collections.abc import Mapping

from oriolefold_core import tasks


@dataclasses.dataclass(slots=True, eq=False)
class Dispatch(tasks.Ask):
    """Asks the dispatcher to handle a request; the reply is an `Answer`.

    Attributes:
        request_id: Identifier of the request in logs and on every hop.
        method: HTTP method in upper case.
        target: Path and query as the caller sent them.
        headers: Headers by case-insensitive name.
        header_pairs: Headers to pass on to the server.
        body: The complete body.
        requested_deadline_ms: Value of the deadline header, if there is one.
        held_s: Time for which the request waited behind others of its
            connection, in seconds; the caller's deadline counts it.
    """

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    header_pairs: tuple[tuple[str, str], ...]
    body: bytes
    requested_deadline_ms: str | None
    held_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request that an entry VM forwards to the home of its shard.

    Attributes:
        shard: Shard of the key.
        remaining_ms: Time until the deadline, in milliseconds.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    service_id: str
    key: str
    shard: int
    idempotent: bool
    importance: int
    remaining_ms: int


@dataclasses.dataclass(slots=True, eq=False)
class Explain(tasks.Ask):
    """Asks how a request would be routed; the reply is a dict for JSON."""

    method: str
    target: str
    headers: Mapping[str, str]


@dataclasses.dataclass(slots=True, eq=False)
class DescribeView(tasks.Ask):
    """Asks for configuration and map versions; the reply is a dict for JSON."""


@dataclasses.dataclass(slots=True, eq=False)
class EndRequests(tasks.Ask):
    """Tells the dispatcher to answer all requests in progress now.

    Those that may have run get an unknown outcome, the others are refused as
    not run. The reply is None.
    """
