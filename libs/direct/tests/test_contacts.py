"""Tests of the age and the time of store contacts of one follower."""

import asyncio
from unittest import mock

import fakes
import test_following

from oriolefold_core import clock, errors
from oriolefold_direct import changefeed, following, messages
from oriolefold_store import ports
from oriolefold_telemetry import logs
from oriolefold_testbed import basecase


class _ContactCase(basecase.AsyncCase):
    """Test case with a VM that has listed the objects."""

    MAX_AGE_S = following.DEFAULT_MAX_CONTACT_AGE_S

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
            max_contact_age_s=self.MAX_AGE_S,
        )
        self.addAsyncCleanup(self.store.close)
        self.inner_store.script.put_nowait(
            ports.Changes(5, (test_following.stored('a', 3),), complete=True)
        )
        await self.store.watch('k/', 0, 1.0)


class ContactAgeTest(_ContactCase):
    """A VM in touch with the store waits for no feed longer than allowed."""

    MAX_AGE_S = 1.2

    def watch(self):
        """Watches again while a change of the source ends the watch."""

        async def watch_until_changed():
            while (await self.store.watch('k/', 5, 1.0)).revision == 5:
                pass

        watch = asyncio.create_task(watch_until_changed())
        self.addCleanup(watch.cancel)

    async def follow(self):
        """Follows a leader that has answered one poll."""
        self.store.follow('10.0.0.1:80')
        self.peers.answers.put_nowait(messages.ChangesReply({}, 40.0, 40.0))
        await self.wait_for(lambda: len(self.peers.polls) == 2)

    async def test_unanswered_poll_is_left_for_the_store(self):
        await self.follow()
        self.feed.stop_relaying()
        self.watch()
        await asyncio.sleep(0.05)
        self.assertEqual(self.inner_store.revisions, [0])
        self.clock.advance(self.MAX_AGE_S)
        await self.wait_for(lambda: self.inner_store.revisions == [0, 5])
        self.assertFalse(self.store.is_following)

    async def test_relay_turns_to_the_store_before_its_followers(self):
        await self.follow()
        self.watch()
        self.clock.advance(self.MAX_AGE_S - following.RELAY_LEAD_S)
        await self.wait_for(lambda: self.inner_store.revisions == [0, 5])

    async def test_vm_that_starts_waits_for_no_leader_for_longer(self):
        self.watch()
        await asyncio.sleep(0.05)
        self.assertEqual(self.inner_store.revisions, [0])
        self.clock.advance(self.MAX_AGE_S)
        await self.wait_for(lambda: self.inner_store.revisions == [0, 5])

    async def test_one_failed_call_is_no_outage_to_return_from(self):
        await self.follow()
        self.clock.advance(self.MAX_AGE_S)
        with self.assertRaises(errors.StoreUnavailableError):
            await self.store.write('k/z', b'1', ports.NEW_OBJECT)
        with self.assertRaises(errors.ObjectNotFoundError):
            await self.store.read_stale('k/probe')
        self.watch()
        await self.wait_for(lambda: self.inner_store.revisions == [0, 5])


class ContactTimeTest(_ContactCase):
    """An answer proves nothing about the time since it was asked for.

    Answers that were read late, as after a freeze, once made a feed fresh that
    was seconds old.
    """

    async def answer_after(self, seconds, changes):
        """Has a leader's watch answered late."""
        self.store.stop_following()
        self.feed.start_leading('svc')
        watch = asyncio.create_task(self.store.watch('k/', 5, 1.0))
        await self.wait_for(lambda: len(self.inner_store.revisions) == 2)
        self.clock.advance(seconds)
        self.inner_store.script.put_nowait(changes)
        await watch

    async def test_answer_that_a_frozen_leader_reads_late_is_old(self):
        late = ports.Changes(6, (test_following.stored('b', 6),))
        await self.answer_after(4.0, late)
        self.assertEqual(self.feed.contact_age_s, 4.0)
        self.assertFalse(self.feed.is_fresh)

    async def test_answer_without_changes_counts_from_the_end_of_its_wait(self):
        await self.answer_after(1.2, ports.Changes(5, (), waited_s=1.0))
        self.assertAlmostEqual(self.feed.contact_age_s, 0.2)

    async def test_first_reply_that_is_late_is_not_taken_for_a_new_one(self):
        self.clock.advance(1.0)
        self.store.follow('10.0.0.1:80')
        await self.wait_for(lambda: self.peers.polls)
        self.assertTrue(self.peers.poll_targets[-1][1].reads_hold)
        # The polled VM was frozen before it sent the reply.
        self.clock.advance(4.0)
        self.peers.answers.put_nowait(messages.ChangesReply({}, 40.0, 39.9))
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertAlmostEqual(self.feed.contact_age_s, 4.1)
        self.assertFalse(self.store.is_following)

    async def test_poll_that_was_held_is_as_old_as_its_reply(self):
        self.clock.advance(1.0)
        self.store.follow('10.0.0.1:80')
        await self.wait_for(lambda: self.peers.polls)
        self.clock.advance(0.9)
        reply = messages.ChangesReply({}, 40.0, 39.9, held_s=0.8)
        self.peers.answers.put_nowait(reply)
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.assertAlmostEqual(self.feed.contact_age_s, 0.2)


class ContactAgeLogTest(_ContactCase):
    """Logs tell how old the contact was on which a VM acted."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.logged = []
        patch = mock.patch.object(
            logs, 'event', lambda name, /, **f: self.logged.append((name, f))
        )
        self.enterContext(patch)
        self.clock.advance(following.START_HOLD_S)

    def last(self, name):
        """Returns the fields of the last event of a name."""
        return [fields for found, fields in self.logged if found == name][-1]

    async def test_failed_feed_and_next_source_tell_the_age(self):
        self.store.follow('10.0.0.1:80')
        self.peers.answers.put_nowait(messages.ChangesReply({}, 40.0, 39.5))
        waiting = asyncio.create_task(self.store.watch('k/', 5, 1.0))
        await self.wait_for(lambda: len(self.peers.polls) == 2)
        self.clock.advance(2.0)
        self.assertEqual(self.feed.contact_age_s, 2.5)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await waiting
        self.assertEqual(self.last('feed.failed')['contact_age_s'], 2.5)
        self.inner_store.script.put_nowait(ports.Changes(6, ()))
        await self.store.watch('k/', 5, 1.0)
        self.assertEqual(
            self.last('watch.source'),
            {'prefix': 'k/', 'source': 'store', 'contact_age_s': 2.5},
        )
        self.assertEqual(self.feed.contact_age_s, 0.0)

    async def test_relay_that_fails_tells_the_age_of_its_contact(self):
        self.store.follow('10.0.0.1:80')
        relay = messages.ChangesReply({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        self.peers.answers.put_nowait(messages.ChangesReply({}, 40.0, 39.9))
        await self.wait_for(lambda: len(self.peers.polls) == 3)
        self.clock.advance(1.0)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: len(self.peers.polls) == 4)
        fields = self.last('feed.relay_failed')
        self.assertEqual(fields['contact_age_s'], 1.1)
