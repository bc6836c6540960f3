"""Tests of oriolefold_tool.tracing and oriolefold_tool.logfiles."""

import contextlib
import io
import json
import lzma
import pathlib
import tempfile

from oriolefold_testbed import basecase
from oriolefold_tool import cmdline, logfiles, tracing


def line(event, time_s=10.0, vm='vm-1', request='r1', **fields):
    record = {
        'message_type': event,
        'timestamp': time_s,
        'boot_s': time_s - 5.0,
        'identity': vm,
        'request': request,
    } | fields
    return json.dumps(record) + '\n'


class TraceCase(basecase.BaseCase):
    """Case with a folder for log files."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, *lines, name='vm.log'):
        path = self.folder / name
        path.write_text(''.join(lines), 'utf-8')
        return str(path)

    def trace(self, *lines, request='r1'):
        return tracing.trace(logfiles.read([self.write(*lines)]), request)


class VerdictTest(TraceCase):
    """Each verdict follows from lines, never from their absence."""

    def test_answered_request_ran_once_at_its_instance(self):
        found = self.trace(
            line('request.answered', instance='i-1', key=7, token=12, policy=3)
        )
        self.assertIs(found.verdict, tracing.Verdict.RAN_ONCE)
        self.assertIn('i-1', found.reason)
        self.assertIn('token=12', str(found))

    def test_refused_sends_leave_one_run(self):
        found = self.trace(
            line('send.failed', 10.0, instance='i-1', error='overloaded: full'),
            line('send.failed', 10.1, instance='i-2', error='misdirected: 421'),
            line('request.answered', 10.2, instance='i-3'),
        )
        self.assertIs(found.verdict, tracing.Verdict.RAN_ONCE)

    def test_lost_answer_before_an_answer_leaves_a_doubt(self):
        found = self.trace(
            line('send.failed', 10.0, instance='i-1', error='outcome-unknown:'),
            line('request.answered', 10.2, instance='i-3'),
        )
        self.assertIs(found.verdict, tracing.Verdict.RAN)
        self.assertIn('i-1', found.reason)

    def test_lost_answer_may_have_run(self):
        found = self.trace(
            line('send.failed', instance='i-1', error='outcome-unknown: lost'),
            line('request.failed', 10.1, status=0, reason='outcome-unknown'),
        )
        self.assertIs(found.verdict, tracing.Verdict.MAY_HAVE_RUN)

    def test_deadline_during_a_send_may_have_run(self):
        found = self.trace(
            line(
                'request.failed',
                status=0,
                sends=1,
                tried=['i-1'],
                reason='outcome-unknown: no answer before the deadline',
            )
        )
        self.assertIs(found.verdict, tracing.Verdict.MAY_HAVE_RUN)
        self.assertIn('i-1', found.reason)

    def test_failure_of_an_instance_has_run(self):
        found = self.trace(line('request.failed', status=500, tried=['i-1']))
        self.assertIs(found.verdict, tracing.Verdict.RAN_ONCE)

    def test_refused_request_has_not_run(self):
        for lines in (
            [line('request.failed', status=0, reason='overloaded: full')],
            [line('request.refused')],
            [line('request.cut', stage='crossed')],
        ):
            found = self.trace(*lines)
            self.assertIs(found.verdict, tracing.Verdict.NOT_RUN)

    def test_request_in_progress_at_a_stop_may_have_run(self):
        found = self.trace(line('request.cut', stage='waiting'))
        self.assertIs(found.verdict, tracing.Verdict.MAY_HAVE_RUN)

    def test_missing_line_is_no_proof(self):
        found = self.trace(line('request.answered', request='r2'))
        self.assertIs(found.verdict, tracing.Verdict.UNKNOWN)
        self.assertIn('vm-1', str(found))

    def test_only_some_of_many_vms_are_named(self):
        lines = [
            line('request.refused', vm=f'vm-{number}', request='r2')
            for number in range(100)
        ]
        self.assertIn('and 95 more', str(self.trace(*lines)))

    def test_request_whose_end_is_missing_is_unknown(self):
        found = self.trace(line('owner.unavailable', obstacle='moving'))
        self.assertIs(found.verdict, tracing.Verdict.UNKNOWN)


class TimelineTest(TraceCase):
    """Lines are in order although clocks jump, with what was in force."""

    def test_clock_step_does_not_change_the_order_of_a_vm(self):
        first = line('send.failed', 20.0, boot_s=1.0, error='overloaded: full')
        second = line('request.answered', 15.0, boot_s=2.0, instance='i-1')
        found = self.trace(second, first)
        events = [step.line.event for step in found.steps]
        self.assertEqual(events, ['send.failed', 'request.answered'])

    def test_steps_tell_the_configuration_in_force(self):
        found = self.trace(
            line('policy.in_force', 1.0, request=None, version=4),
            line('policy.in_force', 9.0, request=None, version=6),
            line('policy.in_force', 9.5, vm='vm-2', request=None, version=7),
            line('policy.in_force', 11.0, request=None, version=8),
            line('send.failed', 10.0, instance='i-1', error='overloaded: full'),
        )
        self.assertEqual([step.policy for step in found.steps], [6])


class BadInputTest(TraceCase):
    """What cannot be read is counted and named."""

    def test_broken_lines_are_counted(self):
        found = self.trace(
            '{"request": "r1", "mess\n',
            '[1]\n',
            '\n',
            '  12.5 front-1 ' + line('request.answered', instance='i-1'),
        )
        self.assertIs(found.verdict, tracing.Verdict.RAN_ONCE)
        self.assertIn('2 lines are no JSON objects', str(found))

    def test_omitted_lines_are_named(self):
        found = self.trace(line('request.refused', omitted_before=9))
        self.assertIn('vm-1 left out 9 lines', str(found))

    def test_odd_values_are_read(self):
        found = self.trace(
            line('request.failed', status='x', tried=3, timestamp=True),
            line('request.failed', status=502, tried='i-1', boot_s=None),
        )
        self.assertEqual(len(found.steps), 2)

    def test_command_reads_compressed_files(self):
        path = self.folder / 'vm.log.xz'
        path.write_bytes(
            lzma.compress(line('request.answered', instance='i-1').encode())
        )
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            self.assertEqual(cmdline.main(['trace', 'r1', str(path)]), 0)
        self.assertIn('ran once: instance i-1', output.getvalue())

    def test_command_names_all_unreadable_files(self):
        broken = self.write('no xz', name='broken.xz')
        output = io.StringIO()
        with contextlib.redirect_stderr(output):
            code = cmdline.main(['trace', 'r1', broken, '/nonexistent/vm.log'])
        self.assertEqual(code, cmdline.EXIT_BAD_INPUT)
        self.assertIn('broken.xz', output.getvalue())
        self.assertIn('/nonexistent/vm.log', output.getvalue())

    def test_command_needs_a_file(self):
        with contextlib.redirect_stderr(io.StringIO()):
            code = cmdline.main(['trace', 'r1'])
        self.assertEqual(code, cmdline.EXIT_BAD_INPUT)
