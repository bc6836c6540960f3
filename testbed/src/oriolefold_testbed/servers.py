"""Stand-ins for backend servers, with and without ownership of keys.

`PUT /control` with a JSON object changes the behaviour of an instance; its
members are attributes of `Behaviour`. `GET /journal` returns the requests that
the instance has executed. The query arguments of a request choose the `size` of
its answer, in bytes, and its service time, `work_ms`.
"""

import asyncio
import dataclasses
import hashlib
import json
import secrets
import time

import fire
from tornado import httpserver

from oriolefold_config import documents
from oriolefold_core import data, results
from oriolefold_testbed import standins

MAX_NONCES_PER_SENDER = 8
MAX_BODY_BYTES = 1024 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Adjustable behaviour of an instance.

    Attributes:
        service_ms: Service time of a request.
        cold_start_s: Period after the start in which requests take longer.
        cold_factor: Factor on the service time in that period.
        queue_limit: Maximum number of requests waiting for a slot; further
            requests are shed.
        leaving: Whether the instance refuses new requests.
        reported_state: State that the health endpoint reports, independent of
            the real one.
        reported_in_flight: Load that the load endpoint reports, or -1 for the
            real one.
        report_lag_ms: Delay of the health and load endpoints.
        fail_fast: Whether every request is answered with status 500 at once.
        die_after_run: Number of next requests that are executed, but whose
            connection is closed without a response.
        freeze_ms: Time for which the next request blocks the whole process.
    """

    service_ms: float = 1.0
    cold_start_s: float = 0.0
    cold_factor: float = 5.0
    queue_limit: int = 64
    leaving: bool = False
    reported_state: str = 'ok'
    reported_in_flight: int = -1
    report_lag_ms: float = 0.0
    fail_fast: bool = False
    die_after_run: int = 0
    freeze_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class Grant:
    """A lease on a shard.

    Attributes:
        token: Fencing token.
        expires_at_s: When the lease expires, on the clock of `now_s`.
    """

    token: int
    expires_at_s: float


class OwnershipTable:
    """Shard leases that a server has accepted, with their fencing tokens.

    A batch of grants carries a nonce that the server issued earlier. The lease
    counts from the time when the nonce was issued, so it needs no clock that
    is synchronized with the sender, and a delayed batch cannot extend it.

    Attributes:
        grants_by_shard: Current grants, which may have expired.
        highest_token_by_shard: Highest token accepted so far.
    """

    def __init__(self):
        self.grants_by_shard: dict[int, Grant] = {}
        self.highest_token_by_shard: dict[int, int] = {}
        self._nonces_by_sender: dict[str, dict[str, float]] = {}

    def apply_batch(self, batch: dict) -> dict:
        """Applies a batch of revocations and grants and returns the reply."""
        nonces = self._nonces_by_sender.setdefault(batch['sender'], {})
        issued_s = nonces.pop(batch['nonce'], None)
        next_nonce = secrets.token_hex(8)
        while len(nonces) >= MAX_NONCES_PER_SENDER:
            nonces.pop(next(iter(nonces)))
        nonces[next_nonce] = now_s()
        reply = {'next_nonce': next_nonce, 'accepted': issued_s is not None}
        reply['refused'] = []
        if issued_s is None:
            return reply
        for shard, token in batch.get('revoked', ()):
            held = self.grants_by_shard.get(shard)
            if held is not None and held.token <= token:
                del self.grants_by_shard[shard]
        expires_at_s = issued_s + batch['ttl_ms'] / 1000
        for shard, token in batch['grants']:
            highest_token = self.highest_token_by_shard.get(shard, 0)
            if token < highest_token:
                reply['refused'].append([shard, highest_token])
            else:
                self.highest_token_by_shard[shard] = token
                self.grants_by_shard[shard] = Grant(token, expires_at_s)
        return reply

    def holds(self, shard: int, token: int) -> bool:
        """Whether the server currently owns a shard with this token."""
        grant = self.grants_by_shard.get(shard)
        return (
            grant is not None
            and grant.token == token
            and now_s() < grant.expires_at_s
        )


class ServerStandIn(standins.StandIn):
    """HTTP server that stands in for one instance.

    Attributes:
        instance: The instance as listed in the register.
        keyed: Whether the service of the instance is keyed.
        behaviour: Adjustable behaviour.
        table: Accepted grants.
        journal: Executed requests, in the order of completion.
        in_flight: Number of requests being executed.
        waiting: Number of requests waiting for a slot.
        connections: Number of open connections.
        refused_connections: Number of connections closed over the limit.
        started_s: Start time of the instance, on the clock of `now_s`.
        slots: Limit on concurrent requests.
    """

    def __init__(self, instance: data.Instance, keyed: bool, journal_file=None):
        super().__init__(
            {
                '/ownership/grants': _GrantHandler,
                '/health': _HealthHandler,
                '/load': _LoadHandler,
                '/control': _ControlHandler,
                '/journal': _JournalHandler,
                '/.*': _ServiceHandler,
            }
        )
        self.instance = instance
        self.keyed = keyed
        self.behaviour = Behaviour()
        self.table = OwnershipTable()
        self.journal: list[dict] = []
        self.in_flight = 0
        self.waiting = 0
        self.connections = 0
        self.refused_connections = 0
        self.started_s = now_s()
        self.slots = asyncio.Semaphore(instance.slots)
        self._journal_file = journal_file

    def make_server(self) -> httpserver.HTTPServer:
        """Returns a server that enforces the connection limit."""
        server = _LimitedServer(self.application, max_body_size=MAX_BODY_BYTES)
        server.stand_in = self
        return server

    def listen(self) -> None:
        """Opens the listening socket on the address of the instance."""
        self.start(self.instance.address.host, self.instance.address.port)

    def record(self, entry: dict) -> None:
        """Adds an entry to the journal and its file, if any."""
        self.journal.append(entry)
        self._write(entry)

    def note_begun(self, request_id: str) -> None:
        """Notes in the file, if any, that the execution of a request begins.

        A request that is cancelled before its end has no entry in the journal.
        """
        self._write({'begun': request_id})

    def _write(self, entry: dict) -> None:
        if self._journal_file is not None:
            self._journal_file.write(json.dumps(entry) + '\n')
            self._journal_file.flush()

    def service_time_s(self) -> float:
        """Returns the current service time of a request."""
        factor = 1.0
        if now_s() - self.started_s < self.behaviour.cold_start_s:
            factor = self.behaviour.cold_factor
        return self.behaviour.service_ms * factor / 1000


class _LimitedServer(httpserver.HTTPServer):
    """Server that closes connections over the limit of the instance."""

    stand_in: ServerStandIn

    def handle_stream(self, stream, address):
        """Accepts a connection, or closes it if the limit is reached."""
        if self.stand_in.connections >= self.stand_in.instance.connections:
            self.stand_in.refused_connections += 1
            stream.close()
            return
        self.stand_in.connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn):
        """Decrements the connection count."""
        self.stand_in.connections -= 1
        super().on_close(server_conn)


class _Handler(standins.Handler):
    """Base class of the request handlers."""

    def initialize(self, stand_in: ServerStandIn):
        """Stores the stand-in."""
        self._stand_in = stand_in
        self._behaviour = stand_in.behaviour

    async def _delay_report(self) -> None:
        if self._behaviour.report_lag_ms:
            await asyncio.sleep(self._behaviour.report_lag_ms / 1000)


class _GrantHandler(_Handler):
    def post(self):
        """Accepts a batch of grants."""
        batch = json.loads(self.request.body)
        self.finish(self._stand_in.table.apply_batch(batch))


class _HealthHandler(_Handler):
    async def get(self):
        """Reports the health state."""
        await self._delay_report()
        state = self._behaviour.reported_state
        if self._behaviour.leaving and state == 'ok':
            state = 'leaving'
        self.finish({'state': state})


class _LoadHandler(_Handler):
    async def get(self):
        """Reports the number of running and waiting requests."""
        await self._delay_report()
        reported = self._behaviour.reported_in_flight
        if reported < 0:
            reported = self._stand_in.in_flight + self._stand_in.waiting
        self.finish({'in_flight': reported})


class _ControlHandler(_Handler):
    def put(self):
        """Changes attributes of the behaviour and returns all of them."""
        for name, value in json.loads(self.request.body).items():
            setattr(self._behaviour, name, value)
        self.finish(dataclasses.asdict(self._behaviour))


class _JournalHandler(_Handler):
    def get(self):
        """Returns the journal."""
        self.finish({'journal': self._stand_in.journal})


class _ServiceHandler(_Handler):
    """Executes requests to the service itself."""

    def initialize(self, stand_in):
        """Stores the stand-in."""
        super().initialize(stand_in)
        self._connection_closed = False

    def on_connection_close(self):
        """Records that the sender has cancelled the request."""
        self._connection_closed = True

    async def prepare(self):
        """Executes the request, whatever its method."""
        started_s = now_s()
        if self._behaviour.freeze_ms:
            frozen_ms, self._behaviour.freeze_ms = self._behaviour.freeze_ms, 0
            # Blocks the event loop on purpose, to freeze the whole process.
            time.sleep(frozen_ms / 1000)  # noqa: ASYNC251
        if self._behaviour.fail_fast:
            self.set_status(500)
            self.finish({'error': 'failing'})
            return
        if self._behaviour.leaving:
            self._refuse(503, 'leaving')
            return
        stand_in = self._stand_in
        if stand_in.waiting >= self._behaviour.queue_limit:
            self._refuse(503, 'shed')
            return
        stand_in.waiting += 1
        try:
            await stand_in.slots.acquire()
        finally:
            stand_in.waiting -= 1
        try:
            await self._run(started_s)
        finally:
            stand_in.slots.release()

    async def _run(self, started_s: float) -> None:
        headers = self.request.headers
        deadline_ms = headers.get(results.DEADLINE_HEADER)
        if self._connection_closed or self.request.connection.stream.closed():
            return
        if deadline_ms and now_s() > started_s + int(deadline_ms) / 1000:
            self._refuse(504, 'deadline passed')
            return
        token = int(headers.get(results.TOKEN_HEADER, '-1'))
        shard = int(headers.get(results.SHARD_HEADER, '-1'))
        stand_in = self._stand_in
        if stand_in.keyed and stand_in.instance.checks_tokens:
            if not stand_in.table.holds(shard, token):
                self._refuse(409, 'token not held')
                return
        stand_in.in_flight += 1
        begun_s = now_s()
        stand_in.note_begun(headers.get(results.REQUEST_ID_HEADER, ''))
        try:
            await asyncio.sleep(self._work_s())
        finally:
            stand_in.in_flight -= 1
        if self._must_abort(started_s, shard, token):
            self._refuse(409, 'aborted before the commit')
            return
        # The journal entry stands for the commit. There is no `await` between
        # the check above and this point, so nothing can change in between.
        stand_in.record(
            {
                'request': headers.get(results.REQUEST_ID_HEADER, ''),
                'instance': stand_in.instance.instance_id,
                'method': self.request.method,
                'target': self.request.uri,
                'shard': shard,
                'token': token,
                'begun_s': begun_s,
                'ended_s': now_s(),
            }
        )
        self._answer()

    def _work_s(self) -> float:
        work_ms = self.get_query_argument('work_ms', '')
        if work_ms:
            return int(work_ms) / 1000
        return self._stand_in.service_time_s()

    def _must_abort(self, started_s: float, shard: int, token: int) -> bool:
        """Whether the request was cancelled, is late or has lost its grant."""
        if self._connection_closed or self.request.connection.stream.closed():
            return True
        deadline_ms = self.request.headers.get(results.DEADLINE_HEADER)
        if deadline_ms and now_s() > started_s + int(deadline_ms) / 1000:
            return True
        stand_in = self._stand_in
        if stand_in.keyed and stand_in.instance.checks_tokens:
            return not stand_in.table.holds(shard, token)
        return False

    def _answer(self) -> None:
        if self._behaviour.die_after_run > 0:
            self._behaviour.die_after_run -= 1
            self.request.connection.stream.close()
            return
        size = int(self.get_query_argument('size', '0'))
        body = {
            'instance': self._stand_in.instance.instance_id,
            'target': self.request.uri,
            'method': self.request.method,
            'digest': hashlib.sha256(self.request.body).hexdigest(),
            'filler': 'x' * size,
        }
        self.finish(body)

    def _refuse(self, status: int, reason: str) -> None:
        self.set_status(status)
        self.set_header(results.NOT_RUN_HEADER, '1')
        self.finish({'refused': reason})


def now_s() -> float:
    """Returns the time since boot, which all processes of a machine share."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def main(
    folder: str, only: str = '', region: str = '', journal: str = ''
) -> None:
    """Runs stand-ins for instances of a register until interrupted.

    Args:
        folder: Folder with `register.yaml` and `rules.yaml`.
        only: Comma-separated instances to run; empty for all.
        region: Region whose instances to run; empty for all.
        journal: File to append the journal to; empty for none.
    """
    register = documents.validate(documents.read_folder(folder)).register
    instance_ids = {name for name in only.split(',') if name}

    def start() -> None:
        journal_stream = (
            open(journal, 'a', encoding='utf-8') if journal else None
        )
        for service in register.services_by_id.values():
            for instance in service.instances_by_id.values():
                if instance_ids and instance.instance_id not in instance_ids:
                    continue
                if region and register.region_of(instance.zone_id) != region:
                    continue
                ServerStandIn(instance, service.keyed, journal_stream).listen()

    standins.run_until_interrupted(start)


if __name__ == '__main__':
    fire.Fire(main)
