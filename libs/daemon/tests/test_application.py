"""Tests of oriolefold_daemon.application."""

import asyncio
import time
from unittest import mock

from oriolefold_backend import memory, ports
from oriolefold_core import clock, errors, notices, tasks
from oriolefold_daemon import admin, application, settings
from oriolefold_gateway import dispatcher, frontend
from oriolefold_ownership import leasemanager, shardmanager, watcher
from oriolefold_peer import link, server
from oriolefold_routing import draining
from oriolefold_sending import messages, sender
from oriolefold_store import http as store_http
from oriolefold_testbed import basecase

STOP_LIMIT_S = 2.0
LAST_STEPS_S = 2.0  # All steps after the drain, without the hand-over.


class StopCase(basecase.AsyncCase):
    """Base class: a daemon with a backend in memory."""

    async def asyncSetUp(self):
        self.backend = memory.MemoryBackend()
        self.senders = []
        sender_class = sender.Sender

        def make_sender(*arguments):
            self.senders.append(sender_class(*arguments))
            return self.senders[-1]

        self.ports_by_name = ports_by_name = {
            name: basecase.free_address().port
            for name in ('caller_port', 'peer_port', 'admin_port', 'store_port')
        }
        values = settings.DaemonSettings(
            vm_id='vm0',
            zone='r1-a',
            ip='127.0.0.1',
            store_ip='127.0.0.1',
            stop_limit_s=STOP_LIMIT_S,
            **ports_by_name,
        )
        with (
            mock.patch.object(
                application.backend_http,
                'HttpBackend',
                return_value=self.backend,
            ),
            mock.patch.object(application.sender, 'Sender', make_sender),
        ):
            self.application = application.Application(values)

    def record_asks(self, failing='', hanging=''):
        """Returns the names of all asks from now on.

        Args:
            failing: Name of the asks that fail.
            hanging: Name of the asks that hang, also when they are cancelled.
        """
        names = []
        ask = tasks.Task.ask
        hang = self.make_hanging()

        async def ask_and_record(task, message):
            names.append(type(message).__name__)
            if names[-1] == failing:
                raise ValueError('unexpected')
            if names[-1] == hanging:
                await hang()
            return await ask(task, message)

        patcher = mock.patch.object(tasks.Task, 'ask', ask_and_record)
        patcher.start()
        self.addCleanup(patcher.stop)
        return names


class ApplicationTest(StopCase):
    """The tasks are told of a stop."""

    async def fill_instance(self):
        """Returns requests at an instance; the last one is queued."""
        await self.application.start()
        register = basecase.make_register(instance_count=1, keyed=False)
        self.senders[0].post(
            notices.ConfigurationUpdated(basecase.make_configuration(register))
        )
        state = self.backend.instance('s0')
        state.delay_s = 30.0
        now_s = clock.BootClock().now_s()
        permit = ports.Permit(clock.BootClock(), now_s + 20)
        asks = [
            messages.SendTo(
                's0',
                basecase.make_request('POST', expires_at_s=now_s + 20),
                permit,
            )
            for _ in range(7)
        ]
        for ask in asks:
            self.senders[0].post(ask)
        await self.wait_for(lambda: len(state.ran) == 6)
        return asks

    async def test_queued_request_is_refused_as_not_run_at_a_stop(self):
        asks = await self.fill_instance()
        await self.application.stop()
        with self.assertRaises(errors.StoppingError):
            await asks[-1].reply
        for ask in asks[:-1]:
            with self.assertRaises(errors.OutcomeUnknownError):
                await ask.reply

    async def trickle(self):
        """Uploads a request that never becomes complete."""
        _, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports_by_name['caller_port']
        )
        self.addCleanup(writer.close)
        writer.write(
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\n'
        )
        while True:
            writer.write(b'x')
            await asyncio.sleep(0.2)

    async def test_trickling_upload_does_not_prevent_the_hand_over(self):
        await self.application.start()
        trickling = asyncio.create_task(self.trickle())
        self.addCleanup(trickling.cancel)
        await asyncio.sleep(0.2)
        names = self.record_asks()
        started_s = time.monotonic()
        await self.application.stop()
        self.assertEqual(
            [n for n in names if n in ('EndCalls', 'StepDown', 'DrainCalls')],
            ['EndCalls', 'StepDown', 'DrainCalls'],
        )
        took_s = time.monotonic() - started_s
        self.assertLess(took_s, STOP_LIMIT_S + application.HAND_OVER_LIMIT_S)

    async def test_failed_hand_over_does_not_leave_the_calls_of_peers(self):
        await self.application.start()
        names = self.record_asks(failing='StepDown')
        with self.assertLogs('oriolefold_daemon', 'ERROR'):
            await self.application.stop()
        self.assertIn('DrainCalls', names)

    async def test_failed_refusal_does_not_leave_requests_unanswered(self):
        await self.application.start()
        trickling = asyncio.create_task(self.trickle())
        self.addCleanup(trickling.cancel)
        await asyncio.sleep(0.2)
        names = self.record_asks(failing='RefuseQueued')
        with self.assertLogs('oriolefold_daemon', 'ERROR'):
            await self.application.stop()
        self.assertIn('EndRequests', names)
        self.assertIn('StepDown', names)

    async def test_hand_over_that_hangs_does_not_hold_up_the_stop(self):
        await self.application.start()
        hanging = mock.patch.object(
            leasemanager.LeaseManager, '_step_down', lambda *_: None
        )
        limit = mock.patch.object(application, 'HAND_OVER_LIMIT_S', 0.2)
        with hanging, limit:
            async with asyncio.timeout(STOP_LIMIT_S + 2):
                await self.application.stop()

    async def test_failed_drain_does_not_leave_requests_unanswered(self):
        asks = await self.fill_instance()
        names = self.record_asks()
        # The announcement would refuse the queued request before the drain.
        may_send = mock.patch.object(draining, 'may_send', return_value=True)
        drain = mock.patch.object(
            frontend.Frontend, 'drain', side_effect=[ValueError('x'), None]
        )
        with may_send, drain, self.assertLogs('oriolefold_daemon', 'ERROR'):
            await self.application.stop()
        replies = (ask.reply for ask in asks)
        outcomes = await asyncio.gather(*replies, return_exceptions=True)
        self.assertIsInstance(outcomes[-1], errors.StoppingError)
        for name in ('RefuseWaiting', 'EndRequests', 'DrainCalls'):
            self.assertIn(name, names)


class StepLimitTest(StopCase):
    """No step of the stop holds the process or prevents the next ones."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.application.start()
        self.stopping = None
        # Runs after the clean-up that releases what hangs.
        self.addAsyncCleanup(self.end_stop)

    async def end_stop(self):
        await asyncio.wait({self.stopping})

    async def stop_within(self, limit_s):
        """Stops the daemon, and fails if that takes longer than a limit."""
        self.stopping = asyncio.create_task(self.application.stop())
        await asyncio.wait({self.stopping}, timeout=limit_s)
        self.assertTrue(self.stopping.done(), 'the stop takes too long')
        self.assertIsNone(self.stopping.exception())

    async def check_stop(self, limit_s=LAST_STEPS_S):
        """Stops the daemon, without requests in progress.

        Args:
            limit_s: Time that the stop may take, in seconds.
        """
        closing = mock.patch.object(store_http.HttpStore, 'close')
        with closing as close:
            await self.stop_within(limit_s)
        close.assert_awaited_once()

    async def check_hanging(self, owner, name):
        """Checks a stop in which a method of the application's parts hangs."""
        names = self.record_asks()
        with mock.patch.object(owner, name, self.make_hanging()):
            await self.check_stop()
        self.assertIn('DrainCalls', names)

    async def check_failing(self, owner, name):
        """Checks a stop in which a method of the application's parts fails."""
        names = self.record_asks()
        failing = mock.patch.object(owner, name, side_effect=ValueError('x'))
        with failing, self.assertLogs('oriolefold_daemon', 'ERROR'):
            await self.check_stop()
        self.assertIn('DrainCalls', names)

    async def check_hanging_ask(self, name):
        """Checks a stop in which a task does not answer."""
        names = self.record_asks(hanging=name)
        drain = mock.patch.object(
            frontend.Frontend, 'drain', side_effect=[ValueError('x'), None]
        )
        with drain, self.assertLogs('oriolefold_daemon', 'ERROR'):
            await self.check_stop()
        for expected in (
            'RefuseQueued',
            'RefuseWaiting',
            'EndRequests',
            'EndCalls',
            'StepDown',
        ):
            self.assertIn(expected, names)

    async def test_hanging_frontend_does_not_hold_the_stop(self):
        await self.check_hanging(frontend.Frontend, 'stop')

    async def test_hanging_admin_server_does_not_hold_the_stop(self):
        await self.check_hanging(admin.AdminServer, 'stop')

    async def test_hanging_peer_server_does_not_hold_the_stop(self):
        await self.check_hanging(server.PeerServer, 'on_stop')

    async def test_hanging_links_to_peers_do_not_hold_the_stop(self):
        await self.check_hanging(link.Peers, 'on_stop')

    async def test_hanging_shard_manager_does_not_hold_the_stop(self):
        await self.check_hanging(shardmanager.ShardManager, 'on_stop')

    async def test_hanging_dispatcher_does_not_hold_the_stop(self):
        await self.check_hanging(dispatcher.Dispatcher, 'on_stop')

    async def test_hanging_watcher_does_not_hold_the_stop(self):
        await self.check_hanging(watcher.Watcher, 'on_stop')

    async def test_hanging_close_of_the_backend_does_not_hold_the_stop(self):
        await self.check_hanging(memory.MemoryBackend, 'close')

    async def test_hanging_close_of_the_store_does_not_hold_the_stop(self):
        hanging = mock.patch.object(
            store_http.HttpStore, 'close', self.make_hanging()
        )
        with hanging:
            await self.stop_within(LAST_STEPS_S)

    async def test_failing_frontend_does_not_prevent_the_hand_over(self):
        await self.check_failing(frontend.Frontend, 'stop')

    async def test_failing_admin_server_does_not_prevent_the_next_steps(self):
        await self.check_failing(admin.AdminServer, 'stop')

    async def test_failing_task_does_not_prevent_the_next_steps(self):
        await self.check_failing(server.PeerServer, 'on_stop')

    async def test_sender_that_does_not_answer_does_not_hold_the_stop(self):
        await self.check_hanging_ask('RefuseQueued')

    async def test_shard_manager_that_does_not_answer_does_not_hold_the_stop(
        self,
    ):
        await self.check_hanging_ask('RefuseWaiting')

    async def test_dispatcher_that_does_not_answer_does_not_hold_the_stop(self):
        await self.check_hanging_ask('EndRequests')

    async def test_peer_server_that_does_not_answer_does_not_hold_the_stop(
        self,
    ):
        await self.check_hanging_ask('EndCalls')

    async def test_lease_manager_that_does_not_answer_does_not_hold_the_stop(
        self,
    ):
        self.record_asks(hanging='StepDown')
        await self.check_stop(
            STOP_LIMIT_S + application.HAND_OVER_LIMIT_S + LAST_STEPS_S
        )
