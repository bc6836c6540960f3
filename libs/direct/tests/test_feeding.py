"""Tests of oriolefold_direct.feeding and peering."""

import asyncio

import fakes

from oriolefold_core import clock, errors
from oriolefold_direct import feeding, messages, peering, relaying
from oriolefold_store import ports
from oriolefold_testbed import basecase


def stored(name, version, content=b'{"x":1}'):
    return ports.StoredObject(f'k/{name}', version, content)


class FeedLogTest(basecase.BaseCase):
    """What is told after each revision."""

    def setUp(self):
        super().setUp()
        self.log = feeding.FeedLog()
        self.log.append(
            ports.Changes(5, (stored('a', 3), stored('b', 5)), complete=True)
        )

    def test_everything_at_first_and_nothing_when_up_to_date(self):
        found = self.log.since(0)
        self.assertTrue(found.complete)
        self.assertEqual(len(found.objects), 2)
        self.assertIsNone(self.log.since(5))
        self.assertIsNone(self.log.since(9))

    def test_changes_are_joined_the_newest_wins(self):
        self.log.append(ports.Changes(6, (stored('a', 6),)))
        self.log.append(ports.Changes(7, (), ('k/a',)))
        self.log.append(ports.Changes(8, (stored('c', 8),)))
        found = self.log.since(5)
        self.assertFalse(found.complete)
        self.assertEqual([o.name for o in found.objects], ['k/c'])
        self.assertEqual(found.removed_names, ('k/a',))
        self.assertEqual(self.log.since(7).removed_names, ())

    def test_who_is_too_far_behind_gets_everything(self):
        for revision in range(6, 6 + 2 * feeding.MAX_LOGGED):
            self.log.append(ports.Changes(revision, (stored('a', revision),)))
        found = self.log.since(6)
        self.assertTrue(found.complete)
        self.assertEqual({o.name for o in found.objects}, {'k/a', 'k/b'})

    def test_after_a_new_list_older_revisions_get_everything(self):
        self.log.append(ports.Changes(9, (stored('b', 5),), complete=True))
        found = self.log.since(5)
        self.assertTrue(found.complete)
        self.assertEqual([o.name for o in found.objects], ['k/b'])


class FeedTest(basecase.AsyncCase):
    """A VM feeds others only while it may be relied on."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock(10.0)
        self.feed = feeding.Feed(self.clock, 'r1')
        self.feed.append(
            'k/', ports.Changes(5, (stored('a', 3),), complete=True)
        )

    async def ask(self, revision, **changes):
        return await self.feed.changes(
            fakes.asker(contact_at_s=10.0, **changes), {'k/': revision}
        )

    async def test_only_a_holder_with_contact_to_the_store_feeds(self):
        self.assertIsNone(await self.ask(0))
        self.feed.hold('svc')
        self.assertIsNone(await self.ask(0))
        self.feed.contact()
        self.assertIn('k/', (await self.ask(0)).changes_by_prefix)
        self.clock.advance(feeding.FRESH_S)
        self.assertIsNone(await self.ask(0))

    async def test_a_waiting_vm_is_told_at_once(self):
        self.feed.hold('svc')
        self.feed.contact()
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.feed.append('k/', ports.Changes(6, (stored('b', 6),)))
        found = (await waiting).changes_by_prefix
        self.assertEqual([o.name for o in found['k/'].objects], ['k/b'])

    async def test_a_waiting_vm_is_sent_away_when_contact_is_lost(self):
        self.feed.hold('svc')
        self.feed.contact()
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.clock.advance(feeding.FRESH_S)
        self.assertIsNone(await waiting)

    async def test_newer_contact_is_told_without_changes(self):
        self.feed.hold('svc')
        self.feed.contact()
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.clock.advance(feeding.CONTACT_STEP_S + 0.1)
        self.feed.contact()
        told = await waiting
        self.assertEqual(told.changes_by_prefix, {})
        self.assertEqual(told.contact_at_s, self.clock.now_s())

    async def test_other_regions_ask_their_relay(self):
        self.feed.hold('svc')
        self.feed.contact()
        far = {'region': 'r2'}
        self.assertEqual((await self.ask(0, **far)).relay_address, '')
        told = await self.ask(0, name='10.0.0.8:80', **far)
        self.assertEqual(told.relay_address, '10.0.0.9:80')
        self.assertEqual(told.changes_by_prefix, {})

    async def test_a_relay_tells_while_its_holder_has_contact(self):
        self.feed.relay(10.0)
        self.assertIn('k/', (await self.ask(0)).changes_by_prefix)
        self.clock.advance(feeding.FRESH_S)
        self.assertIsNone(await self.ask(0))
        self.feed.relay(self.clock.now_s())
        self.assertIsNotNone(await self.ask(0))
        self.feed.end_relaying()
        self.assertIsNone(await self.ask(0))


class Peers(fakes.FakePeers):
    """Peers that answer polls from a queue."""

    def __init__(self):
        super().__init__()
        self.answers: asyncio.Queue = asyncio.Queue()
        self.polls: list[dict[str, int]] = []
        self.asked: list[tuple[str, messages.Asker]] = []

    async def changes(self, address, asker, revisions_by_prefix):
        self.polls.append(dict(revisions_by_prefix))
        self.asked.append((address, asker))
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, messages.Told):
            return answer
        return messages.Told(answer)


class FedStoreTest(basecase.AsyncCase):
    """Watches go on, whoever answers them."""

    async def asyncSetUp(self):
        self.inner = fakes.ScriptedStore()
        self.peers = Peers()
        self.clock = clock.ManualClock(100.0)
        self.feed = feeding.Feed(self.clock)
        self.store = feeding.FedStore(
            self.inner, self.peers, self.feed, self.clock, fakes.asker()
        )
        self.addAsyncCleanup(self.store.close)
        self.inner.script.put_nowait(
            ports.Changes(5, (stored('a', 3),), complete=True)
        )
        self.first = await self.store.watch('k/', 0, 1.0)

    async def test_the_first_list_comes_from_the_store(self):
        self.assertEqual(self.first.revision, 5)

    async def test_a_waiting_watch_turns_to_the_feed_and_back(self):
        waiting = asyncio.create_task(self.store.watch('k/', 5, 1.0))
        await asyncio.sleep(0)
        self.store.follow('10.0.0.1:80')
        self.assertEqual((await waiting).revision, 5)
        fed = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': fed})
        self.assertEqual(await self.store.watch('k/', 5, 1.0), fed)
        waiting = asyncio.create_task(self.store.watch('k/', 6, 1.0))
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertEqual(self.peers.polls[-1], {'k/': 6})
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        self.assertEqual((await waiting).revision, 6)
        self.assertFalse(self.store.is_fed)
        self.inner.script.put_nowait(ports.Changes(7, (stored('c', 7),)))
        self.assertEqual((await self.store.watch('k/', 6, 1.0)).revision, 7)
        self.assertEqual(self.inner.revisions[-1], 6)

    async def test_some_prefixes_are_not_fed(self):
        store = feeding.FedStore(
            self.inner,
            self.peers,
            feeding.Feed(self.clock),
            self.clock,
            fakes.asker(),
            frozenset({'large/'}),
        )
        self.addAsyncCleanup(store.close)
        store.follow('10.0.0.1:80')
        change = ports.Changes(9, (stored('a', 9),))
        self.inner.script.put_nowait(change)
        self.assertEqual(await store.watch('large/', 5, 1.0), change)

    async def test_a_lost_feed_rests_before_it_is_tried_again(self):
        self.store.follow('10.0.0.1:80')
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_fed)
        self.assertTrue(self.store.has_failed)
        self.store.follow('10.0.0.1:80')
        self.assertFalse(self.store.is_fed)
        self.clock.advance(feeding.RETRY_S)
        self.store.follow('10.0.0.1:80')
        self.assertTrue(self.store.is_fed)

    async def test_a_relay_is_asked_instead(self):
        self.store.follow('10.0.0.1:80')
        relay = messages.Told({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        await self.wait_for(lambda: len(self.peers.asked) == 2)
        self.assertEqual(self.peers.asked[1][0], '10.0.0.2:80')
        fed = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': fed})
        self.assertEqual(await self.store.watch('k/', 5, 1.0), fed)
        # Who asks a relay passes nothing on itself.
        self.assertFalse(self.feed.is_fresh)

    async def test_a_lost_relay_says_nothing_against_the_holder(self):
        self.store.follow('10.0.0.1:80')
        relay = messages.Told({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_fed)
        self.assertFalse(self.store.has_failed)
        self.clock.advance(feeding.RETRY_S)
        self.store.follow('10.0.0.1:80')
        await self.wait_for(lambda: len(self.peers.asked) == 3)
        address, asker = self.peers.asked[2]
        self.assertEqual(address, '10.0.0.1:80')
        self.assertEqual(asker.avoided_address, '10.0.0.2:80')

    async def test_relays_that_name_each_other_are_left(self):
        self.store.follow('10.0.0.1:80')
        for address in ('10.0.0.2:80', '10.0.0.3:80'):
            told = messages.Told({}, relay_address=address)
            self.peers.answers.put_nowait(told)
        await self.wait_for(lambda: not self.store.is_fed)

    async def test_a_slow_answer_makes_no_contact_fresher(self):
        self.store.follow('10.0.0.1:80')
        # The holder's clock is 60 s behind; its answer took no time.
        self.peers.answers.put_nowait(messages.Told({}, 40.0, 39.5))
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertTrue(self.feed.is_fresh)
        # The next one was on its way for a second and a half.
        self.clock.advance(1.5)
        self.peers.answers.put_nowait(messages.Told({}, 40.0, 39.9))
        await self.wait_for(lambda: len(self.peers.polls) == 3)
        self.assertFalse(self.feed.is_fresh)

    async def test_what_was_fed_but_not_taken_is_not_lost(self):
        self.store.follow('10.0.0.1:80')
        fed = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': fed})
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_fed)
        self.inner.script.put_nowait(ports.Changes(7, (stored('b', 6),)))
        await self.store.watch('k/', 5, 1.0)
        self.assertEqual(self.inner.revisions[-1], 5)


class TextsTest(basecase.BaseCase):
    """What VMs send each other is checked where it is read."""

    def test_bad_texts(self):
        for read in (peering.read_report, peering.read_poll):
            for body in (b'', b'[1]', b'{"x":"y"}'):
                with self.subTest(read=read.__name__, body=body):
                    with self.assertRaises(errors.ProtocolError):
                        read(body)

    def test_a_large_configuration_is_told_in_a_few_packets(self):
        routes = [
            f'"route-{i}":{{"hostname":"h{i % 7}.example","timeout":1.5}}'
            for i in range(400)
        ]
        content = ('{' + ','.join(routes) + '}').encode()
        told = messages.Told(
            {'k/': ports.Changes(7, (stored('a', 7, content),))}, 4.0, 3.0
        )
        # 75 VMs that ask one with 50 Mbit/s have it within 0.1 s.
        self.assertLess(len(peering.told_text(told)), 0.1 * 50e6 / 8 / 75)


class RelaysTest(basecase.BaseCase):
    """One VM of each other region asks the holder of the office."""

    def setUp(self):
        super().setUp()
        self.relays = relaying.Relays('r1')

    def ask(self, name, now_s, region='r2', **changes):
        return self.relays.relay_for(
            fakes.asker(name, region, **changes), now_s
        )

    def test_the_first_one_of_a_region(self):
        self.assertEqual(self.ask('a', 0.0), '')
        self.assertEqual(self.ask('b', 0.1), 'a')
        self.assertEqual(self.ask('a', 0.2), '')
        self.assertEqual(self.ask('c', 0.3, region='r3'), '')

    def test_nobody_of_the_own_region(self):
        self.assertEqual(self.ask('a', 0.0, region='r1'), '')
        self.assertEqual(self.ask('b', 0.0, region='r1'), '')

    def test_a_silent_relay_is_replaced(self):
        self.ask('a', 0.0)
        self.assertEqual(self.ask('b', relaying.SILENCE_S + 0.1), '')
        self.assertEqual(self.ask('a', relaying.SILENCE_S + 0.2), 'b')

    def test_a_larger_link_goes_first(self):
        self.ask('a', 0.0, link_mbps=5.0)
        self.assertEqual(self.ask('b', 0.1, link_mbps=200.0), '')
        self.assertEqual(self.ask('a', 0.2, link_mbps=5.0), 'b')

    def test_who_cannot_reach_the_relay_asks_here(self):
        self.ask('a', 0.0)
        self.assertEqual(self.ask('b', 0.1, avoided_address='a'), '')
        self.assertEqual(self.ask('c', 0.2), 'a')
