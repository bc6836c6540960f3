"""Tests of oriolefold_direct.coordinator and documents."""

import asyncio
import dataclasses
from unittest import mock

import fakes

from oriolefold_coordination import leaderelection, rangeleases
from oriolefold_core import clock, errors
from oriolefold_direct import (
    changefeed,
    coordinator,
    coordinators,
    dispatcher,
    documents,
    following,
    messages,
    ports,
)
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import attempts, topology
from oriolefold_store import envelopes, memory, updates
from oriolefold_store import ports as store_ports
from oriolefold_telemetry import counters
from oriolefold_testbed import basecase

KEY_HEADER = 'Key'


class Dispatcher(basecase.RecordingTask):
    """Dispatcher that has observed no load, unless a test gives keys.

    Attributes:
        keys: Keys of each reported load.
    """

    keys: tuple[int, ...] = ()

    async def handle(self, message):
        if isinstance(message, messages.CollectLoad):
            message.answer(messages.ObservedLoad(self.keys, {}))
        else:
            await super().handle(message)


class _HeldStore(memory.MemoryStore):
    """Store whose answers come only while a test allows it.

    Attributes:
        may_read: Set while reads are answered.
        may_answer: Set while writes, which take effect at once, are answered.
    """

    def __init__(self):
        super().__init__()
        self.may_read = asyncio.Event()
        self.may_read.set()
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def read(self, name):
        try:
            return await super().read(name)
        finally:
            await self.may_read.wait()

    async def write(self, name, content, expected_version):
        version = await super().write(name, content, expected_version)
        await self.may_answer.wait()
        return version


class _StoreLink(store_ports.Store):
    """The connection of one VM to the store.

    Attributes:
        cut: Whether calls fail.
    """

    def __init__(self, store):
        self._store = store
        self.cut = False

    async def _call(self, method, *arguments):
        if self.cut:
            raise errors.StoreUnavailableError('the link is cut')
        return await method(*arguments)

    async def read(self, name):
        return await self._call(self._store.read, name)

    async def write(self, name, content, expected_version):
        return await self._call(
            self._store.write, name, content, expected_version
        )

    async def watch(self, prefix, after_revision, timeout_s):
        return await self._call(
            self._store.watch, prefix, after_revision, timeout_s
        )


class _HeldCall:
    """Holds the first matching call of a method.

    Attributes:
        reached: Set when the call has been reached.
        may_go_on: Set by the test to let the call go on.
    """

    def __init__(self, target, method, matches, before=False, result=None):
        """Replaces the method of an object.

        Args:
            target: The object.
            method: Name of the method.
            matches: Whether to hold a call, given its first argument.
            before: Whether to hold the call before it takes effect; otherwise
                its result is held.
            result: Returned by the call instead of its own result.
        """
        self.reached = asyncio.Event()
        self.may_go_on = asyncio.Event()
        self._call = getattr(target, method)
        self._matches = matches
        self._before = before
        self._result = result
        setattr(target, method, self._call_and_hold)

    async def _call_and_hold(self, first, *arguments):
        if self.reached.is_set() or not self._matches(first):
            return await self._call(first, *arguments)
        self.reached.set()
        if self._before:
            await self.may_go_on.wait()
        result = await self._call(first, *arguments)
        if not self._before:
            await self.may_go_on.wait()
        return self._result or result


class _CoordinatorCase(basecase.AsyncCase):
    """Base class of tests with coordinators of one service."""

    async def asyncSetUp(self):
        self.store = memory.MemoryStore()
        self.instances = fakes.FakeInstances()
        self.clock = clock.BootClock()
        self.peers = fakes.FakePeers()
        self.dispatcher = Dispatcher('dispatcher')
        await self.start(self.dispatcher)

    def make(self, vm_id):
        feed = changefeed.ChangeFeed(self.clock)
        return coordinator.Coordinator(
            'svc',
            vm_id,
            f'process of {vm_id}',
            0.0,
            _address(vm_id),
            following.FollowerStore(
                self.store, self.peers, feed, self.clock, fakes.follower()
            ),
            feed,
            self.instances,
            self.peers,
            self.dispatcher,
            self.clock,
            counters.Counters(),
            self.random,
        )

    async def key_map(self):
        name = documents.KEY_MAP_PREFIX + 'svc'
        document = await updates.read(self.store, name)
        if not document.body:
            return None
        return documents.decode_key_map(document.body, name)

    async def record(self):
        name = documents.LEADER_PREFIX + 'svc'
        document = await updates.read(self.store, name)
        return documents.decode_leader_record(document.body, name)

    async def start_coordinator(self, vm_id, *endpoints):
        started = self.make(vm_id)
        started.post(fakes.endpoints_updated(*endpoints))
        await self.start(started)
        return started


class CoordinatorTest(_CoordinatorCase):
    """Leader election, handover of keys and takeover with the same tokens."""

    async def test_grants_match_the_stored_key_map(self):
        await self.start_coordinator(
            'one', fakes.endpoint('a'), fakes.endpoint('bb')
        )
        await self.wait_for(lambda: len(self.instances.grants) >= 2)
        key_map = await self.key_map()
        granted = {(g.first, g.last, g.token) for g in self.instances.grants}
        stored = {(r.first, r.last, r.token) for r in key_map.ranges}
        self.assertEqual(granted, stored)

    async def test_draining_owner_hands_its_keys_over(self):
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        started.post(
            fakes.endpoints_updated(
                fakes.endpoint('a', draining=True), fakes.endpoint('bb')
            )
        )
        await self.wait_for(lambda: self.instances.releases)

        async def settled():
            key_map = await self.key_map()
            return all(
                r.owner.instance_id == 'bb' and not r.priors
                for r in key_map.ranges
            )

        await self.wait_for(settled)

    async def test_owner_outside_the_zones_for_keys_hands_them_over(self):
        endpoints = fakes.endpoint('a'), fakes.endpoint('bb', 'z3')
        started = await self.start_coordinator('one', endpoints[0])
        await self.wait_for(lambda: self.instances.grants)
        started.post(
            dataclasses.replace(
                fakes.endpoints_updated(*endpoints),
                key_zone_ids=frozenset({'z3'}),
            )
        )

        async def settled():
            key_map = await self.key_map()
            return all(
                r.owner.instance_id == 'bb' and not r.priors
                for r in key_map.ranges
            )

        await self.wait_for(settled)
        self.assertTrue(self.instances.releases)

    async def test_owner_that_told_a_vm_that_it_leaves_hands_its_keys_over(
        self,
    ):
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        both = fakes.endpoint('a'), fakes.endpoint('bb')
        started.post(fakes.endpoints_updated(*both))
        for born_ms in (0, 1):
            load = messages.ObservedLoad((), {}, {'a': born_ms})
            await started.ask(messages.LoadReport('other', 'svc', load))
            if born_ms == 0:
                # What an earlier incarnation has told is of no interest.
                await asyncio.sleep(0.3)
                self.assertEqual(self.instances.releases, [])

        async def settled():
            key_map = await self.key_map()
            return all(
                r.owner.instance_id == 'bb' and not r.priors
                for r in key_map.ranges
            )

        await self.wait_for(settled)

    async def test_owner_that_leaves_by_its_answer_to_a_grant_hands_over(self):
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.instances.leaving_ids.add('a')
        started.post(
            fakes.endpoints_updated(fakes.endpoint('a'), fakes.endpoint('bb'))
        )

        async def settled():
            key_map = await self.key_map()
            return all(
                r.owner.instance_id == 'bb' and not r.priors
                for r in key_map.ranges
            )

        await self.wait_for(settled)

    async def test_an_instance_of_another_service_ends_a_former_holder(self):
        former = fakes.endpoint('a')
        started = await self.start_coordinator('one', former)
        await self.wait_for(lambda: self.instances.grants)
        self.instances.silent_ids.add('a')
        later = fakes.endpoint(
            'c', service='other', born_ms=2, address=former.address
        )
        before_s = self.clock.now_s()
        started.post(fakes.endpoints_updated(fakes.endpoint('bb'), later))
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        waited_s = self.clock.now_s() - before_s
        # Less than the rest of a lease.
        self.assertLess(waited_s, 2.0)

    async def test_another_instance_that_rejects_a_renewal_ends_the_owner(self):
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.instances.replaced_ids.add('a')
        await self.wait_for(lambda: self.instances.rejected_grants)
        before_s = self.clock.now_s()
        both = fakes.endpoint('a'), fakes.endpoint('bb')
        started.post(fakes.endpoints_updated(*both))
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        # Less than the rest of a lease.
        self.assertLess(self.clock.now_s() - before_s, 2.0)

    async def test_a_grant_that_raises_counts_as_written(self):
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.instances.grant_error = RuntimeError('unexpected')
        count = len(self.instances.grants)
        with self.assertLogs(level='ERROR') as captured:
            await self.wait_for(lambda: len(self.instances.grants) > count)
            await self.wait_for(lambda: captured.records)
        failed_at_s = self.clock.now_s()
        self.instances.silent_ids.add('a')
        started.post(fakes.endpoints_updated(fakes.endpoint('bb')))
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        waited_s = self.clock.now_s() - failed_at_s
        self.assertGreater(waited_s, rangeleases.LEASE_S)

    async def test_takeover_after_resignation_keeps_owners_not_tokens(self):
        first = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        tokens = {r.token for r in (await self.key_map()).ranges}
        await first.resign()
        granted_before = list(self.instances.grants)
        self.assertEqual((await self.record()).vm_id, '')
        await self.start_coordinator('two', fakes.endpoint('a'))

        async def taken():
            return (await self.record()).vm_id == 'two'

        await self.wait_for(taken)
        self.assertEqual(
            {r.token for r in (await self.key_map()).ranges}, tokens
        )
        count = len(granted_before)
        await self.wait_for(lambda: len(self.instances.grants) > count)
        highest = max(g.token for g in granted_before)
        for granted in self.instances.grants[count:]:
            # The instance may have started again since the last grant.
            self.assertGreater(granted.token, highest)
            self.assertEqual(granted.owner, granted_before[0].owner)

    async def test_takeover_in_progress_at_a_resignation_is_given_back(self):
        """The answer to the takeover comes after the resignation has begun."""
        self.store = _HeldStore()
        self.store.may_answer.clear()
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.store.writes)
        resigning = asyncio.create_task(started.resign())
        await asyncio.sleep(0.05)
        self.store.may_answer.set()
        async with asyncio.timeout(1):
            await resigning
        record = await self.record()
        self.assertEqual(record.vm_id, '')
        self.assertGreaterEqual(
            record.inherited_s, rangeleases.inherited_until_s(0.0, True, 0.0)
        )
        await asyncio.sleep(0.3)
        self.assertEqual(self.instances.grants, [])
        self.assertEqual((await self.record()).vm_id, '')

    async def test_resignation_is_written_after_the_grants_in_flight(self):
        self.instances.may_answer.clear()
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        resigning = asyncio.create_task(started.resign())
        await asyncio.sleep(0.1)
        self.assertEqual((await self.record()).vm_id, 'one')
        self.instances.may_answer.set()
        async with asyncio.timeout(1):
            await resigning
        self.assertEqual((await self.record()).vm_id, '')

    async def test_resignation_replaces_a_heartbeat_in_progress(self):
        self.store = _HeldStore()
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        beat = (await self.record()).beat
        self.store.may_answer.clear()

        async def heartbeat_is_written():
            return (await self.record()).beat > beat

        await self.wait_for(heartbeat_is_written)
        resigning = asyncio.create_task(started.resign())
        await asyncio.sleep(0.05)
        self.store.may_answer.set()
        async with asyncio.timeout(1):
            await resigning
        record = await self.record()
        self.assertEqual(record.vm_id, '')
        self.assertGreater(record.beat, beat + 1)

    async def test_lost_leader_is_noticed_though_its_relay_serves_on(self):
        """A relay's feed stays fresh; only load reports reach the leader."""
        self.dispatcher.keys = (1, 2, 3, 4)
        await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        with mock.patch.object(
            following.FollowerStore,
            'is_following',
            new_callable=mock.PropertyMock,
            return_value=True,
        ):
            other = await self.start_coordinator('two', fakes.endpoint('a'))
            await self.wait_for(lambda: self.peers.reports)

            async def fail(address, report):
                raise errors.UnreachableError('no answer')

            self.peers.report = fail
            reads = self.store.reads
            async with asyncio.timeout(3):
                await self.wait_for(lambda: self.store.reads > reads + 1)
            await other.stop()

    async def test_no_takeover_begins_after_a_resignation(self):
        """The leader record is read when the resignation begins."""
        self.store = _HeldStore()
        self.store.may_read.clear()
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.store.reads)
        resigning = asyncio.create_task(started.resign())
        await asyncio.sleep(0.05)
        self.store.may_read.set()
        async with asyncio.timeout(1):
            await resigning
        await asyncio.sleep(0.3)
        self.assertEqual(self.store.writes, 0)

    async def test_renewal_after_a_lost_connection_has_a_new_token(self):
        await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        key_map = await self.key_map()
        self.instances.connections_lost = True
        await self.wait_for(lambda: len(self.instances.grants) > 2)
        tokens = [g.token for g in self.instances.grants]
        self.assertEqual(tokens, sorted(set(tokens)))
        self.assertEqual(
            {g.owner for g in self.instances.grants},
            {r.owner for r in key_map.ranges},
        )

    async def test_election_survives_a_lost_write_answer(self):
        self.store.answers_to_lose = 1
        await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.assertEqual((await self.record()).vm_id, 'one')

    async def test_leader_does_not_overwrite_a_later_key_map(self):
        """The answer to a key map write is lost, then another VM writes it.

        Resolving the lost answer must not let the first VM go on from its own
        older map.
        """
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        name = documents.KEY_MAP_PREFIX + 'svc'
        write = self.store.write
        lost_versions = []

        async def write_and_lose(written, content, expected):
            version = await write(written, content, expected)
            if written == name and not lost_versions:
                lost_versions.append(version)
                own_content = envelopes.unwrap(content, name)
                later_map = documents.decode_key_map(own_content.body, name)
                later_map = dataclasses.replace(later_map, next_token=99)
                text = documents.encode_key_map(later_map)
                wrapped = envelopes.wrap(text, 'other', own_content.write_ids)
                await write(name, wrapped, version)
                raise errors.StoreAnswerLostError(name)
            return version

        self.store.write = write_and_lose
        started.post(fakes.endpoints_updated(fakes.endpoint('bb')))
        await self.wait_for(lambda: lost_versions)
        await asyncio.sleep(2 * updates.RESOLVE_DELAY_S)
        # The next leader continues from the later map.
        document = await updates.read(self.store, name)
        self.assertEqual(document.write_ids[0], 'other')

    def fail_once(self, method, prefix):
        """Makes the next call of a store method for a prefix fail."""
        call = getattr(self.store, method)
        failed = []

        async def call_and_fail(name, *arguments):
            if name.startswith(prefix) and not failed:
                failed.append(name)
                raise ValueError('unexpected')
            return await call(name, *arguments)

        setattr(self.store, method, call_and_fail)
        return failed

    async def test_key_map_is_published_after_an_unexpected_error(self):
        failed = self.fail_once('write', documents.KEY_MAP_PREFIX)
        await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.assertTrue(failed)

    async def test_election_goes_on_after_an_unexpected_error(self):
        for method in ('read', 'write'):
            with self.subTest(method):
                self.instances.grants.clear()
                self.store = memory.MemoryStore()
                failed = self.fail_once(method, documents.LEADER_PREFIX)
                await self.start_coordinator('one', fakes.endpoint('a'))
                await self.wait_for(lambda: self.instances.grants)
                self.assertTrue(failed)

    async def moved_after_s(self, answers_at_first_address):
        """Loses a leader and its owner of all keys at about the same time.

        Args:
            answers_at_first_address: Returns the task that answers at the
                former leader's address, or None, given the former leader.

        Returns:
            The time from the election of a successor until the keys are
            granted to another owner.
        """
        store, link = self.store, _StoreLink(self.store)
        self.store = link
        former = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.store = store
        link.cut = True
        self.instances.silent_ids.add('a')
        answers = answers_at_first_address(former)
        if answers is not None:
            self.peers.vms_by_address[_address('one')] = answers
        await self.start_coordinator('two', fakes.endpoint('bb'))

        async def elected():
            return (await self.record()).vm_id == 'two'

        await self.wait_for(elected)
        elected_at_s = self.clock.now_s()
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        return self.clock.now_s() - elected_at_s

    @mock.patch.object(rangeleases, 'LEASE_S', 0.5)
    async def test_keys_do_not_wait_for_a_leader_that_says_it_has_stopped(self):
        self.assertLess(await self.moved_after_s(lambda former: former), 2.0)

    @mock.patch.object(rangeleases, 'LEASE_S', 0.5)
    async def test_keys_do_not_wait_for_a_leader_whose_process_has_ended(self):
        later = coordinators.Coordinators(self.make, 'one', 'later process')
        await self.start(later)
        self.assertLess(await self.moved_after_s(lambda former: later), 2.0)

    @mock.patch.object(rangeleases, 'LEASE_S', 0.5)
    @mock.patch.object(rangeleases, 'AUTHORITY_S', 4.0)
    async def test_keys_wait_for_a_former_leader_that_is_silent(self):
        self.assertGreater(await self.moved_after_s(lambda former: None), 4.0)
        asked = [address for address, _ in self.peers.asked]
        self.assertLessEqual(len(asked), 4)
        self.assertEqual(set(asked), {_address('one')})

    @mock.patch.object(rangeleases, 'LEASE_S', 0.5)
    @mock.patch.object(rangeleases, 'AUTHORITY_S', 4.0)
    async def test_keys_wait_if_another_vm_has_the_former_leaders_address(self):
        other = coordinators.Coordinators(self.make, 'three', 'process')
        await self.start(other)
        self.assertGreater(await self.moved_after_s(lambda former: other), 4.0)

    async def test_a_leader_says_that_it_has_stopped_after_its_grants(self):
        self.instances.may_answer.clear()
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        asking = asyncio.create_task(leader.ask(messages.EndTerms('svc', 99)))
        await asyncio.sleep(0.1)
        self.assertFalse(asking.done())
        self.instances.may_answer.set()
        async with asyncio.timeout(1):
            statement = await asking
        expected = leaderelection.TermsEnded('one', 'process of one', 99)
        self.assertEqual(statement, expected)
        count = len(self.instances.grants)
        await asyncio.sleep(rangeleases.RENEW_INTERVAL_S + 0.2)
        self.assertEqual(len(self.instances.grants), count)

    async def test_a_takeover_in_progress_ends_with_the_earlier_terms(self):
        self.store = _HeldStore()
        self.store.may_answer.clear()
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.store.writes)
        async with asyncio.timeout(1):
            await started.ask(messages.EndTerms('svc', 99))
        self.store.may_answer.set()
        await asyncio.sleep(0.5)
        self.assertEqual(self.instances.grants, [])

    async def test_a_later_term_goes_on_when_earlier_ones_end(self):
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        async with asyncio.timeout(1):
            await leader.ask(messages.EndTerms('svc', 1))
        count = len(self.instances.grants)
        await self.wait_for(lambda: len(self.instances.grants) > count)

    async def end_term(self):
        """Lets another VM lead and resign, so that the same process follows."""
        name = documents.LEADER_PREFIX + 'svc'
        document = await updates.read(self.store, name)
        ended = dataclasses.replace(
            documents.decode_leader_record(document.body, name),
            vm_id='',
            incarnation='process of other',
            inherited_s=1.0,
        )
        await updates.replace(
            self.store, document, documents.encode_leader_record(ended)
        )

    async def begin_next_term(self):
        """Ends the term and waits until the next one has written its map."""
        name = documents.KEY_MAP_PREFIX + 'svc'
        before = await updates.read(self.store, name)
        await self.end_term()

        async def has_reserved_tokens():
            stored = await updates.read(self.store, name)
            return stored.version > before.version

        await self.wait_for(has_reserved_tokens)

    def hold_map_write(self, before=False):
        name = documents.KEY_MAP_PREFIX + 'svc'
        return _HeldCall(
            self.store, 'write', lambda written: written == name, before
        )

    async def test_late_map_write_does_not_bring_an_earlier_map_back(
        self,
    ):
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        held = self.hold_map_write()
        second = fakes.endpoint('bb')
        started.post(fakes.endpoints_updated(second))
        await held.reached.wait()
        await self.begin_next_term()
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        started.post(
            fakes.endpoints_updated(
                dataclasses.replace(second, draining=True),
                fakes.endpoint('ccc'),
            )
        )
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'ccc'
        )
        count = len(self.instances.grants)
        self.store.down = True
        held.may_go_on.set()
        await asyncio.sleep(rangeleases.RENEW_INTERVAL_S + 0.3)
        granted_ids = {
            g.owner.instance_id for g in self.instances.grants[count:]
        }
        self.assertEqual(granted_ids, {'ccc'})

    async def test_late_conflict_of_an_earlier_term_does_not_end_the_next(self):
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        held = self.hold_map_write(before=True)
        started.post(
            fakes.endpoints_updated(fakes.endpoint('a'), fakes.endpoint('bb'))
        )
        await held.reached.wait()
        await self.begin_next_term()
        held.may_go_on.set()
        count = len(self.instances.grants)
        await asyncio.sleep(rangeleases.RENEW_INTERVAL_S + 0.3)
        self.assertGreater(len(self.instances.grants), count)

    async def test_map_of_an_earlier_term_that_comes_late_is_not_overwritten(
        self,
    ):
        """It is written after the next term has read the map."""
        started = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        earlier = self.hold_map_write(before=True)
        started.post(fakes.endpoints_updated(fakes.endpoint('bb')))
        await earlier.reached.wait()
        later = self.hold_map_write(before=True)
        await self.end_term()
        await later.reached.wait()
        count = len(self.instances.grants)
        earlier.may_go_on.set()
        await asyncio.sleep(0.5)
        late_map = await self.key_map()
        self.assertEqual(len(self.instances.grants), count)
        later.may_go_on.set()
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        granted = self.instances.grants[-1]
        self.assertGreaterEqual(granted.token, late_map.next_token)

    async def test_late_stale_grant_of_an_earlier_term_moves_no_keys(self):
        await self.start_coordinator(
            'one', fakes.endpoint('a'), fakes.endpoint('bb')
        )
        await self.wait_for(lambda: len(self.instances.grants) >= 2)
        held = _HeldCall(
            self.instances,
            'grant',
            lambda key_range: key_range.owner.instance_id == 'a',
            result=ports.GrantOutcome(ports.GrantResult.STALE, 1),
        )
        await held.reached.wait()
        await self.begin_next_term()
        owners = [r.owner for r in (await self.key_map()).ranges]
        count = len(self.instances.grants)
        await self.wait_for(lambda: len(self.instances.grants) >= count + 2)
        held.may_go_on.set()
        await asyncio.sleep(0.5)
        self.assertEqual(self.instances.releases, [])
        self.assertEqual(
            [r.owner for r in (await self.key_map()).ranges], owners
        )

    async def test_delayed_grant_of_an_earlier_term_is_not_sent_in_the_next(
        self,
    ):
        await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        held = _HeldCall(
            self.instances, 'grant', lambda key_range: True, before=True
        )
        await held.reached.wait()
        earlier = self.instances.grants[-1].token
        await self.begin_next_term()
        await self.wait_for(lambda: self.instances.grants[-1].token > earlier)
        held.may_go_on.set()
        await asyncio.sleep(0.1)
        tokens = [g.token for g in self.instances.grants]
        self.assertEqual(tokens, sorted(tokens))

    async def test_grants_are_renewed_during_a_store_outage(self):
        await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.store.down = True
        before = len(self.instances.grants)
        await self.wait_for(lambda: len(self.instances.grants) > before + 1)


class GrantedRangesTest(_CoordinatorCase):
    """Requests go to a granted range before the end of its move is written."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dispatcher = await self.start_dispatcher()

    async def start_dispatcher(self):
        started = dispatcher.Dispatcher(
            topology.Locality('z1', {}),
            KEY_HEADER,
            self.instances,
            self.clock,
            attempts.BudgetLimits(0.2, 10.0, 56.0, 1),
            counters.Counters(),
            self.random,
        )
        started.post(fakes.policy_updated(keyed=True))
        started.post(
            fakes.endpoints_updated(fakes.endpoint('a'), fakes.endpoint('bb'))
        )
        await self.start(started)
        return started

    async def grant_moved_keys_without_store(self):
        """Moves all keys; the store is down when the new owner accepts them.

        Returns:
            The leader.
        """
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.instances.may_answer.clear()
        await self.start_moving(leader)
        self.store.down = True
        self.instances.may_answer.set()
        return leader

    async def start_moving(self, leader):
        """Waits until the keys are being granted to another owner."""
        leader.post(
            fakes.endpoints_updated(
                fakes.endpoint('a', draining=True), fakes.endpoint('bb')
            )
        )
        await self.wait_for(
            lambda: self.instances.grants[-1].owner.instance_id == 'bb'
        )
        stored = await self.store.read(documents.KEY_MAP_PREFIX + 'svc')
        self.moving = messages.KeyMapUpdated(
            await self.key_map(), stored.version
        )
        self.assertTrue(all(r.priors for r in self.moving.key_map.ranges))

    async def is_answered(self):
        headers = {'Host': 'h.example', KEY_HEADER: '7'}
        dispatch = gateway_messages.Dispatch(
            'q', 'GET', '/a/x', headers, (), b'', '800'
        )
        try:
            await self.dispatcher.ask(dispatch)
        except errors.OverloadedError:
            return False
        return True

    async def test_the_leader_sends_without_the_write_that_ends_a_move(self):
        await self.grant_moved_keys_without_store()
        await self.wait_for(self.is_answered)
        self.assertEqual(self.instances.sent[-1].instance_id, 'bb')

    async def test_other_vms_send_without_the_write_that_ends_a_move(self):
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.peers.vms_by_address[_address('one')] = leader
        self.dispatcher = await self.start_dispatcher()
        await self.start_coordinator('two')
        self.dispatcher.post(messages.KeyMapUpdated(await self.key_map(), 1))
        # A report shows that it follows the leader.
        await self.wait_for(self.is_following)
        self.instances.may_answer.clear()
        await self.start_moving(leader)
        self.dispatcher.post(self.moving)
        self.store.down = True
        self.assertFalse(await self.is_answered())
        self.instances.may_answer.set()
        await self.wait_for(self.is_answered)
        self.assertEqual(self.instances.sent[-1].instance_id, 'bb')

    async def is_following(self):
        await self.is_answered()
        return bool(self.peers.reports)

    async def test_a_grant_that_is_not_accepted_lets_nobody_send(self):
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.instances.may_answer.clear()
        await self.start_moving(leader)
        self.store.down = True
        reply = await leader.ask(fakes.load_report())
        self.assertIsNone(reply.granted)
        self.instances.may_answer.set()

    async def test_a_granted_owner_that_has_ended_is_not_reported(self):
        leader = await self.grant_moved_keys_without_store()
        (moved,) = self.moving.key_map.ranges

        async def granted():
            return (await leader.ask(fakes.load_report())).granted

        await self.wait_for(granted)
        self.assertEqual(
            await granted(),
            messages.GrantedRanges(
                'svc',
                self.moving.version,
                frozenset({(moved.first, moved.last, moved.token)}),
            ),
        )
        self.instances.replaced_ids.add('bb')
        await self.wait_for(lambda: self.instances.rejected_grants)
        await asyncio.sleep(0.05)
        self.assertIsNone(await granted())

    @mock.patch.object(rangeleases, 'AUTHORITY_S', 1.6)
    async def test_a_leader_without_authority_reports_nothing_as_granted(self):
        leader = await self.grant_moved_keys_without_store()
        await asyncio.sleep(1.8)
        reply = await leader.ask(fakes.load_report())
        self.assertIsNone(reply.granted)


class WarmUpPermitsTest(_CoordinatorCase):
    """Only a leader that cannot have a successor grants permits."""

    async def start_leader(self, store=None):
        self.store = store or self.store
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        leader.post(messages.WarmUpRateUpdated(9.0))
        await self.wait_for(lambda: self.instances.grants)
        return leader

    async def permits(self, leader):
        load = messages.ObservedLoad((), {}, cold_ids=('a',))
        report = messages.LoadReport('other', 'svc', load)
        return (await leader.ask(report)).permits_by_id

    async def test_permits_begin_when_earlier_ones_have_expired(self):
        leader = await self.start_coordinator('one', fakes.endpoint('a'))
        leader.post(messages.WarmUpRateUpdated(9.0))
        name = documents.LEADER_PREFIX + 'svc'
        while not (await updates.read(self.store, name)).body:
            await asyncio.sleep(0.01)
        elected_s = self.clock.now_s()
        while not await self.permits(leader):
            await asyncio.sleep(0.05)
            self.assertLess(self.clock.now_s() - elected_s, 5.0)
        self.assertGreater(self.clock.now_s() - elected_s, 2.4)

    async def test_leader_cut_off_from_the_store_grants_no_permits(self):
        """Guards against two leaders whose permits add up."""
        link = _StoreLink(self.store)
        leader = await self.start_leader(link)
        await asyncio.sleep(2.6)
        self.assertTrue(await self.permits(leader))
        link.cut = True
        await asyncio.sleep(leaderelection.SUSPECTED_TAKEOVER_S)
        self.assertEqual(await self.permits(leader), {})


def _address(vm_id):
    return f'{vm_id}:80'


ODD_NUMBERS = (
    b'[' * 100_000 + b']' * 100_000,
    b'-1',
    b'1e400',
    b'NaN',
    b'"1"',
    b'null',
)


class DocumentsTest(basecase.BaseCase):
    """Stored key maps and leader records are validated when decoded."""

    def test_key_map_with_a_gap_is_rejected(self):
        text = (
            b'{"service_id":"s","next_token":2,"ranges":[{"first":5,"last":9,'
            b'"owner":{"instance_id":"i","born_ms":1,"address":"a"},"token":1}]}'
        )
        with self.assertRaisesRegex(Exception, 'gap before key 5'):
            documents.decode_key_map(text, 'k')

    def test_leader_record_round_trip(self):
        record = leaderelection.LeaderRecord('vm', 'p', 3, '10.0.0.1:80')
        text = documents.encode_leader_record(record)
        self.assertEqual(documents.decode_leader_record(text, 'o'), record)

    def test_key_map_out_of_range_is_rejected(self):
        text = (
            b'{"service_id":"s","next_token":2,"ranges":[{"first":0,'
            b'"last":65535,"owner":{"instance_id":"i","born_ms":1,'
            b'"address":"a"},"token":1}]}'
        )
        self.assertEqual(documents.decode_key_map(text, 'k').next_token, 2)
        for field, good in (
            (b'"next_token":', b'2'),
            (b'"first":', b'0'),
            (b'"last":', b'65535'),
            (b'"token":', b'1'),
        ):
            for odd in (*ODD_NUMBERS, b'9' * 400):
                with self.subTest(field=field, odd=odd[:20]):
                    changed = text.replace(field + good, field + odd)
                    self.assertNotEqual(changed, text)
                    with self.assertRaises(errors.ConfigurationError):
                        documents.decode_key_map(changed, 'k')

    def test_leader_record_out_of_range_is_rejected(self):
        text = b'{"vm_id":"v","incarnation":"p","beat":3,"inherited_s":4}'
        documents.decode_leader_record(text, 'o')
        for field, good in ((b'"beat":', b'3'), (b'"inherited_s":', b'4')):
            for odd in (*ODD_NUMBERS, b'9' * 400, b'1e308'):
                with self.subTest(field=field, odd=odd[:20]):
                    changed = text.replace(field + good, field + odd)
                    self.assertNotEqual(changed, text)
                    with self.assertRaises(errors.ConfigurationError):
                        documents.decode_leader_record(changed, 'o')

    def test_envelope_nested_deeply_is_rejected(self):
        content = b'{"write_ids":[],"body":%s}' % ODD_NUMBERS[0]
        with self.assertRaises(errors.ConfigurationError):
            envelopes.unwrap(content, 'k')
