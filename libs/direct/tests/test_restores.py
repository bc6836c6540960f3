"""Tests of oriolefold_direct.coordinator when the store is restored."""

import asyncio
import dataclasses
from unittest import mock

import fakes
import test_coordinator

from oriolefold_coordination import leaderelection, rangeleases
from oriolefold_core import errors
from oriolefold_direct import documents, following, messages
from oriolefold_store import memory, updates
from oriolefold_store import ports as store_ports

MAP_NAME = documents.KEY_MAP_PREFIX + 'svc'
RECORD_NAME = documents.LEADER_PREFIX + 'svc'


class _RestorableStore(memory.MemoryStore):
    """Store that can be restored from an older copy.

    Attributes:
        era: Its era, which is part of all versions.
    """

    def __init__(self):
        super().__init__()
        self.era = 1

    async def write(self, name, content, expected_version):
        if expected_version and (
            store_ports.era_of(expected_version) < self.era
        ):
            raise errors.VersionConflictError(f'{name} was restored')
        await super().write(name, content, expected_version)
        if not expected_version:
            self._move_to_era(name)
        return self._objects_by_name[name].version

    def copy(self):
        """Returns a copy to restore the store from."""
        return dict(self._objects_by_name)

    def restore(self, copied):
        """Begins a new era with the objects of a copy."""
        self._objects_by_name = dict(copied)
        self.era += 1
        for name in copied:
            self._move_to_era(name)

    def _move_to_era(self, name):
        stored = self._objects_by_name[name]
        revision = stored.version % store_ports.VERSIONS_PER_ERA
        self._objects_by_name[name] = dataclasses.replace(
            stored, version=self.era * store_ports.VERSIONS_PER_ERA + revision
        )


class _FollowerStore(following.FollowerStore):
    @property
    def era(self):
        return self._store.era


class RestoredStoreTest(test_coordinator._CoordinatorCase):
    """The leader goes on from its memory; others wait for it."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store = _RestorableStore()
        self.enterContext(
            mock.patch.object(following, 'FollowerStore', _FollowerStore)
        )

    async def start_leader(self):
        """Starts a leader that grants all keys to one instance."""
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        return leader

    async def move(self, leader, name='bb'):
        """Moves all keys to another instance."""
        leader.post(fakes.endpoints_updated(fakes.endpoint(name)))

        async def moved():
            return all(
                r.owner.instance_id == name and not r.priors
                for r in (await self.key_map()).ranges
            )

        await self.wait_for(moved)

    async def wait_for_map_of_era(self, era):
        async def written():
            first_token = era * rangeleases.TOKENS_PER_ERA
            return (await self.key_map()).next_token > first_token

        await self.wait_for(written)

    def owner_ids(self, key_map):
        return {r.owner.instance_id for r in key_map.ranges}

    async def test_a_leader_does_not_give_keys_back_that_a_restore_returns(
        self,
    ):
        leader = await self.start_leader()
        copied = self.store.copy()
        await self.move(leader)
        count = len(self.instances.grants)
        self.store.restore(copied)
        await self.wait_for_map_of_era(2)
        self.assertEqual(self.owner_ids(await self.key_map()), {'bb'})
        await asyncio.sleep(rangeleases.RENEW_INTERVAL_S + 0.2)
        granted = self.instances.grants[count:]
        self.assertEqual({g.owner.instance_id for g in granted}, {'bb'})
        tokens = [g.token for g in self.instances.grants]
        self.assertEqual(tokens, sorted(tokens))
        record = await self.record()
        self.assertEqual((record.vm_id, record.era), ('one', 2))

    async def test_a_leader_goes_on_after_two_restores_in_a_row(self):
        leader = await self.start_leader()
        copied = self.store.copy()
        await self.move(leader)
        self.store.restore(copied)
        await self.wait_for_map_of_era(2)
        self.store.restore(copied)
        await self.wait_for_map_of_era(3)
        self.assertEqual(self.owner_ids(await self.key_map()), {'bb'})
        self.assertEqual((await self.record()).vm_id, 'one')

    async def test_a_restore_that_removes_record_and_map_ends_no_leadership(
        self,
    ):
        leader = await self.start_leader()
        await self.move(leader)
        self.store.restore({})

        async def written():
            return await self.key_map() is not None

        await self.wait_for(written)
        await self.wait_for_map_of_era(2)
        self.assertEqual(self.owner_ids(await self.key_map()), {'bb'})

    async def test_a_map_write_in_flight_over_a_restore_ends_no_leadership(
        self,
    ):
        leader = await self.start_leader()
        copied = self.store.copy()
        held = test_coordinator._HeldCall(
            self.store, 'write', lambda name: name == MAP_NAME, before=True
        )
        leader.post(fakes.endpoints_updated(fakes.endpoint('bb')))
        await held.reached.wait()
        self.store.restore(copied)
        held.may_go_on.set()
        await self.wait_for_map_of_era(2)
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        record = await self.record()
        self.assertEqual((record.vm_id, record.era), ('one', 2))
        tokens = [g.token for g in self.instances.grants]
        self.assertEqual(tokens, sorted(tokens))

    async def test_a_map_write_undone_by_a_restore_is_not_acted_on(self):
        """Its answer comes after the leader has read the restored map."""
        leader = await self.start_leader()
        copied = self.store.copy()
        held = test_coordinator._HeldCall(
            self.store, 'write', lambda name: name == MAP_NAME
        )
        leader.post(fakes.endpoints_updated(fakes.endpoint('bb')))
        await held.reached.wait()
        self.store.restore(copied)

        async def reestablished():
            return (await self.record()).era == 2

        await self.wait_for(reestablished)
        await asyncio.sleep(0.1)
        held.may_go_on.set()
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        self.assertGreaterEqual(
            self.instances.grants[-1].token, 2 * rangeleases.TOKENS_PER_ERA
        )

    async def test_no_new_token_is_sent_before_the_leader_has_returned(self):
        await self.start_leader()
        self.instances.connections_lost = True
        beat = (await self.record()).beat

        async def heartbeat_is_written():
            return (await self.record()).beat > beat

        await self.wait_for(heartbeat_is_written)
        count = len(self.instances.grants)
        self.store.down = True
        self.store.era += 1
        await asyncio.sleep(rangeleases.RENEW_INTERVAL_S + 0.2)
        self.assertEqual(len(self.instances.grants), count)

    async def test_a_leader_ends_if_another_vm_leads_in_the_restored_store(
        self,
    ):
        leader = await self.start_leader()
        copied = self.store.copy()
        await self.move(leader)
        self.store.restore(copied)
        document = await updates.read(self.store, RECORD_NAME)
        beat = leaderelection.next_beat(0, 2)
        claimed = leaderelection.LeaderRecord('two', 'process of two', beat)
        text = documents.encode_leader_record(claimed)
        await updates.replace(self.store, document, text)
        await asyncio.sleep(leaderelection.HEARTBEAT_S + 0.2)
        self.assertEqual((await self.record()).vm_id, 'two')
        count = len(self.instances.grants)
        await asyncio.sleep(rangeleases.RENEW_INTERVAL_S + 0.2)
        self.assertEqual(len(self.instances.grants), count)

    @mock.patch.object(rangeleases, 'LEASE_S', 0.5)
    @mock.patch.object(rangeleases, 'AUTHORITY_S', 1.0)
    async def test_a_copied_resignation_lets_nobody_lead_at_once(self):
        leader = await self.start_leader()
        await leader.resign()
        self.store.restore(self.store.copy())
        highest = max(g.token for g in self.instances.grants)
        count = len(self.instances.grants)
        await self.start_coordinator('two', fakes.endpoint('a'))
        await asyncio.sleep(1.4)
        self.assertEqual((await self.record()).vm_id, '')
        await self.wait_for(lambda: len(self.instances.grants) > count)
        self.assertEqual((await self.record()).vm_id, 'two')
        granted = self.instances.grants[count]
        self.assertGreaterEqual(granted.token, 2 * rangeleases.TOKENS_PER_ERA)
        self.assertGreater(granted.token, highest)

    async def test_a_proof_of_an_earlier_era_ends_no_term_of_a_later_one(self):
        leader = await self.start_leader()
        version = (await updates.read(self.store, RECORD_NAME)).version
        copied = self.store.copy()
        await leader.resign()
        self.store.restore(copied)
        former = await self.record()
        statement = leaderelection.TermsEnded(
            former.vm_id, former.incarnation, version + 1000
        )
        restored = (await updates.read(self.store, RECORD_NAME)).version
        self.assertTrue(
            leaderelection.has_ended(former, version + 1, statement)
        )
        self.assertFalse(
            leaderelection.has_ended(former, restored + 1, statement)
        )

    async def test_a_leader_states_nothing_about_a_version_of_an_earlier_era(
        self,
    ):
        leader = await self.start_leader()
        self.store.restore(self.store.copy())
        await self.wait_for_map_of_era(2)
        record = await updates.read(self.store, RECORD_NAME)
        revision = record.version % store_ports.VERSIONS_PER_ERA
        with self.assertRaises(errors.ProtocolError):
            await leader.ask(messages.EndTerms('svc', revision + 1))
        count = len(self.instances.grants)
        await self.wait_for(lambda: len(self.instances.grants) > count)

    @mock.patch.object(rangeleases, 'AUTHORITY_S', 1.0)
    async def test_a_leader_without_authority_does_not_go_on_after_a_restore(
        self,
    ):
        leader = await self.start_leader()
        cut_off = asyncio.Event()
        write = self.store.write

        async def lose_heartbeat(name, content, expected_version):
            if name != RECORD_NAME or cut_off.is_set():
                return await write(name, content, expected_version)
            self.store.answers_to_lose = 1
            try:
                return await write(name, content, expected_version)
            finally:
                self.store.down = True
                cut_off.set()

        self.store.write = lose_heartbeat
        await cut_off.wait()
        copied = self.store.copy()
        await asyncio.sleep(1.5)
        self.store.restore(copied)
        self.store.down = False
        await self.wait_for(lambda: leader._lease_manager is None)
        self.assertLess(
            (await self.key_map()).next_token, 2 * rangeleases.TOKENS_PER_ERA
        )
