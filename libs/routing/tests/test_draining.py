"""Tests of oriolefold_routing.draining."""

from oriolefold_routing import draining
from oriolefold_testbed import basecase

SCHEDULE = draining.Schedule(announced_at_s=12.0, stops_at_s=15.0)
LATEST_S = 15.0 - draining.ANSWER_MARGIN_S
QUICK_S = 0.1
SLOW_S = 5.0


class MaySendTest(basecase.BaseCase):
    """A VM that is about to stop sends only what it can finish."""

    def test_decisions(self):
        # now, deadline, idempotent, likely time, decision
        cases = [
            (10.0, LATEST_S, False, None, True),
            (14.0, LATEST_S, False, SLOW_S, True),
            (10.0, LATEST_S + 0.01, False, QUICK_S, False),
            (10.0, 20.0, True, QUICK_S, True),
            (10.0, 20.0, True, None, False),
            (10.0, 20.0, True, LATEST_S - 10.0, True),
            (10.0, 20.0, True, SLOW_S, False),
            (11.99, 20.0, True, QUICK_S, True),
            (12.0, 20.0, True, QUICK_S, False),
        ]
        for now_s, expires_at_s, idempotent, likely_s, decision in cases:
            prospect = draining.Prospect(expires_at_s, idempotent, likely_s)
            with self.subTest(now_s=now_s, prospect=prospect):
                self.assertIs(
                    draining.may_send(SCHEDULE, prospect, now_s), decision
                )

    def test_nothing_is_sent_after_the_stop(self):
        for idempotent in (True, False):
            prospect = draining.Prospect(15.2, idempotent, 0.0)
            self.assertFalse(draining.may_send(SCHEDULE, prospect, 15.1))


class RecentTimesTest(basecase.BaseCase):
    """The likely time is known only from enough requests."""

    def test_few_short_requests_do_not_hide_a_long_one(self):
        times = draining.RecentTimes()
        for _ in range(draining.RECENT_COUNT - 1):
            times.record(QUICK_S)
        self.assertIsNone(times.likely_time_s())
        times.record(SLOW_S)
        self.assertEqual(times.likely_time_s(), SLOW_S)

    def test_only_the_latest_requests_count(self):
        times = draining.RecentTimes()
        times.record(SLOW_S)
        for _ in range(draining.RECENT_COUNT):
            times.record(QUICK_S)
        self.assertEqual(times.likely_time_s(), QUICK_S)
