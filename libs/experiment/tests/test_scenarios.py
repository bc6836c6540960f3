"""Tests of oriolefold_experiment.scenarios."""

import unittest

from oriolefold_core import errors
from oriolefold_experiment import scenarios

KIND = '{name: a, rate_per_s: 10, work_s: 0.1, objective_s: 1, deadline_s: 2}'
GOOD = f"""
length_s: 10
vms: 2
instances: 2
slots: 4
kinds:
  - {KIND}
"""


class ScenariosTest(unittest.TestCase):
    """Valid files are read; all findings come with their location."""

    def test_file_is_read(self):
        found = scenarios.parse(GOOD, 'file')
        self.assertEqual(found.kinds[0].name, 'a')
        self.assertAlmostEqual(found.load, 10 * 0.1 / 8)

    def locations(self, text):
        with self.assertRaises(errors.ConfigurationError) as caught:
            scenarios.parse(text, 'file')
        return [str(f.location) for f in caught.exception.findings]

    def test_wrong_values_are_reported_with_their_lines(self):
        text = GOOD.replace('slots: 4', 'slots: none').replace(
            'vms: 2', 'vm: 2'
        )
        self.assertEqual(
            self.locations(text), ['file:2: vms', 'file:5: slots', 'file:3: vm']
        )

    def test_inconsistent_values_are_reported(self):
        late = KIND.replace('deadline_s: 2', 'deadline_s: 0.5')
        text = GOOD + f'  - {late}\nspeeds: [1, 0]\n'
        self.assertEqual(
            self.locations(text),
            ['file:9: speeds[1]', 'file:8: kinds[1].name']
            + ['file:8: kinds[1].deadline_s'],
        )

    def test_too_many_requests_are_rejected(self):
        text = GOOD.replace('rate_per_s: 10', 'rate_per_s: 100000')
        text = text.replace('length_s: 10', 'length_s: 3600')
        self.assertEqual(self.locations(text), ['file:2: length_s'])

    def test_missing_file_is_reported(self):
        with self.assertRaises(errors.ConfigurationError) as caught:
            scenarios.read('/nonexistent/scenario.yaml')
        self.assertIn('cannot be read', str(caught.exception))
