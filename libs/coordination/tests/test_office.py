"""Tests of oriolefold_coordination.office."""

import unittest

from oriolefold_coordination import office

OTHER = office.Tenure('two', 'p2', 1)


class VigilTest(unittest.TestCase):
    """When the office may be taken over."""

    def setUp(self):
        self.vigil = office.Vigil('one', 'p1')

    def test_a_beating_holder_keeps_the_office(self):
        for step in range(20):
            self.assertFalse(self.vigil.observe(step + 1, OTHER, float(step)))

    def test_a_silent_holder_loses_it(self):
        self.assertFalse(self.vigil.observe(5, OTHER, 0.0))
        self.assertFalse(self.vigil.observe(5, OTHER, office.TAKEOVER_S))
        self.assertTrue(self.vigil.observe(5, OTHER, office.TAKEOVER_S + 0.1))

    def test_a_holder_that_is_silent_to_this_vm_too_loses_it_earlier(self):
        self.vigil.observe(5, OTHER, 0.0, suspected=True)
        limit_s = office.SUSPECTED_TAKEOVER_S
        self.assertFalse(
            self.vigil.observe(5, OTHER, limit_s - 0.1, suspected=True)
        )
        self.assertTrue(
            self.vigil.observe(5, OTHER, limit_s + 0.1, suspected=True)
        )

    def test_a_stale_reading_tells_nothing(self):
        self.vigil.observe(5, OTHER, 0.0)
        self.assertFalse(self.vigil.observe(4, OTHER, 60.0))

    def test_resigned_or_own_former_process(self):
        self.assertTrue(self.vigil.observe(1, office.Tenure('', 'p2', 1), 0.0))
        self.assertTrue(
            self.vigil.observe(2, office.Tenure('one', 'p0', 1), 0.0)
        )
