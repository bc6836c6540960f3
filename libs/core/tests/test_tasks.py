"""Tests of oriolefold_core.tasks."""

import asyncio
import dataclasses

from oriolefold_core import tasks
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
