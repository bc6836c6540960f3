"""Tests of oriolefold_routing.announcements and its use in choices."""

import unittest

from oriolefold_core import data
from oriolefold_routing import (
    announcements,
    concurrency,
    instancetable,
    selection,
    topology,
)

LOCALITY = topology.Locality('z1', {'z1': 'r1'})
LEAVES = announcements.Announcement(leaving=True)


def busy(pushback_s):
    return announcements.Announcement(pushback_s=pushback_s)


def endpoint(name, **changes):
    values = {
        'instance_id': name,
        'born_ms': 5,
        'service_id': 's',
        'zone_id': 'z1',
        'address': data.Address('10.0.0.1', 80),
        'slots': 6,
    }
    return topology.Endpoint(**(values | changes))


class AnnouncementsTest(unittest.TestCase):
    """Announcements hold for their incarnation, until it is replaced."""

    def setUp(self):
        self.known = announcements.Announcements()

    def test_leaving_is_news_once_and_never_ends(self):
        self.assertTrue(self.known.record('i', 5, LEAVES, 1.0).leaving)
        self.assertFalse(self.known.record('i', 5, LEAVES, 2.0).leaving)
        # An answer that was sent before, or without the header by a proxy.
        self.known.record('i', 5, announcements.Announcement(), 3.0)
        self.assertTrue(self.known.belief('i', 5).is_leaving(1e9))

    def test_announcement_holds_for_older_incarnations_but_no_newer_one(self):
        self.known.record('i', 5, LEAVES, 1.0)
        self.assertTrue(self.known.belief('i', 4).is_leaving(2.0))
        self.assertFalse(self.known.belief('i', 6).is_leaving(2.0))
        self.assertFalse(self.known.belief('j', 5).is_leaving(2.0))

    def test_leaving_is_known_after_a_newer_incarnation_pushed_back(self):
        self.known.record('i', 5, LEAVES, 1.0)
        self.known.record('i', 6, busy(3.0), 2.0)
        self.assertTrue(self.known.belief('i', 5).is_leaving(3.0))
        self.assertFalse(self.known.belief('i', 6).is_leaving(3.0))
        # The leaving of a successor does not renew the grace time.
        self.known.record('i', 6, LEAVES, 9.0)
        self.assertFalse(self.known.belief('i', 5).may_get_keyed(9.0))

    def test_late_answer_of_a_former_incarnation_is_ignored(self):
        self.known.record('i', 6, busy(3.0), 1.0)
        news = self.known.record('i', 5, LEAVES, 2.0)
        self.assertEqual(news, announcements.Announcement())
        self.assertFalse(self.known.belief('i', 6).is_leaving(3.0))
        self.assertEqual(self.known.belief('i', 6).busy_until_s, 4.0)

    def test_pushback_is_extended_and_never_cut(self):
        self.assertEqual(self.known.record('i', 5, busy(4.0), 1.0), busy(4.0))
        for pushback_s, until_s in ((0.5, 5.0), (6.0, 8.0)):
            news = self.known.record('i', 5, busy(pushback_s), 2.0)
            self.assertEqual(news.pushback_s, 0.0)
            self.assertEqual(self.known.belief('i', 5).busy_until_s, until_s)
        self.assertEqual(self.known.record('i', 5, busy(1.0), 8.0), busy(1.0))

    def test_long_and_negative_pushbacks_are_bounded(self):
        self.known.record('i', 5, busy(1e308), 1.0)
        self.assertEqual(
            self.known.belief('i', 5).busy_until_s,
            1.0 + announcements.MAX_PUSHBACK_S,
        )
        self.known.record('j', 5, busy(-4.0), 1.0)
        self.assertLess(self.known.belief('j', 5).busy_until_s, 1.0)

    def test_number_of_known_instances_is_bounded(self):
        for index in range(announcements.MAX_INSTANCES + 1):
            self.known.record(f'i{index}', 5, LEAVES, 1.0)
        self.assertFalse(self.known.belief('i0', 5).is_leaving(2.0))
        self.assertTrue(self.known.belief('i1', 5).is_leaving(2.0))


class ChoiceTest(unittest.TestCase):
    """Instances that leave or push back are not chosen."""

    def setUp(self):
        self.table = instancetable.InstanceTable(LOCALITY)
        self.update(endpoint('a'))

    def update(self, *endpoints):
        self.table.update({e.instance_id: e for e in endpoints}, 0.0)

    def chosen(self, now_s):
        found = self.table.choose(selection.Demand('s', ()), now_s)
        return found and found.endpoint.instance_id

    def busy_until_s(self, now_s, excluded=(), service_id='s'):
        demand = selection.Demand(service_id, excluded)
        return self.table.busy_until_s(demand, now_s)

    def test_an_older_listing_does_not_bring_back_what_leaves(self):
        self.table.record_announcement(endpoint('a'), LEAVES, 1.0)
        self.assertIsNone(self.chosen(1.0))
        self.update(endpoint('a'))
        self.assertIsNone(self.chosen(2.0))
        self.update()
        self.update(endpoint('a'), endpoint('b'))
        self.assertEqual(self.chosen(3.0), 'b')
        self.update(endpoint('a', born_ms=6))
        self.assertEqual(self.chosen(4.0), 'a')

    def test_leaving_outlasts_a_registration_that_drains_and_is_ready(self):
        self.table.record_announcement(endpoint('a'), LEAVES, 1.0)
        self.update(endpoint('a', draining=True))
        self.update(endpoint('a'))
        self.assertIsNone(self.chosen(2.0))

    def test_another_instance_at_the_address_is_chosen(self):
        self.table.record_announcement(endpoint('a'), LEAVES, 1.0)
        self.update(endpoint('b'))
        self.assertEqual(self.chosen(1.0), 'b')

    def test_pushback_ends_at_its_time_or_with_a_newer_incarnation(self):
        self.table.record_announcement(endpoint('a'), busy(3.0), 1.0)
        self.assertIsNone(self.chosen(3.9))
        self.assertEqual(self.busy_until_s(3.9), 4.0)
        self.assertEqual(self.chosen(4.0), 'a')
        self.table.record_announcement(endpoint('a'), busy(3.0), 4.0)
        self.update(endpoint('a', born_ms=6))
        self.assertEqual(self.chosen(4.1), 'a')

    def test_time_of_capacity_is_that_of_the_first_that_may_be_used(self):
        self.update(endpoint('a'), endpoint('b'), endpoint('c'))
        self.table.record_announcement(endpoint('a'), busy(3.0), 1.0)
        self.assertLess(self.busy_until_s(2.0), 2.0)
        self.table.record_announcement(endpoint('b'), busy(2.0), 1.0)
        self.table.record_announcement(endpoint('c'), LEAVES, 1.0)
        self.assertEqual(self.busy_until_s(2.0), 3.0)
        self.assertEqual(self.busy_until_s(2.0, ('b',)), 4.0)
        self.assertEqual(self.busy_until_s(2.0, ('a', 'b')), 3.0)
        self.assertLess(self.busy_until_s(2.0, service_id='none'), 2.0)

    def test_keyed_requests_go_on_for_a_grace_time(self):
        self.table.record_announcement(endpoint('a'), LEAVES, 1.0)
        state = self.table.states_by_id['a']
        end_s = 1.0 + announcements.KEYED_GRACE_S
        self.assertIsNone(state.obstacle(end_s - 0.01))
        self.assertIs(state.obstacle(end_s), concurrency.Obstacle.LEAVING)
