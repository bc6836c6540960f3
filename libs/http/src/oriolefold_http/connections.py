"""HTTP/1.1 connection pool based on Tornado, without pipelining or resends.

Curl itself sends a request a second time when a reused connection turns out to
be closed, and takes a late extra response for the response to the next request.
Here a request is written once, errors tell whether any of it was written, and a
response to another request is recognized and skipped.
"""

import asyncio
import collections
import contextlib
import logging
from collections.abc import Callable

from tornado import http1connection, httputil, iostream

from oriolefold_core import bytebudget, data, errors
from oriolefold_http import (
    exchanges,
    idlelimit,
    pooledstream,
    readturns,
    sockets,
)

CHUNK_BYTES = 16384
MAX_HEADER_BYTES = 65536
# Size of a pool's own budget, in responses of the largest size.
DEFAULT_BUDGET_RESPONSES = 4
MAX_UNRELATED_RESPONSES = 3  # Skipped before the connection is closed.
DEFAULT_IDLE_S = 4.0  # Longest idle time of a connection that is reused.
PROOF_S = 0.1  # Less than a process takes to restart.
IDLE_TIMEOUT_FRACTION = 0.6  # Fraction of the announced keep-alive timeout.

# Tornado logs each malformed response. The caller of `exchange` logs it, too,
# together with the request, so Tornado's message is suppressed.
logging.getLogger('tornado.general').setLevel(logging.ERROR)


def _ignore(
    address: data.Address,
    outgoing: exchanges.OutgoingRequest,
    incoming: exchanges.IncomingResponse,
) -> None:
    """Reports nothing."""


class _Connection:
    """One connection with at most one request in progress.

    Attributes:
        stream: Stream of the connection.
        number: Its place in the order in which the pool opened connections.
        idle_until_s: Time from which the idle connection is not reused.
        idle_since_s: When it was last returned to the pool.
        uses: Number of requests written so far.
        responses: Number of responses read so far.
        proven: Whether it leads to the process that a proof has shown.
    """

    def __init__(self, stream: pooledstream.PooledStream, number: int):
        self.stream = stream
        self.number = number
        self.idle_until_s = 0.0
        self.idle_since_s = 0.0
        self.uses = 0
        self.responses = 0
        self.proven = False

    @property
    def usable(self) -> bool:
        """Whether a request may be written now.

        Tornado does not watch a stream with unread bytes, so it would also stay
        open after the server has closed it.
        """
        stream = self.stream
        return not (stream.closed() or stream.writing() or stream.has_unread)


class ConnectionPool:
    """Pool of connections by address; each carries one request at a time.

    Attributes:
        opened: Number of connections opened so far.
    """

    def __init__(
        self,
        max_body_bytes: int,
        idle_s: float = DEFAULT_IDLE_S,
        budget: bytebudget.ByteBudget | None = None,
        essential: bool = False,
        report_unrelated: Callable[
            [
                data.Address,
                exchanges.OutgoingRequest,
                exchanges.IncomingResponse,
            ],
            None,
        ] = _ignore,
    ):
        """Initializes an empty pool.

        Args:
            max_body_bytes: Largest accepted body of a response.
            idle_s: Longest time that an idle connection is kept.
            budget: Budget of the bytes of all responses, shared with other
                users of the same memory; by default the pool has its own.
            essential: Whether responses of other pools are given up first when
                the budget is exhausted.
            report_unrelated: Called for each response that is skipped since it
                does not answer the request.
        """
        self._report_unrelated = report_unrelated
        self._budget = budget or bytebudget.ByteBudget(
            DEFAULT_BUDGET_RESPONSES * max_body_bytes
        )
        self._essential = essential
        self._params = http1connection.HTTP1ConnectionParameters(
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=max_body_bytes,
        )
        self._idle_s = idle_s
        self._idle_limit = idlelimit.IdleLimit()
        self._turns = readturns.ReadTurns()
        self._idle_by_address: dict[
            data.Address, collections.deque[_Connection]
        ] = {}
        self._busy_by_address: dict[data.Address, set[_Connection]] = {}
        self._proven_at_s_by_address: dict[data.Address, float] = {}
        self.opened = 0

    async def exchange(
        self,
        address: data.Address,
        outgoing: exchanges.OutgoingRequest,
        timeout_s: float,
        connect_timeout_s: float,
        may_send: Callable[[], bool] | None = None,
        newest_number: int | None = None,
    ) -> exchanges.IncomingResponse:
        """Sends a request once and returns the complete response.

        Cancelling the call closes the connection, so that the server can
        notice it.

        Args:
            address: Address of the server.
            outgoing: The request.
            timeout_s: Timeout of the whole call, in seconds.
            connect_timeout_s: Timeout of opening a connection, in seconds.
            may_send: Called right before the request is written; nothing is
                sent if it returns false.
            newest_number: If given, only a connection that was open when
                `opened` had this value may carry the request.

        Raises:
            UnreachableError: If nothing was sent.
            UnverifiedError: If nothing was sent, since the request needs a
                proof of the state of the server.
            ResponseDroppedError: If the response was given up because the
                budget of buffered bytes is exhausted.
            OutcomeUnknownError: If no complete response was received.
        """
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        if outgoing.needs_proof:
            self._check_proof(address)
        if newest_number is not None:
            connection = self._take_older(address, newest_number)
        elif outgoing.on_new_connection:
            connection = None
        else:
            connection = self._take_idle(
                address, loop.time(), outgoing.carriers
            )
        if connection is None:
            connect_s = min(connect_timeout_s, timeout_s)
            try:
                connection = await self._connect(address, connect_s)
            except errors.UnreachableError:
                self._handle_failure(address, outgoing)
                raise
        busy = self._busy_by_address.setdefault(address, set())
        busy.add(connection)
        try:
            return await self._exchange_on(
                connection,
                address,
                outgoing,
                ends_at_s,
                may_send,
            )
        finally:
            busy.discard(connection)
            if not busy:
                self._busy_by_address.pop(address, None)

    async def _exchange_on(
        self,
        connection,
        address,
        outgoing,
        ends_at_s: float,
        may_send,
    ) -> exchanges.IncomingResponse:
        loop = asyncio.get_running_loop()
        if may_send is not None and not may_send():
            self._return_to_pool(address, connection, None)
            raise errors.UnreachableError('the permission to send has expired')
        if outgoing.needs_proof:
            try:
                self._check_proof(address)
            except errors.UnverifiedError:
                self._return_to_pool(address, connection, None)
                raise
            connection.proven = True
        started_s = loop.time()
        stream = connection.stream
        stream.received_bytes = 0
        hold = stream.hold = self._budget.open(
            stream.abort, self._essential or outgoing.essential
        )
        incoming = None
        try:
            async with asyncio.timeout_at(ends_at_s):
                incoming = await self._send_and_receive(
                    address, connection, outgoing, ends_at_s
                )
        except errors.ResponseDroppedError:
            stream.close()
            raise
        except errors.OutcomeUnknownError as error:
            connection.stream.close()
            self._handle_failure(address, outgoing)
            idle_text = self._record_loss(connection, started_s)
            if not idle_text:
                raise
            text = error.message + idle_text
            raise type(error)(text) from error
        except TimeoutError as error:
            connection.stream.close()
            waited_s = loop.time() - started_s
            text = f'no response from {address} within {waited_s:.3f} s'
            raise errors.OutcomeUnknownError(text) from error
        except BaseException:
            connection.stream.close()
            raise
        finally:
            stream.hold = None
            if incoming is None:
                hold.release()
        if outgoing.is_proof:
            connection.proven = True
            self._proven_at_s_by_address[address] = loop.time()
        hold.settle(min(hold.size, len(incoming.body) + MAX_HEADER_BYTES))
        self._return_to_pool(address, connection, incoming.headers)
        return incoming

    def _check_proof(self, address: data.Address) -> None:
        """Checks that the process at an address is known.

        A new connection leads to it if an older proven one is still open, since
        that one ends with the process, or soon after a proof, since no process
        restarts so quickly.

        Raises:
            UnverifiedError: If it is not known.
        """
        proven_at_s = self._proven_at_s_by_address.get(address)
        if proven_at_s is not None:
            if asyncio.get_running_loop().time() < proven_at_s + PROOF_S:
                return
            for connection in (
                *self._busy_by_address.get(address, ()),
                *self._idle_by_address.get(address, ()),
            ):
                if connection.proven and not connection.stream.closed():
                    return
        raise errors.UnverifiedError(
            f'no connection shows whether {address} has restarted'
        )

    def revoke_proof(self, address: data.Address) -> None:
        """Treats the connections to an address as unproven."""
        self._proven_at_s_by_address.pop(address, None)
        for connection in (
            *self._busy_by_address.get(address, ()),
            *self._idle_by_address.get(address, ()),
        ):
            connection.proven = False

    def is_busy(self, address: data.Address, newest_number: int) -> bool:
        """Whether a connection up to a number is open and in use."""
        return any(
            connection.number <= newest_number
            for connection in self._busy_by_address.get(address, ())
        )

    def close_idle(self, address: data.Address) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.stream.close()

    def close_connection(self, address: data.Address, number: int) -> None:
        """Closes a connection to an address if it is idle."""
        idle = self._idle_by_address.get(address, ())
        for connection in list(idle):
            if connection.number == number:
                idle.remove(connection)
                connection.stream.set_close_callback(None)
                connection.stream.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for address in list(self._idle_by_address):
            self.close_idle(address)

    def _handle_failure(
        self, address, outgoing: exchanges.OutgoingRequest
    ) -> None:
        """Handles a connection that the server does not accept or has closed.

        The last idle connection is kept.
        """
        idle = self._idle_by_address.get(address, ())
        if outgoing.on_new_connection and len(idle) > 1:
            self.close_connection(address, idle[0].number)

    def _take_idle(
        self, address, now_s: float, carriers: set[int]
    ) -> _Connection | None:
        idle = self._idle_by_address.get(address, ())
        others = [c for c in idle if c.number not in carriers]
        while others:
            connection = others.pop()
            idle.remove(connection)
            connection.stream.set_close_callback(None)
            idle_for_s = now_s - connection.idle_since_s
            if (
                connection.usable
                and connection.idle_until_s > now_s
                and idle_for_s <= self._idle_limit.max_idle_s(now_s)
            ):
                connection.stream.idle = False
                return connection
            connection.stream.close()
        return None

    def _take_older(self, address, newest_number: int) -> _Connection:
        """Takes the connection up to a number that was idle for least time.

        No other connection may replace it, so it is used for as long as it is
        open, whatever the idle limits.
        """
        idle = self._idle_by_address.get(address, collections.deque())
        for connection in reversed(idle):
            if connection.number <= newest_number and connection.usable:
                idle.remove(connection)
                connection.stream.set_close_callback(None)
                connection.stream.idle = False
                return connection
        raise errors.UnreachableError(
            f'no connection to {address} up to number {newest_number} is idle'
        )

    def _record_loss(self, connection: _Connection, started_s: float) -> str:
        """Updates the idle limit and returns a text about the idle time.

        On its first use a connection was not idle before, and one on which a
        response has begun was open, so the text is empty.
        """
        if connection.uses < 2 or connection.stream.received_bytes:
            return ''
        now_s = asyncio.get_running_loop().time()
        idle_for_s = started_s - connection.idle_since_s
        self._idle_limit.record_loss(idle_for_s, now_s - started_s, now_s)
        return f', on a connection idle for {idle_for_s:.3f} s'

    async def _connect(self, address, timeout_s: float) -> _Connection:
        try:
            stream = pooledstream.PooledStream(
                sockets.open_socket(), self._turns
            )
        except OSError as error:
            text = f'no socket for a connection to {address}: {error!r}'
            raise errors.UnreachableError(text) from error
        try:
            async with asyncio.timeout(timeout_s):
                await stream.connect((address.host, address.port))
        except (TimeoutError, iostream.StreamClosedError, OSError) as error:
            stream.close()
            text = f'no connection to {address}: {stream.error or error!r}'
            raise errors.UnreachableError(text) from error
        except BaseException:
            stream.close()
            raise
        self.opened += 1
        stream.set_nodelay(True)
        return _Connection(stream, self.opened)

    async def _send_and_receive(
        self,
        address,
        connection,
        outgoing,
        ends_at_s: float,
    ) -> exchanges.IncomingResponse:
        stream = connection.stream
        if stream.closed():
            raise errors.UnreachableError('the connection was closed')
        connection.uses += 1
        outgoing.carriers.add(connection.number)
        http = http1connection.HTTP1Connection(stream, True, self._params)
        max_body_bytes = self._max_body_bytes(outgoing)
        http.set_max_body_size(max_body_bytes)
        headers = httputil.HTTPHeaders()
        for name, value in outgoing.headers:
            headers.add(name, value)
        if 'Host' not in headers:
            headers['Host'] = str(address)
        if outgoing.body or outgoing.method in ('POST', 'PUT', 'PATCH'):
            headers['Content-Length'] = str(len(outgoing.body))
        start = httputil.RequestStartLine(
            outgoing.method, outgoing.target, 'HTTP/1.1'
        )
        if outgoing.method == 'HEAD':
            max_body_bytes = 0  # Its length is that of no body.
        collector = exchanges.ResponseCollector(
            stream.hold, max_body_bytes, ends_at_s
        )
        try:
            writing = http.write_headers(start, headers, outgoing.body or None)
            writing.add_done_callback(_retrieve_exception)
            http.finish()
            for _ in range(MAX_UNRELATED_RESPONSES):
                await http.read_response(collector)
                if collector.cancelled:
                    raise asyncio.CancelledError
                incoming = exchanges.complete_response(collector, stream)
                incoming.is_first = not connection.responses
                incoming.connection_number = connection.number
                connection.responses += 1
                if outgoing.matcher.matches(
                    incoming.headers, incoming.is_first
                ):
                    return incoming
                self._report_unrelated(address, outgoing, incoming)
                collector.reset()
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
            httputil.HTTPInputError,
            httputil.HTTPOutputError,
            ValueError,
        ) as error:
            text = f'the connection failed: {stream.error or error!r}'
            if stream.aborted and not self._is_endless(stream, outgoing):
                raise errors.ResponseDroppedError(text) from error
            raise errors.ConnectionLostError(text) from error
        finally:
            # The traceback of an error refers to the collector.
            collector.reset()
        raise errors.OutcomeUnknownError(
            'only responses to other requests were received'
        )

    def _is_endless(self, stream, outgoing) -> bool:
        """Whether an incomplete response is over the limit of one response."""
        max_body_bytes = self._max_body_bytes(outgoing)
        return stream.received_bytes > max_body_bytes + MAX_HEADER_BYTES

    def _max_body_bytes(self, outgoing: exchanges.OutgoingRequest) -> int:
        if outgoing.max_response_bytes is None:
            return self._params.max_body_size
        return outgoing.max_response_bytes

    def _return_to_pool(self, address, connection, headers) -> None:
        stream = connection.stream
        idle_s = (
            self._idle_s if headers is None else self._idle_timeout_s(headers)
        )
        if not connection.usable or idle_s <= 0:
            stream.close()
            return
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        connection.idle_until_s = now_s + idle_s
        stream.idle = True
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)

        def remove() -> None:
            with contextlib.suppress(ValueError):
                idle.remove(connection)

        stream.set_close_callback(remove)

    def _idle_timeout_s(self, headers: httputil.HTTPHeaders) -> float:
        if headers.get('Connection', '').lower() == 'close':
            return 0.0
        for part in headers.get('Keep-Alive', '').split(','):
            name, _, value = part.strip().partition('=')
            if name.lower() == 'timeout' and value.isdigit():
                return min(self._idle_s, int(value) * IDLE_TIMEOUT_FRACTION)
        return self._idle_s


def _retrieve_exception(writing: asyncio.Future) -> None:
    # The read reports a failed connection.
    if not writing.cancelled():
        writing.exception()
