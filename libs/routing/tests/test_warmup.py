"""Tests of oriolefold_routing.warmup: until when an instance is cold."""

import unittest

from oriolefold_routing import warmup


class WarmUpStateTest(unittest.TestCase):
    """No report shortens a cold period that it cannot know of."""

    def setUp(self):
        self.state = warmup.WarmUpState()

    def test_time_left_counts_from_the_read_and_zero_ends_it(self):
        self.state.register(3.0, 10.0)
        self.assertEqual(self.state.cold_until_s, 13.0)
        self.state.register(0.0, 11.0)
        self.assertEqual(self.state.cold_until_s, 11.0)

    def test_an_old_registration_does_not_end_the_time_after_evacuation(self):
        self.state.register(0.5, 10.0)
        self.state.record_evacuation_end(3.0, 20.0)
        self.state.register(0.4, 20.5)
        self.state.register(0.0, 21.0)
        self.assertEqual(self.state.cold_until_s, 23.0)
        self.state.record_health(0.0, 21.0, 21.1)
        self.assertEqual(self.state.cold_until_s, 23.0)

    def test_an_instance_can_become_cold_again(self):
        self.state.register(0.0, 10.0)
        self.state.register(2.0, 50.0)
        self.assertEqual(self.state.cold_until_s, 52.0)
        self.state.record_health(2.5, 51.0, 51.1)
        self.assertAlmostEqual(self.state.cold_until_s, 53.6)

    def test_a_check_older_than_a_failure_verifies_nothing(self):
        self.state.record_failure(10.0)
        self.state.record_health(0.0, 9.9, 10.1)
        self.assertEqual(self.state.unverified_since_s, 10.0)
        self.state.record_health(0.0, 10.2, 10.3)
        self.assertIsNone(self.state.unverified_since_s)
        self.state.record_failure(11.0)
        self.state.register(1.0, 11.5)
        self.assertIsNone(self.state.unverified_since_s)
