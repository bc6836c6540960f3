"""Tests of oriolefold_direct.following."""

import asyncio
from unittest import mock

import fakes

from oriolefold_core import clock, errors
from oriolefold_direct import (
    changefeed,
    feedpolling,
    following,
    messages,
)
from oriolefold_store import ports
from oriolefold_testbed import basecase


def stored(name, version, content=b'{"x":1}'):
    return ports.StoredObject(f'k/{name}', version, content)


def in_era(era, revision):
    """Returns a revision of an era."""
    return era * ports.VERSIONS_PER_ERA + revision


class QueuedPeers(fakes.FakePeers):
    """Peers whose polls are answered from a queue."""

    def __init__(self):
        super().__init__()
        self.answers: asyncio.Queue = asyncio.Queue()
        self.polls: list[dict[str, int]] = []
        self.poll_targets: list[tuple[str, messages.Follower]] = []

    async def changes(self, address, follower, revisions_by_prefix):
        self.polls.append(dict(revisions_by_prefix))
        self.poll_targets.append((address, follower))
        answer = await self.answers.get()
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, messages.ChangesReply):
            return answer
        return messages.ChangesReply(answer)


class FollowerStoreTest(basecase.AsyncCase):
    """Watches continue when their source changes."""

    async def asyncSetUp(self):
        self.inner_store = fakes.ScriptedStore()
        self.peers = QueuedPeers()
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
        self.inner_store.script.put_nowait(
            ports.Changes(5, (stored('a', 3),), complete=True)
        )
        self.first = await self.store.watch('k/', 0, 1.0)
        # No leader was found in the time that the first watch waits for one.
        self.clock.advance(following.START_HOLD_S)

    async def test_initial_list_is_read_from_the_store(self):
        self.assertEqual(self.first.revision, 5)

    async def test_pending_watch_switches_to_the_feed_and_back(self):
        waiting = asyncio.create_task(self.store.watch('k/', 5, 1.0))
        await asyncio.sleep(0)
        self.store.follow('10.0.0.1:80')
        self.assertEqual((await waiting).revision, 5)
        feed_changes = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': feed_changes})
        self.assertEqual(await self.store.watch('k/', 5, 1.0), feed_changes)
        waiting = asyncio.create_task(self.store.watch('k/', 6, 1.0))
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertEqual(self.peers.polls[-1], {'k/': 6})
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        self.assertEqual((await waiting).revision, 6)
        self.assertFalse(self.store.is_following)
        self.inner_store.script.put_nowait(ports.Changes(7, (stored('c', 7),)))
        self.assertEqual((await self.store.watch('k/', 6, 1.0)).revision, 7)
        self.assertEqual(self.inner_store.revisions[-1], 6)

    async def test_store_only_prefixes_are_watched_in_the_store(self):
        store = following.FollowerStore(
            self.inner_store,
            self.peers,
            changefeed.ChangeFeed(self.clock),
            self.clock,
            fakes.follower(),
            frozenset({'large/'}),
        )
        self.addAsyncCleanup(store.close)
        store.follow('10.0.0.1:80')
        change = ports.Changes(9, (stored('a', 9),))
        self.inner_store.script.put_nowait(change)
        self.assertEqual(await store.watch('large/', 5, 1.0), change)

    async def test_failed_feed_is_retried_after_a_delay(self):
        self.store.follow('10.0.0.1:80')
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_following)
        self.assertTrue(self.store.is_leader_suspected)
        self.store.follow('10.0.0.1:80')
        self.assertFalse(self.store.is_following)
        self.clock.advance(feedpolling.FEED_RETRY_S)
        self.store.follow('10.0.0.1:80')
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        # What is known is too old to rely on a feed that has not answered.
        self.assertFalse(self.store.is_following)
        self.peers.answers.put_nowait(messages.ChangesReply({}))
        await self.wait_for(lambda: self.store.is_following)

    async def test_unexpected_error_ends_following(self):
        waiting = asyncio.create_task(self.store.watch('k/', 5, 1.0))
        self.store.follow('10.0.0.1:80')
        # The leader replies for a prefix that nobody here watches.
        change = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'unknown/': change})
        async with asyncio.timeout(1):
            self.assertEqual((await waiting).revision, 5)
            waiting = asyncio.create_task(self.store.watch('k/', 5, 1.0))
            self.inner_store.script.put_nowait(change)
            self.assertEqual(await waiting, change)
        self.assertFalse(self.store.is_following)

    async def test_redirect_to_a_relay_is_followed(self):
        self.store.follow('10.0.0.1:80')
        relay = messages.ChangesReply({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        await self.wait_for(lambda: len(self.peers.poll_targets) == 2)
        self.assertEqual(self.peers.poll_targets[1][0], '10.0.0.2:80')
        feed_changes = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': feed_changes})
        self.assertEqual(await self.store.watch('k/', 5, 1.0), feed_changes)
        # A VM that polls a relay is not a relay itself.
        self.assertFalse(self.feed.is_fresh)

    async def test_failed_relay_is_bypassed_without_a_call_to_the_store(self):
        self.store.follow('10.0.0.1:80')
        waiting = asyncio.create_task(self.store.watch('k/', 5, 1.0))
        relay = messages.ChangesReply({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: len(self.peers.poll_targets) == 3)
        self.assertFalse(self.store.is_leader_suspected)
        address, follower = self.peers.poll_targets[2]
        self.assertEqual(address, '10.0.0.1:80')
        self.assertEqual(follower.avoided_address, '10.0.0.2:80')
        feed_changes = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': feed_changes})
        self.assertEqual(await waiting, feed_changes)
        self.assertEqual(self.inner_store.revisions, [0])

    async def test_leader_that_is_silent_after_its_relay_is_given_up_soon(self):
        self.store.follow('10.0.0.1:80')
        relay = messages.ChangesReply({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        with mock.patch.object(feedpolling, 'BYPASS_LIMIT_S', 0.05):
            await self.wait_for(lambda: not self.store.is_following)
        self.assertTrue(self.store.is_leader_suspected)

    async def test_relay_that_has_become_the_leader_is_followed(self):
        self.store.follow('10.0.0.1:80')
        for address in ('10.0.0.2:80', '10.0.0.3:80', '10.0.0.3:80'):
            reply = messages.ChangesReply({}, relay_address=address)
            self.peers.answers.put_nowait(reply)
        await self.wait_for(lambda: len(self.peers.poll_targets) == 4)
        self.assertEqual(
            [address for address, _ in self.peers.poll_targets],
            ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.2:80', '10.0.0.3:80'],
        )
        self.assertTrue(self.store.is_following)

    async def test_slow_answer_does_not_make_the_contact_later(self):
        self.store.follow('10.0.0.1:80')
        # The leader's clock is 60 s behind; its answer took no time.
        self.peers.answers.put_nowait(messages.ChangesReply({}, 40.0, 39.5))
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertTrue(self.feed.is_fresh)
        # The next answer was in transit for 1.5 s.
        self.clock.advance(1.5)
        self.peers.answers.put_nowait(messages.ChangesReply({}, 40.0, 39.9))
        await self.wait_for(lambda: len(self.peers.polls) == 3)
        self.assertFalse(self.feed.is_fresh)

    async def test_received_but_unread_changes_are_not_lost(self):
        self.store.follow('10.0.0.1:80')
        feed_changes = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': feed_changes})
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_following)
        self.inner_store.script.put_nowait(ports.Changes(7, (stored('b', 6),)))
        await self.store.watch('k/', 5, 1.0)
        self.assertEqual(self.inner_store.revisions[-1], 5)

    async def follow_until_restore(self):
        """Follows a feed that then has the list of the restored store."""
        self.store.follow('10.0.0.1:80')
        self.listing = ports.Changes(
            in_era(1, 2), (stored('b', in_era(1, 1)),), (), True
        )
        self.peers.answers.put_nowait(
            messages.ChangesReply({'k/': self.listing}, era=1)
        )
        self.assertEqual(await self.store.watch('k/', 5, 1.0), self.listing)

    async def test_follower_that_reaches_only_a_relay_sees_a_restore(self):
        await self.follow_until_restore()
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertEqual(self.peers.polls[-1], {'k/': in_era(1, 2)})
        again = ports.Changes(in_era(2, 1), (), (), True)
        self.peers.answers.put_nowait(
            messages.ChangesReply({'k/': again}, era=2)
        )
        watched = await self.store.watch('k/', in_era(1, 2), 1.0)
        self.assertEqual(watched, again)

    async def test_relay_of_a_feed_serves_only_the_era_of_its_leader(self):
        self.store.follow('10.0.0.1:80')
        reply = messages.ChangesReply({}, 100.0, 100.0, era=1)
        self.peers.answers.put_nowait(reply)
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertFalse(self.feed.is_fresh)

    async def test_feed_without_eras_is_not_followed_with_eras(self):
        await self.follow_until_restore()
        waiting = asyncio.create_task(self.store.watch('k/', in_era(1, 2), 1.0))
        self.peers.answers.put_nowait(messages.ChangesReply({}))
        async with asyncio.timeout(1):
            self.assertEqual((await waiting).revision, in_era(1, 2))
        self.assertFalse(self.store.is_following)

    async def test_changes_across_a_restore_without_the_list_end_following(
        self,
    ):
        self.store.follow('10.0.0.1:80')
        change = ports.Changes(in_era(1, 2), (stored('b', in_era(1, 2)),))
        self.peers.answers.put_nowait(
            messages.ChangesReply({'k/': change}, era=1)
        )
        await self.wait_for(lambda: not self.store.is_following)
        watch = asyncio.create_task(self.store.watch('k/', 5, 1.0))
        await self.wait_for(lambda: self.inner_store.revisions[-1] == 5)
        watch.cancel()

    async def test_list_from_the_store_replaces_received_changes(self):
        self.store.follow('10.0.0.1:80')
        late = ports.Changes(6, (), ('k/a',))
        self.peers.answers.put_nowait({'k/': late})
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        listing = ports.Changes(in_era(1, 2), (stored('a', 1),), (), True)
        self.inner_store.script.put_nowait(listing)
        self.assertEqual(await self.store.watch('k/', 0, 1.0), listing)
        # The answer to a poll from before the restore.
        self.peers.answers.put_nowait(
            messages.ChangesReply({'k/': ports.Changes(7, (), ('k/a',))}, era=1)
        )
        await self.wait_for(lambda: len(self.peers.polls) == 3)
        self.assertEqual(self.peers.polls[-1], {'k/': in_era(1, 2)})
        newer = ports.Changes(in_era(1, 3), (stored('c', in_era(1, 3)),))
        self.peers.answers.put_nowait(
            messages.ChangesReply({'k/': newer}, era=1)
        )
        watched = await self.store.watch('k/', in_era(1, 2), 1.0)
        self.assertEqual(watched, newer)

    async def test_list_of_a_store_without_eras_may_go_back(self):
        self.inner_store.script.put_nowait(ports.Changes(2, (), (), True))
        await self.store.watch('k/', 0, 1.0)
        self.store.follow('10.0.0.1:80')
        await self.wait_for(lambda: self.peers.polls)
        self.assertEqual(self.peers.polls[-1], {'k/': 2})

    async def test_calls_tell_the_feed_the_era(self):
        self.feed.start_leading('svc')
        self.feed.advance_contact(self.clock.now_s())
        self.assertTrue(self.feed.is_fresh)
        self.inner_store.era = 1
        with self.assertRaises(errors.StoreError):
            await self.store.write('k/x', b'1', 1)
        self.assertFalse(self.feed.is_fresh)
        self.assertEqual(self.store.era, 1)


class StoreCallsTest(basecase.AsyncCase):
    """A VM asks the store only where no feed can tell it the same.

    The loads: a start of all VMs, the loss of their leader, and an outage of
    the store. Each VM would watch the store in them, at the price of a call
    for each prefix and second.
    """

    async def asyncSetUp(self):
        self.inner_store = fakes.ScriptedStore()
        self.peers = QueuedPeers()
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
        self.inner_store.script.put_nowait(
            ports.Changes(5, (stored('a', 3),), complete=True)
        )
        await self.store.watch('k/', 0, 1.0)

    def watch(self) -> asyncio.Task:
        watch = asyncio.create_task(self.watch_until_changed())
        self.addCleanup(watch.cancel)
        return watch

    async def watch_until_changed(self) -> ports.Changes:
        """Watches again while a change of the source ends the watch."""
        while True:
            changes = await self.store.watch('k/', 5, 1.0)
            if changes.revision > 5:
                return changes

    async def follow_fresh(self) -> None:
        """Follows a leader whose feed is fresh, without being its relay."""
        self.store.follow('10.0.0.1:80')
        relay = messages.ChangesReply({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        self.peers.answers.put_nowait(messages.ChangesReply({}, 40.0, 40.0))
        await self.wait_for(lambda: len(self.peers.polls) == 3)
        self.clock.advance(following.START_HOLD_S)

    async def test_vm_that_starts_waits_for_a_leader(self):
        waiting = self.watch()
        await asyncio.sleep(0.05)
        self.assertEqual(self.inner_store.revisions, [0])
        self.store.follow('10.0.0.1:80')
        change = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': change})
        self.assertEqual(await waiting, change)
        self.assertEqual(self.inner_store.revisions, [0])

    async def test_vm_that_starts_without_a_leader_watches_the_store(self):
        self.watch()
        with mock.patch.object(following, 'START_HOLD_S', 0.0):
            self.clock.advance(1.0)
        self.store.stop_following()
        await self.wait_for(lambda: self.inner_store.revisions == [0, 5])

    async def test_vm_that_becomes_the_leader_watches_the_store_at_once(self):
        self.watch()
        await asyncio.sleep(0)
        self.store.stop_following()
        self.feed.advance_contact(self.clock.now_s())
        self.feed.start_leading('svc')
        await self.wait_for(lambda: self.inner_store.revisions == [0, 5])

    async def test_no_watch_begins_in_an_outage_that_the_leader_sees(self):
        await self.follow_fresh()
        self.inner_store.is_down = True
        waiting = self.watch()
        self.peers.answers.put_nowait(errors.StaleFeedError('no contact'))
        with self.assertRaises(errors.StoreUnavailableError):
            await waiting
        self.assertEqual(self.inner_store.revisions, [0])
        self.assertEqual(self.inner_store.stale_reads, 1)

    async def test_watches_share_the_check_of_the_store(self):
        await self.follow_fresh()
        self.inner_store.is_down = True
        watches = [self.watch() for _ in range(3)]
        self.peers.answers.put_nowait(errors.StaleFeedError('no contact'))
        await asyncio.wait(watches)
        self.assertEqual(self.inner_store.stale_reads, 1)

    async def test_short_staleness_changes_nothing(self):
        await self.follow_fresh()
        waiting = self.watch()
        self.peers.answers.put_nowait(errors.StaleFeedError('no contact'))
        await self.wait_for(lambda: len(self.peers.polls) == 4)
        change = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait({'k/': change})
        self.assertEqual(await waiting, change)
        self.assertEqual(self.inner_store.stale_reads, 0)

    async def test_polls_of_a_stale_feed_wait_until_it_is_fresh(self):
        await self.follow_fresh()
        self.peers.answers.put_nowait(errors.StaleFeedError('no contact'))
        await self.wait_for(lambda: len(self.peers.polls) == 4)
        waits = [f.waits_for_contact for _, f in self.peers.poll_targets]
        self.assertEqual(waits, [False, False, False, True])

    async def test_vm_returns_to_the_feed_after_an_outage(self):
        await self.follow_fresh()
        self.inner_store.is_down = True
        with self.assertRaises(errors.StoreUnavailableError):
            self.peers.answers.put_nowait(errors.StaleFeedError('no contact'))
            await self.watch()
        self.clock.advance(2 * following.RETURN_HOLD_S)
        self.inner_store.is_down = False
        with self.assertRaises(errors.ObjectNotFoundError):
            await self.store.read_stale('k/probe')
        waiting = self.watch()
        await asyncio.sleep(0.05)
        change = ports.Changes(6, (stored('b', 6),))
        self.peers.answers.put_nowait(
            messages.ChangesReply({'k/': change}, 43.0, 43.0)
        )
        self.assertEqual(await waiting, change)
        self.assertEqual(self.inner_store.revisions, [0])

    async def test_vm_that_alone_reaches_the_store_watches_it(self):
        await self.follow_fresh()
        self.watch()
        self.peers.answers.put_nowait(errors.StaleFeedError('no contact'))
        await self.wait_for(lambda: self.inner_store.revisions == [0, 5])
        self.assertEqual(self.inner_store.stale_reads, 1)

    async def test_relay_serves_on_after_the_loss_of_the_leader(self):
        self.store.follow('10.0.0.1:80')
        reply = messages.ChangesReply({}, 100.0, 100.0)
        self.peers.answers.put_nowait(reply)
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_following)
        self.clock.advance(changefeed.MAX_CONTACT_AGE_S)
        self.assertFalse(self.feed.is_fresh)
        waiting = self.watch()
        await self.wait_for(lambda: len(self.inner_store.timeouts_s) == 2)
        self.assertEqual(
            self.inner_store.timeouts_s[-1], following.CONTACT_WATCH_S
        )
        self.inner_store.script.put_nowait(ports.Changes(6, ()))
        await waiting
        self.assertTrue(self.feed.is_fresh)
