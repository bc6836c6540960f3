"""Tests of oriolefold_daemon.application."""

import asyncio
import time
from unittest import mock

from oriolefold_backend import memory, ports
from oriolefold_core import clock, errors, notices, tasks
from oriolefold_daemon import application, settings
from oriolefold_gateway import frontend
from oriolefold_ownership import leasemanager
from oriolefold_routing import draining
from oriolefold_sending import messages, sender
from oriolefold_testbed import basecase

STOP_LIMIT_S = 2.0


class ApplicationTest(basecase.AsyncCase):
    """The tasks are told of a stop."""

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

    def record_asks(self, failing=''):
        """Returns the names of all asks from now on; those of one name fail."""
        names = []
        ask = tasks.Task.ask

        async def ask_and_record(task, message):
            names.append(type(message).__name__)
            if names[-1] == failing:
                raise ValueError('unexpected')
            return await ask(task, message)

        patcher = mock.patch.object(tasks.Task, 'ask', ask_and_record)
        patcher.start()
        self.addCleanup(patcher.stop)
        return names

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
