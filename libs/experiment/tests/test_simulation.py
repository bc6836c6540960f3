"""Loads played on the model, and what callers get."""

import dataclasses
import pathlib
import tempfile
import unittest

from oriolefold_core import errors
from oriolefold_experiment import (
    experiments,
    model,
    policies,
    reports,
    scenarios,
)

ROOT = pathlib.Path(__file__).resolve().parents[3]
EXAMPLE = ROOT / 'examples' / 'experiments' / 'evening-burst.yaml'
SEEDS = (1, 2, 3)
STARVED_SHARE = (
    0.05  # By which a kind may be served less than a less urgent one.
)
LINKED = 0.015  # Difference of worth between plays that is taken for chance.


def play(scenario, policy):
    return model.World(scenario, policy).play()


class ModelTest(unittest.TestCase):
    """The model itself."""

    def setUp(self):
        self.scenario = scenarios.read(str(EXAMPLE))

    def calm(self, **changes):
        return dataclasses.replace(
            self.scenario, bursts=(), slow=(), length_s=15.0, **changes
        )

    def test_the_same_seed_plays_the_same(self):
        self.assertEqual(
            play(self.calm(), policies.Learnt),
            play(self.calm(), policies.Learnt),
        )

    def test_all_policies_get_the_same_requests(self):
        started = {
            policy.name: sorted(
                (e.started_s, e.kind.name) for e in play(self.calm(), policy)
            )
            for policy in policies.ALL
        }
        first, *others = started.values()
        self.assertGreater(len(first), 1000)
        for other in others:
            self.assertEqual(other, first)

    def test_light_load_is_all_served(self):
        light = tuple(
            dataclasses.replace(kind, rate_per_s=kind.rate_per_s / 10)
            for kind in self.scenario.kinds
        )
        for policy in policies.ALL:
            with self.subTest(policy.name):
                ended = play(self.calm(kinds=light), policy)
                self.assertGreater(reports.worth(ended), 0.97)

    def test_nobody_is_answered_after_the_deadline(self):
        for ended in play(self.scenario, policies.RoundRobin):
            if ended.outcome == 'answered':
                slack_s = 2 * self.scenario.transit_s
                self.assertLessEqual(
                    ended.took_s, ended.kind.deadline_s + slack_s
                )


class LoadTest(unittest.TestCase):
    """What callers get on a heavy day."""

    def worths(self, scenario, policy):
        return sum(
            reports.worth(
                play(dataclasses.replace(scenario, seed=seed), policy)
            )
            for seed in SEEDS
        ) / len(SEEDS)

    def test_learnt_limits_serve_no_worse_than_none(self):
        burst = scenarios.read(str(EXAMPLE))
        calm = dataclasses.replace(burst, bursts=(), slow=())
        few = dataclasses.replace(
            calm,
            vms=3,
            instances=4,
            kinds=tuple(
                dataclasses.replace(kind, rate_per_s=kind.rate_per_s / 3)
                for kind in calm.kinds
            ),
        )
        for name, scenario in (('burst', burst), ('calm', calm), ('few', few)):
            learnt = self.worths(scenario, policies.Learnt)
            for other in (policies.FewestInFlight, policies.RoundRobin):
                with self.subTest(load=name, other=other.name):
                    worth = self.worths(scenario, other)
                    self.assertGreater(learnt, worth - LINKED)

    def test_urgent_requests_are_not_starved(self):
        scenario = scenarios.read(str(EXAMPLE))
        urgent, other = reports.lines(scenario, play(scenario, policies.Learnt))
        shares = [
            (line.in_time + line.late) / line.asked for line in (urgent, other)
        ]
        self.assertGreater(shares[0], shares[1] - STARVED_SHARE)


class ReportsTest(unittest.TestCase):
    """Tables and plots."""

    def test_a_table_and_a_plot(self):
        with tempfile.TemporaryDirectory() as folder:
            plot = pathlib.Path(folder) / 'worth.svg'
            table = experiments.run(
                str(EXAMPLE), str(plot), 'learnt, round robin'
            )
            self.assertIn('<svg', plot.read_text('utf-8'))
        self.assertEqual(len(table.splitlines()), 2 + 2 * 3)

    def test_bad_input_is_told_with_its_place(self):
        cases = [
            ((str(EXAMPLE), '', 'magic'), '--policies'),
            ((str(EXAMPLE), '/nonexistent/x.svg', 'learnt'), '/nonexistent'),
        ]
        for arguments, place in cases:
            with self.subTest(place):
                with self.assertRaises(errors.ConfigurationError) as caught:
                    experiments.run(*arguments)
                self.assertIn(place, str(caught.exception))
