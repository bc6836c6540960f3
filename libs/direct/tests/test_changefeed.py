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
        self.feed = changefeed.ChangeFeed(self.clock)
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
        self.feed.advance_contact(self.clock.now_s())
        self.assertIn('k/', (await self.ask(0)).changes_by_prefix)
        self.clock.advance(changefeed.MAX_CONTACT_AGE_S)
        self.assertIsNone(await self.ask(0))

    async def test_pending_poll_returns_new_changes(self):
        self.feed.start_leading('svc')
        self.feed.advance_contact(self.clock.now_s())
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.feed.append('k/', ports.Changes(6, (stored('b', 6),)))
        found = (await waiting).changes_by_prefix
        self.assertEqual([o.name for o in found['k/'].objects], ['k/b'])

    async def test_pending_poll_ends_when_contact_is_lost(self):
        self.feed.start_leading('svc')
        self.feed.advance_contact(self.clock.now_s())
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.clock.advance(changefeed.MAX_CONTACT_AGE_S)
        self.assertIsNone(await waiting)

    async def test_later_contact_is_sent_without_changes(self):
        self.feed.start_leading('svc')
        self.feed.advance_contact(self.clock.now_s())
        waiting = asyncio.create_task(self.ask(5))
        await asyncio.sleep(0.01)
        self.clock.advance(changefeed.MIN_CONTACT_ADVANCE_S + 0.1)
        self.feed.advance_contact(self.clock.now_s())
        reply = await waiting
        self.assertEqual(reply.changes_by_prefix, {})
        self.assertEqual(reply.contact_at_s, self.clock.now_s())

    async def test_hold_of_a_poll_is_told_to_who_reads_it(self):
        self.feed.start_leading('svc')
        self.feed.advance_contact(self.clock.now_s())
        for revision, reads_hold, told_s in ((6, True, 0.7), (7, False, 0.0)):
            waiting = asyncio.create_task(
                self.ask(revision - 1, reads_hold=reads_hold)
            )
            await asyncio.sleep(0.01)
            self.clock.advance(0.7)
            self.feed.advance_contact(self.clock.now_s())
            changes = ports.Changes(revision, (stored('b', revision),))
            self.feed.append('k/', changes)
            self.assertAlmostEqual((await waiting).held_s, told_s)

    async def test_other_regions_are_redirected_to_their_relay(self):
        self.feed.start_leading('svc')
        self.feed.advance_contact(self.clock.now_s())
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
        self.feed.advance_contact(self.clock.now_s())
        self.feed.observe_era(1)
        self.feed.advance_contact(self.clock.now_s())
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
        self.feed.advance_contact(self.clock.now_s())
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

    def test_only_who_reads_it_is_told_how_long_a_poll_was_held(self):
        body = peering.encode_changes(messages.ChangesReply({}, 4.0, 3.0))
        self.assertNotIn(b'held', body)
        body = peering.encode_changes(messages.ChangesReply({}, held_s=0.5))
        self.assertIn(b'"held_s":0.5', body)

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
    """One VM of each region polls the leader."""

    def setUp(self):
        super().setUp()
        self.relays = relaying.Relays()

    def ask(self, name, now_s, region='r2', **changes):
        return self.relays.relay_for(
            fakes.follower(name, region, **changes), now_s
        )

    def test_first_vm_of_a_region_is_its_relay(self):
        self.assertEqual(self.ask('a', 0.0), '')
        self.assertEqual(self.ask('b', 0.1), 'a')
        self.assertEqual(self.ask('a', 0.2), '')
        self.assertEqual(self.ask('c', 0.3, region='r3'), '')

    def test_region_of_the_leader_has_a_relay_too(self):
        self.assertEqual(self.ask('a', 0.0, region='r1'), '')
        self.assertEqual(self.ask('b', 0.0, region='r1'), 'a')

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
