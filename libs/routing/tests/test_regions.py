"""Tests of the allowed regions in policy, topology and instancetable."""

import math
import unittest

import hypothesis
from hypothesis import strategies as st

from oriolefold_core import data
from oriolefold_routing import instancetable, policy, selection, topology

REGIONS = ('r1', 'r2', 'r3')
ZONES = ('a', 'b', 'c', 'd', 'unknown')
LIMITS = st.frozensets(st.sampled_from((*REGIONS, 'elsewhere')), max_size=3)
INSTANCE = st.tuples(
    st.sampled_from(ZONES), st.booleans(), st.integers(0, 7), st.booleans()
)


def endpoint(name, zone, draining=False):
    address = data.Address('10.0.0.1', 80)
    return topology.Endpoint(name, 1, 's', zone, address, 4, draining)


class IntersectionTest(unittest.TestCase):
    """Limits of a route and of its configurations bind together."""

    @hypothesis.given(st.lists(LIMITS, max_size=3))
    def test_only_what_all_limits_allow_is_allowed(self, limits):
        # Disjoint limits must not turn into no limit.
        found = policy.intersect_regions(*limits)
        for region_id in REGIONS:
            self.assertEqual(
                not found or region_id in found,
                all(not limit or region_id in limit for limit in limits),
            )

    def test_zone_without_region_is_in_none(self):
        locality = topology.Locality('a', {'a': 'r1', 'nameless': ''})
        for zone_id in ('nameless', 'missing'):
            self.assertIsNone(locality.region_of(zone_id))
            self.assertFalse(locality.is_within(zone_id, policy.NO_REGION))


class InstanceTableTest(unittest.TestCase):
    """No instance outside the allowed regions counts for a request."""

    @hypothesis.given(
        st.fixed_dictionaries({z: st.sampled_from(REGIONS) for z in ZONES[:4]}),
        st.lists(st.lists(INSTANCE, max_size=8), min_size=1, max_size=3),
        LIMITS,
    )
    def test_no_choice_falls_outside(self, region_ids, changes, allowed):
        locality = topology.Locality('a', region_ids)
        table = instancetable.InstanceTable(locality)
        demand = selection.Demand('s', (), allowed)
        for now_s, instances in enumerate(changes, 1):
            endpoints = [
                endpoint(f'i{number}', zone, draining)
                for number, (zone, draining, _, _) in enumerate(instances)
            ]
            table.update({e.instance_id: e for e in endpoints}, now_s)
            for number, (_, _, in_flight, is_busy) in enumerate(instances):
                state = table.states_by_id[f'i{number}']
                state.in_flight = in_flight
                state.belief.busy_until_s = now_s + is_busy
            inside = [
                state
                for state in table.states_by_id.values()
                if not state.endpoint.draining
                and (
                    not allowed
                    or region_ids.get(state.endpoint.zone_id) in allowed
                )
            ]
            chosen = table.choose(demand, now_s)
            self.assertEqual(
                chosen is not None, any(s.has_capacity(now_s) for s in inside)
            )
            self.assertTrue(chosen is None or chosen in inside)
            busy_until_s = [s.belief.busy_until_s for s in inside]
            self.assertEqual(
                table.busy_until_s(demand, now_s),
                min(busy_until_s, default=-math.inf),
            )
            self.assertEqual(
                table.usable_from_s(demand, now_s),
                min(busy_until_s, default=math.inf),
            )
