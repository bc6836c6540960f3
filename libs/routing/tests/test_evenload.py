"""Tests of load figures and of the selection by them, many VMs at once."""

import collections
import dataclasses
import random
import unittest

import hypothesis
from hypothesis import strategies

from oriolefold_core import data
from oriolefold_routing import (
    concurrency,
    evenload,
    instancetable,
    loadfigures,
    selection,
    topology,
)

LOCALITY = topology.Locality('z1', {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'})
TIME_S = 0.4
CHOICES = 800


def figures(running=0, waiting=0, percent=100):
    return loadfigures.LoadFigures(running, waiting, 6, percent)


def state(name, load=None, read_at_s=0.0, zone='z1', time_s=TIME_S):
    known = load and loadfigures.KnownLoad(
        load, read_at_s, time_s=time_s, answers=50
    )
    return concurrency.InstanceState(
        topology.Endpoint(name, 1, 's', zone, data.Address('h', 1), 6),
        LOCALITY.distance_to(zone),
        6.0,
        service_time_s=time_s if load else 0.0,
        load=known,
    )


def shares(states, now_s=0.0, seed=1, **demand):
    """Returns the part of the choices that each instance gets."""
    chooser = evenload.EvenLoad(random.Random(seed))
    wanted = selection.Demand('s', **({'left_s': 60.0} | demand))
    counts = collections.Counter(
        chooser.choose(states, wanted, TIME_S, now_s).endpoint.instance_id
        for _ in range(CHOICES)
    )
    return {
        known.endpoint.instance_id: counts[known.endpoint.instance_id] / CHOICES
        for known in states
    }


class EvenLoadTest(unittest.TestCase):
    """Shares of the choices of many VMs that know the same."""

    @hypothesis.settings(max_examples=8, deadline=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 30), min_size=2, max_size=30),
        strategies.integers(1, 20),
        strategies.floats(0, 1),
    )
    def test_no_share_grows_as_others_select_the_same_instance(
        self, loads, more, age_s
    ):
        def share(load):
            states = [state('0', figures(min(6, load), max(0, load - 6)))]
            states += [
                state(str(n), figures(min(6, other), max(0, other - 6)))
                for n, other in enumerate(loads, 1)
            ]
            return shares(states, age_s)['0']

        self.assertLessEqual(share(loads[0] + more), share(loads[0]) + 0.05)

    @hypothesis.settings(max_examples=8, deadline=None)
    @hypothesis.given(strategies.integers(13, 60), strategies.integers(1, 200))
    def test_an_instance_that_recovers_gets_its_share_in_a_second(
        self, count, waiting
    ):
        # Guards against an instance that is avoided, and so sends no newer
        # figures that would show that it has recovered.
        states = [state(str(n), figures(3), 1.0) for n in range(count)]
        states[0].load = state('', figures(6, waiting, 300)).load
        self.assertLess(shares(states, 0.0)['0'], 0.02)
        for known in states[1:]:
            known.load.read_at_s = 0.0
        self.assertGreater(shares(states, 1.0)['0'], 0.5 / count)

    @hypothesis.settings(max_examples=8, deadline=None)
    @hypothesis.given(
        strategies.integers(13, 60),
        strategies.integers(0, 60),
        strategies.floats(0, 1),
    )
    def test_a_new_instance_is_not_flooded(self, count, load, age_s):
        # Nothing is known of it. All VMs learn of it at the same moment.
        states = [
            state(str(n), figures(min(6, load), max(0, load - 6)))
            for n in range(count)
        ]
        states.append(state('new'))
        states[-1].registered_late = True
        self.assertLess(shares(states, age_s)['new'], 1 / count + 0.05)

    def test_equal_figures_give_shares_in_proportion_to_capacity(self):
        states = [
            state(str(n), figures(3), -5.0, time_s=TIME_S * (0.6, 1.2)[n % 2])
            for n in range(30)
        ]
        for known in states:
            known.service_time_s = TIME_S
        found = shares(states)
        fast = sum(found[str(n)] for n in range(0, 30, 2))
        self.assertAlmostEqual(fast, 2 / 3, delta=0.08)

    def test_a_slow_moment_counts_only_while_it_lasts(self):
        states = [state('slow', figures(1, 0, 300)), state('other', figures(1))]
        self.assertEqual(shares(states, 0.05)['slow'], 0.0)
        self.assertGreater(shares(states, 5.0)['slow'], 0.4)

    def test_failing_instances_come_last(self):
        failing, full = state('failing', figures()), state('x', figures(6, 90))
        failing.failure_rate = 0.5
        self.assertEqual(shares([failing, full])['failing'], 0.0)
        self.assertEqual(shares([failing])['failing'], 1.0)


class RegionsTest(unittest.TestCase):
    """When a request leaves the region of its VM."""

    def far_share(self, waiting, left_s, body_bytes=0, far_waiting=0):
        states = [
            state('near', figures(6, waiting), zone='z2'),
            state('far', figures(6, far_waiting), zone='z3'),
        ]
        return shares(states, left_s=left_s, body_bytes=body_bytes)['far']

    def test_requests_stay_as_long_as_the_objective_is_safe(self):
        self.assertEqual(self.far_share(6, 3.0), 0.0)
        self.assertEqual(self.far_share(0, 3.0), 0.0)

    def test_small_requests_leave_before_they_would_be_late(self):
        self.assertEqual(self.far_share(6, 1.1), 1.0)

    def test_large_bodies_leave_only_if_late_here_and_in_time_there(self):
        self.assertEqual(self.far_share(6, 1.1, 60_000), 0.0)
        self.assertEqual(self.far_share(12, 1.1, 60_000), 1.0)
        self.assertEqual(self.far_share(30, 1.1, 60_000, 12), 0.0)

    def test_no_request_leaves_for_a_longer_wait(self):
        self.assertEqual(self.far_share(12, 0.1, 0, 13), 0.0)


class SwitchTest(unittest.TestCase):
    """Only services whose instances report load are balanced by it."""

    def setUp(self):
        self.table = instancetable.InstanceTable(LOCALITY, random.Random(1))
        self.endpoints = {
            f'{service}{n}': topology.Endpoint(
                f'{service}{n}', 1, service, 'z1', data.Address('h', 1), 6
            )
            for service in ('s', 't')
            for n in range(5)
        }
        self.table.update(self.endpoints, 0.0)

    def chosen(self, service):
        demand = selection.Demand(service, left_s=1.0)
        return {
            self.table.choose(demand, 0.0).endpoint.instance_id
            for _ in range(200)
        }

    def test_figures_of_one_service_change_no_other(self):
        self.assertEqual(self.chosen('s'), {'s0'})
        self.table.record_load(self.endpoints['s0'], figures(6, 9), 0.0)
        self.assertEqual(self.chosen('s'), {'s1', 's2', 's3', 's4'})
        self.assertEqual(self.chosen('t'), {'t0'})

    def test_only_instances_that_register_later_are_new(self):
        self.table.record_load(self.endpoints['s0'], figures(), 0.0)
        later = dataclasses.replace(self.endpoints['s1'], instance_id='later')
        self.table.update(self.endpoints | {'later': later}, 1.0)
        self.assertEqual(
            [
                instance_id
                for instance_id, known in self.table.states_by_id.items()
                if known.registered_late
            ],
            ['later'],
        )

    def test_figures_of_a_former_incarnation_are_dropped(self):
        former = self.endpoints['s0']
        self.table.update(
            {'s0': topology.Endpoint('s0', 2, 's', 'z1', former.address, 6)},
            1.0,
        )
        self.table.record_load(former, figures(6, 9), 1.0)
        self.assertIsNone(self.table.states_by_id['s0'].load)

    def test_a_limit_does_not_grow_while_others_wait(self):
        self.table.record_load(self.endpoints['s0'], figures(6, 9), 0.0)
        known = self.table.states_by_id['s0']
        known.limit = 3.0
        known.record(concurrency.SendResult.ANSWERED, 0.2, 0.1)
        self.assertEqual(known.limit, 3.0)
        known.record(concurrency.SendResult.ANSWERED, 0.2, 5.0)
        self.assertGreater(known.limit, 3.0)


if __name__ == '__main__':
    unittest.main()
