"""Tests of oriolefold_direct.feeding and peering."""

import asyncio

import fakes

from oriolefold_core import clock, errors
from oriolefold_direct import feeding, peering
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
        self.feed = feeding.Feed(self.clock)
        self.feed.append(
            'k/', ports.Changes(5, (stored('a', 3),), complete=True)
        )

    async def test_only_a_holder_with_contact_to_the_store_feeds(self):
        self.assertIsNone(await self.feed.changes({'k/': 0}))
        self.feed.hold('svc')
        self.assertIsNone(await self.feed.changes({'k/': 0}))
        self.feed.contact()
        self.assertIn('k/', await self.feed.changes({'k/': 0}))
        self.clock.advance(feeding.FRESH_S)
        self.assertIsNone(await self.feed.changes({'k/': 0}))

    async def test_a_waiting_vm_is_told_at_once(self):
        self.feed.hold('svc')
        self.feed.contact()
        waiting = asyncio.create_task(self.feed.changes({'k/': 5}))
        await asyncio.sleep(0.01)
        self.feed.append('k/', ports.Changes(6, (stored('b', 6),)))
        found = await waiting
        self.assertEqual([o.name for o in found['k/'].objects], ['k/b'])

    async def test_a_waiting_vm_is_sent_away_when_contact_is_lost(self):
        self.feed.hold('svc')
        self.feed.contact()
        waiting = asyncio.create_task(self.feed.changes({'k/': 5}))
        await asyncio.sleep(0.01)
        self.clock.advance(feeding.FRESH_S)
        self.assertIsNone(await waiting)


class Peers(fakes.FakePeers):
    """Peers that answer polls from a queue."""

    def __init__(self):
        super().__init__()
        self.answers: asyncio.Queue = asyncio.Queue()
        self.polls: list[dict[str, int]] = []

    async def changes(self, address, revisions_by_prefix):
        self.polls.append(dict(revisions_by_prefix))
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


class FedStoreTest(basecase.AsyncCase):
    """Watches go on, whoever answers them."""

    async def asyncSetUp(self):
        self.inner = fakes.ScriptedStore()
        self.peers = Peers()
        self.clock = clock.ManualClock(100.0)
        feed = feeding.Feed(self.clock)
        self.store = feeding.FedStore(self.inner, self.peers, feed, self.clock)
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

    async def test_large_objects_are_not_fed(self):
        store = feeding.FedStore(
            self.inner,
            self.peers,
            feeding.Feed(self.clock),
            self.clock,
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
        for read in (peering.read_report, peering.read_revisions):
            for body in (b'', b'[1]', b'{"x":"y"}'):
                with self.subTest(read=read.__name__, body=body):
                    with self.assertRaises(errors.ProtocolError):
                        read(body)
