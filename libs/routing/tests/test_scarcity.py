"""Tests of oriolefold_routing.scarcity."""

import unittest

from oriolefold_routing import scarcity, waitqueue


class ScarcityTest(unittest.TestCase):
    """Admission when not all requests can be served."""

    def setUp(self):
        self.scarcity = scarcity.Scarcity()

    def set_pace(self, interval_s, end_s=10.0):
        for n in range(10, -1, -1):
            now_s = end_s - n * interval_s
            self.scarcity.record_start('', now_s - 9.0, now_s)

    def test_wait_beyond_the_limit_exceeds_limit_only_in_overload(self):
        """A request must not be held until a limit that it will miss."""
        self.set_pace(0.1)
        self.assertFalse(self.scarcity.exceeds_limit('', 9, 0.5, 10.0))
        self.scarcity.record_overload(10.0)
        self.assertTrue(self.scarcity.exceeds_limit('', 9, 0.5, 10.0))
        self.assertFalse(self.scarcity.exceeds_limit('', 3, 0.5, 10.0))
        self.assertFalse(self.scarcity.exceeds_limit('', 0, 0.01, 10.0))
        self.assertFalse(self.scarcity.exceeds_limit('other', 9, 0.5, 10.0))
        end_s = 10.0 + scarcity.ACTIVE_S
        self.assertFalse(self.scarcity.exceeds_limit('', 9, 0.5, end_s))

    def test_rejected_callers_return_in_turn_and_within_a_third(self):
        """Callers that return together would be rejected together again."""
        self.set_pace(0.1)
        self.assertIsNone(self.scarcity.retry_after_s('', 3, 9.0, 10.0))
        self.scarcity.record_overload(10.0)
        after_s = [
            self.scarcity.retry_after_s('', 3, 9.0, 10.0) for _ in range(60)
        ]
        self.assertLessEqual(max(after_s), 3.0)
        in_halves = [sum(s < limit for s in after_s) for limit in (1.0, 2.0)]
        self.assertGreater(in_halves[0], 3)
        self.assertGreater(in_halves[1] - in_halves[0], 10)
        counts = [
            sum(low <= s < low + 0.25 for s in after_s)
            for low in (1.5, 2.0, 2.5)
        ]
        self.assertLess(max(counts), 3 * min(counts))

    def test_each_kind_is_served_a_quarter_as_often_as_all(self):
        """Requests of rank 0 must not starve those of rank 2."""
        self.scarcity.record_overload(0.0)
        served = 0
        for n in range(400):
            now_s = n * 0.01
            for kind in ('urgent', 'other'):
                self.scarcity.record_arrival(kind, 2.0, now_s)
            standing = self.scarcity.standing('other', 2, 2.0, now_s)
            # Half of the requests can be served.
            if standing.rank == 0:
                served += 1
                self.scarcity.record_send('other')
            else:
                self.scarcity.record_send('urgent')
        self.assertGreater(served / 400, 0.25 * 0.5)
        self.assertLess(served / 400, 0.5)

    def test_returning_caller_goes_before_first_attempts_of_its_rank(self):
        """A caller that keeps returning would else run out of time."""
        self.scarcity.record_overload(0.0)
        self.scarcity.record_arrival('k', 3.0, 0.0)
        found = [
            self.scarcity.standing('k', 1, left_s, 0.1).returning
            for left_s in (3.0, 2.9, 1.9)
        ]
        self.assertEqual(found, [False, False, True])
        queue = waitqueue.WaitQueue()
        for name, rank, returning, limit_s in (
            ('first', 1, False, 1.0),
            ('again', 1, True, 2.0),
            ('urgent', 0, False, 3.0),
        ):
            queue.add(
                waitqueue.Waiter(name, rank, limit_s, returning=returning)
            )
        order = [waiter.payload for waiter in queue.by_priority()]
        self.assertEqual(order, ['urgent', 'again', 'first'])
