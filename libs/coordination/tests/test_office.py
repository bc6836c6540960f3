"""Tests of oriolefold_coordination.office."""

import unittest

from oriolefold_coordination import office

OTHER = office.Tenure('two', 'p2', 1)


class VigilTest(unittest.TestCase):
    """Conditions under which a VM may take over the leadership."""

    def setUp(self):
        self.vigil = office.Vigil('one', 'p1')

    def test_a_leader_with_heartbeats_stays(self):
        for step in range(20):
            self.assertFalse(self.vigil.observe(step + 1, OTHER, float(step)))

    def test_a_leader_without_heartbeats_is_replaced(self):
        self.assertFalse(self.vigil.observe(5, OTHER, 0.0))
        self.assertFalse(self.vigil.observe(5, OTHER, office.TAKEOVER_S))
        self.assertTrue(self.vigil.observe(5, OTHER, office.TAKEOVER_S + 0.1))

    def test_a_leader_that_is_also_unreachable_is_replaced_earlier(self):
        self.vigil.observe(5, OTHER, 0.0, suspected=True)
        limit_s = office.SUSPECTED_TAKEOVER_S
        self.assertFalse(
            self.vigil.observe(5, OTHER, limit_s - 0.1, suspected=True)
        )
        self.assertTrue(
            self.vigil.observe(5, OTHER, limit_s + 0.1, suspected=True)
        )

    def test_a_stale_read_is_ignored(self):
        self.vigil.observe(5, OTHER, 0.0)
        self.assertFalse(self.vigil.observe(4, OTHER, 60.0))

    def test_resigned_leader_or_own_former_process_is_replaced(self):
        self.assertTrue(self.vigil.observe(1, office.Tenure('', 'p2', 1), 0.0))
        self.assertTrue(
            self.vigil.observe(2, office.Tenure('one', 'p0', 1), 0.0)
        )
