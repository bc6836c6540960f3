"""Calls on kept connections, each at a set moment of the stop of a VM."""

import asyncio
import dataclasses
import enum

from oriolefold_core import data, results
from oriolefold_testbed import keptconnections, probing, servers

FIRST_PART_S = 0.05  # The first part of a split request is sent this early.
TRICKLE_INTERVAL_S = 0.3  # Shorter than the pause that ends the wait for it.
TRICKLED_BYTES = 1000
ANSWER_LIMIT_S = 15.0  # Only a call that hangs reaches it.
BODY = b'body' * 50


class Path(enum.Enum):
    """Which VMs a request passes, seen from the VM that stops.

    Attributes:
        UNKEYED: That VM, which sends it to any server.
        HOME: That VM, which is the home of its key.
        FORWARDED_BY_IT: That VM, then another one, the home of its key.
        FORWARDED_TO_IT: Another VM, then that one, the home of its key.
    """

    UNKEYED = 'unkeyed'
    HOME = 'home'
    FORWARDED_BY_IT = 'forwarded by it'
    FORWARDED_TO_IT = 'forwarded to it'


class Split(enum.Enum):
    """Which part of a request arrives before the stop.

    Attributes:
        NONE: None of it.
        HEAD: Half of its head.
        BODY: Its head and half of its body.
    """

    NONE = 'none'
    HEAD = 'head'
    BODY = 'body'


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A planned request.

    Attributes:
        request_id: ID of the request.
        path: VMs that it passes.
        vm: Entry VM.
        method: HTTP method.
        service_id: Service.
        key: Key, or any text for a service without keys.
        deadline_s: Deadline that the caller asks for, in seconds; None if it
            asks for none.
        limit_s: Time after which it ends in any case, in seconds.
        work_ms: Service time at the server.
        at_s: When the last part is sent, in seconds after the stop begins.
        split: What is sent right before the stop.
        filler_bytes: Size of the answer that it asks for.
    """

    request_id: str
    path: Path
    vm: data.Vm
    method: str
    service_id: str
    key: str
    deadline_s: float | None
    limit_s: float
    work_ms: int
    at_s: float
    split: Split = Split.NONE
    filler_bytes: int = 0

    @property
    def target(self) -> str:
        """Path and query."""
        return (
            f'/{self.service_id}/{self.key}'
            f'?work_ms={self.work_ms}&size={self.filler_bytes}'
        )

    @property
    def body(self) -> bytes:
        """Body."""
        return BODY if self.method == 'POST' else b''

    def parts(self) -> tuple[bytes, bytes]:
        """Returns what is sent right before the stop, and the rest."""
        lines = [
            f'{self.method} {self.target} HTTP/1.1',
            'Host: h.example',
            f'{results.REQUEST_ID_HEADER}: {self.request_id}',
            f'Content-Length: {len(self.body)}',
        ]
        if self.deadline_s is not None:
            deadline_ms = round(self.deadline_s * 1000)
            lines.append(f'{results.DEADLINE_HEADER}: {deadline_ms}')
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        cut = 0
        if self.split is Split.HEAD:
            cut = len(head) // 2
        elif self.split is Split.BODY:
            cut = len(head) + len(self.body) // 2
        message = head + self.body
        return message[:cut], message[cut:]


class LateCaller:
    """Owner of one kept connection, on which it sends one planned request.

    Attributes:
        call: The planned request.
        sent: What became of it; None if nothing of it was sent, since the
            connection had ended before.
    """

    def __init__(self, call: Call):
        self.call = call
        self.sent: keptconnections.Sent | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._received_bytes = 0

    async def connect(self) -> None:
        """Opens the connection and has a first request answered on it."""
        address = self.call.vm.caller_address
        self._reader, self._writer = await asyncio.open_connection(
            address.host, address.port
        )
        first = dataclasses.replace(
            self.call,
            request_id=f'{self.call.request_id}-first',
            method='GET',
            deadline_s=None,
            work_ms=0,
            split=Split.NONE,
            filler_bytes=0,
        )
        self._writer.write(first.parts()[1])
        await self._receive()

    async def run(self, stops_at_s: float) -> None:
        """Sends the request when it is due and waits for its answer.

        Args:
            stops_at_s: When the stop begins, on the clock of `servers.now_s`.
        """
        first, rest = self.call.parts()
        await _sleep_until(
            stops_at_s + (-FIRST_PART_S if first else self.call.at_s)
        )
        if self._reader.at_eof():
            self._writer.close()
            return
        sent_s = servers.now_s()
        self._received_bytes = 0
        receiving = asyncio.create_task(self._receive())
        if first:
            self._writer.write(first)
            due_s = stops_at_s + self.call.at_s
            await asyncio.wait({receiving}, timeout=due_s - servers.now_s())
        if not receiving.done():
            sent_s = servers.now_s()
            self._writer.write(rest)
        status, outcome, damage = 0, probing.NO_ANSWER, ''
        try:
            async with asyncio.timeout(ANSWER_LIMIT_S):
                status, outcome, received = await receiving
            if outcome == results.Outcome.ANSWERED.value:
                damage = keptconnections.damage_of(
                    self.call.method,
                    self.call.target,
                    self.call.body,
                    self.call.filler_bytes,
                    received,
                )
        except (OSError, EOFError, TimeoutError):
            pass
        self._writer.close()
        self.sent = keptconnections.Sent(
            self.call.request_id,
            self.call.key,
            self.call.method,
            sent_s,
            servers.now_s(),
            outcome,
            status,
            self.call.vm.vm_id,
            self.call.target,
            self.call.limit_s,
            self._received_bytes,
            damage,
        )

    async def _receive(self) -> tuple[int, str, bytes]:
        """Returns the status, the outcome and the body of an answer."""
        head = await self._reader.readuntil(b'\r\n\r\n')
        self._received_bytes = len(head)
        first, *lines = head.decode('latin-1').strip().split('\r\n')
        values_by_name = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(':') for line in lines)
        }
        body = await self._reader.readexactly(
            int(values_by_name['content-length'])
        )
        outcome = values_by_name.get(results.OUTCOME_HEADER.lower(), '')
        return int(first.split()[1]), outcome, body


class TricklingCaller:
    """Sends a body so slowly that it holds up the drain of a VM to its limit.

    Attributes:
        outcome: Outcome that it is told.
    """

    def __init__(self, vm: data.Vm, service_id: str):
        self._vm = vm
        self._service_id = service_id
        self.outcome = ''

    async def run(self) -> None:
        """Sends a body until it gets an answer or the connection ends."""
        address = self._vm.caller_address
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        writer.write(
            f'POST /{self._service_id}/trickled HTTP/1.1\r\n'
            f'Host: h.example\r\nContent-Length: {TRICKLED_BYTES}\r\n\r\n'
            ''.encode()
        )
        receiving = asyncio.create_task(reader.readuntil(b'\r\n\r\n'))
        while not receiving.done():
            writer.write(b'x')
            await asyncio.wait({receiving}, timeout=TRICKLE_INTERVAL_S)
        try:
            head = (await receiving).decode('latin-1')
            for line in head.split('\r\n'):
                name, _, value = line.partition(':')
                if name.lower() == results.OUTCOME_HEADER.lower():
                    self.outcome = value.strip()
        except (OSError, EOFError):
            self.outcome = probing.NO_ANSWER
        finally:
            writer.close()


async def _sleep_until(due_s: float) -> None:
    await asyncio.sleep(max(0.0, due_s - servers.now_s()))
