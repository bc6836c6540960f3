"""Tests of oriolefold_tool: workloads, addresses and commands."""

import contextlib
import io
import pathlib

from oriolefold_core import errors
from oriolefold_testbed import basecase
from oriolefold_tool import addresses, cmdline, workloads

EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / 'examples'


class WorkloadTest(basecase.BaseCase):
    """Workload plans are reproducible; invalid files give findings."""

    def test_plans_are_reproducible(self):
        for name in ('qurum', 'ledeni-grozd'):
            path = EXAMPLES / name / 'workload.yaml'
            workload = workloads.read(path.read_text('utf-8'), str(path))
            first = list(workloads.plan(workload))
            self.assertEqual(first, list(workloads.plan(workload)))
            self.assertGreater(len(first), 1000)
            times = [request.at_s for request in first]
            self.assertEqual(times, sorted(times))

    def test_findings_have_line_numbers(self):
        text = 'phases:\n- {name: x, duration_s: 0, rate_per_s: 1}\ncolour: 1\n'
        with self.assertRaises(errors.ConfigurationError) as caught:
            workloads.read(text, 'w.yaml')
        reported = [str(finding) for finding in caught.exception.findings]
        self.assertEqual(len(reported), 3)
        self.assertTrue(any(item.startswith('w.yaml:2') for item in reported))


class AddressTest(basecase.BaseCase):
    """Addresses are parsed; invalid ones are reported with their argument."""

    def test_list(self):
        parsed = addresses.parse_list('127.0.0.1:80,127.0.0.2:81', '--to')
        self.assertEqual([str(a) for a in parsed][1], '127.0.0.2:81')

    def test_invalid_addresses(self):
        for text in ('', 'host:80', '127.0.0.1', '127.0.0.1:0', '1.1.1.1:x'):
            with self.assertRaises(errors.ConfigurationError) as caught:
                addresses.parse(text, '--to')
            self.assertIn('--to', str(caught.exception.findings[0]))


class CommandTest(basecase.BaseCase):
    """Commands print their results and return the documented exit codes."""

    def run_command(self, *arguments):
        output, error_output = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(output):
            with contextlib.redirect_stderr(error_output):
                code = cmdline.main(arguments)
        return code, output.getvalue(), error_output.getvalue()

    def test_check(self):
        folder = str(EXAMPLES / 'qurum')
        code, output, _ = self.run_command('check', folder)
        self.assertEqual(code, 0)
        self.assertIn('no findings', output)

    def test_invalid_input_exits_with_2(self):
        code, _, error_output = self.run_command('check', '/nonexistent')
        self.assertEqual(code, 2)
        self.assertIn('register.yaml', error_output)

    def test_unreachable_daemon_exits_with_1(self):
        address = str(basecase.free_address())
        code, _, error_output = self.run_command('status', f'--admin={address}')
        self.assertEqual(code, 1)
        self.assertIn('unreachable', error_output)

    def test_version(self):
        self.assertIn('oriolefold ', self.run_command('--version')[1])
