"""A request to write, its response, and the collecting of the response."""

import asyncio
import dataclasses

from tornado import httputil

from oriolefold_core import bytebudget, errors
from oriolefold_http import matching, pooledstream

# Part of the time left that a sender is kept waiting for room in the budget.
ROOM_WAIT_FRACTION = 0.5
STATUSES_WITHOUT_BODY = frozenset({204, 304})


@dataclasses.dataclass(slots=True)
class OutgoingRequest:
    """A request to write.

    Attributes:
        method: HTTP method.
        target: Path and query, sent without normalization.
        headers: Names and values.
        body: The complete body.
        max_response_bytes: Largest accepted body of the response, if it is to
            be smaller than the limit of the pool.
        essential: Whether other responses are given up first when the budget
            is exhausted, even if the pool is not essential.
        matcher: Tells which responses answer this request.
        on_new_connection: Whether it may go only over a new connection, so that
            no response to an earlier request can precede its own. If that one
            fails, an idle one is closed, since servers limit their number.
        carriers: Numbers of the connections that have carried it, to which the
            pool adds. It is not sent over any of them again, since a late
            response to the earlier sending has the same ID.
        needs_proof: Whether it may go only over a connection to the process
            that a request with `is_proof` has reached.
        is_proof: Whether its response shows the state of the process; the
            caller revokes the proof if the process may get no requests.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b''
    max_response_bytes: int | None = None
    essential: bool = False
    matcher: matching.Matcher = matching.ANY_RESPONSE
    on_new_connection: bool = False
    carriers: set[int] = dataclasses.field(default_factory=set)
    needs_proof: bool = False
    is_proof: bool = False


@dataclasses.dataclass(slots=True)
class IncomingResponse:
    """A complete response.

    Attributes:
        status: HTTP status code.
        headers: Headers by case-insensitive name.
        body: The complete body.
        hold: Its memory, counted until the response is dropped.
        is_first: Whether it is the first one on its connection, so that it
            cannot answer an earlier request.
        connection_number: Number of its connection.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes
    hold: bytebudget.Hold
    is_first: bool = False
    connection_number: int = 0


class ResponseCollector(httputil.HTTPMessageDelegate):
    """Collects one response.

    Attributes:
        cancelled: Whether its wait for room was cancelled, which it cannot
            raise through Tornado.
    """

    def __init__(
        self, hold: bytebudget.Hold, max_body_bytes: int, ends_at_s: float
    ):
        self._hold = hold
        self._max_body_bytes = max_body_bytes
        self._ends_at_s = ends_at_s
        self.cancelled = False
        self.reset()

    def reset(self) -> None:
        """Drops what was collected."""
        self.status = 0
        self.headers: httputil.HTTPHeaders | None = None
        # One buffer, since a list of many tiny chunks takes far more memory
        # than their bytes.
        self.body = bytearray()
        self.complete = False

    def headers_received(self, start_line, headers):
        """Stores status and headers; the body is read once it has room."""
        self.status = start_line.code
        self.headers = headers
        length = headers.get('Content-Length', '')
        if (
            not length.isdecimal()
            or int(length) > self._max_body_bytes
            or self.status in STATUSES_WITHOUT_BODY
        ):
            return None
        return self._wait_for_room(int(length))

    def data_received(self, chunk):
        """Stores a part of the body."""
        self.body += chunk

    def finish(self):
        """Marks the response as complete."""
        self.complete = True

    async def _wait_for_room(self, size: int) -> None:
        left_s = self._ends_at_s - asyncio.get_running_loop().time()
        try:
            await self._hold.announce(size, left_s * ROOM_WAIT_FRACTION)
        except asyncio.CancelledError as error:
            self.cancelled = True
            # Tornado replaces and logs any other exception of a delegate.
            raise httputil.HTTPInputError('cancelled') from error


def complete_response(
    collector: ResponseCollector, stream: pooledstream.PooledStream
) -> IncomingResponse:
    """Returns the collected response.

    Raises:
        OutcomeUnknownError: If it may be incomplete.
    """
    if not collector.complete:
        raise errors.OutcomeUnknownError('the response was truncated')
    length = collector.headers.get('Content-Length')
    chunked = 'Transfer-Encoding' in collector.headers
    if length is None and not chunked and stream.error is not None:
        # A body without a length ends when the connection is closed; after a
        # reset it may be incomplete.
        raise errors.OutcomeUnknownError(
            'the connection was reset before the end of the response'
        )
    return IncomingResponse(
        collector.status,
        collector.headers,
        bytes(collector.body),
        stream.hold,
    )
