"""Tests of oriolefold_routing.balance."""

import collections

from oriolefold_core import errors
from oriolefold_routing import balance
from oriolefold_testbed import basecase


class NearestFirstTest(basecase.BaseCase):
    """Nearest instances first; never a full or an excluded one."""

    def setUp(self):
        super().setUp()
        register = basecase.make_register(instance_count=9, keyed=False)
        service = register.services_by_id['svc']
        self.loads = [
            balance.InstanceLoad(instance, i // 3)
            for i, instance in enumerate(service.instances_by_id.values())
        ]
        self.balancer = balance.NearestFirst(self.random)

    def choose(self, excluded=()):
        return self.balancer.choose(self.loads, frozenset(excluded))

    def test_fills_the_zone_then_the_region_then_others(self):
        distances = []
        for _ in range(9 * 6):
            load = self.choose()
            load.in_flight += 1
            distances.append(load.distance)
        self.assertEqual(distances, sorted(distances))
        with self.assertRaises(errors.OverloadedError):
            self.choose()

    def test_an_instance_that_fails_fast_attracts_no_traffic(self):
        for _ in range(20):
            self.loads[0].record(failed=True)
        chosen = collections.Counter(
            self.choose().instance.instance_id for _ in range(300)
        )
        bad = chosen[self.loads[0].instance.instance_id]
        self.assertEqual(bad, 0)

    def test_excluded_instances_are_not_chosen(self):
        excluded = [load.instance.instance_id for load in self.loads[:3]]
        self.assertEqual(self.choose(excluded).distance, 1)
