"""Tests of oriolefold_http.idlelimit."""

import math

from oriolefold_http import idlelimit
from oriolefold_testbed import basecase


class IdleLimitTest(basecase.BaseCase):
    """A prompt reset after an idle time lowers the limit for a while."""

    def setUp(self):
        super().setUp()
        self.limit = idlelimit.IdleLimit()

    def test_there_is_no_limit_at_first(self):
        self.assertEqual(self.limit.max_idle_s(5.0), math.inf)

    def test_prompt_resets_lower_the_limit_until_it_expires(self):
        self.assertTrue(self.limit.record_loss(0.8, 0.01, 5.0))
        self.assertEqual(self.limit.max_idle_s(5.0), 0.4)
        self.assertTrue(self.limit.record_loss(0.36, 0.01, 6.0))
        self.assertEqual(self.limit.max_idle_s(6.0), 0.18)
        self.assertEqual(
            self.limit.max_idle_s(6.0 + idlelimit.LIMIT_TTL_S), math.inf
        )

    def test_other_losses_do_not_lower_the_limit(self):
        self.assertFalse(self.limit.record_loss(0.8, 0.5, 5.0))
        self.assertFalse(self.limit.record_loss(0.05, 0.01, 5.0))
        self.assertEqual(self.limit.max_idle_s(5.0), math.inf)
