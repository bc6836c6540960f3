"""Tests of oriolefold_routing.admission."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolefold_core import errors
from oriolefold_routing import admission
from oriolefold_testbed import basecase


def waiter(importance=50, expires_at_s=100.0):
    return admission.Waiter(object(), importance, expires_at_s)


class AdmissionQueueTest(basecase.BaseCase):
    """Bounds on requests in flight and on the expected wait."""

    def setUp(self):
        super().setUp()
        self.queue = admission.AdmissionQueue(2)

    def fill(self, count, importance=50):
        for _ in range(count):
            self.queue.admit(waiter(importance), 0.0)

    def test_admits_then_queues_then_refuses(self):
        admitted, _ = self.queue.admit(waiter(), 0.0)
        self.assertTrue(admitted)
        self.fill(1)
        admitted, _ = self.queue.admit(waiter(), 0.0)
        self.assertFalse(admitted)
        with self.assertRaises(errors.OverloadedError):
            self.fill(500)

    def test_the_queue_is_bounded_by_time(self):
        self.fill(2)
        with self.assertRaises(errors.OverloadedError):
            self.fill(500)
        wait_s = self.queue.queue_length * admission.INITIAL_SERVICE_TIME_S / 2
        self.assertLessEqual(wait_s, admission.MAX_WAIT_S)

    def test_more_important_requests_displace_less_important_ones(self):
        self.fill(2)
        with self.assertRaises(errors.OverloadedError):
            self.fill(500, importance=10)
        length = self.queue.queue_length
        admitted, shed = self.queue.admit(waiter(importance=90), 0.0)
        self.assertFalse(admitted)
        self.assertEqual(shed.importance, 10)
        self.assertEqual(self.queue.queue_length, length)

    def test_the_most_important_request_is_sent_next(self):
        self.fill(2)
        self.queue.admit(waiter(10), 0.0)
        self.queue.admit(waiter(90), 0.0)
        next_waiter, _ = self.queue.release(0.1, 0.01)
        self.assertEqual(next_waiter.importance, 90)

    def test_expired_requests_are_returned_and_not_sent(self):
        self.fill(2)
        self.queue.admit(waiter(expires_at_s=0.5), 0.0)
        next_waiter, expired = self.queue.release(1.0, 0.01)
        self.assertIsNone(next_waiter)
        self.assertEqual(len(expired), 1)

    def test_queued_requests_are_removed_by_a_condition(self):
        self.fill(2)
        kept, removed = waiter(), waiter(expires_at_s=200.0)
        for queued in (kept, removed):
            self.queue.admit(queued, 0.0)
        popped = self.queue.pop_where(lambda w: w.expires_at_s > 100.0)
        self.assertEqual(popped, [removed])
        self.assertEqual(self.queue.pop_all(), [kept])

    def test_one_slow_request_does_not_close_the_queue(self):
        self.fill(1)
        self.queue.release(3.0, 3.0)
        self.assertLess(self.queue.expected_wait_s, 0.02)

    @given(st.lists(st.integers(0, 2), max_size=60))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_never_more_in_flight_than_the_limit(self, steps):
        queue = admission.AdmissionQueue(3)
        in_flight = 0
        for step in steps:
            if step and queue.admit(waiter(), 0.0)[0]:
                in_flight += 1
            elif not step and in_flight:
                next_waiter, _ = queue.release(0.0, 0.001)
                in_flight -= next_waiter is None
            self.assertEqual(queue.in_flight, in_flight)
            self.assertLessEqual(in_flight, 3)
