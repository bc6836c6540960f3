"""Tests of oriolefold_coordination.placement and the baselines."""

import collections

from oriolefold_coordination import baselines, placement
from oriolefold_testbed import basecase


def problem(instances=5, shards=64, current=None, weights=None, max_moves=64):
    ids = tuple(f's{i}' for i in range(instances))
    return placement.Problem(
        ids,
        tuple(current or [''] * shards),
        tuple(weights or [1.0] * shards),
        ('s1',) * shards,
        max_moves,
    )


def load(owners, weights):
    loads = collections.Counter()
    for owner, weight in zip(owners, weights, strict=True):
        loads[owner] += weight
    return loads


class PlacementTest(basecase.BaseCase):
    """Every policy places all shards on allowed instances."""

    def test_every_policy_places_every_shard(self):
        policies = [
            placement.ImbalanceFirst(),
            placement.AvailabilityFirst(),
            baselines.Modulo(),
            baselines.Ring(),
            baselines.Rendezvous(),
            baselines.BoundedLoads(),
        ]
        for policy in policies:
            with self.subTest(policy=type(policy).__name__):
                owners = policy.place(problem())
                self.assertEqual(len(owners), 64)
                self.assertLessEqual(set(owners), {f's{i}' for i in range(5)})

    def test_imbalance_first_evens_out_a_skewed_load(self):
        weights = [1 / (i + 1) for i in range(64)]
        owners = placement.ImbalanceFirst().place(problem(weights=weights))
        loads = load(owners, weights)
        mean = sum(weights) / 5
        heaviest = max(weights)
        self.assertLessEqual(max(loads.values()), max(heaviest, mean * 1.1))

    def test_moves_stay_within_the_budget(self):
        current = ['s0'] * 64
        owners = placement.ImbalanceFirst().place(
            problem(current=current, max_moves=3)
        )
        moved = sum(a != b for a, b in zip(current, owners, strict=True))
        self.assertEqual(moved, 3)

    def test_availability_first_keeps_available_owners(self):
        current = [f's{i % 5}' for i in range(64)]
        weights = [10.0 if i % 5 == 0 else 1.0 for i in range(64)]
        owners = placement.AvailabilityFirst().place(
            problem(current=current, weights=weights)
        )
        self.assertEqual(owners, current)

    def test_availability_first_fails_over_to_standbys(self):
        current = ['gone'] * 64
        owners = placement.AvailabilityFirst().place(
            problem(current=current, max_moves=0)
        )
        self.assertEqual(set(owners), {'s1'})

    def test_bounded_loads_respect_the_bound(self):
        owners = baselines.BoundedLoads().place(problem())
        counts = collections.Counter(owners)
        self.assertLessEqual(max(counts.values()), 64 / 5 * 1.25)
