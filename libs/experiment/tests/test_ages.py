"""Tests of the comparison of policies by the age of load figures."""

import dataclasses
import pathlib
import tempfile
import unittest

from oriolefold_core import errors
from oriolefold_experiment import (
    ages,
    experiments,
    figurepolicies,
    scenarios,
    simulation,
)

ROOT = pathlib.Path(__file__).resolve().parents[3]
EXAMPLE = ROOT / 'examples' / 'experiments' / 'figure-ages.yaml'


class AgesTest(unittest.TestCase):
    """Differences between the policies that the design rests on."""

    def setUp(self):
        self.scenario = dataclasses.replace(
            scenarios.read(str(EXAMPLE)), length_s=8.0
        )

    def result(self, policy, age_s, choosers=67):
        return ages.run_one(
            dataclasses.replace(
                self.scenario, vms=choosers, figures_age_s=age_s
            ),
            policy,
        )

    def test_old_figures_make_no_herd(self):
        # Guards against all VMs sending to what was the best half a second
        # ago, as the least of all known does.
        even = self.result(figurepolicies.Even, 0.5)
        least = self.result(figurepolicies.LeastOfAll, 0.5)
        self.assertGreater(least.late + least.refused, 0.3)
        self.assertLess(even.late + even.refused, 0.15)
        self.assertLess(even.busiest_second, 3.0)

    def test_own_answers_alone_do_not_crowd_at_an_instance(self):
        # Guards against all VMs preferring the first or the fastest instance.
        even = self.result(figurepolicies.EvenByAnswers, 0.0)
        same = self.result(figurepolicies.NearestSameOrder, 0.0)
        self.assertLess(even.late + even.refused, 0.2)
        self.assertGreater(same.late + same.refused, 0.2)

    def test_figures_are_of_the_given_age(self):
        simulated = simulation.Simulation(
            self.scenario, figurepolicies.UniformRandom
        )
        simulated.run()
        instance = simulated.instances[0]
        first_s = instance.arrivals_s[0]
        self.assertEqual(instance.figures(first_s - 0.001).running, 0)
        self.assertEqual(instance.figures(first_s).running, 1)

    def test_report_and_plot(self):
        with tempfile.TemporaryDirectory() as folder:
            plot = pathlib.Path(folder) / 'p.svg'
            found = experiments.run_ages(
                str(EXAMPLE), (2,), (0.1,), str(plot), 'even load,random'
            )
            self.assertEqual(len(found.splitlines()), 4)
            self.assertIn('<svg', plot.read_text('utf-8'))
        with self.assertRaises(errors.ConfigurationError):
            experiments.run_ages(str(EXAMPLE), (2,), (0.1,), '', 'nonsense')


if __name__ == '__main__':
    unittest.main()
