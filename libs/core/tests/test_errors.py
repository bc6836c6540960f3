"""Tests of oriolefold_core.errors."""

from oriolefold_core import errors, findings, results
from oriolefold_testbed import basecase


class FailureTest(basecase.BaseCase):
    """Category and causes are preserved between processes."""

    def test_causes_survive_a_round_trip(self):
        try:
            try:
                raise OSError('reset')
            except OSError as error:
                raise errors.OutcomeUnknownError('s1: lost') from error
        except errors.OutcomeUnknownError as error:
            failure = errors.failure_of(error)
        again = errors.error_of(failure)
        self.assertIsInstance(again, errors.OutcomeUnknownError)
        self.assertEqual(errors.failure_of(again), failure)
        self.assertEqual(failure.causes[0][0], errors.Category.INTERNAL)

    def test_every_category_round_trips(self):
        for category in errors.Category:
            with self.subTest(category=category):
                failure = errors.Failure(category, 'text')
                error = errors.error_of(failure)
                self.assertEqual(errors.failure_of(error), failure)

    def test_unknown_exceptions_count_as_possibly_run(self):
        failure = errors.failure_of(KeyError('x'))
        self.assertFalse(failure.not_run)
        outcome = results.outcome_of(failure)
        self.assertIs(outcome, results.Outcome.UNKNOWN)

    def test_not_run_errors_are_in_the_not_run_categories(self):
        for error_class in errors.NotRunError.__subclasses__():
            self.assertIn(error_class.category, errors.NOT_RUN_CATEGORIES)
        unknown = errors.Category.OUTCOME_UNKNOWN
        self.assertNotIn(unknown, errors.NOT_RUN_CATEGORIES)


class FindingsTest(basecase.BaseCase):
    """Findings are reported together, each with its location."""

    def test_all_findings_are_raised_at_once(self):
        found = findings.Findings()
        found.add(findings.Location('a.yaml', 3, 'x[1]'), 'first')
        found.add(findings.Location('--flag'), 'second')
        with self.assertRaises(errors.ConfigurationError) as caught:
            found.raise_if_any()
        texts = [str(finding) for finding in caught.exception.findings]
        self.assertEqual(texts, ['a.yaml:3: x[1]: first', '--flag: second'])
