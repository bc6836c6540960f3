"""Tests of oriolefold_daemon.cmdline."""

import contextlib
import io
import os
from unittest import mock

from oriolefold_daemon import cmdline, version
from oriolefold_testbed import basecase


class CommandLineTest(basecase.BaseCase):
    """Invalid settings end the program with all findings and exit code 2."""

    def run_daemon(self, arguments, environment=()):
        output, error_output = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict(os.environ, dict(environment), clear=True),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(error_output),
        ):
            try:
                code = cmdline.main(arguments)
            except SystemExit as stop:
                code = stop.code
        return code, output.getvalue(), error_output.getvalue()

    def test_missing_and_wrong_settings_are_reported_together(self):
        code, _, error_output = self.run_daemon(
            ['--ip=nowhere', '--caller-port=0', '--colour=red'],
            {'ORIOLEFOLD_ZONE': '', 'ORIOLEFOLD_STOP_LIMIT_S': 'long'},
        )
        self.assertEqual(code, 2)
        for location in (
            '--ip:',
            '--caller-port:',
            '--colour=red:',
            'ORIOLEFOLD_ZONE:',
            'ORIOLEFOLD_STOP_LIMIT_S:',
            '--vm-id or ORIOLEFOLD_VM_ID:',
            '--store-ip or ORIOLEFOLD_STORE_IP:',
        ):
            self.assertIn(f'oriolefoldd: {location}', error_output)

    def test_version_and_help(self):
        code, output, _ = self.run_daemon(['--version'])
        self.assertEqual((code, output.split()[1]), (0, version.VERSION))
        code, output, _ = self.run_daemon(['--help'])
        self.assertEqual(code, 0)
        self.assertIn('ORIOLEFOLD_VM_ID', output)
