"""Tests of oriolefold_routing.warmuppermits and its use by instances."""

import dataclasses
import unittest

from oriolefold_core import data
from oriolefold_routing import (
    concurrency,
    instancetable,
    selection,
    topology,
    warmuppermits,
)

LOCALITY = topology.Locality('z1', {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'})


class WarmUpPermitsTest(unittest.TestCase):
    """A permit is for one request, in the second after its report."""

    def setUp(self):
        self.permits = warmuppermits.WarmUpPermits()

    def test_a_permit_is_used_once(self):
        self.permits.add({'a': 1}, 5.0)
        self.assertTrue(self.permits.take('a', 5.9))
        self.assertFalse(self.permits.take('a', 5.9))

    def test_a_permit_expires_also_after_it_was_assigned(self):
        self.permits.add({'a': 2}, 5.0)
        self.permits.assign('a', 5.1)
        self.assertFalse(self.permits.may_use('a', 6.0))
        self.assertFalse(self.permits.take('a', 6.0))

    def test_an_assigned_permit_is_not_counted_on_by_another_request(self):
        self.permits.add({'a': 1}, 5.0)
        self.permits.assign('a', 5.1)
        self.assertFalse(self.permits.may_use('a', 5.1))
        self.assertTrue(self.permits.take('a', 5.1))

    def test_repeated_and_overtaken_replies_add_nothing(self):
        self.permits.add({'a': 1}, 5.0)
        for sent_at_s in (5.0, 4.9):
            self.permits.add({'a': 1}, sent_at_s)
        self.assertTrue(self.permits.take('a', 5.1))
        self.assertFalse(self.permits.take('a', 5.1))


class ColdInstanceTest(unittest.TestCase):
    """Cold instances are chosen with permits only."""

    def setUp(self):
        self.table = instancetable.InstanceTable(LOCALITY)

    def update(self, *names_and_zones, **changes):
        cold = topology.Endpoint(
            '', 1, 'svc', '', data.Address('h', 1), 4, cold_until_s=9.0
        )
        self.table.update(
            {
                name: dataclasses.replace(
                    cold, instance_id=name, zone_id=zone, **changes
                )
                for name, zone in names_and_zones
            },
            0.0,
        )

    def test_cold_instance_is_chosen_once_for_each_permit(self):
        self.update(('a', 'z1'))
        demand = selection.Demand('svc')
        self.assertIsNone(self.table.choose(demand, 1.0))
        self.assertIs(
            self.table.states_by_id['a'].obstacle(1.0),
            concurrency.Obstacle.COLD,
        )
        self.table.permits.add({'a': 1}, 1.0)
        chosen = self.table.choose(demand, 1.1)
        chosen.record_send(1.1)
        self.assertIsNone(self.table.choose(demand, 1.1))
        self.assertTrue(chosen.take_permit(1.2))
        self.assertFalse(chosen.take_permit(1.2))
        self.assertTrue(chosen.take_permit(9.0))

    def test_owners_in_demand_and_near_instances_are_wanted_first(self):
        self.update(('a', 'z3'), ('b', 'z2'), ('c', 'z1'), ('d', 'z3'))
        wanted = self.table.wanted_cold_ids('svc', {'d'}, 1.0)
        self.assertEqual(wanted, ('d', 'c', 'b', 'a'))
        self.assertEqual(self.table.wanted_cold_ids('svc', (), 9.0), ())

    def test_the_list_is_bounded_and_has_no_unusable_instances(self):
        names = [(f'i{n}', 'z1') for n in range(30)]
        self.update(*names)
        wanted = self.table.wanted_cold_ids('svc', (), 1.0)
        self.assertEqual(len(wanted), instancetable.MAX_COLD_IDS)
        for field in ('draining', 'evacuated', 'unverified'):
            self.update(*names, **{field: True})
            self.assertEqual(self.table.wanted_cold_ids('svc', (), 1.0), ())
