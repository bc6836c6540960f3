"""Tests of oriolefold_core.tasks."""

import asyncio
import dataclasses
from unittest import mock

from oriolefold_core import errors, tasks
from oriolefold_testbed import basecase


@dataclasses.dataclass(slots=True, eq=False)
class _Double(tasks.Ask):
    number: int


class _Doubler(tasks.Task):
    def __init__(self):
        super().__init__('doubler')
        self.stopped = False

    async def handle(self, message):
        if message.number < 0:
            raise ValueError('negative')
        message.answer(2 * message.number)

    async def on_stop(self):
        self.stopped = True


@dataclasses.dataclass(slots=True, eq=False)
class _Work(tasks.Ask):
    """Asks for a reply by a child.

    Attributes:
        error: Raised by the child, or None to wait.
    """

    error: Exception | None = None


class _Employer(tasks.Task):
    """Task whose children reply, or which keeps an ask for later."""

    def __init__(self):
        super().__init__('employer')
        self.children = []
        self.kept = []

    async def handle(self, message):
        if isinstance(message, _Work):
            self.children.append(self.spawn(self._work(message), message))
        elif isinstance(message, _Double):
            if message.number:
                await asyncio.sleep(60)
            self.kept.append(message)

    async def _work(self, work):
        if work.error is None:
            await asyncio.sleep(60)
        raise work.error


class TaskTest(basecase.AsyncCase):
    """A task replies to messages and survives errors in handling one."""

    async def test_an_error_in_one_message_does_not_stop_the_task(self):
        task = _Doubler()
        await self.start(task)
        with self.assertLogs('oriolefold_core.tasks', 'ERROR'):
            with self.assertRaises(ValueError):
                await task.ask(_Double(-1))
        self.assertEqual(await task.ask(_Double(4)), 8)

    async def test_stop_cancels_children(self):
        task = _Doubler()
        await task.start()
        child = task.spawn(asyncio.sleep(60))
        await task.stop()
        self.assertTrue(child.cancelled())
        self.assertTrue(task.stopped)

    async def assert_unknown(self, asking, error_class=Exception):
        """Checks that an asker gets an error that is not a not-run."""
        async with asyncio.timeout(1):
            with self.assertRaises(error_class) as context:
                await asking
        self.assertFalse(errors.failure_of(context.exception).not_run)

    async def test_failed_child_fails_the_ask_that_it_owes_a_reply(self):
        task = _Employer()
        await self.start(task)
        cases = [
            (ValueError('unexpected'), ValueError),
            (errors.OverloadedError('swallowed'), errors.OutcomeUnknownError),
        ]
        for error, error_class in cases:
            with self.subTest(error=error):
                with self.assertLogs('oriolefold_core.tasks', 'ERROR'):
                    await self.assert_unknown(
                        task.ask(_Work(error)), error_class
                    )

    async def test_cancelled_child_fails_the_ask_that_it_owes_a_reply(self):
        task = _Employer()
        await self.start(task)
        asking = asyncio.create_task(task.ask(_Work()))
        await self.wait_for(lambda: task.children)
        task.children[0].cancel()
        await self.assert_unknown(asking, errors.OutcomeUnknownError)

    async def test_stop_answers_every_ask(self):
        cases = [
            ('owed by a child', _Work()),
            ('kept by the task', _Double(0)),
            ('being handled', _Double(1)),
            ('in the mailbox', _Double(2)),
        ]
        task = _Employer()
        await task.start()
        asking = [asyncio.create_task(task.ask(ask)) for _, ask in cases]
        await self.wait_for(lambda: task.children and task.kept)
        await task.stop()
        asking.append(asyncio.create_task(task.ask(_Double(3))))
        cases.append(('posted after the stop', None))
        for (name, _), waiting in zip(cases, asking, strict=True):
            with self.subTest(name):
                await self.assert_unknown(waiting, errors.OutcomeUnknownError)

    async def test_messages_before_the_start_are_handled(self):
        task = _Doubler()
        asking = asyncio.create_task(task.ask(_Double(4)))
        await asyncio.sleep(0)
        await self.start(task)
        self.assertEqual(await asking, 8)

    async def test_loop_goes_on_after_an_unexpected_error(self):
        task = _Doubler()
        await self.start(task)
        runs = []

        async def run():
            runs.append(len(runs))
            if len(runs) == 1:
                raise ValueError('unexpected')

        with mock.patch.object(tasks, 'RESTART_DELAY_S', 0.01):
            with self.assertLogs('oriolefold_core.tasks', 'ERROR'):
                await task.spawn_loop(run)
        self.assertEqual(runs, [0, 1])
