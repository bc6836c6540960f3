"""Tests of oriolefold_direct.application: how an entry VM stops."""

import asyncio
import re
import socket
import time
from unittest import mock

import fakes

from oriolefold_core import errors, tasks
from oriolefold_direct import (
    application,
    coordinators,
    dispatcher,
    documents,
    peering,
    status,
    watching,
)
from oriolefold_gateway import frontend
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import attempts, draining, topology
from oriolefold_store import ports as store_ports
from oriolefold_telemetry import counters
from oriolefold_testbed import basecase

LOCALITY = topology.Locality('z1', {'z1': 'r1'})
STOP_LIMIT_S = 1.0
DRAIN_DELAY_S = 0.3
LATE_S = 0.6  # After the drain delay and before the stop limit.
# The platform leaves 0.6 s from the stop limit to the end of the grace period.
CLOSE_LIMIT_S = 0.5
SHARE_OF_CORE = 0.43  # Of the smallest VM.
CALLERS = 1000
PEERS = 100


class _Store(store_ports.Store):
    """Store without objects whose calls can fail or stay unanswered.

    Attributes:
        error: Raised by reads and writes, if set.
        silent: Whether reads and writes stay unanswered.
    """

    def __init__(self):
        self.error: Exception | None = None
        self.silent = False
        self.versions_by_name: dict[str, int] = {}
        self.contents_by_name: dict[str, bytes] = {}

    async def read(self, name):
        await self._respond()
        if name not in self.contents_by_name:
            raise errors.ObjectNotFoundError(name)
        return store_ports.StoredObject(
            name, self.versions_by_name[name], self.contents_by_name[name]
        )

    async def write(self, name, content, expected_version):
        await self._respond()
        self.versions_by_name[name] = expected_version + 1
        self.contents_by_name[name] = content
        return expected_version + 1

    async def watch(self, prefix, after_revision, timeout_s):
        if after_revision:
            await asyncio.sleep(timeout_s)
        return store_ports.Changes(1, (), complete=True)

    async def close(self):
        """Does nothing."""

    async def _respond(self):
        if self.silent:
            await asyncio.sleep(3600)
        if self.error is not None:
            raise self.error


class _StaticReader(watching.Reader):
    """Reader that posts the same message for any objects."""

    def __init__(self, prefix, message):
        self.prefix = prefix
        self._message = message

    def read(self, stored):
        return stored

    def build_message(self, values_by_name):
        return self._message


class StopCase(basecase.AsyncCase):
    """Test case with an entry VM that is stopped."""

    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.store = _Store()
        self.address = basecase.free_address()

    async def start_entry(
        self, *routes, keyed=False, stop_limit_s=STOP_LIMIT_S
    ):
        self.status_address = basecase.free_address()
        values = application.DirectSettings(
            'vm-1',
            LOCALITY,
            self.address,
            self.status_address,
            '/ready',
            '/metrics',
            'Deadline-Ms',
            'Key',
            attempts.BudgetLimits(0.2, 10.0, 56.0, 1),
            DRAIN_DELAY_S,
            stop_limit_s,
        )
        self.entry = application.Application(
            values,
            self.store,
            self.instances,
            _StaticReader(
                'config/', fakes.policy_updated(*routes, keyed=keyed)
            ),
            _StaticReader(
                'servers/',
                fakes.endpoints_updated(fakes.endpoint('one', slots=2)),
            ),
            counters.Counters(),
        )
        self.running = asyncio.create_task(self.entry.run())
        self.addAsyncCleanup(self.stop_entry)
        await self.wait_for(self.entry.is_ready)

    async def stop_entry(self):
        self.entry.request_stop()
        await self.running

    async def connect(self):
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        self.addCleanup(writer.close)
        return reader, writer

    async def exchange(self, connection, request_id, deadline_ms=3000):
        """Sends a request; returns the answer, empty if there was none."""
        reader, writer = connection
        writer.write(
            f'GET /a/x HTTP/1.1\r\nHost: h.example\r\n'
            f'Deadline-Ms: {deadline_ms}\r\n'
            f'X-Request-Id: {request_id}\r\n\r\n'.encode()
        )
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ''
        length = re.search(r'Content-Length: (\d+)', head)
        await reader.readexactly(int(length.group(1)))
        return head

    async def occupy(self, seconds):
        """Starts a request that keeps the VM and an instance busy."""
        self.instances.outcomes = {'one': [seconds]}
        connection = await self.connect()
        self.busy = asyncio.create_task(self.exchange(connection, 'busy'))
        await self.wait_for(lambda: 'busy' in self.sent_ids())

    def sent_ids(self):
        return [sent.request_id for sent in self.instances.sent]


class StopTest(StopCase):
    """A stop answers the requests that were accepted, and accepts no others."""

    async def test_request_that_would_be_cut_is_refused_before_it_is_sent(
        self,
    ):
        await self.start_entry(fakes.route(timeout_s=5.0, idempotent=False))
        connection = await self.connect()
        self.assertIn(' 200 ', await self.exchange(connection, 'before'))
        await self.occupy(0.8)
        self.entry.request_stop()
        await asyncio.sleep(LATE_S)
        self.instances.outcomes = {'one': [2.0]}
        answer = await self.exchange(connection, 'late')
        self.assertIn(' 503 ', answer)
        self.assertIn('Connection: close', answer)
        self.assertIn('Retry-After: 0\r\n', answer)
        self.assertEqual(self.sent_ids(), ['before', 'busy'])
        self.assertIn(' 200 ', await self.busy)

    async def test_request_that_ends_in_time_is_served_while_draining(self):
        await self.start_entry(fakes.route(timeout_s=5.0, idempotent=False))
        connection = await self.connect()
        await self.exchange(connection, 'before')
        self.entry.request_stop()
        await asyncio.sleep(0.1)
        self.instances.outcomes = {'one': [0.1]}
        answer = await self.exchange(connection, 'bounded', deadline_ms=400)
        self.assertIn(' 200 ', answer)

    async def test_answers_in_the_drain_delay_ask_callers_to_leave(self):
        await self.start_entry(fakes.route(timeout_s=5.0), stop_limit_s=3.0)
        connection = await self.connect()
        answer = await self.exchange(connection, 'before')
        self.assertNotIn('Connection: close', answer)
        self.entry.request_stop()
        answer = await self.exchange(connection, 'after', deadline_ms=1000)
        self.assertIn(' 200 ', answer)
        self.assertIn('Connection: close', answer)

    async def test_request_at_an_instance_is_answered_at_the_stop_limit(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        await self.occupy(4.0)
        started_s = time.monotonic()
        self.entry.request_stop()
        answer = await self.busy
        self.assertIn(' 502 ', answer)
        self.assertGreater(time.monotonic() - started_s, STOP_LIMIT_S - 0.05)
        await self.wait_for(lambda: self.instances.cancelled_ids)

    async def test_stop_limit_is_kept_though_callers_keep_their_connections(
        self,
    ):
        await self.start_entry(fakes.route(timeout_s=5.0))
        await self.occupy(4.0)
        started_s = time.monotonic()
        await self.stop_entry()
        took_s = time.monotonic() - started_s
        self.assertLess(took_s - STOP_LIMIT_S, frontend.CLOSE_LIMIT_S + 0.1)
        self.assertIn(' 502 ', await self.busy)

    async def check_unsent_is_not_run(self):
        """Checks that a stop answers a queued request as not run."""
        await self.start_entry(fakes.route(timeout_s=5.0, objective_s=5.0))
        self.instances.outcomes = {'one': [4.0, 4.0]}
        exchanges_by_id = {
            request_id: asyncio.create_task(
                self.exchange(await self.connect(), request_id)
            )
            for request_id in ('q0', 'q1', 'q2')
        }
        await self.wait_for(lambda: len(self.sent_ids()) == 2)
        # A drain would refuse the queued request before the stop limit.
        with mock.patch.object(draining, 'may_send', return_value=True):
            await self.stop_entry()
        self.assertEqual(len(self.sent_ids()), 2)
        for request_id, exchange in exchanges_by_id.items():
            sent = request_id in self.sent_ids()
            self.assertIn(' 502 ' if sent else ' 503 ', await exchange)

    async def test_request_sent_nowhere_is_not_run_at_the_stop_limit(self):
        await self.check_unsent_is_not_run()

    async def test_request_sent_nowhere_is_not_run_after_a_failed_drain(self):
        failing = mock.patch.object(
            frontend.Frontend, 'drain', side_effect=ValueError('unexpected')
        )
        with failing, self.assertLogs('oriolefold_direct', 'ERROR'):
            await self.check_unsent_is_not_run()

    async def test_queued_request_is_refused_while_draining(self):
        await self.start_entry(fakes.route(timeout_s=5.0, objective_s=5.0))
        await self.occupy(4.0)
        self.instances.outcomes = {'one': [4.0]}
        connections = [await self.connect() for _ in range(2)]
        for i, (_, writer) in enumerate(connections):
            writer.write(
                b'GET /a/x HTTP/1.1\r\nHost: h.example\r\n'
                b'Deadline-Ms: 4000\r\nX-Request-Id: q%d\r\n\r\n' % i
            )
        await self.wait_for(lambda: len(self.sent_ids()) == 2)
        self.entry.request_stop()
        heads = [
            (await reader.read(4096)).decode() for reader, _ in connections
        ]
        queued = next(
            head
            for i, head in enumerate(heads)
            if f'q{i}' not in self.sent_ids()
        )
        self.assertIn(' 503 ', queued)
        self.assertEqual(len(self.sent_ids()), 2)

    async def lead(self):
        """Starts an entry VM that leads the keyed service."""
        await self.start_entry(fakes.route(timeout_s=5.0), keyed=True)
        name = documents.LEADER_PREFIX + 'svc'
        await self.wait_for(lambda: name in self.store.contents_by_name)
        # Until it has read the key map, there is nothing to resign.
        await asyncio.sleep(0.1)

    async def test_stop_does_not_wait_for_a_silent_store(self):
        await self.lead()
        self.store.silent = True
        started_s = time.monotonic()
        with mock.patch.object(application, 'RESIGN_LIMIT_S', 0.1):
            await self.stop_entry()
        self.assertLess(time.monotonic() - started_s, STOP_LIMIT_S - 0.2)

    async def test_listening_ends_after_the_drain_delay_with_a_silent_store(
        self,
    ):
        await self.lead()
        self.store.silent = True
        self.entry.request_stop()
        await asyncio.sleep(DRAIN_DELAY_S + 0.2)
        with self.assertRaises(OSError):
            await self.connect()

    async def test_failed_resignation_does_not_end_the_drain(self):
        await self.lead()
        self.store.error = ValueError('unexpected')
        started_s = time.monotonic()
        with self.assertLogs('oriolefold_direct', 'ERROR'):
            await self.stop_entry()
        self.assertGreater(time.monotonic() - started_s, DRAIN_DELAY_S)

    async def stop_with_failure(self, owner, name):
        """Stops while a request is in progress and a step of the stop fails."""
        await self.start_entry(fakes.route(timeout_s=5.0))
        await self.occupy(4.0)
        started_s = time.monotonic()
        failing = mock.patch.object(
            owner, name, side_effect=ValueError('unexpected')
        )
        with failing, self.assertLogs('oriolefold_direct', 'ERROR'):
            await self.stop_entry()
        self.assertIn(' 502 ', await self.busy)
        with self.assertRaises(OSError):
            await self.connect()
        return time.monotonic() - started_s

    async def test_unexpected_error_in_the_resignation_does_not_end_the_stop(
        self,
    ):
        took_s = await self.stop_with_failure(
            coordinators.Coordinators, 'resign'
        )
        self.assertGreater(took_s, STOP_LIMIT_S - 0.05)

    async def test_unexpected_error_in_the_drain_does_not_end_the_stop(self):
        await self.stop_with_failure(frontend.Frontend, 'drain')

    async def test_requests_that_cannot_be_ended_do_not_end_the_stop(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        await self.occupy(4.0)
        ask = tasks.Task.ask

        async def fail_to_end(task, message):
            if isinstance(message, gateway_messages.EndRequests):
                raise ValueError('unexpected')
            return await ask(task, message)

        failing = mock.patch.object(tasks.Task, 'ask', fail_to_end)
        with failing, self.assertLogs('oriolefold_direct', 'ERROR'):
            await self.stop_entry()
        self.assertIn(' 502 ', await self.busy)


class StepLimitTest(StopCase):
    """No step of the stop keeps the process beyond its grace period."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # The debug mode multiplies the processor time of each callback.
        asyncio.get_running_loop().set_debug(False)

    async def stop_at_limit(self):
        """Stops while a request is in progress; returns times after the limit.

        Returns:
            The time and the processor time from the stop limit to the end.
        """
        await self.occupy(4.0)
        self.entry.request_stop()
        await asyncio.sleep(STOP_LIMIT_S - 0.05)
        started_s, started_cpu_s = time.monotonic(), time.process_time()
        async with asyncio.timeout(5):
            await asyncio.shield(self.running)
        return (
            time.monotonic() - started_s - 0.05,
            time.process_time() - started_cpu_s,
        )

    async def check_hanging(self, owner, name):
        """Checks a stop in which a method of the application's parts hangs."""
        await self.start_entry(fakes.route(timeout_s=5.0))
        with mock.patch.object(owner, name, self.make_hanging()):
            took_s, _ = await self.stop_at_limit()
        self.assertLess(took_s, CLOSE_LIMIT_S)
        self.assertIn(' 502 ', await self.busy)

    async def test_hanging_frontend_does_not_hold_the_stop(self):
        await self.check_hanging(frontend.Frontend, 'stop')

    async def test_hanging_status_server_does_not_hold_the_stop(self):
        await self.check_hanging(status.StatusServer, 'stop')

    async def test_hanging_watcher_does_not_hold_the_stop(self):
        await self.check_hanging(watching.Watcher, 'on_stop')

    async def test_hanging_coordinators_do_not_hold_the_stop(self):
        await self.check_hanging(coordinators.Coordinators, 'on_stop')

    async def test_hanging_dispatcher_does_not_hold_the_stop(self):
        await self.check_hanging(dispatcher.Dispatcher, 'on_stop')

    async def test_hanging_close_of_instances_does_not_hold_the_stop(self):
        await self.check_hanging(fakes.FakeInstances, 'close')

    async def test_hanging_close_of_the_store_does_not_hold_the_stop(self):
        await self.check_hanging(_Store, 'close')

    async def test_dispatcher_that_does_not_answer_does_not_hold_the_stop(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        ask = tasks.Task.ask
        released = asyncio.Event()
        self.addCleanup(released.set)

        async def hang_at_end(task, message):
            if isinstance(message, gateway_messages.EndRequests):
                await released.wait()
            return await ask(task, message)

        with mock.patch.object(tasks.Task, 'ask', hang_at_end):
            took_s, _ = await self.stop_at_limit()
        self.assertLess(took_s, CLOSE_LIMIT_S)
        self.assertIn(' 502 ', await self.busy)

    async def test_failing_step_does_not_prevent_the_next_ones(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        failing = mock.patch.object(
            status.StatusServer, 'stop', side_effect=ValueError('unexpected')
        )
        closing = mock.patch.object(_Store, 'close')
        with (
            failing,
            closing as close,
            self.assertLogs('oriolefold_direct', 'ERROR'),
        ):
            await self.stop_at_limit()
        close.assert_awaited_once()

    async def test_cancelled_step_does_not_prevent_the_next_ones(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        cancelled = mock.patch.object(
            status.StatusServer, 'stop', side_effect=asyncio.CancelledError
        )
        with cancelled, mock.patch.object(_Store, 'close') as close:
            await self.stop_at_limit()
        close.assert_awaited_once()

    async def test_step_beyond_its_limit_does_not_go_on(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        cancelled = asyncio.Event()

        async def wait(_):
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                cancelled.set()
                raise

        with mock.patch.object(status.StatusServer, 'stop', wait):
            await self.stop_at_limit()
        await self.wait_for(cancelled.is_set)

    def open_connections(self, address, count, sent=b''):
        for _ in range(count):
            connection = socket.create_connection((address.host, address.port))
            self.addCleanup(connection.close)
            connection.sendall(sent)

    async def test_callers_that_stay_do_not_hold_the_stop(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        for sent in (b'', b'GET /a/x HTTP/1.1\r\nHost: h.example\r\n\r\n'):
            for _ in range(CALLERS // 20):
                self.open_connections(self.address, 10, sent)
                await asyncio.sleep(0.02)
        took_s, cpu_s = await self.stop_at_limit()
        self.assertLess(took_s, CLOSE_LIMIT_S)
        self.assertLess(cpu_s, CLOSE_LIMIT_S * SHARE_OF_CORE)

    async def test_slow_peers_do_not_hold_the_stop(self):
        await self.start_entry(fakes.route(timeout_s=5.0))
        poll = (
            f'POST {peering.CHANGES_PATH} HTTP/1.1\r\nHost: h\r\n'
            f'Content-Length: 2\r\n\r\n'
        ).encode()
        for sent in (b'', poll, poll + b'{', poll + b'{}'):
            self.open_connections(self.status_address, PEERS // 4, sent)
            await asyncio.sleep(0.02)
        took_s, cpu_s = await self.stop_at_limit()
        self.assertLess(took_s, CLOSE_LIMIT_S)
        self.assertLess(cpu_s, CLOSE_LIMIT_S * SHARE_OF_CORE)
