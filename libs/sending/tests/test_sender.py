"""Tests of oriolefold_sending.sender."""

import asyncio
import dataclasses
import random

from oriolefold_backend import memory, ports
from oriolefold_core import clock, data, errors, notices
from oriolefold_routing import balance
from oriolefold_sending import messages, sender
from oriolefold_telemetry import metrics
from oriolefold_testbed import basecase


class SenderTest(basecase.AsyncCase):
    """Limits of instances are enforced and slots are always released."""

    async def asyncSetUp(self):
        self.time = clock.BootClock()
        self.backend = memory.MemoryBackend()
        self.sender = sender.Sender(
            'r1-a',
            self.backend,
            balance.NearestFirst(random.Random(basecase.SEED)),
            self.time,
            metrics.Metrics(),
        )
        await self.start(self.sender)
        self.configure(instance_count=3)

    def configure(self, instance_count):
        register = basecase.make_register(
            instance_count=instance_count, keyed=False
        )
        configuration = basecase.make_configuration(register)
        self.sender.post(notices.ConfigurationUpdated(configuration))

    def request(self, name='r', deadline_s=5.0, importance=50):
        return basecase.make_request(
            request_id=name,
            expires_at_s=self.time.now_s() + deadline_s,
            importance=importance,
        )

    def make_send(self, name='r', **values):
        permit = ports.Permit(self.time, self.time.now_s() + 5)
        return messages.SendTo('s0', self.request(name, **values), permit)

    def drain(self, stop_in_s):
        now_s = self.time.now_s()
        self.sender.post(messages.Drain(now_s + stop_in_s))

    async def test_requests_in_flight_are_limited_to_the_slots(self):
        state = self.backend.instance('s0')
        state.delay_s = 0.05
        asks = [self.make_send(str(i)) for i in range(20)]
        sending = [asyncio.create_task(self.sender.ask(ask)) for ask in asks]
        await asyncio.sleep(0.02)
        self.assertEqual(len(state.ran), 6)
        answers = await asyncio.gather(*sending)
        self.assertEqual(len(answers), 20)
        self.assertEqual(sorted(state.ran), sorted(str(i) for i in range(20)))

    async def test_cancelled_sends_release_their_slots(self):
        state = self.backend.instance('s0')
        state.delay_s = 30
        for delay_s in (None, 0, 0.001, 0.01):
            asks = [self.make_send() for _ in range(12)]
            for ask in asks:
                self.sender.post(ask)
            if delay_s is not None:
                await asyncio.sleep(delay_s)
            for ask in asks:
                ask.reply.cancel()
            await asyncio.sleep(0.01)
        state.delay_s = 0.0
        answers = await asyncio.gather(
            *(self.sender.ask(self.make_send()) for _ in range(6))
        )
        self.assertEqual(len(answers), 6)

    async def test_an_abandoned_instance_fails_its_requests(self):
        self.backend.instance('s0').delay_s = 30
        asks = [self.make_send(str(i)) for i in range(8)]
        for ask in asks:
            self.sender.post(ask)
        await self.wait_for(lambda: len(self.backend.instance('s0').ran) == 6)
        self.sender.post(messages.AbandonInstance('s0'))
        outcomes = await asyncio.gather(
            *(ask.reply for ask in asks), return_exceptions=True
        )
        kinds = [type(outcome) for outcome in outcomes]
        self.assertEqual(kinds.count(errors.OutcomeUnknownError), 6)
        self.assertEqual(kinds.count(errors.NoOwnerError), 2)

    async def test_queued_requests_are_refused_before_a_stop(self):
        self.backend.instance('s0').delay_s = 0.2
        asks = [self.make_send(str(i)) for i in range(8)]
        for ask in asks:
            self.sender.post(ask)
        await self.wait_for(lambda: len(self.backend.instance('s0').ran) == 6)
        await self.sender.ask(messages.RefuseQueued())
        outcomes = await asyncio.gather(
            *(ask.reply for ask in asks), return_exceptions=True
        )
        kinds = [type(outcome) for outcome in outcomes]
        self.assertEqual(kinds.count(data.Answer), 6)
        self.assertEqual(kinds.count(errors.StoppingError), 2)

    async def test_queued_request_is_not_sent_shortly_before_a_stop(self):
        state = self.backend.instance('s0')
        state.delay_s = 0.3
        asks = [self.make_send(str(i)) for i in range(6)]
        late = self.make_send('late', importance=90)
        in_time = self.make_send('in time', deadline_s=1.0)
        for ask in (*asks, late, in_time):
            self.sender.post(ask)
        await self.wait_for(lambda: len(state.ran) == 6)
        self.drain(stop_in_s=2.0)
        with self.subTest('refused before a slot is free'):
            with self.assertRaises(errors.StoppingError):
                async with asyncio.timeout(0.1):
                    await late.reply
        self.assertEqual((await in_time.reply).status, 200)
        self.assertNotIn('late', state.ran)

    async def test_nothing_that_outlasts_the_stop_is_sent(self):
        self.drain(stop_in_s=2.0)
        balanced = messages.SendBalanced(self.request(), set())
        for ask in (self.make_send(), balanced):
            with self.assertRaises(errors.StoppingError):
                await self.sender.ask(ask)
        ask = self.make_send('in time', deadline_s=1.0)
        self.assertEqual((await self.sender.ask(ask)).status, 200)
        self.assertEqual(self.backend.instance('s0').ran, ['in time'])

    async def test_leaving_instances_get_no_new_requests(self):
        leaving = frozenset({'s0', 's1'})
        self.sender.post(notices.InstancesLeaving(leaving))
        for _ in range(5):
            ask = messages.SendBalanced(self.request(), set())
            answer = await self.sender.ask(ask)
            self.assertEqual(answer.instance_id, 's2')

    async def test_queued_request_of_a_removed_instance_is_refused_at_once(
        self,
    ):
        state = self.backend.instance('s0')
        state.delay_s = 0.2
        asks = [self.make_send(str(i)) for i in range(8)]
        for ask in asks:
            self.sender.post(ask)
        await self.wait_for(lambda: len(state.ran) == 6)
        self.configure(instance_count=0)
        for ask in asks[6:]:
            with self.assertRaises(errors.NoOwnerError):
                async with asyncio.timeout(0.1):
                    await ask.reply
        answers = await asyncio.gather(*(ask.reply for ask in asks[:6]))
        self.assertEqual([answer.status for answer in answers], [200] * 6)
        self.assertEqual(len(state.ran), 6)

    async def test_request_right_before_its_instance_is_removed_is_answered(
        self,
    ):
        ask = self.make_send()
        self.sender.post(ask)
        self.configure(instance_count=0)
        self.assertEqual((await ask.reply).status, 200)

    async def test_returned_instance_gets_no_more_than_its_slots(self):
        state = self.backend.instance('s0')
        state.delay_s = 0.3
        earlier = [self.make_send(str(i)) for i in range(6)]
        for ask in earlier:
            self.sender.post(ask)
        await self.wait_for(lambda: len(state.ran) == 6)
        earlier.pop().reply.cancel()
        self.configure(instance_count=0)
        self.configure(instance_count=3)
        later = [self.make_send(f'later {i}') for i in range(12)]
        for ask in later:
            self.sender.post(ask)
        await asyncio.sleep(0.1)
        self.assertEqual(len(state.ran), 7)
        answers = await asyncio.gather(*(ask.reply for ask in earlier + later))
        self.assertEqual(len(answers), 17)
        state.delay_s = 0.1
        state.ran.clear()
        last = [self.make_send(f'last {i}') for i in range(8)]
        for ask in last:
            self.sender.post(ask)
        await asyncio.sleep(0.05)
        self.assertEqual(len(state.ran), 6)
        await asyncio.gather(*(ask.reply for ask in last))

    async def test_removed_service_is_refused_as_not_run(self):
        self.sender.post(
            notices.ConfigurationUpdated(
                basecase.make_configuration(
                    dataclasses.replace(
                        basecase.make_register(), services_by_id={}
                    )
                )
            )
        )
        with self.assertRaises(errors.NotRunError):
            await self.sender.ask(messages.SendBalanced(self.request(), set()))

    async def test_unknown_instance_is_refused_as_not_run(self):
        permit = ports.Permit(self.time, self.time.now_s() + 5)
        ask = messages.SendTo('absent', self.request(), permit)
        with self.assertRaises(errors.NoOwnerError):
            await self.sender.ask(ask)

    async def test_unexpected_error_in_a_send_is_reported(self):
        async def send(*_):
            raise ValueError('unexpected')

        self.backend.send = send
        with self.assertLogs('oriolefold_core.tasks', 'ERROR'):
            async with asyncio.timeout(1):
                with self.assertRaises(ValueError):
                    await self.sender.ask(self.make_send())
