"""Tests of oriolefold_routing.outlook, waiting and attempts."""

import unittest

from oriolefold_core import data
from oriolefold_routing import attempts, fleet, outlook, waiting

VICINITY = fleet.Vicinity('z1', {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'})


def endpoint(name, zone='z1', **changes):
    values = {
        'instance_id': name,
        'born_ms': 1,
        'service_id': 's',
        'zone_id': zone,
        'address': data.Address('10.0.0.1', 80),
        'slots': 6,
    }
    return fleet.Endpoint(**(values | changes))


class FleetTest(unittest.TestCase):
    """Which instance gets a request."""

    def fleet(self, *endpoints):
        made = outlook.Fleet(VICINITY)
        made.update({e.instance_id: e for e in endpoints}, 0.0)
        return made

    def chosen(self, made, excluded=()):
        found = made.choose('s', excluded, 10.0)
        return found and found.endpoint.instance_id

    def test_another_region_only_when_the_own_has_no_room(self):
        made = self.fleet(endpoint('near', 'z2'), endpoint('far', 'z3'))
        near = made.outlooks_by_id['near']
        while self.chosen(made) == 'near':
            near.in_flight += 1
        self.assertGreaterEqual(near.in_flight, 6)
        self.assertEqual(self.chosen(made), 'far')

    def test_leaving_excluded_and_failing_instances_come_last(self):
        made = self.fleet(
            endpoint('leaving', draining=True),
            endpoint('tried'),
            endpoint('failing'),
            endpoint('far', 'z3'),
        )
        failing = made.outlooks_by_id['failing']
        for _ in range(8):
            failing.record(outlook.Result.FAILED, 0.1, 0.0)
        self.assertEqual(self.chosen(made, {'tried'}), 'far')

    def test_the_faster_one_gets_more(self):
        made = self.fleet(endpoint('fast'), endpoint('slow'))
        for _ in range(30):
            made.outlooks_by_id['fast'].record(
                outlook.Result.ANSWERED, 0.1, 0.0
            )
            made.outlooks_by_id['slow'].record(
                outlook.Result.ANSWERED, 0.25, 0.0
            )
        counts = {'fast': 0, 'slow': 0}
        for _ in range(6):
            name = self.chosen(made)
            counts[name] += 1
            made.outlooks_by_id[name].in_flight += 1
        self.assertGreater(counts['fast'], counts['slow'])

    def test_requests_under_way_weigh_more_than_a_little_speed(self):
        made = self.fleet(endpoint('fast'), endpoint('slow'))
        for name, time_s in (('fast', 0.2), ('slow', 0.3)):
            made.outlooks_by_id[name].record(
                outlook.Result.ANSWERED, time_s, 0.0
            )
        self.assertEqual(self.chosen(made), 'fast')
        made.outlooks_by_id['fast'].in_flight += 1
        self.assertEqual(self.chosen(made), 'slow')

    def test_a_new_life_is_learnt_anew(self):
        made = self.fleet(endpoint('one'))
        made.outlooks_by_id['one'].record(outlook.Result.REFUSED, 0.0, 0.0)
        again = endpoint('one', born_ms=2)
        made.update({'one': again}, 1.0)
        self.assertEqual(made.outlooks_by_id['one'].paused_until_s, 0.0)


class OutlookTest(unittest.TestCase):
    """How the limit follows answers and refusals."""

    def setUp(self):
        self.outlook = outlook.Outlook(endpoint('one'), 0, 6.0)

    def test_refusals_shrink_the_limit_and_pause(self):
        self.outlook.record(outlook.Result.REFUSED, 0.0, 5.0)
        self.assertLess(self.outlook.limit, 6.0)
        self.assertFalse(self.outlook.has_room(5.01))
        self.assertTrue(self.outlook.has_room(5.01 + outlook.REFUSAL_PAUSE_S))

    def test_a_queue_shrinks_the_limit_and_its_end_lets_it_grow(self):
        for step in range(40):
            self.outlook.record(outlook.Result.ANSWERED, 0.2, step * 0.1)
        for step in range(40, 60):
            self.outlook.record(outlook.Result.ANSWERED, 1.0, step * 0.1)
        self.assertLess(self.outlook.limit, 3.0)
        for step in range(60, 120):
            self.outlook.record(outlook.Result.ANSWERED, 0.2, step * 0.1)
        self.assertGreaterEqual(self.outlook.limit, 6.0)

    def test_a_quota_goes_before_the_learnt_limit_until_it_ends(self):
        self.outlook.divide(0.25, 1.0)
        self.outlook.in_flight = 2
        self.assertFalse(self.outlook.has_room(1.1))
        self.assertTrue(self.outlook.has_room(1.1 + outlook.QUOTA_S))

    def test_a_quota_below_one_request_is_kept_over_time(self):
        self.outlook.record(outlook.Result.ANSWERED, 0.2, 0.0)
        started = []
        for step in range(1000):
            now_s = 1.0 + step * 0.01
            self.outlook.divide(0.05, now_s)
            if self.outlook.has_room(now_s):
                self.outlook.begin(now_s)
                started.append(now_s)
                self.outlook.in_flight -= 1
        # 0.05 of six slots, three times as much, at 0.2 s a request.
        self.assertAlmostEqual(len(started), 10 * 0.9 / 0.2, delta=3)

    def test_ten_vms_may_send_one_request_each(self):
        # A tenth of four slots; less than one at a time would leave slots idle
        # whenever another VM has nothing to send.
        self.outlook = outlook.Outlook(endpoint('one', slots=4), 0, 4.0)
        self.outlook.divide(0.1, 1.0)
        self.assertEqual(self.outlook.quota, 1.0)

    def test_a_new_instance_gets_less_while_it_warms_up(self):
        self.outlook.warm_at_s = 3.0
        self.outlook.in_flight = 4
        self.assertFalse(self.outlook.has_room(2.0))
        self.assertTrue(self.outlook.has_room(4.0))


class WaitingTest(unittest.TestCase):
    """Who waits, how long, and when the refused may return."""

    def test_the_most_urgent_goes_first_then_the_least_time(self):
        line = waiting.Line()
        for rank, give_up_at_s in ((2, 1.0), (1, 9.0), (1, 5.0)):
            line.add(waiting.Waiter(None, rank, give_up_at_s))
        order = [(w.rank, w.give_up_at_s) for w in line.in_order()]
        self.assertEqual(order, [(1, 5.0), (1, 9.0), (2, 1.0)])
        self.assertEqual(line.ahead_of(1), 2)

    def test_patience_leaves_time_for_the_answer(self):
        self.assertAlmostEqual(waiting.patience_s(1.0, 0.4), 0.4)
        self.assertAlmostEqual(waiting.patience_s(1.0, 2.0), 0.125)
        self.assertAlmostEqual(waiting.patience_s(1.0, 0.0), 0.6)

    def test_the_refused_return_within_a_third_of_their_time(self):
        for left_s in (0.3, 1.0, 5.0):
            for spread in (0.0, 0.5, 1.0):
                after_s = waiting.retry_after_s(left_s, 0.4, spread)
                self.assertLessEqual(after_s, max(0.05, left_s / 3) + 0.001)
        early = waiting.retry_after_s(9.0, 0.4, 0.0)
        self.assertLess(early, waiting.retry_after_s(9.0, 0.4, 1.0))


class AttemptBudgetTest(unittest.TestCase):
    """Repeats of all VMs together stay below the bound."""

    def test_all_vms_stay_below_the_bound(self):
        terms = attempts.BudgetTerms(0.2, 10.0, 56.0, 8)
        budgets = [attempts.AttemptBudget(terms) for _ in range(8)]
        requests = repeats = 0
        for step in range(1000):
            budget = budgets[step % 8]
            budget.record_request(step * 0.01)
            requests += 1
            repeats += budget.take(step * 0.01)
        self.assertLessEqual(repeats, 0.2 * requests + 56)
        self.assertGreater(repeats, 0.1 * requests)

    def test_the_window_slides(self):
        terms = attempts.BudgetTerms(0.0, 10.0, 8.0, 1)
        budget = attempts.AttemptBudget(terms)
        while budget.take(0.0):
            pass
        self.assertFalse(budget.take(9.9))
        self.assertTrue(budget.take(10.1))
