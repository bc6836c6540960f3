"""Tests of oriolefold_direct.following with feeds that are behind."""

import asyncio

import fakes
import test_following
import test_watching

from oriolefold_core import clock, errors
from oriolefold_direct import (
    availability,
    changefeed,
    feedpolling,
    following,
    messages,
    watching,
)
from oriolefold_store import ports
from oriolefold_testbed import basecase

LEADER = '10.0.0.1:80'
RELAY = '10.0.0.2:80'
KNOWN = test_following.stored('a', test_following.in_era(2, 3), b'new')


class _Reader(test_watching.TextReader):
    may_expire = False


class _OutdatedFeedCase(basecase.AsyncCase):
    """Test case with a watcher that has seen a list and follows a leader."""

    batch_delay_s = 0.0

    async def asyncSetUp(self):
        self.inner_store = fakes.ScriptedStore()
        self.peers = test_following.QueuedPeers()
        self.clock = clock.ManualClock(100.0)
        self.feed = changefeed.ChangeFeed(self.clock)
        self.store = following.FollowerStore(
            self.inner_store,
            self.peers,
            self.feed,
            self.clock,
            fakes.follower(),
        )
        self.addAsyncCleanup(self.store.close)
        reader = _Reader()
        reader.batch_delay_s = self.batch_delay_s
        self.subscriber = basecase.RecordingTask('subscriber')
        self.watcher = watching.Watcher(
            self.store,
            reader,
            [self.subscriber],
            self.clock,
            availability.Availability(self.clock),
        )
        self.inner_store.script.put_nowait(
            ports.Changes(test_following.in_era(2, 5), (KNOWN,), complete=True)
        )
        await self.start(self.subscriber, self.watcher)
        await self.wait_for(lambda: self.subscriber.messages)
        self.clock.advance(following.START_HOLD_S)
        await self.follow()

    def content_by_name(self):
        """Returns what the subscriber knows."""
        return self.subscriber.messages[-1]

    async def follow(self):
        """Begins to follow the leader and waits for the poll."""
        count = len(self.peers.polls)
        self.store.follow(LEADER)
        await self.wait_for(lambda: len(self.peers.polls) > count)

    async def reply(self, reply):
        """Answers a poll and waits for the next one."""
        count = len(self.peers.polls)
        self.peers.answers.put_nowait(reply)
        await self.wait_for(lambda: len(self.peers.polls) > count)
        for _ in range(20):
            await asyncio.sleep(0)

    async def deliver(self, revision, *objects, era=2, **changes):
        """Answers a poll with changes."""
        changes = ports.Changes(revision, objects, **changes)
        await self.reply(messages.ChangesReply({'k/': changes}, era=era))

    async def redirect_to_a_relay(self):
        await self.reply(messages.ChangesReply({}, relay_address=RELAY))
        self.assertEqual(self.peers.poll_targets[-1][0], RELAY)

    async def fail_feed(self):
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_following)


class OutdatedFeedTest(_OutdatedFeedCase):
    """A feed that is behind replaces nothing that was seen before."""

    async def test_older_revision_of_a_relay_brings_no_older_object_back(self):
        await self.redirect_to_a_relay()
        older = test_following.stored('a', test_following.in_era(2, 2), b'old')
        await self.deliver(test_following.in_era(2, 4), older)
        await self.deliver(test_following.in_era(2, 6), older)
        await self.deliver(
            test_following.in_era(2, 7),
            test_following.stored('b', test_following.in_era(2, 7)),
        )
        await self.wait_for(lambda: len(self.subscriber.messages) == 2)
        self.assertEqual(self.content_by_name()['k/a'], b'new')

    async def test_older_list_of_a_relay_removes_nothing(self):
        await self.redirect_to_a_relay()
        await self.deliver(test_following.in_era(2, 4), complete=True)
        self.assertEqual(self.content_by_name(), {'k/a': b'new'})
        self.assertEqual(
            self.peers.polls[-1], {'k/': test_following.in_era(2, 5)}
        )

    async def test_removal_by_a_relay_that_is_behind_removes_nothing(self):
        await self.redirect_to_a_relay()
        await self.deliver(test_following.in_era(2, 4), removed_names=('k/a',))
        self.assertEqual(self.content_by_name(), {'k/a': b'new'})

    async def test_list_of_an_older_era_replaces_nothing(self):
        await self.redirect_to_a_relay()
        older = test_following.stored('a', test_following.in_era(1, 90), b'old')
        for era in (1, 2):
            with self.subTest(era):
                await self.deliver(
                    test_following.in_era(1, 99), older, era=era, complete=True
                )
                await self.deliver(test_following.in_era(1, 99), older, era=era)
                self.assertEqual(self.content_by_name(), {'k/a': b'new'})
                self.assertEqual(
                    self.peers.polls[-1], {'k/': test_following.in_era(2, 5)}
                )

    async def test_changes_of_leader_relay_and_leader_never_go_back(self):
        await self.deliver(
            test_following.in_era(2, 7),
            test_following.stored('a', test_following.in_era(2, 7), b'newest'),
        )
        await self.redirect_to_a_relay()
        self.assertEqual(
            self.peers.polls[-1], {'k/': test_following.in_era(2, 7)}
        )
        await self.deliver(test_following.in_era(2, 5), KNOWN, complete=True)
        await self.reply(errors.UnreachableError('gone'))
        self.assertEqual(self.peers.poll_targets[-1][0], LEADER)
        self.assertEqual(
            self.peers.polls[-1], {'k/': test_following.in_era(2, 7)}
        )
        await self.deliver(test_following.in_era(2, 6), KNOWN, complete=True)
        self.assertEqual(self.content_by_name(), {'k/a': b'newest'})


class UnreadChangesTest(_OutdatedFeedCase):
    """Changes of a failed feed are not applied after later ones."""

    batch_delay_s = 0.05

    async def receive_unread(self, revision, *objects, **changes):
        """Receives changes in the watcher's delay, then loses the feed."""
        await self.deliver(
            test_following.in_era(2, 6),
            test_following.stored('first', test_following.in_era(2, 6)),
        )
        await self.wait_for(lambda: 'k/first' in self.content_by_name())
        await self.deliver(revision, *objects, **changes)
        await self.fail_feed()

    async def watch_store_and_follow_again(self, changes):
        """Has the store answer the watch, then follows the feed again."""
        count = len(self.subscriber.messages)
        self.inner_store.script.put_nowait(changes)
        await self.wait_for(lambda: len(self.subscriber.messages) > count)
        self.clock.advance(feedpolling.FEED_RETRY_S)
        await self.follow()
        await asyncio.sleep(3 * self.batch_delay_s)

    async def test_removed_object_does_not_come_back_from_a_failed_feed(self):
        await self.receive_unread(
            test_following.in_era(2, 7),
            test_following.stored('gone', test_following.in_era(2, 7)),
        )
        await self.watch_store_and_follow_again(
            ports.Changes(
                test_following.in_era(2, 9),
                (test_following.stored('b', test_following.in_era(2, 9)),),
            )
        )
        self.assertNotIn('k/gone', self.content_by_name())

    async def test_object_is_not_removed_by_a_failed_feed(self):
        await self.receive_unread(
            test_following.in_era(2, 7), removed_names=('k/a',)
        )
        again = test_following.stored(
            'a', test_following.in_era(2, 8), b'again'
        )
        await self.watch_store_and_follow_again(
            ports.Changes(test_following.in_era(2, 9), (again,))
        )
        self.assertEqual(self.content_by_name().get('k/a'), b'again')

    async def test_followers_get_no_older_object_after_a_failed_feed(self):
        await self.receive_unread(
            test_following.in_era(2, 7),
            test_following.stored('a', test_following.in_era(2, 7), b'older'),
        )
        newest = test_following.stored(
            'a', test_following.in_era(2, 8), b'newest'
        )
        await self.watch_store_and_follow_again(
            ports.Changes(test_following.in_era(2, 9), (newest,))
        )
        self.feed.start_leading('svc')
        self.feed.advance_contact(self.clock.now_s())
        for revision in (
            test_following.in_era(2, 5),
            test_following.in_era(2, 4),
        ):
            with self.subTest(revision):
                reply = await self.feed.changes(
                    fakes.follower(), {'k/': revision}
                )
                objects = reply.changes_by_prefix['k/'].objects
                self.assertIn(newest, objects)


class FedAvailabilityTest(basecase.AsyncCase):
    """What a feed answers tells nothing of this VM's calls to the store."""

    async def asyncSetUp(self):
        self.inner_store = fakes.ScriptedStore()
        self.peers = test_following.QueuedPeers()
        self.clock = clock.ManualClock(100.0)
        self.health = availability.Availability(self.clock)
        self.store = following.FollowerStore(
            availability.MonitoredStore(self.inner_store, self.health),
            self.peers,
            changefeed.ChangeFeed(self.clock),
            self.clock,
            fakes.follower(),
        )
        self.addAsyncCleanup(self.store.close)
        self.subscriber = basecase.RecordingTask('subscriber')
        watcher = watching.Watcher(
            self.store,
            test_watching.TextReader(),
            [self.subscriber],
            self.clock,
            self.health,
        )
        listed = test_following.stored('a', 3), test_following.stored('b', 3)
        self.inner_store.script.put_nowait(
            ports.Changes(5, listed, complete=True)
        )
        await self.start(self.subscriber, watcher)
        await self.wait_for(lambda: self.subscriber.messages)
        self.clock.advance(following.START_HOLD_S)
        self.store.follow(LEADER)
        await self.wait_for(lambda: self.peers.polls)
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.write('k/z', b'1', ports.NEW_OBJECT)

    async def test_removal_long_after_a_failed_write_takes_effect_at_once(self):
        await asyncio.sleep(0.1)
        self.clock.advance(3600.0)
        removal = ports.Changes(6, (), ('k/a',))
        self.peers.answers.put_nowait(
            messages.ChangesReply({'k/': removal}, held_s=3600.0)
        )
        async with asyncio.timeout(1):
            await self.wait_for(lambda: len(self.subscriber.messages) == 2)
        self.assertEqual(set(self.subscriber.messages[-1]), {'k/b'})

    async def test_end_of_a_feed_is_no_answer_of_the_store(self):
        await asyncio.sleep(0.1)
        watches = len(self.inner_store.timeouts_s)
        self.inner_store.is_down = True
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.write('k/z', b'1', ports.NEW_OBJECT)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_following)
        await asyncio.sleep(0.1)
        self.assertTrue(self.health.is_unavailable)
        self.inner_store.is_down = False
        await self.wait_for(lambda: len(self.inner_store.timeouts_s) > watches)
        self.assertEqual(
            self.inner_store.timeouts_s[-1], watching.PROBE_TIMEOUT_S
        )

    async def test_feed_is_read_on_while_the_store_turns_this_vm_away(self):
        self.inner_store.is_down = True
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.write('k/z', b'1', ports.NEW_OBJECT)
        await asyncio.sleep(0.1)
        removal = ports.Changes(6, (), ('k/a',))
        self.peers.answers.put_nowait({'k/': removal})
        async with asyncio.timeout(1):
            await self.wait_for(lambda: len(self.subscriber.messages) == 2)
        self.assertEqual(set(self.subscriber.messages[-1]), {'k/b'})
