"""Tests of oriolefold_ownership.planner with an in-memory store."""

import asyncio
import collections
from unittest import mock

from oriolefold_backend import memory as backend_memory
from oriolefold_backend import ports as backend_ports
from oriolefold_coordination import messages as lease_messages
from oriolefold_core import errors, notices, tasks
from oriolefold_ownership import messages, planner
from oriolefold_store import memory as store_memory
from oriolefold_testbed import basecase


class _FakePeers(tasks.Task):
    """Fake peer calls: only vm0 answers, and it reports all of the load."""

    def __init__(self):
        super().__init__('peers')
        self.rates_by_shard = {}

    async def handle(self, message):
        if message.vm_id == 'vm0':
            message.answer(lease_messages.LoadReply(self.rates_by_shard))
        else:
            message.fail(errors.UnreachableError('not there'))


class PlannerTest(basecase.AsyncCase):
    """Maps adapt to lost servers and to load, in few writes."""

    async def asyncSetUp(self):
        self.store = store_memory.MemoryStore()
        self.backend = backend_memory.MemoryBackend()
        self.peers = _FakePeers()
        self.observer = basecase.RecordingTask()
        self.planner = planner.Planner(
            'vm0', self.store, self.backend, self.observer, self.peers
        )
        # The observer returns each written map to the planner, like the watch.
        self.observer.post = self.record_map
        self.maps = []
        await self.start(self.peers, self.planner)
        configuration = basecase.make_configuration(basecase.make_register())
        self.planner.post(notices.ConfigurationUpdated(configuration))
        await self.wait_for(lambda: self.maps)

    def record_map(self, stored):
        self.maps.append(stored.shard_map)
        self.planner.post(stored)

    def owners(self):
        return collections.Counter(row.owner_id for row in self.maps[-1].rows)

    async def test_lost_server_is_replaced_in_one_write(self):
        writes = self.store.writes
        epoch = self.maps[-1].epoch
        for _ in range(3):
            self.planner.post(messages.InstanceLost('s1', epoch))
        await self.wait_for(lambda: 's1' not in self.owners())
        self.assertEqual(self.store.writes, writes + 1)
        self.assertEqual(self.maps[-1].excluded_ids, {'s1'})

    async def test_loss_with_an_older_epoch_is_ignored(self):
        epoch = self.maps[-1].epoch
        self.planner.post(messages.InstanceLost('s1', epoch - 1))
        self.planner.post(messages.InstanceLost('s2', epoch))
        await self.wait_for(lambda: 's2' not in self.owners())
        self.assertIn('s1', self.owners())

    async def test_lost_server_is_used_again_after_good_probes(self):
        self.backend.instance('s1').up = False
        epoch = self.maps[-1].epoch
        self.planner.post(messages.InstanceLost('s1', epoch))
        await self.wait_for(lambda: 's1' not in self.owners())
        self.backend.instance('s1').up = True
        await self.wait_for(lambda: self.owners()['s1'])

    async def test_lost_server_is_not_used_again_while_it_says_that_it_leaves(
        self,
    ):
        server = self.backend.instance('s1')
        server.state = backend_ports.HealthState.LEAVING
        epoch = self.maps[-1].epoch
        self.planner.post(messages.InstanceLost('s1', epoch))
        await self.wait_for(lambda: 's1' not in self.owners())
        with mock.patch.object(planner, 'PROBE_INTERVAL_S', 0.05):
            # Long enough for its return if it were healthy.
            await asyncio.sleep(3.0)
            self.assertNotIn('s1', self.owners())
            server.state = backend_ports.HealthState.OK
            await self.wait_for(lambda: self.owners()['s1'])

    def prior_epochs(self):
        """Returns the epochs of the rows that wait for a prior home."""
        rows = enumerate(self.maps[-1].rows)
        return {i: row.epoch for i, row in rows if row.prior_home_ids}

    async def test_late_acquisition_of_an_earlier_row_keeps_the_later_one(self):
        live = frozenset(('vm0', 'vm2'))
        self.planner.post(messages.VmListUpdated(live, frozenset()))
        await self.wait_for(self.prior_epochs)
        earlier = self.prior_epochs()
        owner_id = self.maps[-1].rows[min(earlier)].owner_id
        lost = messages.InstanceLost(owner_id, self.maps[-1].epoch)
        self.planner.post(lost)
        await self.wait_for(lambda: owner_id not in self.owners())
        later = self.prior_epochs()
        self.assertNotEqual(later, earlier)
        for epochs in (later, earlier):
            self.planner.post(messages.ShardsAcquired('svc', epochs))
        await self.wait_for(lambda: not self.prior_epochs())

    async def test_store_outage_delays_the_plan(self):
        self.store.down = True
        epoch = self.maps[-1].epoch
        self.planner.post(messages.InstanceLost('s1', epoch))
        await self.wait_for(lambda: self.store.reads > 3)
        self.store.down = False
        await self.wait_for(lambda: 's1' not in self.owners())

    async def test_shards_move_off_the_most_loaded_server(self):
        rows = self.maps[-1].rows
        hot_shards = [i for i, row in enumerate(rows) if row.owner_id == 's0']
        self.peers.rates_by_shard = dict.fromkeys(hot_shards, 100.0)
        await self.wait_for(
            lambda: (
                sum(self.maps[-1].rows[i].owner_id == 's0' for i in hot_shards)
                < len(hot_shards)
            )
        )


class StartTest(basecase.AsyncCase):
    """Messages may come before the first configuration."""

    async def test_vm_list_before_the_first_configuration_is_no_error(self):
        store = store_memory.MemoryStore()
        observer = basecase.RecordingTask()
        starting = planner.Planner(
            'vm1',
            store,
            backend_memory.MemoryBackend(),
            observer,
            basecase.RecordingTask(),
        )
        with self.assertNoLogs('oriolefold_core.tasks'):
            await self.start(starting)
            leaving_ids = frozenset({'vm0', 's1'})
            live_ids = frozenset({'vm0', 'vm1', 'vm2'})
            starting.post(messages.VmListUpdated(live_ids, leaving_ids))
            configuration = basecase.make_configuration(
                basecase.make_register()
            )
            starting.post(notices.ConfigurationUpdated(configuration))
            await self.wait_for(lambda: observer.messages)
        (stored,) = observer.messages
        homes = {row.home_id for row in stored.shard_map.rows}
        owners = {row.owner_id for row in stored.shard_map.rows}
        self.assertEqual(homes, {'vm1', 'vm2'})
        self.assertNotIn('s1', owners)
