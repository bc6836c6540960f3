"""Tests of oriolefold_routing.admission."""

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolefold_core import errors
from oriolefold_routing import admission
from oriolefold_testbed import basecase


def ticket(importance=50, expires_at_s=100.0):
    return admission.Ticket(object(), importance, expires_at_s)


class GateTest(basecase.BaseCase):
    """A gate bounds what is in flight and how long others wait."""

    def setUp(self):
        super().setUp()
        self.gate = admission.Gate(2)

    def fill(self, count, importance=50):
        for _ in range(count):
            self.gate.enter(ticket(importance), 0.0)

    def test_places_then_queue_then_refusal(self):
        admitted, _ = self.gate.enter(ticket(), 0.0)
        self.assertTrue(admitted)
        self.fill(1)
        admitted, _ = self.gate.enter(ticket(), 0.0)
        self.assertFalse(admitted)
        with self.assertRaises(errors.OverloadedError):
            self.fill(500)

    def test_the_queue_is_bounded_by_time(self):
        self.fill(2)
        with self.assertRaises(errors.OverloadedError):
            self.fill(500)
        wait_s = self.gate.waiting * admission.FIRST_GUESS_S / 2
        self.assertLessEqual(wait_s, admission.MAX_WAIT_S)

    def test_more_important_work_displaces_less_important(self):
        self.fill(2)
        with self.assertRaises(errors.OverloadedError):
            self.fill(500, importance=10)
        waiting = self.gate.waiting
        admitted, shed = self.gate.enter(ticket(importance=90), 0.0)
        self.assertFalse(admitted)
        self.assertEqual(shed.importance, 10)
        self.assertEqual(self.gate.waiting, waiting)

    def test_the_most_important_goes_next(self):
        self.fill(2)
        self.gate.enter(ticket(10), 0.0)
        self.gate.enter(ticket(90), 0.0)
        following, _ = self.gate.leave(0.1, 0.01)
        self.assertEqual(following.importance, 90)

    def test_expired_requests_are_returned_and_not_run(self):
        self.fill(2)
        self.gate.enter(ticket(expires_at_s=0.5), 0.0)
        following, expired = self.gate.leave(1.0, 0.01)
        self.assertIsNone(following)
        self.assertEqual(len(expired), 1)

    def test_one_slow_request_does_not_close_the_queue(self):
        self.fill(1)
        self.gate.leave(3.0, 3.0)
        self.assertLess(self.gate.expected_wait_s, 0.02)

    @given(st.lists(st.integers(0, 2), max_size=60))
    @settings(max_examples=100, deadline=None, derandomize=True)
    def test_never_more_in_flight_than_the_limit(self, steps):
        gate = admission.Gate(3)
        in_flight = 0
        for step in steps:
            if step and gate.enter(ticket(), 0.0)[0]:
                in_flight += 1
            elif not step and in_flight:
                following, _ = gate.leave(0.0, 0.001)
                in_flight -= following is None
            self.assertEqual(gate.in_flight, in_flight)
            self.assertLessEqual(in_flight, 3)
