"""HTTP/1.1 client connections by tornado that are never used twice at once.

Curl sends a request a second time by itself when a kept connection turns out to
be closed, and takes a late extra answer for the next one. Here a request is
written once, the caller learns whether any of it was written, and an answer to
another request is recognized and passed over.
"""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import socket
from collections.abc import Callable

from tornado import http1connection, httputil, iostream, netutil

from oriolefold_core import data, errors
from oriolefold_http import resting

KEEPALIVE_IDLE_S = 1  # Silence after which the kernel probes a connection.
KEEPALIVE_INTERVAL_S = 1  # Pause between the kernel's probes.
KEEPALIVE_PROBES = 2  # Probes without an answer that end a connection.
USER_TIMEOUT_MS = 3000  # Sent bytes without acknowledgement end it.
CHUNK_BYTES = 16384
MAX_HEADER_BYTES = 65536
MAX_EXTRA_ANSWERS = 3  # Answers to other requests that are passed over.
DEFAULT_IDLE_S = 4.0  # Time that a kept connection is trusted.
IDLE_SHARE = 0.6  # Share of the announced idle time that is used.

# Tornado logs each malformed answer; the caller of `exchange` logs it too,
# with the request that it belongs to.
logging.getLogger('tornado.general').setLevel(logging.ERROR)


@dataclasses.dataclass(slots=True)
class Outgoing:
    """A request to write.

    Attributes:
        method: HTTP method.
        target: Path and query, sent as they are.
        headers: Names and values.
        body: The whole body.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes = b''


@dataclasses.dataclass(slots=True)
class Incoming:
    """A whole answer.

    Attributes:
        status: HTTP status code.
        headers: Names and values; found in any case.
        body: The whole body.
    """

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


class _Stream(iostream.IOStream):
    """Stream that ends when bytes arrive while nobody waits for any."""

    idle = False

    def read_from_fd(self, buf):
        """Reads from the socket; anything read while idle is out of place."""
        count = super().read_from_fd(buf)
        if self.idle and count:
            self.close()
            return None
        return count


class _Reader(httputil.HTTPMessageDelegate):
    """Collects one answer."""

    def __init__(self):
        self.status = 0
        self.headers: httputil.HTTPHeaders | None = None
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(self, start_line, headers):
        """Takes status and headers."""
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk):
        """Takes a part of the body."""
        self.chunks.append(chunk)

    def finish(self):
        """Notes that the answer is complete."""
        self.complete = True


class _Connection:
    """One connection with at most one request under way."""

    def __init__(self, stream: _Stream):
        self.stream = stream
        self.idle_until_s = 0.0
        self.idle_since_s = 0.0
        self.uses = 0

    @property
    def usable(self) -> bool:
        """Whether a request may be written now."""
        return not self.stream.closed() and not self.stream.writing()


class Pool:
    """Connections to servers by address; each serves one request at a time.

    Attributes:
        opened: Number of connections that were opened.
    """

    def __init__(self, max_body_bytes: int, idle_s: float = DEFAULT_IDLE_S):
        """Makes an empty pool.

        Args:
            max_body_bytes: Largest body of an answer.
            idle_s: Longest time that a connection is kept without use.
        """
        self._params = http1connection.HTTP1ConnectionParameters(
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=max_body_bytes,
        )
        self._idle_s = idle_s
        self._trust = resting.RestTrust()
        self._idle_by_address: dict[
            data.Address, collections.deque[_Connection]
        ] = {}
        self.opened = 0

    async def exchange(
        self,
        address: data.Address,
        outgoing: Outgoing,
        timeout_s: float,
        connect_timeout_s: float,
        is_own: Callable[[httputil.HTTPHeaders], bool] | None = None,
        may_send: Callable[[], bool] | None = None,
    ) -> Incoming:
        """Sends a request once and returns the whole answer.

        Cancelling the call closes the connection, so that the server learns of
        it.

        Args:
            address: Where to connect.
            outgoing: The request.
            timeout_s: Time for the whole call, in seconds.
            connect_timeout_s: Time to open a connection, in seconds.
            is_own: Tells by the headers whether an answer belongs to this
                request; by default every answer does.
            may_send: Asked right before the request is written.

        Raises:
            UnreachableError: If nothing was sent.
            OutcomeUnknownError: If no whole answer came back.
        """
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        connection = self._take_idle(address, loop.time())
        if connection is None:
            connect_s = min(connect_timeout_s, timeout_s)
            connection = await self._connect(address, connect_s)
        if may_send is not None and not may_send():
            self._keep(address, connection, None)
            raise errors.UnreachableError('the right to send has ended')
        started_s = loop.time()
        try:
            async with asyncio.timeout_at(ends_at_s):
                incoming = await self._converse(
                    address, connection, outgoing, is_own
                )
        except errors.OutcomeUnknownError as error:
            connection.stream.close()
            raise self._learned(connection, started_s, error) from error
        except TimeoutError as error:
            connection.stream.close()
            text = f'no answer from {address} within {timeout_s:.3f} s'
            raise errors.OutcomeUnknownError(text) from error
        except BaseException:
            connection.stream.close()
            raise
        self._keep(address, connection, incoming.headers)
        return incoming

    def forget(self, address: data.Address) -> None:
        """Closes the kept connections to an address."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.stream.close()

    def close(self) -> None:
        """Closes all kept connections."""
        for address in list(self._idle_by_address):
            self.forget(address)

    def _take_idle(self, address, now_s: float) -> _Connection | None:
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            connection.stream.set_close_callback(None)
            rested_s = now_s - connection.idle_since_s
            if (
                connection.usable
                and connection.idle_until_s > now_s
                and rested_s <= self._trust.longest_s(now_s)
            ):
                connection.stream.idle = False
                return connection
            connection.stream.close()
        return None

    def _learned(
        self,
        connection: _Connection,
        started_s: float,
        error: errors.OutcomeUnknownError,
    ) -> errors.OutcomeUnknownError:
        """Returns an error that tells how long its connection had rested."""
        if connection.uses < 2:
            return error
        now_s = asyncio.get_running_loop().time()
        rested_s = started_s - connection.idle_since_s
        self._trust.lost(rested_s, now_s - started_s, now_s)
        text = (
            f'{error.message}, on a connection after {rested_s:.3f} s of rest'
        )
        return errors.OutcomeUnknownError(text)

    async def _connect(self, address, timeout_s: float) -> _Connection:
        stream = _Stream(open_socket())
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
        return _Connection(stream)

    async def _converse(
        self, address, connection, outgoing, is_own
    ) -> Incoming:
        stream = connection.stream
        if stream.closed():
            raise errors.UnreachableError('the connection was closed')
        connection.uses += 1
        http = http1connection.HTTP1Connection(stream, True, self._params)
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
        try:
            writing = http.write_headers(start, headers, outgoing.body or None)
            writing.add_done_callback(_take_result)
            http.finish()
            for _ in range(MAX_EXTRA_ANSWERS):
                reader = _Reader()
                await http.read_response(reader)
                incoming = _whole(reader, stream)
                if is_own is None or is_own(incoming.headers):
                    return incoming
        except (
            iostream.StreamClosedError,
            iostream.UnsatisfiableReadError,
            httputil.HTTPInputError,
            httputil.HTTPOutputError,
            ValueError,
        ) as error:
            text = f'the connection broke off: {stream.error or error!r}'
            raise errors.OutcomeUnknownError(text) from error
        raise errors.OutcomeUnknownError('only answers to other requests came')

    def _keep(self, address, connection, headers) -> None:
        stream = connection.stream
        idle_s = self._idle_s if headers is None else self._idle_time(headers)
        if not connection.usable or idle_s <= 0:
            stream.close()
            return
        now_s = asyncio.get_running_loop().time()
        connection.idle_since_s = now_s
        connection.idle_until_s = now_s + idle_s
        stream.idle = True
        idle = self._idle_by_address.setdefault(address, collections.deque())
        idle.append(connection)

        def forget() -> None:
            with contextlib.suppress(ValueError):
                idle.remove(connection)

        stream.set_close_callback(forget)

    def _idle_time(self, headers: httputil.HTTPHeaders) -> float:
        if headers.get('Connection', '').lower() == 'close':
            return 0.0
        for part in headers.get('Keep-Alive', '').split(','):
            name, _, value = part.strip().partition('=')
            if name.lower() == 'timeout' and value.isdigit():
                return min(self._idle_s, int(value) * IDLE_SHARE)
        return self._idle_s


def open_socket() -> socket.socket:
    """Returns a TCP socket that notices a connection gone silent."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    watch_for_silence(opened)
    return opened


def watch_for_silence(connected: socket.socket) -> None:
    """Lets the kernel end a connection whose other end does not respond."""
    tcp = socket.IPPROTO_TCP
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connected.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    connected.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    connected.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def listen(address: data.Address) -> list[socket.socket]:
    """Opens listening sockets."""
    return netutil.bind_sockets(address.port, address.host)


def _whole(reader: _Reader, stream: _Stream) -> Incoming:
    if not reader.complete:
        raise errors.OutcomeUnknownError('the answer broke off')
    length = reader.headers.get('Content-Length')
    chunked = 'Transfer-Encoding' in reader.headers
    if length is None and not chunked and stream.error is not None:
        # A body without length ends with the connection; a reset is no end.
        raise errors.OutcomeUnknownError('the answer ended with a reset')
    return Incoming(reader.status, reader.headers, b''.join(reader.chunks))


def _take_result(writing: asyncio.Future) -> None:
    # The reading side reports a connection that broke off.
    if not writing.cancelled():
        writing.exception()
