"""Tests of oriolefold_direct.loadreports."""

import fakes

from oriolefold_core import errors
from oriolefold_direct import loadreports, messages
from oriolefold_testbed import basecase

LEADER = '10.0.0.8:80'


class _Dispatcher(basecase.RecordingTask):
    """Dispatcher with a scripted load.

    Attributes:
        load: The load that it has observed.
    """

    load = messages.ObservedLoad((), {})

    async def handle(self, message):
        if isinstance(message, messages.CollectLoad):
            message.answer(self.load)
        else:
            await super().handle(message)


class LoadReporterTest(basecase.AsyncCase):
    """The leader gets reports of keys, and of instances that leave."""

    async def asyncSetUp(self):
        self.dispatcher = _Dispatcher('dispatcher')
        await self.start(self.dispatcher)
        self.peers = fakes.FakePeers()
        self.reporter = loadreports.LoadReporter(
            'svc', 'vm', self.peers, self.dispatcher
        )

    async def report(self, leader=LEADER, keys=(), **leaving_by_id):
        """Reports a load; returns whether it was sent."""
        self.dispatcher.load = messages.ObservedLoad(keys, {}, leaving_by_id)
        before = len(self.peers.reports)
        await self.reporter.report(leader)
        return len(self.peers.reports) > before

    async def test_nothing_is_sent_without_load(self):
        self.assertFalse(await self.report())

    async def test_leaving_instance_is_reported_once_without_requests(self):
        self.assertTrue(await self.report(one=1))
        self.assertFalse(await self.report(one=1))
        self.assertTrue(await self.report(one=1, two=1))
        self.assertTrue(await self.report(one=2, two=1))
        self.assertFalse(await self.report(one=2))

    async def test_leaving_instance_is_reported_to_each_leader(self):
        self.assertTrue(await self.report(one=1))
        self.assertFalse(await self.report('', one=1))
        self.assertTrue(await self.report('10.0.0.9:80', one=1))
        self.assertTrue(await self.report(one=1))

    async def test_leaving_instance_is_reported_until_the_leader_answers(self):
        async def fail(address, report):
            raise errors.UnreachableError('no answer')

        answering, self.peers.report = self.peers.report, fail
        await self.report(one=1)
        self.peers.report = answering
        self.assertTrue(await self.report(one=1))

    async def report_cold(self, leader=LEADER):
        """Reports a cold instance; returns the ones in the sent report."""
        self.dispatcher.load = messages.ObservedLoad(
            (1,), {}, cold_ids=('a',), read_at_s=7.0
        )
        before = len(self.peers.reports)
        await self.reporter.report(leader)
        sent = self.peers.reports[before:]
        return [report.load.cold_ids for _, report in sent]

    async def test_cold_instances_are_reported_each_time_with_few_keys(self):
        for _ in range(2):
            self.assertEqual(await self.report_cold(), [('a',)])

    async def test_permits_count_from_when_the_load_was_read(self):
        async def grant(address, report):
            return messages.LoadReply({}, None, {'a': 2})

        self.peers.report = grant
        await self.report_cold()
        await self.wait_for(lambda: len(self.dispatcher.messages) >= 2)
        self.assertIn(
            messages.PermitsGranted({'a': 2}, 7.0), self.dispatcher.messages
        )

    async def test_a_leader_that_rejects_cold_instances_gets_the_keys(self):
        """Guards against losing all reports to a leader of an older version."""
        answering = self.peers.report

        async def reject(address, report):
            raise errors.ProtocolError('status 400')

        self.peers.report = reject
        await self.report_cold()
        self.peers.report = answering
        sent = []
        for _ in range(loadreports.PAUSED_COLD_REPORTS):
            sent += await self.report_cold()
        self.assertEqual(set(sent), {()})
        self.assertEqual(await self.report_cold(), [('a',)])
        self.assertEqual(await self.report_cold('10.0.0.9:80'), [('a',)])

    async def test_leaving_instances_are_in_all_reports_of_keys(self):
        for _ in range(2):
            self.assertTrue(await self.report(keys=(1, 2, 3, 4), one=1))
            self.assertEqual(
                self.peers.reports[-1][1].load.leaving_by_id, {'one': 1}
            )
