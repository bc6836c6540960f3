"""Tests of oriolefold_gateway.dispatcher."""

import asyncio
import random
from unittest import mock

from oriolefold_core import clock, data, errors, notices, tasks
from oriolefold_gateway import dispatcher, messages
from oriolefold_routing import retries
from oriolefold_sending import messages as sending_messages
from oriolefold_telemetry import metrics
from oriolefold_testbed import basecase

ANSWER = data.Answer(200, (), b'ok', 's0')


class _ScriptedSender(tasks.Task):
    """Sender whose sends end as scripted.

    Attributes:
        outcomes: Errors of the next sends, or None for no reply; every later
            send is answered.
        sends: Number of sends.
    """

    def __init__(self):
        super().__init__('sender')
        self.outcomes: list = []
        self.sends = 0

    async def handle(self, message):
        self.sends += 1
        if not self.outcomes:
            message.answer(ANSWER)
            return
        outcome = self.outcomes.pop(0)
        if outcome is not None:
            message.fail(outcome)


class DispatcherTest(basecase.AsyncCase):
    """Each request gets an answer, and the outcome in it is true."""

    async def asyncSetUp(self):
        self.sender = _ScriptedSender()
        self.dispatcher = dispatcher.Dispatcher(
            'vm0',
            clock.BootClock(),
            basecase.RecordingTask(),
            self.sender,
            basecase.RecordingTask(),
            metrics.Metrics(),
            random.Random(basecase.SEED),
            False,
        )
        await self.start(self.sender, self.dispatcher)
        register = basecase.make_register(keyed=False)
        self.dispatcher.post(
            notices.ConfigurationUpdated(basecase.make_configuration(register))
        )

    def ask(self, method='GET', deadline_ms=3000):
        return self.dispatcher.ask(
            messages.Dispatch(
                'q', method, '/svc/a', {}, (), b'', str(deadline_ms)
            )
        )

    async def test_refused_retry_of_a_lost_request_is_outcome_unknown(self):
        self.sender.outcomes = [
            errors.OutcomeUnknownError('lost'),
            *(errors.UnreachableError('down') for _ in range(9)),
        ]
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.ask()
        self.assertGreater(self.sender.sends, 1)

    async def test_deadline_between_two_sends_does_not_hide_that_none_ran(self):
        refused = errors.UnreachableError('down')
        lost = errors.OutcomeUnknownError('lost')
        cases = [
            ('only refused sends', [refused], errors.DeadlineExpiredError),
            ('a lost send', [lost], errors.OutcomeUnknownError),
            ('a send in progress', [None], errors.OutcomeUnknownError),
        ]
        for name, outcomes, error_class in cases:
            with self.subTest(name):
                self.sender.outcomes = outcomes
                # Longer than the time until the deadline.
                with mock.patch.object(retries, 'backoff_s', return_value=5.0):
                    with self.assertRaises(error_class):
                        await self.ask(deadline_ms=100)

    async def test_draining_does_not_retry_what_could_be_cut(self):
        self.sender.outcomes = [errors.UnreachableError('down')]
        with mock.patch.object(retries, 'backoff_s', return_value=0.3):
            asking = asyncio.create_task(self.ask('POST'))
            await self.wait_for(lambda: self.sender.sends)
            now_s = clock.BootClock().now_s()
            self.dispatcher.post(sending_messages.Drain(now_s + 1.0))
            with self.assertRaises(errors.StoppingError):
                await asking
        self.assertEqual(self.sender.sends, 1)

    async def test_requests_in_progress_are_answered_at_the_stop_limit(self):
        cases = [
            ('at an instance', [None], errors.OutcomeUnknownError),
            (
                'sent nowhere',
                [errors.UnreachableError('down')],
                errors.StoppingError,
            ),
        ]
        for name, outcomes, error_class in cases:
            with self.subTest(name):
                self.sender.outcomes = outcomes
                sends = self.sender.sends
                # Longer than the test, so that it waits for its retry.
                with mock.patch.object(retries, 'backoff_s', return_value=5.0):
                    asking = asyncio.create_task(self.ask())
                    await self.wait_for(lambda n=sends: self.sender.sends > n)
                    await self.dispatcher.ask(messages.EndRequests())
                    with self.assertRaises(error_class):
                        await asking

    async def test_unexpected_error_in_a_request_is_answered(self):
        self.sender.outcomes = [ValueError('unexpected')]
        with self.assertLogs('oriolefold_core.tasks', 'ERROR'):
            async with asyncio.timeout(1):
                with self.assertRaises(errors.OriolefoldError) as context:
                    await self.ask()
            await asyncio.sleep(0)  # The child is logged after its answer.
        failure = errors.failure_of(context.exception)
        self.assertIs(failure.category, errors.Category.INTERNAL)
