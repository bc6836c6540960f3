"""Tests of oriolefold_telemetry.logs."""

import collections
import json
import logging
import tempfile
from unittest import mock

import eliot

from oriolefold_telemetry import logs
from oriolefold_testbed import basecase

FLOOD_LINES = 2000


class BudgetTest(basecase.BaseCase):
    """The rate of lines is limited, and lost requests still leave theirs."""

    def setUp(self):
        self.output = tempfile.TemporaryFile('w+', encoding='utf-8')
        self.addCleanup(self.output.close)
        # Time stands still, so that the budgets are not refilled.
        patcher = mock.patch.object(logs.time, 'monotonic', return_value=10.0)
        self.time = patcher.start()
        self.addCleanup(patcher.stop)
        with (
            mock.patch.object(eliot, 'add_global_fields'),
            mock.patch.object(eliot, 'add_destinations') as add_destinations,
            mock.patch.object(logging, 'getLogger'),
        ):
            logs.set_up('test', 'vm-1', self.output)
        self.write = add_destinations.call_args.args[0]

    def flood(self, name: str) -> None:
        for _ in range(FLOOD_LINES):
            self.write({'message_type': name})

    def counts_by_name(self) -> collections.Counter[str]:
        self.output.seek(0)
        lines = [json.loads(line) for line in self.output]
        return collections.Counter(line['message_type'] for line in lines)

    def test_a_flood_of_lines_does_not_hide_a_lost_request(self):
        self.flood('send.failed')
        for name in ('request.cut', 'daemon.stop_limit', 'eliot:traceback'):
            self.write({'message_type': name})
            self.assertEqual(self.counts_by_name()[name], 1, name)

    def test_a_flood_of_exceptions_does_not_hide_a_lost_request(self):
        self.flood('eliot:stdlib')
        for name in ('request.cut', 'daemon.stopped'):
            self.write({'message_type': name})
            self.assertEqual(self.counts_by_name()[name], 1, name)

    def test_a_flood_of_lost_requests_does_not_hide_an_exception(self):
        self.flood('request.cut')
        self.write({'message_type': 'eliot:stdlib'})
        self.assertEqual(self.counts_by_name()['eliot:stdlib'], 1)

    def test_a_flood_of_lost_requests_is_bounded(self):
        self.flood('request.cut')
        most = logs.BURST_LINES + logs.RESERVED_BURST_LINES
        self.assertEqual(self.counts_by_name()['request.cut'], most)

    def test_lost_requests_leave_the_other_lines_their_budget(self):
        self.flood('send.failed')
        self.flood('request.cut')
        self.time.return_value += 1.0
        self.flood('send.failed')
        sent = self.counts_by_name()['send.failed']
        self.assertEqual(sent, logs.BURST_LINES + logs.LINES_PER_S)
