"""Tests of oriolefold_routing.draining."""

import math

from oriolefold_routing import draining
from oriolefold_testbed import basecase

STOPS_AT_S = 15.0
LATEST_S = STOPS_AT_S - draining.ANSWER_MARGIN_S


class MaySendTest(basecase.BaseCase):
    """A VM that is about to stop sends only what it can finish."""

    def test_decisions(self):
        # deadline, stop, decision
        cases = [
            (LATEST_S - 5.0, STOPS_AT_S, True),
            (LATEST_S, STOPS_AT_S, True),
            (LATEST_S + 0.01, STOPS_AT_S, False),
            (STOPS_AT_S + 5.0, STOPS_AT_S, False),
            (STOPS_AT_S + 5.0, math.inf, True),
        ]
        for expires_at_s, stops_at_s, decision in cases:
            with self.subTest(expires_at_s=expires_at_s, stops_at_s=stops_at_s):
                self.assertIs(
                    draining.may_send(expires_at_s, stops_at_s), decision
                )
