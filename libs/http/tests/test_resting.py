"""Tests of oriolefold_http.resting."""

import math

from oriolefold_http import resting
from oriolefold_testbed import basecase


class RestTrustTest(basecase.BaseCase):
    """A reset after a rest tells of more connections like it."""

    def setUp(self):
        super().setUp()
        self.trust = resting.RestTrust()

    def test_everything_is_trusted_at_first(self):
        self.assertEqual(self.trust.longest_s(5.0), math.inf)

    def test_less_rest_after_a_prompt_reset_and_for_a_while(self):
        self.assertTrue(self.trust.lost(0.8, 0.01, 5.0))
        self.assertEqual(self.trust.longest_s(5.0), 0.4)
        self.assertTrue(self.trust.lost(0.36, 0.01, 6.0))
        self.assertEqual(self.trust.longest_s(6.0), 0.18)
        self.assertEqual(
            self.trust.longest_s(6.0 + resting.CAUTION_S), math.inf
        )

    def test_other_losses_tell_nothing(self):
        self.assertFalse(self.trust.lost(0.8, 0.5, 5.0))
        self.assertFalse(self.trust.lost(0.05, 0.01, 5.0))
        self.assertEqual(self.trust.longest_s(5.0), math.inf)
