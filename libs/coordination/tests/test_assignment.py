"""Tests of oriolefold_coordination.assignment, keyload and quotas."""

import unittest

from oriolefold_coordination import assignment, keyload, quotas, ranges

CAPACITY = 30.0  # Requests per second of an instance.


def holder(number, born_ms=1):
    return ranges.Holder(f'i{number}', born_ms, f'a{number}')


def candidates(count, capacity=CAPACITY):
    return [assignment.Candidate(holder(n), capacity) for n in range(count)]


def utilizations(key_map, profile, instances):
    rates = {c.holder.instance_id: 0.0 for c in instances}
    for r in key_map.ranges:
        rates[r.owner.instance_id] += profile.rate(r.first, r.last)
    return {
        c.holder.instance_id: rates[c.holder.instance_id] / c.capacity
        for c in instances
    }


class AssignmentCase(unittest.TestCase):
    """Base class with helpers."""

    def check(self, key_map):
        """Checks that a map covers all keys with tokens issued so far."""
        self.assertEqual(key_map.ranges[0].first, 0)
        self.assertEqual(key_map.ranges[-1].last, ranges.KEY_COUNT - 1)
        for one, two in zip(key_map.ranges, key_map.ranges[1:], strict=False):
            self.assertEqual(one.last + 1, two.first)
        self.assertTrue(
            all(r.token < key_map.next_token for r in key_map.ranges)
        )

    def first_map(self, instances, profile=None):
        profile = profile or keyload.Profile({})
        key_map = assignment.assign(
            ranges.KeyMap('s'), instances, profile, True
        )
        self.check(key_map)
        return key_map


class AssignmentTest(AssignmentCase):
    """Assignment of key ranges to instances."""

    def test_first_map_is_even(self):
        instances = candidates(5)
        key_map = self.first_map(instances)
        sizes = [r.last - r.first + 1 for r in key_map.ranges]
        self.assertLess(max(sizes) - min(sizes), 100)
        self.assertTrue(all(not r.priors for r in key_map.ranges))

    def test_without_candidates_nothing_changes(self):
        key_map = self.first_map(candidates(2))
        self.assertIs(
            assignment.assign(key_map, [], keyload.Profile({}), True), key_map
        )

    def test_keys_of_a_lost_owner_go_to_the_others_with_higher_tokens(self):
        instances = candidates(4)
        key_map = self.first_map(instances)
        after = assignment.assign(
            key_map, instances[1:], keyload.Profile({}), False
        )
        self.check(after)
        moved = [r for r in after.ranges if r.priors]
        self.assertTrue(moved)
        for r in moved:
            self.assertEqual(r.priors, (holder(0),))
            self.assertGreaterEqual(r.token, key_map.next_token)

    def test_a_range_that_moves_twice_keeps_all_former_holders(self):
        instances = candidates(3)
        key_map = self.first_map(instances)
        once = assignment.assign(
            key_map, instances[1:], keyload.Profile({}), False
        )
        recipient = next(r for r in once.ranges if r.priors).owner
        rest = [c for c in instances[1:] if c.holder != recipient]
        twice = assignment.assign(once, rest, keyload.Profile({}), False)
        self.assertTrue(
            any(set(r.priors) >= {holder(0), recipient} for r in twice.ranges)
        )

    def test_an_even_load_causes_no_moves(self):
        instances = candidates(6)
        key_map = self.first_map(instances)
        even = keyload.Profile({k: 0.05 for k in range(0, 65536, 64)})
        self.assertIs(
            assignment.assign(key_map, instances, even, True), key_map
        )

    def test_neighbouring_busy_keys_are_spread(self):
        instances = candidates(6)
        key_map = self.first_map(instances)
        busy = keyload.Profile({k: 0.2 for k in range(2000, 2400)})
        before = max(utilizations(key_map, busy, instances).values())
        after = key_map
        for _ in range(3):
            after = settled(assignment.assign(after, instances, busy, True))
        self.check(after)
        self.assertGreater(before, 2.0)
        self.assertLess(max(utilizations(after, busy, instances).values()), 1.0)

    def test_a_hot_key_moves_to_the_fastest_and_other_keys_off_it(self):
        instances = candidates(5, 20.0)
        instances[3] = assignment.Candidate(holder(3), 40.0)
        key_map = self.first_map(instances)
        load = {k: 0.02 for k in range(0, 65536, 128)} | {100: 33.0}
        hot = keyload.Profile(load)
        after = key_map
        for _ in range(4):
            after = settled(assignment.assign(after, instances, hot, True))
        self.check(after)
        owner = after.range_of(100).owner
        self.assertEqual(owner, holder(3))
        self.assertLess(utilizations(after, hot, instances)['i3'], 1.0)

    def test_an_instance_without_keys_gets_some(self):
        instances = candidates(3)
        key_map = self.first_map(instances[:2])
        load = keyload.Profile({k: 0.02 for k in range(0, 65536, 64)})
        after = assignment.assign(key_map, instances, load, True)
        owners = {r.owner for r in after.ranges}
        self.assertIn(holder(2), owners)


class QuotasTest(AssignmentCase):
    """VMs share the slots of a busy owner in proportion to demand."""

    def test_shares_follow_the_request_rates(self):
        key_map = self.first_map(candidates(2))
        counted = quotas.Quotas()
        capacities = {'i0': 30.0, 'i1': 30.0}
        for step in range(6):
            counted.report('one', [7] * 15, key_map, step * 0.5)
            counted.report('two', [7] * 5, key_map, step * 0.5)
        shares = counted.shares('one', capacities, 2.5)
        self.assertAlmostEqual(shares['i0'], 0.75, delta=0.05)
        self.assertNotIn('i1', shares)

    def test_rates_of_a_vm_without_reports_expire(self):
        key_map = self.first_map(candidates(2))
        counted = quotas.Quotas()
        for step in range(20):
            if step < 6:
                counted.report('two', [7] * 15, key_map, step * 0.5)
            counted.report('one', [7] * 15, key_map, step * 0.5)
        shares = counted.shares('one', {'i0': 10.0}, 9.5)
        self.assertAlmostEqual(shares['i0'], 1.0)


class KeyLoadTest(unittest.TestCase):
    """Rates are estimated from requests and decay."""

    def test_rates_converge_and_decay(self):
        load = keyload.KeyLoad()
        for step in range(200):
            load.record([5] * 2, step * 0.1)
        self.assertAlmostEqual(load.profile(20.0).total, 20.0, delta=1.5)
        self.assertLess(load.profile(30.0).total, 0.1)

    def test_prefix_end_never_exceeds_the_rate(self):
        profile = keyload.Profile({k: 1.0 for k in range(100, 200)})
        end = profile.prefix_end(0, 65535, 20.5)
        self.assertLessEqual(profile.rate(0, end), 20.5)
        self.assertGreater(profile.rate(0, end + 1), 20.5)
        self.assertEqual(profile.prefix_end(100, 200, 0.5), 99)

    def test_heaviest(self):
        profile = keyload.Profile({1: 2.0, 5: 9.0, 9: 3.0})
        self.assertEqual(profile.heaviest(0, 100), 5)
        self.assertEqual(profile.heaviest(6, 100), 9)
        self.assertIsNone(profile.heaviest(10, 100))


def settled(key_map):
    """Returns the map with all moves completed."""
    return ranges.KeyMap(
        key_map.service_id,
        key_map.next_token,
        tuple(
            ranges.KeyRange(r.first, r.last, r.owner, r.token)
            for r in key_map.ranges
        ),
    )
