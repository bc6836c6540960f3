"""Tests of oriolefold_coordination.leaderelection."""

import unittest

from oriolefold_coordination import leaderelection

OTHER = leaderelection.LeaderRecord('two', 'p2', 1)


class LeaderMonitorTest(unittest.TestCase):
    """Conditions under which a VM may take over the leadership."""

    def setUp(self):
        self.leader_monitor = leaderelection.LeaderMonitor('one', 'p1')

    def test_a_leader_with_heartbeats_stays(self):
        for step in range(20):
            self.assertFalse(
                self.leader_monitor.observe(step + 1, OTHER, float(step))
            )

    def test_a_leader_without_heartbeats_is_replaced(self):
        self.assertFalse(self.leader_monitor.observe(5, OTHER, 0.0))
        self.assertFalse(
            self.leader_monitor.observe(5, OTHER, leaderelection.TAKEOVER_S)
        )
        self.assertTrue(
            self.leader_monitor.observe(
                5, OTHER, leaderelection.TAKEOVER_S + 0.1
            )
        )

    def test_a_leader_that_is_also_unreachable_is_replaced_earlier(self):
        self.leader_monitor.observe(5, OTHER, 0.0, suspected=True)
        limit_s = leaderelection.SUSPECTED_TAKEOVER_S
        self.assertFalse(
            self.leader_monitor.observe(5, OTHER, limit_s - 0.1, suspected=True)
        )
        self.assertTrue(
            self.leader_monitor.observe(5, OTHER, limit_s + 0.1, suspected=True)
        )

    def test_a_stale_read_is_ignored(self):
        self.leader_monitor.observe(5, OTHER, 0.0)
        self.assertFalse(self.leader_monitor.observe(4, OTHER, 60.0))

    def test_resigned_leader_or_own_former_process_is_replaced(self):
        self.assertTrue(
            self.leader_monitor.observe(
                1, leaderelection.LeaderRecord('', 'p2', 1), 0.0
            )
        )
        self.assertTrue(
            self.leader_monitor.observe(
                2, leaderelection.LeaderRecord('one', 'p0', 1), 0.0
            )
        )
