"""Tests of oriolefold_coordination.allotment and keyload."""

import unittest

from oriolefold_coordination import allotment, keyload, quotas, ranges

CAPACITY = 30.0  # Requests a second of an instance in these tests.


def holder(number, born_ms=1):
    return ranges.Holder(f'i{number}', born_ms, f'a{number}')


def candidates(count, capacity=CAPACITY):
    return [allotment.Candidate(holder(n), capacity) for n in range(count)]


def utilizations(key_map, profile, them):
    rates = {c.holder.instance_id: 0.0 for c in them}
    for r in key_map.ranges:
        rates[r.owner.instance_id] += profile.rate(r.first, r.last)
    return {
        c.holder.instance_id: rates[c.holder.instance_id] / c.capacity
        for c in them
    }


class AllotmentCase(unittest.TestCase):
    """Helpers."""

    def check(self, key_map):
        """A map covers all keys, and its tokens are unique."""
        self.assertEqual(key_map.ranges[0].first, 0)
        self.assertEqual(key_map.ranges[-1].last, ranges.KEY_COUNT - 1)
        for one, two in zip(key_map.ranges, key_map.ranges[1:], strict=False):
            self.assertEqual(one.last + 1, two.first)
        self.assertTrue(
            all(r.token < key_map.next_token for r in key_map.ranges)
        )

    def first_map(self, them, profile=None):
        profile = profile or keyload.Profile({})
        made = allotment.allot(ranges.KeyMap('s'), them, profile, True)
        self.check(made)
        return made


class AllotmentTest(AllotmentCase):
    """Who owns what."""

    def test_first_map_is_even(self):
        them = candidates(5)
        made = self.first_map(them)
        sizes = [r.last - r.first + 1 for r in made.ranges]
        self.assertLess(max(sizes) - min(sizes), 100)
        self.assertTrue(all(not r.priors for r in made.ranges))

    def test_without_candidates_nothing_changes(self):
        made = self.first_map(candidates(2))
        self.assertIs(
            allotment.allot(made, [], keyload.Profile({}), True), made
        )

    def test_keys_of_a_lost_owner_go_to_the_others_with_higher_tokens(self):
        them = candidates(4)
        made = self.first_map(them)
        after = allotment.allot(made, them[1:], keyload.Profile({}), False)
        self.check(after)
        moved = [r for r in after.ranges if r.priors]
        self.assertTrue(moved)
        for r in moved:
            self.assertEqual(r.priors, (holder(0),))
            self.assertGreaterEqual(r.token, made.next_token)

    def test_a_range_that_moves_twice_keeps_all_former_holders(self):
        them = candidates(3)
        made = self.first_map(them)
        once = allotment.allot(made, them[1:], keyload.Profile({}), False)
        taker = next(r for r in once.ranges if r.priors).owner
        rest = [c for c in them[1:] if c.holder != taker]
        twice = allotment.allot(once, rest, keyload.Profile({}), False)
        self.assertTrue(
            any(set(r.priors) >= {holder(0), taker} for r in twice.ranges)
        )

    def test_an_even_load_moves_nothing(self):
        them = candidates(6)
        made = self.first_map(them)
        even = keyload.Profile({k: 0.05 for k in range(0, 65536, 64)})
        self.assertIs(allotment.allot(made, them, even, True), made)

    def test_neighbouring_busy_keys_are_spread(self):
        them = candidates(6)
        made = self.first_map(them)
        busy = keyload.Profile({k: 0.2 for k in range(2000, 2400)})
        before = max(utilizations(made, busy, them).values())
        after = made
        for _ in range(3):
            after = settled(allotment.allot(after, them, busy, True))
        self.check(after)
        self.assertGreater(before, 2.0)
        self.assertLess(max(utilizations(after, busy, them).values()), 1.0)

    def test_a_hot_key_goes_to_the_fastest_and_others_leave_it(self):
        them = candidates(5, 20.0)
        them[3] = allotment.Candidate(holder(3), 40.0)
        made = self.first_map(them)
        load = {k: 0.02 for k in range(0, 65536, 128)} | {100: 33.0}
        hot = keyload.Profile(load)
        after = made
        for _ in range(4):
            after = settled(allotment.allot(after, them, hot, True))
        self.check(after)
        owner = after.range_of(100).owner
        self.assertEqual(owner, holder(3))
        self.assertLess(utilizations(after, hot, them)['i3'], 1.0)

    def test_an_instance_without_keys_gets_some(self):
        them = candidates(3)
        made = self.first_map(them[:2])
        load = keyload.Profile({k: 0.02 for k in range(0, 65536, 64)})
        after = allotment.allot(made, them, load, True)
        owners = {r.owner for r in after.ranges}
        self.assertIn(holder(2), owners)


class QuotasTest(AllotmentCase):
    """VMs share the slots of a busy owner by what they ask of it."""

    def test_shares_follow_the_requests(self):
        made = self.first_map(candidates(2))
        counted = quotas.Quotas()
        capacities = {'i0': 30.0, 'i1': 30.0}
        for step in range(6):
            counted.report('one', [7] * 15, made, step * 0.5)
            counted.report('two', [7] * 5, made, step * 0.5)
        shares = counted.shares('one', capacities, 2.5)
        self.assertAlmostEqual(shares['i0'], 0.75, delta=0.05)
        self.assertNotIn('i1', shares)

    def test_a_silent_vm_counts_no_longer(self):
        made = self.first_map(candidates(2))
        counted = quotas.Quotas()
        for step in range(20):
            if step < 6:
                counted.report('two', [7] * 15, made, step * 0.5)
            counted.report('one', [7] * 15, made, step * 0.5)
        shares = counted.shares('one', {'i0': 10.0}, 9.5)
        self.assertAlmostEqual(shares['i0'], 1.0)


class KeyLoadTest(unittest.TestCase):
    """Rates come from requests and fade."""

    def test_rates_settle_at_the_true_ones_and_fade(self):
        load = keyload.KeyLoad()
        for step in range(200):
            load.record([5] * 2, step * 0.1)
        self.assertAlmostEqual(load.profile(20.0).total, 20.0, delta=1.5)
        self.assertLess(load.profile(30.0).total, 0.1)

    def test_cut_never_exceeds_the_rate(self):
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
    """Returns a map whose moves have all ended."""
    return ranges.KeyMap(
        key_map.service_id,
        key_map.next_token,
        tuple(
            ranges.KeyRange(r.first, r.last, r.owner, r.token)
            for r in key_map.ranges
        ),
    )
