"""HTTP server for callers, based on Tornado."""

import asyncio
import resource
import socket
import sys

from tornado import http1connection, netutil

from oriolefold_core import bytebudget, data, results, tasks
from oriolefold_gateway import accepting, connections
from oriolefold_telemetry import logs

IDLE_TIMEOUT_S = 75.0
HEADER_TIMEOUT_S = 75.0
MAX_HEADER_BYTES = 64 * 1024
STALL_S = 1.0  # Pause after which a partial request holds up no drain.
DELIVERY_CHECK_S = 0.05  # The kernel does not report acknowledged bytes.
FIRST_REQUEST_S = 0.5  # Time for the first request of a new connection.
BODY_STALL_S = 10.0  # Pause after which a body gives up its room.
DEFAULT_BODIES_BYTES = 80 * 1024 * 1024  # All bodies of requests together.
CLOSE_LIMIT_S = 0.2  # Time to end all connections at a stop.
# Of this process's descriptors. Connections to instances need the rest.
DESCRIPTORS_FRACTION = 0.75


class Frontend:
    """Accepts HTTP requests of callers and passes them to a dispatcher.

    Attributes:
        draining: Whether each answer asks the caller to close the connection.
        refusing: Whether new requests are refused.
        max_header_bytes: Largest size of the headers of a request.
        max_body_bytes: Largest body of a request.
        header_timeout_s: Time in which the headers of a request have to
            arrive, from their first byte, in seconds.
        idle_timeout_s: Time that a connection may stay idle, in seconds.
        body_stall_s: Time without a byte after which the body of a request is
            not waited for any longer, in seconds.
        deadline_header: Header with the time that a caller is willing to wait,
            in milliseconds.
        bodies: Budget of the bodies of all requests.
        max_connections: Largest number of connections of callers; more are
            closed before anything is read.
        http_parameters: Parameters of the HTTP protocol for Tornado.
    """

    def __init__(
        self,
        address: data.Address,
        dispatcher: tasks.Task,
        max_body_bytes: int,
        deadline_header: str = results.DEADLINE_HEADER,
        bodies: bytebudget.BodyBudget | None = None,
    ):
        """Initializes the server; `start` opens the socket.

        Args:
            address: Address to listen on.
            dispatcher: Task that handles the requests.
            max_body_bytes: Largest accepted body of a request.
            deadline_header: Header with the time that a caller is willing to
                wait, in milliseconds.
            bodies: Budget of the bodies of all requests; by default of
                `DEFAULT_BODIES_BYTES`.
        """
        self._address = address
        self._dispatcher = dispatcher
        self.deadline_header = deadline_header
        self.body_stall_s = BODY_STALL_S
        self.bodies = bodies or bytebudget.BodyBudget(DEFAULT_BODIES_BYTES)
        self.http_parameters = http1connection.HTTP1ConnectionParameters()
        self.set_limits(MAX_HEADER_BYTES, max_body_bytes, IDLE_TIMEOUT_S)
        self.http_parameters.max_header_size = MAX_HEADER_BYTES
        self._acceptor: accepting.Acceptor | None = None
        self._connections: set[connections.Connection] = set()
        self.max_connections = _max_connections()
        self.draining = False
        self.refusing = False
        self._is_closing = False
        self._in_flight = 0
        self._cut_count = 0
        self._changed = asyncio.Event()

    @property
    def connection_count(self) -> int:
        """Number of connections of callers."""
        return len(self._connections)

    @property
    def in_flight(self) -> int:
        """Number of requests in progress.

        A request is in progress from its first byte until its answer has been
        written to the kernel, or its connection has ended.
        """
        return self._in_flight

    @property
    def is_closing(self) -> bool:
        """Whether this VM is closing its connections to callers."""
        return self._is_closing

    def request_started(self) -> None:
        """Counts a request that has started."""
        self._in_flight += 1
        self._changed.set()

    def request_ended(self) -> None:
        """Counts a request that has ended."""
        self._in_flight -= 1
        self._changed.set()

    def request_cut(self, request_id: str, stage: str, **fields) -> None:
        """Counts and logs a request whose connection ended before its answer.

        Args:
            request_id: The request; empty if it is not known.
            stage: How far the request had come.
            **fields: More of what is known about it, for the log.
        """
        self._cut_count += 1
        logs.event(
            'request.cut',
            request=request_id,
            stage=stage,
            draining=self.draining,
            total=self._cut_count,
            **fields,
        )

    def connection_ended(self, connection: connections.Connection) -> None:
        """Forgets a connection that has ended."""
        self._connections.discard(connection)
        self._changed.set()

    def start(self, reuse_port: bool) -> None:
        """Opens the listening socket."""
        listening = netutil.bind_sockets(
            self._address.port,
            self._address.host,
            backlog=accepting.MAX_QUEUED_CONNECTIONS,
            reuse_port=reuse_port,
        )
        self._acceptor = accepting.Acceptor(listening, self._on_accepted)
        self._acceptor.start()

    def set_limits(
        self,
        header_bytes: int,
        body_bytes: int,
        idle_timeout_s: float,
        header_timeout_s: float = HEADER_TIMEOUT_S,
    ) -> None:
        """Sets the limits for callers.

        Args:
            header_bytes: Largest size of the headers of a request. Headers of
                more than twice this size plus 64 KiB close the connection
                without an answer.
            body_bytes: Largest body of a request; lower if the budget of the
                bodies could never hold it.
            idle_timeout_s: Time that a connection may stay idle, in seconds.
            header_timeout_s: Time in which the headers of a request have to
                arrive, from their first byte, in seconds.
        """
        body_bytes = min(body_bytes, self.bodies.max_body_bytes)
        self.max_header_bytes = header_bytes
        self.max_body_bytes = body_bytes
        self.idle_timeout_s = idle_timeout_s
        self.header_timeout_s = header_timeout_s
        # Exchanges enforce the actual limits and answer with a clear error.
        # Tornado's limits are larger, so that they do not apply first.
        parameters = self.http_parameters
        parameters.max_header_size = 2 * header_bytes + MAX_HEADER_BYTES
        parameters.max_body_size = 2 * body_bytes + MAX_HEADER_BYTES

    async def drain(self) -> None:
        """Closes the listening socket and waits for the requests in progress.

        Meanwhile, requests on open connections are still served; each answer
        asks the caller to close the connection. A request that has stopped
        arriving is not waited for, nor a caller that has stopped reading an
        earlier answer. Requests that arrive after the drain are
        refused, since their connections are about to be closed.
        """
        self.draining = True
        self._acceptor.stop()
        await self._wait_for_first_requests()
        while True:
            if any(c.is_busy(STALL_S) for c in self._connections):
                await self._wait_for_change(STALL_S)
            elif any(c.is_delivering(STALL_S) for c in self._connections):
                await self._wait_for_change(DELIVERY_CHECK_S)
            else:
                break
        self.refusing = True

    async def stop(self) -> None:
        """Answers what has arrived and closes all connections."""
        self.draining = True
        self.refusing = True
        self._is_closing = True
        self._acceptor.stop()
        try:
            async with asyncio.timeout(CLOSE_LIMIT_S):
                while self._connections:
                    for connection in list(self._connections):
                        connection.end()
                    await self._wait_for_change(CLOSE_LIMIT_S)
        except TimeoutError:
            pass
        await asyncio.gather(
            *(connection.abort() for connection in self._connections)
        )

    def _on_accepted(self, accepted: socket.socket) -> None:
        if self.connection_count >= self.max_connections:
            accepted.close()
            logs.event('connection.refused', open=self.connection_count)
            return
        connection = connections.Connection(accepted, self, self._dispatcher)
        self._connections.add(connection)
        connection.start()

    async def _wait_for_first_requests(self) -> None:
        while any(
            connection.awaits_first_request(FIRST_REQUEST_S)
            for connection in self._connections
        ):
            await self._wait_for_change(FIRST_REQUEST_S)

    async def _wait_for_change(self, limit_s: float) -> None:
        """Waits until a request starts or ends, or a connection ends.

        Args:
            limit_s: Longest time to wait, in seconds.
        """
        self._changed.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            pass


def _max_connections() -> int:
    """Returns how many callers the descriptor limit of the process allows."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return sys.maxsize
    return int(limit * DESCRIPTORS_FRACTION)
