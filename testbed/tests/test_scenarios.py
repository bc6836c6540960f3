"""Tests of oriolefold_testbed.scenarios."""

import os

from oriolefold_testbed import basecase, scenarios


class NetworkTest(basecase.BaseCase):
    """Deployments of concurrent test runs have addresses of their own."""

    def test_concurrent_runs_share_no_addresses(self):
        networks = set()
        for _ in range(3):
            network, reservation = scenarios.reserve_network(os.getpid())
            self.addCleanup(reservation.close)
            networks.add(network)
        self.assertEqual(len(networks), 3)
        self.assertLessEqual(networks, set(scenarios.NETWORKS))
