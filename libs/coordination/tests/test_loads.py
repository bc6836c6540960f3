"""Tests of oriolefold_coordination.loads."""

from oriolefold_coordination import loads
from oriolefold_testbed import basecase


class LoadsTest(basecase.BaseCase):
    """Rates follow the traffic; too little traffic is ignored."""

    def test_rate_converges_to_the_rate_of_the_traffic(self):
        shard_loads = loads.ShardLoads(0.0)
        for second in range(200):
            for _ in range(30):
                shard_loads.record(3)
            rates = shard_loads.rates(float(second + 1))
        self.assertAlmostEqual(rates[3], 30, delta=2)

    def test_rates_of_old_traffic_are_dropped(self):
        shard_loads = loads.ShardLoads(0.0)
        shard_loads.record(3)
        self.assertEqual(shard_loads.rates(1000.0), {})

    def test_little_traffic_gives_equal_weights(self):
        self.assertEqual(loads.weights_of({1: 3.0}, 4), (1.0,) * 4)

    def test_idle_shards_keep_a_small_weight(self):
        weights = loads.weights_of({1: 100.0}, 4)
        self.assertGreater(weights[0], 0)
        self.assertGreater(weights[1], 20 * weights[0])

    def test_moves_are_needed_for_overloaded_and_idle_instances(self):
        ids = ('s0', 's1', 's2')
        cases = [
            (('s0', 's1', 's2'), (1.0, 1.0, 1.0), False),
            (('s0', 's1', 's2'), (2.0, 1.0, 1.0), True),
            (('s0', 's1', 's1'), (1.0, 0.5, 0.5), True),
            (('s0', 's1', 's2'), (1.1, 1.0, 0.9), False),
        ]
        for owners, weights, needed in cases:
            found = loads.needs_moves(owners, weights, ids)
            self.assertEqual(found, needed, (owners, weights))
