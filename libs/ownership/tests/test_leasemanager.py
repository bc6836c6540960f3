"""Tests of oriolefold_ownership.leasemanager and guardrecorder."""

import asyncio
from unittest import mock

from oriolefold_coordination import lease, protocol
from oriolefold_coordination import messages as lease_messages
from oriolefold_core import clock, errors, notices, tasks
from oriolefold_ownership import guardrecorder, leasemanager, messages
from oriolefold_store import memory
from oriolefold_testbed import basecase


class _FailingTask(tasks.Task):
    """Task that fails on each message in an unexpected way."""

    async def handle(self, message):
        raise ValueError('unexpected')


class _HeldTask(tasks.Task):
    """Shard manager that is drained once the test says so."""

    def __init__(self):
        super().__init__('held')
        self.is_drained = False

    async def handle(self, message):
        if isinstance(message, messages.CheckAllDrained):
            message.answer(self.is_drained)


class StepDownTest(basecase.AsyncCase):
    """A stop waits for a step-down that has begun."""

    async def test_second_step_down_waits_for_the_first(self):
        lease_protocol = mock.create_autospec(
            protocol.LeaseProtocol, instance=True
        )
        lease_protocol.tick.return_value = []
        lease_protocol.final_heartbeats.return_value = []
        lease_protocol.own = mock.Mock()
        held = _HeldTask()
        with mock.patch.object(
            protocol, 'LeaseProtocol', return_value=lease_protocol
        ):
            manager = leasemanager.LeaseManager(
                'vm0', 'p', lease.DEFAULT_TERMS, clock.BootClock(), held, held
            )
        await self.start(held, manager)
        first, second = messages.StepDown(), messages.StepDown()
        manager.post(first)
        await asyncio.sleep(0.05)
        lease_protocol.own.holds.return_value = False
        manager.post(second)
        await asyncio.sleep(0.05)
        self.assertFalse(second.reply.done())
        held.is_drained = True
        async with asyncio.timeout(1):
            await second.reply
        self.assertTrue(first.reply.done())


class LeaseManagerTest(basecase.AsyncCase):
    """An unexpected error leaves neither a caller nor the protocol waiting."""

    async def asyncSetUp(self):
        failing = _FailingTask('failing')
        self.protocol = mock.create_autospec(
            protocol.LeaseProtocol, instance=True
        )
        self.protocol.tick.return_value = []
        self.protocol.replied.return_value = []
        with mock.patch.object(
            protocol, 'LeaseProtocol', return_value=self.protocol
        ):
            self.manager = leasemanager.LeaseManager(
                'vm0',
                'p',
                lease.DEFAULT_TERMS,
                clock.BootClock(),
                failing,
                failing,
            )
        await self.start(failing, self.manager)

    async def assert_unknown(self, ask):
        async with asyncio.timeout(1):
            with self.assertRaises(Exception) as context:
                await self.manager.ask(ask)
        self.assertFalse(errors.failure_of(context.exception).not_run)

    async def test_failed_call_is_reported_to_the_protocol(self):
        request = lease_messages.VoteRequest('vm1', 1, 'vm0')
        call = protocol.Call('vm1', request, 0.0)
        self.protocol.tick.return_value = [call]
        self.protocol.own = None
        await self.wait_for(lambda: self.protocol.replied.called)
        self.assertEqual(self.protocol.replied.call_args.args[:2], (call, None))

    async def test_failed_drain_of_a_hand_back_is_answered(self):
        self.protocol.answer_hand_back.return_value = (None, [])
        request = mock.create_autospec(
            lease_messages.HandBackRequest, instance=True, home_id='vm1'
        )
        await self.assert_unknown(messages.HandleLeaseMessage(request))

    async def test_failed_step_down_is_answered(self):
        self.protocol.own = mock.Mock()
        await self.assert_unknown(messages.StepDown())


class GuardRecorderTest(basecase.AsyncCase):
    """An unexpected error leaves no caller waiting."""

    async def test_failed_record_is_answered(self):
        store = memory.MemoryStore()
        recorder = guardrecorder.GuardRecorder(
            'vm0', store, basecase.RecordingTask()
        )
        await self.start(recorder)
        register = basecase.make_register()
        recorder.post(
            notices.ConfigurationUpdated(basecase.make_configuration(register))
        )

        async def read(name):
            raise ValueError('unexpected')

        store.read = read
        async with asyncio.timeout(1):
            with self.assertRaises(ValueError):
                await recorder.ask(messages.RecordGuard(1))
