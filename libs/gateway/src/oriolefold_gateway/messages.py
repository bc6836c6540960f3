"""Messages of the request path."""

import dataclasses
from collections.abc import Mapping

from oriolefold_core import tasks


@dataclasses.dataclass(slots=True, eq=False)
class Dispatch(tasks.Ask):
    """Serves the request of a caller; the reply is an `Answer`.

    Attributes:
        request_id: Identity of the request.
        method: HTTP method in upper case.
        target: Path and query.
        headers: Headers by name, found in any case.
        header_pairs: Headers that go on to the server.
        body: The whole body.
        asked_deadline_ms: Remaining time that the caller asks for, as it came.
    """

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    header_pairs: tuple[tuple[str, str], ...]
    body: bytes
    asked_deadline_ms: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request on its way from the entry VM to the home of its shard.

    Attributes:
        shard: Shard of the key.
        remaining_ms: Time left until the deadline, in milliseconds.
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
    """Asks where a request would go; the reply is a dict for JSON."""

    method: str
    target: str
    headers: Mapping[str, str]


@dataclasses.dataclass(slots=True, eq=False)
class DescribeView(tasks.Ask):
    """Asks what is in force here; the reply is a dict for JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Take no new requests any more."""
