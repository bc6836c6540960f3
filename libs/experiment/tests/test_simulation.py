"""Tests of the simulation, the policies and the reports."""

import dataclasses
import pathlib
import tempfile
import unittest

from oriolefold_core import errors
from oriolefold_experiment import (
    experiments,
    policies,
    reports,
    scenarios,
    simulation,
)

ROOT = pathlib.Path(__file__).resolve().parents[3]
EXAMPLE = ROOT / 'examples' / 'experiments' / 'evening-burst.yaml'
SEEDS = (1, 2, 3)
# By how much the answered share of an urgent kind may be below that of a less
# urgent one.
MAX_STARVED_SHARE = 0.05
NOISE_MARGIN = 0.015  # Difference of worth between runs that is due to chance.


def run(scenario, policy):
    return simulation.Simulation(scenario, policy).run()


class SimulationTest(unittest.TestCase):
    """Simulations are reproducible and respect deadlines."""

    def setUp(self):
        self.scenario = scenarios.read(str(EXAMPLE))

    def without_events(self, **changes):
        return dataclasses.replace(
            self.scenario, bursts=(), slow=(), length_s=15.0, **changes
        )

    def test_same_seed_gives_the_same_result(self):
        self.assertEqual(
            run(self.without_events(), policies.LearntLimits),
            run(self.without_events(), policies.LearntLimits),
        )

    def test_all_policies_get_the_same_requests(self):
        started = {
            policy.name: sorted(
                (e.started_s, e.kind.name)
                for e in run(self.without_events(), policy)
            )
            for policy in policies.ALL
        }
        first, *others = started.values()
        self.assertGreater(len(first), 1000)
        for other in others:
            self.assertEqual(other, first)

    def test_light_load_is_served(self):
        light = tuple(
            dataclasses.replace(kind, rate_per_s=kind.rate_per_s / 10)
            for kind in self.scenario.kinds
        )
        for policy in policies.ALL:
            with self.subTest(policy.name):
                requests = run(self.without_events(kinds=light), policy)
                self.assertGreater(reports.relative_worth(requests), 0.97)

    def test_no_request_is_answered_after_its_deadline(self):
        for request in run(self.scenario, policies.RoundRobin):
            if request.outcome == 'answered':
                slack_s = 2 * self.scenario.transit_s
                self.assertLessEqual(
                    request.took_s, request.kind.deadline_s + slack_s
                )


class LoadTest(unittest.TestCase):
    """Learnt limits serve requests well under heavy load."""

    def mean_worth(self, scenario, policy):
        return sum(
            reports.relative_worth(
                run(dataclasses.replace(scenario, seed=seed), policy)
            )
            for seed in SEEDS
        ) / len(SEEDS)

    def test_learnt_limits_are_no_worse_than_none(self):
        burst = scenarios.read(str(EXAMPLE))
        without_events = dataclasses.replace(burst, bursts=(), slow=())
        few = dataclasses.replace(
            without_events,
            vms=3,
            instances=4,
            kinds=tuple(
                dataclasses.replace(kind, rate_per_s=kind.rate_per_s / 3)
                for kind in without_events.kinds
            ),
        )
        for name, scenario in (
            ('burst', burst),
            ('calm', without_events),
            ('few', few),
        ):
            learnt = self.mean_worth(scenario, policies.LearntLimits)
            for other in (policies.LeastOutstanding, policies.RoundRobin):
                with self.subTest(load=name, other=other.name):
                    worth = self.mean_worth(scenario, other)
                    self.assertGreater(learnt, worth - NOISE_MARGIN)

    def test_urgent_requests_are_not_starved(self):
        scenario = scenarios.read(str(EXAMPLE))
        urgent, other = reports.summarize(
            scenario, run(scenario, policies.LearntLimits)
        )
        shares = [
            (line.in_time + line.late) / line.asked for line in (urgent, other)
        ]
        self.assertGreater(shares[0], shares[1] - MAX_STARVED_SHARE)


class ReportsTest(unittest.TestCase):
    """Tables and plots of results."""

    def test_table_and_plot(self):
        with tempfile.TemporaryDirectory() as folder:
            plot = pathlib.Path(folder) / 'worth.svg'
            table = experiments.run(
                str(EXAMPLE), str(plot), 'learnt, round robin'
            )
            self.assertIn('<svg', plot.read_text('utf-8'))
        self.assertEqual(len(table.splitlines()), 2 + 2 * 3)

    def test_invalid_input_is_reported_with_its_location(self):
        cases = [
            ((str(EXAMPLE), '', 'magic'), '--policies'),
            ((str(EXAMPLE), '/nonexistent/x.svg', 'learnt'), '/nonexistent'),
        ]
        for arguments, location in cases:
            with self.subTest(location):
                with self.assertRaises(errors.ConfigurationError) as caught:
                    experiments.run(*arguments)
                self.assertIn(location, str(caught.exception))
