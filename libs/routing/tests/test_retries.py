"""Tests of oriolefold_routing.retries and deadlines."""

from oriolefold_core import errors
from oriolefold_routing import deadlines, retries
from oriolefold_testbed import basecase


class RetryTest(basecase.BaseCase):
    """Failure categories decide on retries; the budget limits them."""

    def test_non_idempotent_requests_are_retried_only_if_not_run(self):
        unknown = errors.Failure(errors.Category.OUTCOME_UNKNOWN, '')
        self.assertFalse(retries.may_retry(unknown, False, 1))
        self.assertTrue(retries.may_retry(unknown, True, 1))
        refused = errors.Failure(errors.Category.OVERLOADED, '')
        self.assertTrue(retries.may_retry(refused, False, 1))

    def test_no_category_that_may_have_run_is_retried(self):
        for category in errors.Category:
            failure = errors.Failure(category, '')
            if retries.may_retry(failure, False, 1):
                self.assertTrue(failure.not_run, category)
            if retries.may_wait_for_owner(failure):
                self.assertTrue(failure.not_run, category)

    def test_attempts_are_bounded(self):
        refused = errors.Failure(errors.Category.OVERLOADED, '')
        tries = retries.MAX_ATTEMPTS
        self.assertFalse(retries.may_retry(refused, True, tries))

    def test_budget_is_a_fraction_of_the_first_attempts(self):
        budget = retries.RetryBudget(tokens=0.0)
        taken = 0
        for _ in range(1000):
            budget.record_attempt()
            taken += budget.take()
        self.assertAlmostEqual(taken / 1000, retries.RETRY_RATIO, delta=0.002)


class DeadlineTest(basecase.BaseCase):
    """Deadlines are passed on as remaining time; bad ones are refused."""

    def test_caller_can_shorten_but_not_lengthen(self):
        self.assertEqual(deadlines.initial_deadline(10.0, 2.0, None), 12.0)
        self.assertEqual(deadlines.initial_deadline(10.0, 2.0, '500'), 10.5)
        self.assertEqual(deadlines.initial_deadline(10.0, 2.0, '9000'), 12.0)

    def test_bad_deadlines(self):
        for text in ('', '-1', '1.5', 'soon', '9' * 10, '\u0663'):
            with self.assertRaises(errors.RequestError):
                deadlines.initial_deadline(0.0, 2.0, text)
        with self.assertRaises(errors.DeadlineExpiredError):
            deadlines.initial_deadline(0.0, 2.0, '0')

    def test_remaining_time_is_counted_down(self):
        self.assertEqual(deadlines.remaining_ms(1.0, 1.25), 250)
        with self.assertRaises(errors.DeadlineExpiredError):
            deadlines.remaining_ms(2.0, 1.25)
