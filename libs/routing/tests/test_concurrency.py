"""Tests of oriolefold_routing.concurrency, waitqueue and attempts."""

import unittest

from oriolefold_core import data
from oriolefold_routing import (
    attempts,
    concurrency,
    instancetable,
    selection,
    topology,
    waitqueue,
)

LOCALITY = topology.Locality('z1', {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'})


def endpoint(name, zone='z1', **changes):
    values = {
        'instance_id': name,
        'born_ms': 1,
        'service_id': 's',
        'zone_id': zone,
        'address': data.Address('10.0.0.1', 80),
        'slots': 6,
    }
    return topology.Endpoint(**(values | changes))


class InstanceTableTest(unittest.TestCase):
    """Choice of the instance for a request."""

    def table(self, *endpoints):
        table = instancetable.InstanceTable(LOCALITY)
        table.update({e.instance_id: e for e in endpoints}, 0.0)
        return table

    def chosen(self, table, excluded=()):
        found = table.choose(selection.Demand('s', excluded), 10.0)
        return found and found.endpoint.instance_id

    def test_another_region_is_used_only_when_the_own_is_full(self):
        table = self.table(endpoint('near', 'z2'), endpoint('far', 'z3'))
        near = table.states_by_id['near']
        while self.chosen(table) == 'near':
            near.in_flight += 1
        self.assertGreaterEqual(near.in_flight, 6)
        self.assertEqual(self.chosen(table), 'far')

    def test_draining_excluded_and_failing_instances_come_last(self):
        table = self.table(
            endpoint('leaving', draining=True),
            endpoint('tried'),
            endpoint('failing'),
            endpoint('far', 'z3'),
        )
        failing = table.states_by_id['failing']
        for _ in range(8):
            failing.record(concurrency.SendResult.FAILED, 0.1, 0.0)
        self.assertEqual(self.chosen(table, {'tried'}), 'far')

    def test_the_faster_instance_gets_more_requests(self):
        table = self.table(endpoint('fast'), endpoint('slow'))
        for _ in range(30):
            table.states_by_id['fast'].record(
                concurrency.SendResult.ANSWERED, 0.1, 0.0
            )
            table.states_by_id['slow'].record(
                concurrency.SendResult.ANSWERED, 0.25, 0.0
            )
        counts = {'fast': 0, 'slow': 0}
        for _ in range(6):
            name = self.chosen(table)
            counts[name] += 1
            table.states_by_id[name].in_flight += 1
        self.assertGreater(counts['fast'], counts['slow'])

    def test_requests_in_flight_outweigh_a_small_latency_difference(self):
        table = self.table(endpoint('fast'), endpoint('slow'))
        for name, time_s in (('fast', 0.2), ('slow', 0.3)):
            table.states_by_id[name].record(
                concurrency.SendResult.ANSWERED, time_s, 0.0
            )
        self.assertEqual(self.chosen(table), 'fast')
        table.states_by_id['fast'].in_flight += 1
        self.assertEqual(self.chosen(table), 'slow')

    def test_a_new_incarnation_starts_with_fresh_state(self):
        table = self.table(endpoint('one'))
        table.states_by_id['one'].record(
            concurrency.SendResult.REFUSED, 0.0, 0.0
        )
        again = endpoint('one', born_ms=2)
        table.update({'one': again}, 1.0)
        self.assertEqual(table.states_by_id['one'].backoff_until_s, 0.0)


class InstanceStateTest(unittest.TestCase):
    """Adaptation of the limit to answers, refusals and quotas."""

    def setUp(self):
        self.state = concurrency.InstanceState(endpoint('one'), 0, 6.0)

    def test_a_refusal_decreases_the_limit_and_starts_a_backoff(self):
        self.state.record(concurrency.SendResult.REFUSED, 0.0, 5.0)
        self.assertLess(self.state.limit, 6.0)
        self.assertFalse(self.state.has_capacity(5.01))
        self.assertTrue(
            self.state.has_capacity(5.01 + concurrency.REFUSAL_BACKOFF_S)
        )

    def test_queueing_decreases_the_limit_until_it_ends(self):
        for step in range(40):
            self.state.record(concurrency.SendResult.ANSWERED, 0.2, step * 0.1)
        for step in range(40, 60):
            self.state.record(concurrency.SendResult.ANSWERED, 1.0, step * 0.1)
        self.assertLess(self.state.limit, 3.0)
        for step in range(60, 120):
            self.state.record(concurrency.SendResult.ANSWERED, 0.2, step * 0.1)
        self.assertGreaterEqual(self.state.limit, 6.0)

    def test_a_long_request_among_short_ones_is_no_queue(self):
        for step in range(100):
            took_s = 3.0 if step % 7 == 6 else 0.05
            self.state.record(concurrency.SendResult.ANSWERED, took_s, step)
            self.assertGreaterEqual(self.state.limit, 6.0)

    def test_a_long_cancelled_request_is_no_queue(self):
        for result, took_s in (
            (concurrency.SendResult.ANSWERED, 0.05),
            (concurrency.SendResult.CANCELLED, 4.0),
            (concurrency.SendResult.ANSWERED, 0.05),
        ):
            self.state.record(result, took_s, 9.0)
        self.assertGreaterEqual(self.state.limit, 6.0)

    def test_long_requests_together_leave_room_for_another_one(self):
        for step in range(40):
            self.state.record(concurrency.SendResult.ANSWERED, 0.05, step)
        for step in range(40, 42):
            self.state.record(concurrency.SendResult.ANSWERED, 3.0, step)
        self.state.in_flight = 1
        self.assertTrue(self.state.has_capacity(42.0))

    def test_an_unusual_first_answer_does_not_look_like_a_queue(self):
        for first_s in (0.005, 0.5, 3.0):
            with self.subTest(first_s=first_s):
                self.setUp()
                for step in range(100):
                    took_s = 0.05 if step else first_s
                    self.state.record(
                        concurrency.SendResult.ANSWERED, took_s, step
                    )
                    self.assertGreaterEqual(self.state.limit, 6.0)

    def test_a_quota_overrides_the_limit_until_it_expires(self):
        self.state.set_quota(0.25, 1.0)
        self.state.in_flight = 2
        self.assertFalse(self.state.has_capacity(1.1))
        self.assertTrue(self.state.has_capacity(1.1 + concurrency.QUOTA_TTL_S))

    def test_a_quota_below_one_request_is_enforced_by_pacing(self):
        self.state.record(concurrency.SendResult.ANSWERED, 0.2, 0.0)
        started = []
        for step in range(1000):
            now_s = 1.0 + step * 0.01
            self.state.set_quota(0.05, now_s)
            if self.state.has_capacity(now_s):
                self.state.record_send(now_s)
                started.append(now_s)
                self.state.in_flight -= 1
        # 0.05 of six slots, rounded up threefold, at 0.2 s a request.
        self.assertAlmostEqual(len(started), 10 * 0.9 / 0.2, delta=3)

    def test_a_small_quota_is_rounded_up_to_one_request(self):
        # Ten VMs share four slots. A quota below one request would leave slots
        # idle whenever another VM has nothing to send.
        self.state = concurrency.InstanceState(endpoint('one', slots=4), 0, 4.0)
        self.state.set_quota(0.1, 1.0)
        self.assertEqual(self.state.quota, 1.0)

    def test_the_limit_is_halved_during_warm_up(self):
        self.state.warm_up_until_s = 3.0
        self.state.in_flight = 4
        self.assertFalse(self.state.has_capacity(2.0))
        self.assertTrue(self.state.has_capacity(4.0))


class WaitQueueTest(unittest.TestCase):
    """Order of the queue, time limits and retry delays."""

    def test_order_is_by_rank_then_by_time_left(self):
        queue = waitqueue.WaitQueue()
        for rank, give_up_at_s in ((2, 1.0), (1, 9.0), (1, 5.0)):
            queue.add(waitqueue.Waiter(None, rank, give_up_at_s))
        order = [(w.rank, w.give_up_at_s) for w in queue.by_priority()]
        self.assertEqual(order, [(1, 5.0), (1, 9.0), (2, 1.0)])
        self.assertEqual(queue.count_ahead(1), 2)

    def test_wait_limit_leaves_time_for_the_answer(self):
        self.assertAlmostEqual(waitqueue.max_wait_s(1.0, 0.4), 0.4)
        self.assertAlmostEqual(waitqueue.max_wait_s(1.0, 2.0), 0.125)
        self.assertAlmostEqual(waitqueue.max_wait_s(1.0, 0.0), 0.6)

    def test_retry_delay_is_at_most_a_third_of_the_time_left(self):
        for left_s in (0.3, 1.0, 5.0):
            for jitter in (0.0, 0.5, 1.0):
                after_s = waitqueue.retry_after_s(left_s, 0.4, jitter)
                self.assertLessEqual(after_s, max(0.05, left_s / 3) + 0.001)
        early = waitqueue.retry_after_s(9.0, 0.4, 0.0)
        self.assertLess(early, waitqueue.retry_after_s(9.0, 0.4, 1.0))


class StateTest(unittest.TestCase):
    """What gets nothing is neither chosen nor sent what was chosen before."""

    def test_evacuated_unverified_and_cold_instances_get_nothing(self):
        for changes, obstacle in (
            ({'evacuated': True, 'unverified': True}, 'evacuated'),
            ({'unverified': True, 'cold_until_s': 11.0}, 'unverified'),
            ({'cold_until_s': 11.0}, 'cold'),
        ):
            with self.subTest(changes):
                found = endpoint('one', **changes)
                state = concurrency.InstanceState(found, 0, 6.0)
                self.assertEqual(state.obstacle(10.0).value, obstacle)
                self.assertFalse(state.wants(True, 10.0))
                self.assertFalse(state.wants(False, 10.0))

    def test_a_cold_instance_is_open_afterwards_or_by_permission(self):
        found = endpoint('one', cold_until_s=11.0)
        state = concurrency.InstanceState(found, 0, 6.0)
        self.assertTrue(state.has_capacity(11.0))
        state.may_send_cold = lambda now_s: now_s == 10.0
        self.assertTrue(state.has_capacity(10.0))
        self.assertTrue(state.wants(False, 10.0))
        self.assertFalse(state.has_capacity(10.1))

    def test_callers_learn_when_the_first_instance_is_warm(self):
        table = instancetable.InstanceTable(LOCALITY)
        demand = selection.Demand('s')
        table.update({'one': endpoint('one', cold_until_s=12.0)}, 0.0)
        self.assertEqual(table.busy_until_s(demand, 10.0), 12.0)
        table.update({'one': endpoint('one', evacuated=True)}, 0.0)
        self.assertIsNone(table.choose(demand, 13.0))


class AttemptBudgetTest(unittest.TestCase):
    """Resends of all VMs together stay below the bound."""

    def test_all_vms_stay_below_the_bound(self):
        limits = attempts.BudgetLimits(0.2, 10.0, 56.0, 8)
        budgets = [attempts.AttemptBudget(limits) for _ in range(8)]
        requests = resends = 0
        for step in range(1000):
            budget = budgets[step % 8]
            budget.record_request(step * 0.01)
            requests += 1
            resends += budget.take(step * 0.01)
        self.assertLessEqual(resends, 0.2 * requests + 56)
        self.assertGreater(resends, 0.1 * requests)

    def test_the_window_slides(self):
        limits = attempts.BudgetLimits(0.0, 10.0, 8.0, 1)
        budget = attempts.AttemptBudget(limits)
        while budget.take(0.0):
            pass
        self.assertFalse(budget.take(9.9))
        self.assertTrue(budget.take(10.1))
