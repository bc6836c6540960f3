"""Tests of oriolefold_direct.coordinator, with a store in memory."""

import asyncio
import dataclasses

import fakes

from oriolefold_coordination import office
from oriolefold_core import clock, errors
from oriolefold_direct import (
    availability,
    coordinator,
    documents,
    feeding,
    messages,
)
from oriolefold_store import envelopes, memory, updates
from oriolefold_telemetry import counters
from oriolefold_testbed import basecase


class Dispatcher(basecase.RecordingTask):
    """Dispatcher that has seen nothing."""

    async def handle(self, message):
        if isinstance(message, messages.ReadLoad):
            message.answer(messages.SeenLoad((), {}))
        else:
            await super().handle(message)


class CoordinatorTest(basecase.AsyncCase):
    """One VM holds the office; another takes over and loses nothing."""

    async def asyncSetUp(self):
        self.store = memory.MemoryStore()
        self.instances = fakes.FakeInstances()
        self.clock = clock.BootClock()
        self.dispatcher = Dispatcher('dispatcher')
        await self.start(self.dispatcher)

    def make(self, vm_id):
        peers = fakes.FakePeers()
        feed = feeding.Feed(self.clock)
        return coordinator.Coordinator(
            'svc',
            vm_id,
            f'process of {vm_id}',
            0.0,
            '10.0.0.9:80',
            feeding.FedStore(
                self.store, peers, feed, self.clock, fakes.asker()
            ),
            feed,
            self.instances,
            peers,
            self.dispatcher,
            self.clock,
            availability.Availability(self.clock),
            counters.Counters(),
            self.random,
        )

    async def key_map(self):
        name = documents.KEY_MAP_PREFIX + 'svc'
        document = await updates.read(self.store, name)
        if not document.body:
            return None
        return documents.read_key_map(document.body, name)

    async def tenure(self):
        name = documents.OFFICE_PREFIX + 'svc'
        document = await updates.read(self.store, name)
        return documents.read_tenure(document.body, name)

    async def begin(self, vm_id, *endpoints):
        made = self.make(vm_id)
        made.post(fakes.known(*endpoints))
        await self.start(made)
        return made

    async def test_keys_are_stored_then_granted(self):
        await self.begin('one', fakes.endpoint('a'), fakes.endpoint('bb'))
        await self.wait_for(lambda: len(self.instances.grants) >= 2)
        key_map = await self.key_map()
        granted = {(g.first, g.last, g.token) for g in self.instances.grants}
        stored = {(r.first, r.last, r.token) for r in key_map.ranges}
        self.assertEqual(granted, stored)

    async def test_a_leaving_owner_hands_over(self):
        made = await self.begin('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        made.post(
            fakes.known(
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

    async def test_a_resigned_office_is_taken_at_once(self):
        first = await self.begin('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        tokens = {r.token for r in (await self.key_map()).ranges}
        await first.resign()
        self.assertEqual((await self.tenure()).vm_id, '')
        await self.begin('two', fakes.endpoint('a'))

        async def taken():
            return (await self.tenure()).vm_id == 'two'

        await self.wait_for(taken)
        self.assertEqual(
            {r.token for r in (await self.key_map()).ranges}, tokens
        )

    async def test_a_lost_answer_leaves_one_holder(self):
        self.store.answers_to_lose = 1
        await self.begin('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.assertEqual((await self.tenure()).vm_id, 'one')

    async def test_who_was_overtaken_gives_way(self):
        """The answer to a write is lost, and another VM writes after it."""
        made = await self.begin('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        name = documents.KEY_MAP_PREFIX + 'svc'
        write = self.store.write
        overtaken = []

        async def write_and_lose(written, content, expected):
            version = await write(written, content, expected)
            if written == name and not overtaken:
                overtaken.append(version)
                mine = envelopes.unseal(content, name)
                later = documents.read_key_map(mine.body, name)
                later = dataclasses.replace(later, next_token=99)
                text = documents.key_map_text(later)
                sealed = envelopes.seal(text, 'other', mine.write_ids)
                await write(name, sealed, version)
                raise errors.StoreAnswerLostError(name)
            return version

        self.store.write = write_and_lose
        made.post(fakes.known(fakes.endpoint('bb')))
        await self.wait_for(lambda: overtaken)
        await asyncio.sleep(2 * updates.RESOLVE_DELAY_S)
        # Whoever takes the office next goes on from the later map.
        document = await updates.read(self.store, name)
        self.assertEqual(document.write_ids[0], 'other')

    async def test_renewals_go_on_while_the_store_is_away(self):
        await self.begin('one', fakes.endpoint('a'))
        await self.wait_for(lambda: self.instances.grants)
        self.store.down = True
        before = len(self.instances.grants)
        await self.wait_for(lambda: len(self.instances.grants) > before + 1)


class DocumentsTest(basecase.BaseCase):
    """Stored maps and tenures are checked where they are read."""

    def test_gaps_are_found(self):
        text = (
            b'{"service_id":"s","next_token":2,"ranges":[{"first":5,"last":9,'
            b'"owner":{"instance_id":"i","born_ms":1,"address":"a"},"token":1}]}'
        )
        with self.assertRaisesRegex(Exception, 'gap before key 5'):
            documents.read_key_map(text, 'k')

    def test_a_tenure_survives_its_text(self):
        tenure = office.Tenure('vm', 'p', 3, '10.0.0.1:80')
        text = documents.tenure_text(tenure)
        self.assertEqual(documents.read_tenure(text, 'o'), tenure)
