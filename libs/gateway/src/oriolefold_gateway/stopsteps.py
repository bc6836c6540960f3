"""Steps of the stop of a process, each with a time limit."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from oriolefold_telemetry import logs

CANCEL_LIMIT_S = 0.05  # Time for the tasks that a program leaves to end.


def run(program: Coroutine[Any, Any, None]) -> None:
    """Runs a program in an event loop of its own.

    `asyncio.run` would wait for the tasks that the program leaves, also for
    those that do not end although they are cancelled.
    """
    loop = asyncio.new_event_loop()
    try:
        loop.run_until_complete(program)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left, timeout=CANCEL_LIMIT_S))
        loop.close()


class StopSteps:
    """Runs the steps of a stop, of which none may prevent the next ones.

    Attributes:
        times_ms: Time that each step took, by its name, in milliseconds.
    """

    def __init__(self, logger: logging.Logger):
        """Initializes the steps.

        Args:
            logger: Logger of the steps that fail.
        """
        self._logger = logger
        self.times_ms: dict[str, int] = {}

    async def complete(
        self, name: str, step: Coroutine[Any, Any, Any], limit_s: float
    ) -> bool:
        """Runs a step and goes on without it after its limit.

        A step that does not end although it is cancelled is not waited for.

        Args:
            name: Name of the step, for the log.
            step: The step.
            limit_s: Time limit, in seconds.

        Returns:
            Whether the step ended in time, possibly with an exception.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        running = asyncio.create_task(step)
        await asyncio.wait({running}, timeout=limit_s)
        self.times_ms[name] = round((loop.time() - started_s) * 1000)
        if not running.done():
            running.cancel()
            logs.event('daemon.step_cut', step=name, limit_s=limit_s)
            return False
        if not running.cancelled() and running.exception() is not None:
            self._logger.error(
                'step %s of the stop failed',
                name,
                exc_info=running.exception(),
            )
        return True
