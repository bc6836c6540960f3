"""Tests of oriolefold_direct.changefeed, peering and relaying."""

import asyncio

import fakes

from oriolefold_core import clock, errors
from oriolefold_direct import changefeed, messages, peering, relaying
from oriolefold_store import ports
from oriolefold_testbed import basecase


def stored(name, version, content=b'{"x":1}'):
    return ports.StoredObject(f'k/{name}', version, content)


def in_era(era, revision):
    """Returns a revision of an era."""
    return era * ports.VERSIONS_PER_ERA + revision


class ChangeLogTest(basecase.BaseCase):
    """Changes after each revision."""

    def setUp(self):
        super().setUp()
        self.log = changefeed.ChangeLog()
        self.log.append(
            ports.Changes(5, (stored('a', 3), stored('b', 5)), complete=True)
        )

    def test_complete_list_at_first_and_nothing_when_up_to_date(self):
        found = self.log.changes_since(0)
        self.assertTrue(found.complete)
        self.assertEqual(len(found.objects), 2)
        self.assertIsNone(self.log.changes_since(5))
        self.assertIsNone(self.log.changes_since(9))

    def test_changes_are_merged_and_the_latest_wins(self):
        self.log.append(ports.Changes(6, (stored('a', 6),)))
        self.log.append(ports.Changes(7, (), ('k/a',)))
        self.log.append(ports.Changes(8, (stored('c', 8),)))
        found = self.log.changes_since(5)
        self.assertFalse(found.complete)
        self.assertEqual([o.name for o in found.objects], ['k/c'])
        self.assertEqual(found.removed_names, ('k/a',))
        self.assertEqual(self.log.changes_since(7).removed_names, ())

    def test_truncated_log_returns_the_complete_list(self):
        for revision in range(6, 6 + 2 * changefeed.MAX_LOG_ENTRIES):
            self.log.append(ports.Changes(revision, (stored('a', revision),)))
        found = self.log.changes_since(6)
        self.assertTrue(found.complete)
        self.assertEqual({o.name for o in found.objects}, {'k/a', 'k/b'})

    def test_older_revisions_get_the_complete_list_after_a_new_one(self):
        self.log.append(ports.Changes(9, (stored('b', 5),), complete=True))
        found = self.log.changes_since(5)
        self.assertTrue(found.complete)
        self.assertEqual([o.name for o in found.objects], ['k/b'])

    def test_follower_of_an_earlier_era_gets_the_complete_list(self):
        self.log.append(
            ports.Changes(in_era(1, 2), (stored('b', in_era(1, 1)),), (), True)
        )
        for revision in (5, 9, 900):
            with self.subTest(revision=revision):
                found = self.log.changes_since(revision)
                self.assertTrue(found.complete)
                self.assertEqual([o.name for o in found.objects], ['k/b'])
                self.assertEqual(found.revision, in_era(1, 2))

    def test_follower_of_a_later_era_gets_nothing(self):
        self.assertIsNone(self.log.changes_since(in_era(1, 2)))

    def test_changes_of_an_earlier_era_are_not_taken(self):
        self.log.append(ports.Changes(in_era(1, 2), (), (), True))
        for complete in (True, False):
            late = ports.Changes(900, (stored('a', 900),), (), complete)
            self.log.append(late)
        self.assertEqual(self.log.revision, in_era(1, 2))
        self.assertEqual(self.log.changes_since(0).objects, ())


class ChangeFeedTest(basecase.AsyncCase):
    """A VM serves changes only while its data is fresh."""

    def setUp(self):
        super().setUp()
        self.clock = clock.ManualClock(10.0)
        self.feed = changefeed.ChangeFeed(self.clock, 'r1')
        self.feed.append(
            'k/', ports.Changes(5, (stored('a', 3),), complete=True)
        )

    async def ask(self, revision, **changes):
        return await self.feed.changes(
            fakes.follower(contact_at_s=10.0, **changes), {'k/': revision}
        )

    async def test_only_a_leader_with_store_contact_serves_changes(self):
        self.assertIsNone(await self.ask(0))
        self.feed.start_leading('svc')
        self.assertIsNone(await self.ask(0))
        self.feed.record_contact()
        self.assertIn('k/', (await self.ask(0)).changes_by_prefix)
        self.clock.advance(changefeed.MAX_CONTACT_AGE_S)
        self.assertIsNone(await self.ask(0))

    async def test_pending_poll_returns_new_changes(self):
        self.feed.start_leading('svc')
        self.feed.record_contact()
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.feed.append('k/', ports.Changes(6, (stored('b', 6),)))
        found = (await waiting).changes_by_prefix
        self.assertEqual([o.name for o in found['k/'].objects], ['k/b'])

    async def test_pending_poll_ends_when_contact_is_lost(self):
        self.feed.start_leading('svc')
        self.feed.record_contact()
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.clock.advance(changefeed.MAX_CONTACT_AGE_S)
        self.assertIsNone(await waiting)

    async def test_later_contact_is_sent_without_changes(self):
        self.feed.start_leading('svc')
        self.feed.record_contact()
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.clock.advance(changefeed.MIN_CONTACT_ADVANCE_S + 0.1)
        self.feed.record_contact()
        reply = await waiting
        self.assertEqual(reply.changes_by_prefix, {})
        self.assertEqual(reply.contact_at_s, self.clock.now_s())

    async def test_other_regions_are_redirected_to_their_relay(self):
        self.feed.start_leading('svc')
        self.feed.record_contact()
        far = {'region': 'r2'}
        self.assertEqual((await self.ask(0, **far)).relay_address, '')
        reply = await self.ask(0, name='10.0.0.8:80', **far)
        self.assertEqual(reply.relay_address, '10.0.0.9:80')
        self.assertEqual(reply.changes_by_prefix, {})

    async def test_relay_serves_changes_while_its_leader_has_contact(self):
        self.feed.renew_relaying(10.0)
        self.assertIn('k/', (await self.ask(0)).changes_by_prefix)
        self.clock.advance(changefeed.MAX_CONTACT_AGE_S)
        self.assertIsNone(await self.ask(0))
        self.feed.renew_relaying(self.clock.now_s())
        self.assertIsNotNone(await self.ask(0))
        self.feed.stop_relaying()
        self.assertIsNone(await self.ask(0))

    async def test_feed_is_not_fresh_until_it_has_listed_the_restored_store(
        self,
    ):
        self.feed.append('l/', ports.Changes(5, (), complete=True))
        self.feed.start_leading('svc')
        self.feed.record_contact()
        self.feed.observe_era(1)
        self.feed.record_contact()
        self.assertFalse(self.feed.is_fresh)
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        for prefix in ('k/', 'l/'):
            self.assertFalse(waiting.done())
            listing = ports.Changes(in_era(1, 2), (), complete=True)
            self.feed.append(prefix, listing)
            await asyncio.sleep(0.01)
        self.assertTrue(self.feed.is_fresh)
        reply = await waiting
        self.assertEqual(reply.era, 1)
        self.assertTrue(reply.changes_by_prefix['k/'].complete)

    async def test_poll_ends_if_the_restored_store_is_not_listed(self):
        self.feed.start_leading('svc')
        self.feed.record_contact()
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.feed.observe_era(1)
        self.clock.advance(changefeed.POLL_S)
        self.assertIsNone(await waiting)

    async def test_relay_is_not_fresh_with_lists_of_an_earlier_era(self):
        self.feed.renew_relaying(10.0)
        self.assertTrue(self.feed.is_fresh)
        self.feed.observe_era(1)
        self.assertFalse(self.feed.is_fresh)
        listing = ports.Changes(in_era(1, 2), (), complete=True)
        self.feed.append('k/', listing)
        self.assertTrue(self.feed.is_fresh)


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
        self.store = changefeed.FollowerStore(
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
        store = changefeed.FollowerStore(
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
        self.clock.advance(changefeed.FEED_RETRY_S)
        self.store.follow('10.0.0.1:80')
        self.assertTrue(self.store.is_following)

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

    async def test_failed_relay_does_not_make_the_leader_suspected(self):
        self.store.follow('10.0.0.1:80')
        relay = messages.ChangesReply({}, relay_address='10.0.0.2:80')
        self.peers.answers.put_nowait(relay)
        self.peers.answers.put_nowait(errors.UnreachableError('gone'))
        await self.wait_for(lambda: not self.store.is_following)
        self.assertFalse(self.store.is_leader_suspected)
        self.clock.advance(changefeed.FEED_RETRY_S)
        self.store.follow('10.0.0.1:80')
        await self.wait_for(lambda: len(self.peers.poll_targets) == 3)
        address, follower = self.peers.poll_targets[2]
        self.assertEqual(address, '10.0.0.1:80')
        self.assertEqual(follower.avoided_address, '10.0.0.2:80')

    async def test_redirect_from_a_relay_ends_following(self):
        self.store.follow('10.0.0.1:80')
        for address in ('10.0.0.2:80', '10.0.0.3:80'):
            reply = messages.ChangesReply({}, relay_address=address)
            self.peers.answers.put_nowait(reply)
        await self.wait_for(lambda: not self.store.is_following)

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
        self.feed.record_contact()
        self.assertTrue(self.feed.is_fresh)
        self.inner_store.era = 1
        with self.assertRaises(errors.StoreError):
            await self.store.write('k/x', b'1', 1)
        self.assertFalse(self.feed.is_fresh)
        self.assertEqual(self.store.era, 1)


class EncodingTest(basecase.BaseCase):
    """Messages between VMs are validated and compact."""

    def test_invalid_bodies_are_rejected(self):
        for read in (peering.decode_report, peering.decode_poll):
            for body in (b'', b'[1]', b'{"x":"y"}'):
                with self.subTest(read=read.__name__, body=body):
                    with self.assertRaises(errors.ProtocolError):
                        read(body)

    def test_reply_without_an_era_is_readable_by_earlier_versions(self):
        body = peering.encode_changes(messages.ChangesReply({}, 4.0, 3.0))
        self.assertNotIn(b'era', body)
        body = peering.encode_changes(messages.ChangesReply({}, 4.0, era=2))
        self.assertIn(b'"era":2', body)

    def test_large_configuration_is_compressed(self):
        routes = [
            f'"route-{i}":{{"hostname":"h{i % 7}.example","timeout":1.5}}'
            for i in range(400)
        ]
        content = ('{' + ','.join(routes) + '}').encode()
        reply = messages.ChangesReply(
            {'k/': ports.Changes(7, (stored('a', 7, content),))}, 4.0, 3.0
        )
        # One VM with 50 Mbit/s sends this to 75 VMs within 0.1 s.
        self.assertLess(len(peering.encode_changes(reply)), 0.1 * 50e6 / 8 / 75)


class RelaysTest(basecase.BaseCase):
    """One VM of each remote region polls the leader."""

    def setUp(self):
        super().setUp()
        self.relays = relaying.Relays('r1')

    def ask(self, name, now_s, region='r2', **changes):
        return self.relays.relay_for(
            fakes.follower(name, region, **changes), now_s
        )

    def test_first_vm_of_a_region_is_its_relay(self):
        self.assertEqual(self.ask('a', 0.0), '')
        self.assertEqual(self.ask('b', 0.1), 'a')
        self.assertEqual(self.ask('a', 0.2), '')
        self.assertEqual(self.ask('c', 0.3, region='r3'), '')

    def test_own_region_has_no_relay(self):
        self.assertEqual(self.ask('a', 0.0, region='r1'), '')
        self.assertEqual(self.ask('b', 0.0, region='r1'), '')

    def test_relay_that_stopped_polling_is_replaced(self):
        self.ask('a', 0.0)
        self.assertEqual(self.ask('b', relaying.RELAY_TIMEOUT_S + 0.1), '')
        self.assertEqual(self.ask('a', relaying.RELAY_TIMEOUT_S + 0.2), 'b')

    def test_vm_with_more_bandwidth_becomes_relay(self):
        self.ask('a', 0.0, link_mbps=5.0)
        self.assertEqual(self.ask('b', 0.1, link_mbps=200.0), '')
        self.assertEqual(self.ask('a', 0.2, link_mbps=5.0), 'b')

    def test_vm_that_cannot_reach_the_relay_polls_the_leader(self):
        self.ask('a', 0.0)
        self.assertEqual(self.ask('b', 0.1, avoided_address='a'), '')
        self.assertEqual(self.ask('c', 0.2), 'a')
