"""Tests of oriolefold_daemon.cmdline."""

import asyncio
import contextlib
import io
import os
import signal
import subprocess
import sys
from unittest import mock

from oriolefold_daemon import application, cmdline, version
from oriolefold_telemetry import logs
from oriolefold_testbed import basecase

STOP_LIMIT_S = 5.0  # From SIGTERM to the end of a process without requests.
# The daemon, with a part that does not stop, even when it is cancelled.
HANGING_PROGRAM = """
import asyncio, contextlib, sys
from oriolefold_daemon import admin, cmdline

async def hang(server):
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.Event().wait()

admin.AdminServer.stop = hang
sys.exit(cmdline.main(sys.argv[1:]))
"""


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


class SignalTest(basecase.BaseCase):
    """Signals reach the daemon, and none ends its process at once."""

    def test_sighup_does_not_end_the_daemon(self):
        async def run():
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)

        ended = []
        # Without a handler of the daemon, the signal would end the tests.
        previous = signal.signal(signal.SIGHUP, lambda *_: ended.append(1))
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        with (
            mock.patch.object(application, 'Application') as daemon,
            mock.patch.object(logs, 'set_up'),
            mock.patch.object(logs, 'event') as event,
        ):
            daemon.return_value.run = run
            arguments = ['--vm-id=v', '--zone=z', '--ip=::1', '--store-ip=::1']
            self.assertEqual(cmdline.main([*arguments, '--store-port=1']), 0)
        self.assertEqual(ended, [])
        event.assert_called_once_with('daemon.reload')
        daemon.return_value.request_stop.assert_not_called()


class ProcessTest(basecase.BaseCase):
    """The process ends with the stop of the daemon."""

    def test_step_that_hangs_does_not_outlast_the_stop(self):
        arguments = [
            f'--{name}-port={basecase.free_address().port}'
            for name in ('caller', 'peer', 'admin', 'store')
        ]
        with subprocess.Popen(
            [
                *(sys.executable, '-c', HANGING_PROGRAM, '--vm-id=v'),
                *('--zone=z', '--ip=127.0.0.1', '--store-ip=127.0.0.1'),
                *arguments,
            ],
            stderr=subprocess.PIPE,
            text=True,
        ) as process:
            self.addCleanup(process.kill)
            line = process.stderr.readline()
            while line and 'daemon.started' not in line:
                line = process.stderr.readline()
            process.terminate()
            try:
                code = process.wait(STOP_LIMIT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                self.fail('the process does not end')
            self.assertEqual(code, 0)
