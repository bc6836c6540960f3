"""Tests of the shard manager and the granter with an in-memory backend."""

import asyncio
import dataclasses
import random

from oriolefold_backend import memory
from oriolefold_coordination import homelease, planning, protocol, shardmap
from oriolefold_coordination import messages as lease_messages
from oriolefold_coordination import notices as coordination_notices
from oriolefold_core import clock, errors, notices
from oriolefold_ownership import granter, messages, shardmanager
from oriolefold_routing import balance
from oriolefold_sending import messages as sending_messages
from oriolefold_sending import sender
from oriolefold_telemetry import metrics
from oriolefold_testbed import basecase


class _RecordingAcquirer:
    """Fake acquirer that records its calls and never acquires a shard."""

    def __init__(self):
        self.requested_epochs = []
        self.errors = []

    def update_guards(self, guards):
        """Ignores the guards."""

    async def acquire(self, shard_map, epochs_by_shard, shard_manager):
        self.requested_epochs.append(epochs_by_shard)
        if self.errors:
            raise self.errors.pop()


class ShardManagerTest(basecase.AsyncCase):
    """Requests go to the single owner of a shard, under a valid lease."""

    async def asyncSetUp(self):
        self.time = clock.BootClock()
        self.backend = memory.MemoryBackend()
        self.lease_manager = basecase.RecordingTask('lease manager')
        self.planner = basecase.RecordingTask('planner')
        self.acquirer = _RecordingAcquirer()
        self.shard_manager = shardmanager.ShardManager('vm0', self.time)
        self.granter = granter.Granter(
            'vm0/p', self.backend, self.time, self.shard_manager
        )
        self.sender = sender.Sender(
            'r1-a',
            self.backend,
            balance.NearestFirst(random.Random(basecase.SEED)),
            self.time,
            metrics.Metrics(),
        )
        self.shard_manager.connect(
            self.sender,
            self.granter,
            self.lease_manager,
            self.planner,
            self.acquirer,
        )
        await self.start(self.sender, self.granter, self.shard_manager)
        self.register = basecase.make_register(vm_count=1)
        self.configuration = basecase.make_configuration(self.register)
        for task in (self.sender, self.granter, self.shard_manager):
            task.post(notices.ConfigurationUpdated(self.configuration))
        plan_input = planning.PlanInput(self.configuration, ('vm0',))
        self.map = planning.plan('svc', None, plan_input)
        self.shard_manager.post(coordination_notices.MapUpdated(self.map))

    def renew_lease(self, valid_s=60.0, knowledge=None, home_ids=('vm0',)):
        holdings = {
            home_id: homelease.Holding(home_id, 1, shardmap.Role.PRIMARY)
            for home_id in home_ids
        }
        lease = protocol.SendLease(
            self.time.now_s() + valid_s,
            holdings,
            knowledge or lease_messages.Knowledge(),
        )
        self.shard_manager.post(messages.LeaseUpdated(lease))

    async def send(self, shard=0, method='GET', request_id='r'):
        request = basecase.make_request(
            method, request_id=request_id, expires_at_s=self.time.now_s() + 5
        )
        return await self.shard_manager.ask(messages.SendKeyed(request, shard))

    def change_map(self, **changes):
        rows = list(self.map.rows)
        epoch = self.map.epoch + 1
        rows[0] = dataclasses.replace(rows[0], epoch=epoch, **changes)
        self.map = dataclasses.replace(self.map, epoch=epoch, rows=tuple(rows))
        self.shard_manager.post(coordination_notices.MapUpdated(self.map))

    async def test_request_goes_to_the_owner_with_its_token(self):
        self.renew_lease()
        answer = await self.send()
        row = self.map.rows[0]
        self.assertEqual(answer.instance_id, row.owner_id)
        primary = shardmap.Role.PRIMARY
        held = self.backend.instance(row.owner_id).tokens_by_shard[0]
        self.assertEqual(held, row.token(1, primary, primary))

    async def test_nothing_is_sent_without_a_valid_lease(self):
        with self.assertRaises(errors.NotHomeError):
            await self.send()
        self.renew_lease()
        await self.send(request_id='before')
        self.renew_lease(valid_s=-1)
        with self.assertRaises(errors.NoOwnerError):
            await self.send(request_id='after')
        owner = self.backend.instance(self.map.rows[0].owner_id)
        self.assertEqual(owner.ran, ['before'])

    async def test_draining_sends_only_what_ends_before_the_stop(self):
        self.renew_lease()
        await self.send()
        # The deadline of each request is 5 s.
        for stop_in_s, sent in ((6.0, True), (4.0, False)):
            with self.subTest(stop_in_s=stop_in_s):
                now_s = self.time.now_s()
                self.shard_manager.post(
                    sending_messages.Drain(now_s + stop_in_s)
                )
                if sent:
                    self.assertEqual((await self.send()).status, 200)
                else:
                    with self.assertRaises(errors.StoppingError):
                        await self.send(request_id='late')
        owner = self.backend.instance(self.map.rows[0].owner_id)
        self.assertNotIn('late', owner.ran)

    async def test_home_that_refuses_requests_before_a_stop_hands_over(self):
        self.renew_lease()
        await self.send()
        now_s = self.time.now_s()
        self.shard_manager.post(sending_messages.Drain(now_s + 6.0))
        await self.send()

        def step_downs():
            return self.lease_manager.messages_of_type(messages.StepDown)

        self.assertEqual(step_downs(), [])
        self.shard_manager.post(sending_messages.Drain(now_s + 4.0))
        for _ in range(3):
            with self.assertRaises(errors.StoppingError):
                await self.send()
        self.assertEqual(len(step_downs()), 1)

    async def test_waiting_requests_are_refused_before_a_stop(self):
        for name in ('s0', 's1', 's2'):
            # No owner accepts its grant, so the request waits.
            self.backend.instance(name).up = False
        self.renew_lease()
        sending = asyncio.create_task(self.send())
        await asyncio.sleep(0.05)
        await self.shard_manager.ask(messages.RefuseWaiting())
        async with asyncio.timeout(1):
            with self.assertRaises(errors.StoppingError):
                await sending

    async def test_waiting_request_that_outlasts_a_stop_is_refused_at_once(
        self,
    ):
        for name in ('s0', 's1', 's2'):
            # No owner accepts its grant, so the request waits.
            self.backend.instance(name).up = False
        self.renew_lease()
        sending = asyncio.create_task(self.send())
        await asyncio.sleep(0.05)
        now_s = self.time.now_s()
        self.shard_manager.post(sending_messages.Drain(now_s + 2.0))
        async with asyncio.timeout(1):
            with self.assertRaises(errors.StoppingError):
                await sending

    async def test_deadline_of_a_waiting_request_says_not_run(self):
        for name in ('s0', 's1', 's2'):
            # No owner accepts its grant, so the request waits.
            self.backend.instance(name).up = False
        self.renew_lease()
        request = basecase.make_request(expires_at_s=self.time.now_s() + 0.1)
        async with asyncio.timeout(1):
            with self.assertRaises(errors.DeadlineExpiredError):
                await self.shard_manager.ask(messages.SendKeyed(request, 0))

    async def test_deadline_of_a_request_that_was_sent_is_no_refusal(self):
        """A request waits for its owner, then runs beyond its deadline."""
        owner = self.backend.instance(self.map.rows[0].owner_id)
        owner.delay_s = 0.6
        self.renew_lease()
        request = basecase.make_request(
            'POST', expires_at_s=self.time.now_s() + 0.3
        )
        ask = messages.SendKeyed(request, 0)
        self.shard_manager.post(ask)
        await self.wait_for(lambda: owner.ran)
        self.assertLess(self.time.now_s(), request.expires_at_s)
        async with asyncio.timeout(5):
            self.assertEqual((await ask.reply).status, 200)

    async def test_move_waits_for_requests_in_flight(self):
        self.renew_lease()
        await self.send()
        row = self.map.rows[0]
        old = self.backend.instance(row.owner_id)
        old.delay_s = 0.2
        in_flight = asyncio.create_task(self.send(request_id='slow'))
        await self.wait_for(lambda: 'slow' in old.ran)
        new_id = next(i for i in ('s0', 's1', 's2') if i != row.owner_id)
        self.change_map(owner_id=new_id)
        during = asyncio.create_task(self.send(request_id='during'))
        await asyncio.sleep(0.05)
        self.assertEqual(self.backend.instance(new_id).ran, [])
        self.assertEqual((await in_flight).instance_id, row.owner_id)
        self.assertEqual((await during).instance_id, new_id)
        self.assertTrue(old.revoked)

    async def test_lost_owner_is_replaced_by_the_standby(self):
        self.renew_lease()
        await self.send()
        row = self.map.rows[0]
        self.backend.instance(row.owner_id).up = False
        await self.wait_for(
            lambda: self.lease_manager.messages_of_type(messages.InstanceLost)
        )
        lost = self.lease_manager.messages_of_type(messages.InstanceLost)[0]
        self.assertEqual(lost.instance_id, row.owner_id)
        known = lease_messages.Knowledge(
            1, lost_epochs_by_id={lost.instance_id: lost.epoch}
        )
        self.renew_lease(knowledge=known)
        answer = await self.send()
        self.assertEqual(answer.instance_id, row.standby_id)
        primary, standby = shardmap.Role.PRIMARY, shardmap.Role.STANDBY
        token = self.backend.instance(row.standby_id).tokens_by_shard[0]
        self.assertEqual(token, row.token(1, primary, standby))

    async def test_shards_of_a_prior_home_wait_for_their_release(self):
        self.renew_lease()
        self.change_map(prior_home_ids=('vm9',))
        await self.wait_for(lambda: self.acquirer.requested_epochs)
        with self.assertRaises(errors.NotHomeError):
            await self.send()
        epochs = {0: self.map.epoch}
        self.shard_manager.post(messages.ShardsAcquired('svc', epochs))
        self.assertEqual((await self.send()).status, 200)

    async def test_late_acquisition_of_an_earlier_row_keeps_the_shard(self):
        """Both rows wait for the same home, which released the shard."""
        self.renew_lease()
        self.change_map(prior_home_ids=('vm9',))
        earlier = {0: self.map.epoch}
        owner_id = self.map.rows[0].standby_id
        self.change_map(prior_home_ids=('vm9',), owner_id=owner_id)
        await self.wait_for(lambda: len(self.acquirer.requested_epochs) == 2)
        later = {0: self.map.epoch}
        self.shard_manager.post(messages.ShardsAcquired('svc', later))
        self.assertEqual((await self.send()).status, 200)
        self.shard_manager.post(messages.ShardsAcquired('svc', earlier))
        self.assertEqual((await self.send()).status, 200)
        self.assertEqual(len(self.acquirer.requested_epochs), 2)

    async def test_acquisition_goes_on_after_an_unexpected_error(self):
        self.renew_lease()
        self.acquirer.errors = [ValueError('unexpected')]
        self.change_map(prior_home_ids=('vm9',))
        await self.wait_for(lambda: len(self.acquirer.requested_epochs) > 1)

    async def test_release_is_authoritative_only_under_a_held_lease(self):
        request = lease_messages.ReleaseRequest('svc', 1, 'vm0', (0,))

        async def release():
            return await self.shard_manager.ask(messages.ReleaseShards(request))

        self.assertFalse((await release()).authoritative)
        self.renew_lease()
        reply = await release()
        self.assertTrue(reply.authoritative)
        self.assertEqual(reply.released, ())
        known = lease_messages.Knowledge(
            1, map_epochs_by_service_id={'svc': self.map.epoch + 1}
        )
        self.change_map(home_id='vm9')
        self.renew_lease(knowledge=known)
        request = dataclasses.replace(request, epoch=self.map.epoch)
        await self.wait_for(self.is_released(release))

    def is_released(self, release):
        async def condition():
            return (await release()).released == (0,)

        return condition

    async def test_map_older_than_the_guards_know_is_not_used(self):
        known = lease_messages.Knowledge(
            1, map_epochs_by_service_id={'svc': 99}
        )
        self.renew_lease(knowledge=known)
        with self.assertRaises(errors.NotHomeError):
            await self.send()

    async def test_server_that_lost_its_grants_gets_them_again(self):
        self.renew_lease()
        await self.send()
        owner = self.backend.instance(self.map.rows[0].owner_id)
        owner.tokens_by_shard.clear()
        owner.nonces_by_sender_id.clear()
        with self.assertRaises(errors.StaleTokenError):
            await self.send()

        async def served():
            try:
                return (await self.send()).status == 200
            except errors.StaleTokenError:
                return False

        await self.wait_for(served)
