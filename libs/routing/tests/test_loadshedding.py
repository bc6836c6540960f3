"""Tests of oriolefold_routing.loadshedding under load."""

import random
import unittest

from oriolefold_routing import loadshedding


class LoadSheddingTest(unittest.TestCase):
    """Short urgent requests beside long ones of a low rank, at one owner."""

    def setUp(self):
        self.shedding = loadshedding.LoadShedding()
        self.random = random.Random(7)

    def play(self, admitted, requests=4000):
        """Returns the admitted part of each rank and of all work."""
        counts = {0: [0, 0, 0.16], 2: [0, 0, 0.94]}
        for _ in range(requests):
            rank = 0 if self.random.random() < 0.6 else 2
            asked = counts[rank]
            asked[0] += 1
            self.shedding.record(rank, asked[2])
            asked[1] += self.shedding.admits(
                rank, admitted, self.random.random()
            )
        work = sum(all_ * time_s for all_, _, time_s in counts.values())
        done = sum(some * time_s for _, some, time_s in counts.values())
        return {r: c[1] / c[0] for r, c in counts.items()}, done / work

    def test_lower_ranks_make_room_for_higher_ones(self):
        # Long requests of rank 2 used to fill the queue of urgent ones.
        parts, work = self.play(0.7)
        self.assertGreater(parts[0], 0.99)
        self.assertAlmostEqual(work, 0.7, 1)

    def test_highest_rank_is_never_shed(self):
        # Late answers serve its callers better than rejections.
        parts, _ = self.play(0.1)
        self.assertEqual(parts[0], 1.0)

    def test_lower_rank_is_not_starved(self):
        # Uploads beside a busy higher rank were refused three times in a row.
        parts, _ = self.play(0.1)
        self.assertAlmostEqual(parts[2], loadshedding.MIN_PROBABILITY, 1)

    def test_service_with_one_rank_sheds_nothing(self):
        for _ in range(200):
            self.shedding.record(2, 0.4)
        self.assertEqual(self.shedding.probability(2, 0.1), 1.0)

    def test_rank_without_work_so_far_gets_the_admitted_part(self):
        self.shedding.record(0, 0.2)
        self.assertEqual(self.shedding.probability(5, 0.8), 0.8)

    def test_nothing_is_shed_where_all_is_admitted(self):
        parts, _ = self.play(1.0)
        self.assertEqual(parts, {0: 1.0, 2: 1.0})
