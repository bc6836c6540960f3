"""Tests of oriolefold_testbed.histories: planted faults are found."""

from oriolefold_testbed import basecase, histories, probing


def ran(
    request='r', instance='s1', method='GET', token=1, begun=0.0, ended=1.0
):
    return histories.Ran(request, instance, method, 3, token, begun, ended)


def sample(outcome, request='r'):
    return probing.Sample(request, 'k', 'GET', 0.0, 1.0, outcome, 200)


class CheckTest(basecase.BaseCase):
    """Each broken promise is found and its steps are named."""

    def test_clean_history(self):
        history = [ran(), ran('q', 's2', token=2, begun=1.0, ended=2.0)]
        self.assertEqual(histories.check_all(history, [sample('answered')]), [])

    def test_two_owners(self):
        history = [ran(), ran('q', 's2', token=2, begun=0.9, ended=1.2)]
        (violation,) = histories.check_one_owner(history)
        self.assertEqual(len(violation.steps), 2)
        self.assertIn('two owners', str(violation))

    def test_two_owners_with_a_shorter_run_between(self):
        history = [
            ran('long', begun=0.0, ended=5.0),
            ran('short', begun=1.0, ended=2.0),
            ran('other', 's2', token=2, begun=3.0, ended=4.0),
        ]
        self.assertEqual(len(histories.check_one_owner(history)), 1)

    def test_token_that_goes_back(self):
        history = [ran(token=5), ran('q', token=4, begun=2.0, ended=3.0)]
        (violation,) = histories.check_one_owner(history)
        self.assertIn('lower token', str(violation))

    def test_run_twice(self):
        history = [ran(method='POST'), ran(method='POST', begun=2.0, ended=3.0)]
        self.assertEqual(len(histories.check_at_most_once(history)), 1)
        twice = [ran(), ran(begun=2.0, ended=3.0)]
        self.assertEqual(histories.check_at_most_once(twice), [])

    def test_false_not_run(self):
        found = histories.check_not_run([ran()], [sample('not-run')])
        self.assertEqual(len(found), 1)

    def test_answer_to_a_request_that_never_ran(self):
        found = histories.check_answered([], [sample('answered')])
        self.assertEqual(len(found), 1)
