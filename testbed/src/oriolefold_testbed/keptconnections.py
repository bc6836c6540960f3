"""Callers that use their connections to an entry VM until these end.

They ignore requests to close a connection, leave it idle for seconds, and read
large answers slowly, so that they meet every stage of the stop of a VM.
"""

import asyncio
import dataclasses
import hashlib
import json
import random
import socket
from collections.abc import Sequence

from oriolefold_core import data, results
from oriolefold_testbed import probing, scenarios, servers

SERVICES = (scenarios.SERVICE, scenarios.UNKEYED_SERVICE)
CONNECT_TIMEOUT_S = 1.0
RESPONSE_GRACE_S = 3.0  # Wait for a response beyond the deadline.
DEADLINE_S = 1.0
LONG_DEADLINE_S = 1.9
LONG_WORK_MS = (200, 1500)
# Leaves time to read the response: a VM that stops sends a request if its
# deadline is before the stop limit, whatever time the response then takes.
LARGE_DEADLINE_S = 2.4
# The largest is more than the buffers of both sockets hold.
LARGE_RESPONSE_BYTES = (300_000, 2_000_000, 6_000_000)
SHORT_PAUSE_S = 0.05
MAX_REST_S = 4.0
READ_BYTES = 65536
SLOW_READ_INTERVAL_S = 0.003
SLOW_RECEIVE_BUFFER_BYTES = 65536
# A request that was sent while the VM closed its connection fails within this
# time and is no violation unless it was read.
CLOSE_SLACK_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Habits:
    """How a caller uses its connections.

    Attributes:
        rests: Whether it leaves its connection idle for seconds.
        reads_slowly: Whether it reads large responses slowly.
    """

    rests: bool
    reads_slowly: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Sent(probing.Sample):
    """A request on a kept connection and its outcome.

    Attributes:
        vm_id: VM that it was sent to.
        target: Path and query of the request.
        deadline_s: Time that the caller allows.
        received_bytes: Bytes of the response that have arrived.
        damage: What is wrong with a complete response; empty if nothing is.
    """

    vm_id: str
    target: str
    deadline_s: float
    received_bytes: int
    damage: str

    @property
    def is_cut(self) -> bool:
        """Whether its connection ended before the complete response."""
        return self.status == 0

    @property
    def is_late(self) -> bool:
        """Whether it ended after its deadline."""
        return self.done_s - self.sent_s >= self.deadline_s

    @property
    def crossed_close(self) -> bool:
        """Whether the VM may have closed the connection before it arrived."""
        return (
            self.is_cut
            and not self.received_bytes
            and self.done_s - self.sent_s <= CLOSE_SLACK_S
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    request_id: str
    method: str
    service_id: str
    key: str
    body: bytes
    work_ms: int
    response_bytes: int

    @property
    def target(self) -> str:
        return (
            f'/{self.service_id}/{self.key}'
            f'?work_ms={self.work_ms}&size={self.response_bytes}'
        )

    @property
    def deadline_s(self) -> float:
        if self.response_bytes:
            return LARGE_DEADLINE_S
        return LONG_DEADLINE_S if self.work_ms else DEADLINE_S


@dataclasses.dataclass
class _Connection:
    vm: data.Vm
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    received_bytes: int = 0  # Of the latest response.

    @property
    def has_ended(self) -> bool:
        return self.writer.is_closing() or self.reader.at_eof()


class Caller:
    """Sends one request after another, with one connection at a time.

    Attributes:
        sent: Requests that were sent on an open connection.
    """

    def __init__(
        self,
        name: str,
        vms: Sequence[data.Vm],
        keys: Sequence[str],
        habits: Habits,
        generator: random.Random,
    ):
        """Initializes the caller.

        Args:
            name: Beginning of the IDs of its requests.
            vms: Entry VMs; it connects to another one when a connection ends.
            keys: Keys of its requests.
            habits: How it uses its connections.
            generator: Source of the choice of VMs and requests.
        """
        self._name = name
        self._vms = vms
        self._keys = keys
        self._habits = habits
        self._random = generator
        self._connection: _Connection | None = None
        self._request_count = 0
        self._stopping = asyncio.Event()
        self.sent: list[Sent] = []

    async def run(self) -> None:
        """Sends requests until it is stopped."""
        while not self._stopping.is_set():
            if self._connection is None or self._connection.has_ended:
                self._disconnect()
                await self._connect()
            if self._connection is not None:
                await self._call(self._connection, self._draw_request())
            longest_s = MAX_REST_S if self._habits.rests else SHORT_PAUSE_S
            await self._pause(longest_s * self._random.random())
        self._disconnect()

    def stop(self) -> None:
        """Ends `run` once its request has ended."""
        self._stopping.set()

    async def _pause(self, pause_s: float) -> None:
        try:
            async with asyncio.timeout(pause_s):
                await self._stopping.wait()
        except TimeoutError:
            pass

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None

    async def _connect(self) -> None:
        vm = self._random.choice(self._vms)
        connecting = socket.socket()
        connecting.setblocking(False)
        if self._habits.reads_slowly:
            connecting.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
            )
        address = (vm.caller_address.host, vm.caller_address.port)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await asyncio.get_running_loop().sock_connect(
                    connecting, address
                )
        except (OSError, TimeoutError):
            connecting.close()
            return
        reader, writer = await asyncio.open_connection(sock=connecting)
        self._connection = _Connection(vm, reader, writer)

    def _draw_request(self) -> _Request:
        self._request_count += 1
        work_ms, response_bytes = 0, 0
        draw = self._random.random()
        if draw < 0.2:
            work_ms = self._random.randint(*LONG_WORK_MS)
        elif draw < 0.35:
            response_bytes = self._random.choice(LARGE_RESPONSE_BYTES)
        is_post = self._random.random() < 0.5
        return _Request(
            f'{self._name}-{self._request_count}',
            'POST' if is_post else 'GET',
            self._random.choice(SERVICES),
            self._random.choice(self._keys),
            self._random.randbytes(200) if is_post else b'',
            work_ms,
            response_bytes,
        )

    async def _call(self, connection: _Connection, request: _Request) -> None:
        sent_s = servers.now_s()
        status, outcome, damage = 0, probing.NO_ANSWER, ''
        connection.received_bytes = 0
        try:
            async with asyncio.timeout(request.deadline_s + RESPONSE_GRACE_S):
                await self._send(connection, request)
                status, headers, body = await self._receive(connection)
            outcome = headers.get(results.OUTCOME_HEADER.lower(), '')
            if outcome == results.Outcome.ANSWERED.value:
                damage = damage_of(
                    request.method,
                    request.target,
                    request.body,
                    request.response_bytes,
                    body,
                )
        except (OSError, EOFError, TimeoutError):
            self._disconnect()
        self.sent.append(
            Sent(
                request.request_id,
                request.key,
                request.method,
                sent_s,
                servers.now_s(),
                outcome,
                status,
                connection.vm.vm_id,
                request.target,
                request.deadline_s,
                connection.received_bytes,
                damage,
            )
        )

    async def _send(self, connection: _Connection, request: _Request) -> None:
        head = (
            f'{request.method} {request.target} HTTP/1.1\r\nHost: h.example\r\n'
            f'{results.REQUEST_ID_HEADER}: {request.request_id}\r\n'
            f'{results.DEADLINE_HEADER}: {int(request.deadline_s * 1000)}\r\n'
            f'Content-Length: {len(request.body)}\r\n\r\n'
        )
        connection.writer.write(head.encode() + request.body)
        await connection.writer.drain()

    async def _receive(
        self, connection: _Connection
    ) -> tuple[int, dict[str, str], bytes]:
        """Returns the status, the headers and the body of the response."""
        reader = connection.reader
        head = await reader.readuntil(b'\r\n\r\n')
        connection.received_bytes = len(head)
        first, *lines = head.decode('latin-1').strip().split('\r\n')
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        body = bytearray()
        length = int(headers['content-length'])
        while len(body) < length:
            chunk = await reader.read(min(length - len(body), READ_BYTES))
            if not chunk:
                raise EOFError
            body += chunk
            connection.received_bytes += len(chunk)
            if self._habits.reads_slowly:
                await asyncio.sleep(SLOW_READ_INTERVAL_S)
        return int(first.split()[1]), headers, bytes(body)


def damage_of(
    method: str, target: str, sent: bytes, filler_bytes: int, received: bytes
) -> str:
    """Returns what differs from the answer to a request; empty if nothing.

    Args:
        method: Method of the request.
        target: Path and query of the request.
        sent: Body of the request.
        filler_bytes: Size of the answer that the request asks for.
        received: Body of the answer.
    """
    answer = json.loads(received)
    expected = {
        'target': target,
        'method': method,
        'digest': hashlib.sha256(sent).hexdigest(),
        'filler': 'x' * filler_bytes,
    }
    wrong = [name for name in expected if answer.get(name) != expected[name]]
    return ', '.join(wrong)
