"""Tests of oriolefold_testbed.histories with known violations."""

import json
import pathlib
import tempfile

from oriolefold_testbed import basecase, histories, probing


def execution(
    request='r', instance='s1', method='GET', token=1, begun=0.0, ended=1.0
):
    return histories.Execution(
        request, instance, method, 3, token, begun, ended
    )


def sample(outcome, request='r'):
    return probing.Sample(request, 'k', 'GET', 0.0, 1.0, outcome, 200)


class HistoryCheckTest(basecase.BaseCase):
    """Each violation is detected and reported with its evidence."""

    def test_clean_history(self):
        history = [
            execution(),
            execution('q', 's2', token=2, begun=1.0, ended=2.0),
        ]
        self.assertEqual(histories.check_all(history, [sample('answered')]), [])

    def test_two_owners(self):
        history = [
            execution(),
            execution('q', 's2', token=2, begun=0.9, ended=1.2),
        ]
        (violation,) = histories.check_single_owner(history)
        self.assertEqual(len(violation.evidence), 2)
        self.assertIn('two owners', str(violation))

    def test_two_owners_with_a_shorter_run_between(self):
        history = [
            execution('long', begun=0.0, ended=5.0),
            execution('short', begun=1.0, ended=2.0),
            execution('other', 's2', token=2, begun=3.0, ended=4.0),
        ]
        self.assertEqual(len(histories.check_single_owner(history)), 1)

    def test_decreasing_token(self):
        history = [
            execution(token=5),
            execution('q', token=4, begun=2.0, ended=3.0),
        ]
        (violation,) = histories.check_single_owner(history)
        self.assertIn('lower token', str(violation))

    def test_executed_twice(self):
        history = [
            execution(method='POST'),
            execution(method='POST', begun=2.0, ended=3.0),
        ]
        self.assertEqual(len(histories.check_at_most_once(history)), 1)
        repeated_get = [execution(), execution(begun=2.0, ended=3.0)]
        self.assertEqual(histories.check_at_most_once(repeated_get), [])

    def test_executed_but_reported_as_not_run(self):
        violations = histories.check_not_run([execution()], [sample('not-run')])
        self.assertEqual(len(violations), 1)

    def test_reported_as_answered_but_never_executed(self):
        violations = histories.check_answered([], [sample('answered')])
        self.assertEqual(len(violations), 1)


class JournalTest(basecase.BaseCase):
    """Journals tell what was executed from what was only begun."""

    def test_a_request_that_was_only_begun_is_no_execution(self):
        executed = {
            'request': 'r',
            'instance': 's1',
            'method': 'GET',
            'shard': 3,
            'token': 1,
            'begun_s': 0.0,
            'ended_s': 1.0,
        }
        lines = [{'begun': 'q'}, {'begun': 'r'}, executed]
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            text = ''.join(json.dumps(line) + '\n' for line in lines)
            (folder / 'journal-s1.jsonl').write_text(text + '{"begun": "cu')
            self.assertEqual(histories.read_journals(folder), [execution()])
            self.assertEqual(histories.read_begun_ids(folder), {'q', 'r'})
