"""Actors: tasks that own their state and communicate by messages.

A task has a mailbox and handles one message at a time, so its state needs no
lock. An operation that waits, such as a call to a server, runs as a child of
the task and reports its result by a message or by the future in the message
that asked for it.

Whoever asks gets a reply: an error if the work fails with an exception, is
cancelled, or the task stops. The work may have been done in part then, so such
an error never says that it was not run.
"""

import abc
import asyncio
import dataclasses
import functools
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from oriolefold_core import errors

RESTART_DELAY_S = 0.5  # Before a loop that has failed runs again.

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class Ask:
    """Base class of messages that expect a reply.

    Attributes:
        reply: Future that the receiver completes.
    """

    reply: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
        kw_only=True,
    )

    def answer(self, value: Any) -> None:
        """Sets the reply, unless it is already set or cancelled."""
        if not self.reply.done():
            self.reply.set_result(value)

    def fail(self, error: BaseException) -> None:
        """Sets an error as the reply, unless it is already set or cancelled."""
        if not self.reply.done():
            self.reply.set_exception(error)


class Task(abc.ABC):
    """Owner of state that other tasks access only by messages."""

    def __init__(self, name: str):
        self.name = name
        self._mailbox: asyncio.Queue = asyncio.Queue()
        self._loop_task: asyncio.Task | None = None
        self._children: set[asyncio.Task] = set()
        self._unanswered: set[Ask] = set()  # Taken from the mailbox.
        self._stopped = False

    @abc.abstractmethod
    async def handle(self, message: Any) -> None:
        """Handles one message."""

    async def on_start(self) -> None:
        """Acquires the resources of the task, before the first message."""

    async def on_stop(self) -> None:
        """Releases the resources of the task, after the last message."""

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox without waiting."""
        self._put(message)

    def post_later(self, delay_s: float, message: Any) -> None:
        """Puts a message into the mailbox after a delay in seconds."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._put, message)

    async def ask(self, message: Ask) -> Any:
        """Puts a message into the mailbox and waits for the reply."""
        self._put(message)
        return await message.reply

    async def start(self) -> None:
        """Calls `on_start` and starts to handle messages."""
        self._stopped = False
        await self.on_start()
        self._loop_task = asyncio.create_task(self._run(), name=self.name)

    async def stop(self) -> None:
        """Stops handling messages, cancels the children and calls `on_stop`.

        Asks that have no reply by then fail.
        """
        if self._loop_task is None:
            return
        self._loop_task.cancel()
        for child in list(self._children):
            child.cancel()
        await asyncio.gather(
            self._loop_task, *self._children, return_exceptions=True
        )
        self._loop_task = None
        self._stopped = True
        try:
            await self.on_stop()
        finally:
            self._fail_unanswered()

    def spawn(self, work: Coroutine, ask: Ask | None = None) -> asyncio.Task:
        """Runs a coroutine as a child that is cancelled when the task stops.

        Args:
            work: The coroutine.
            ask: Message that it owes a reply, if any; it fails if the coroutine
                ends with an exception or is cancelled.
        """
        child = asyncio.create_task(work)
        self._children.add(child)
        child.add_done_callback(functools.partial(self._on_child_done, ask))
        return child

    def spawn_loop(self, run: Callable[[], Coroutine]) -> asyncio.Task:
        """Runs a coroutine function as a child, again whenever it fails.

        Others rely on such a loop without asking, so its end would go
        unnoticed.
        """
        return self.spawn(self._repeat_until_it_succeeds(run))

    async def _repeat_until_it_succeeds(
        self, run: Callable[[], Coroutine]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception:  # pylint: disable=broad-except
                _LOGGER.exception('loop of task %s failed', self.name)
            await asyncio.sleep(RESTART_DELAY_S)

    def _on_child_done(self, ask: Ask | None, child: asyncio.Task) -> None:
        self._children.discard(child)
        if child.cancelled():
            if ask is not None:
                ask.fail(
                    errors.OutcomeUnknownError(
                        f'the work of task {self.name} was cancelled'
                    )
                )
        elif child.exception() is not None:
            error = child.exception()
            _LOGGER.error('child of task %s failed', self.name, exc_info=error)
            if ask is not None:
                ask.fail(_without_promise(error))

    def _put(self, message: Any) -> None:
        if not self._stopped:
            self._mailbox.put_nowait(message)
        elif isinstance(message, Ask):
            message.fail(self._stopped_error())

    def _stopped_error(self) -> errors.OutcomeUnknownError:
        return errors.OutcomeUnknownError(
            f'task {self.name} stopped before it replied'
        )

    def _fail_unanswered(self) -> None:
        while not self._mailbox.empty():
            message = self._mailbox.get_nowait()
            if isinstance(message, Ask):
                message.fail(self._stopped_error())
        for ask in list(self._unanswered):
            ask.fail(self._stopped_error())

    def _remember(self, ask: Ask) -> None:
        self._unanswered.add(ask)
        ask.reply.add_done_callback(lambda _: self._unanswered.discard(ask))

    async def _run(self) -> None:
        while True:
            message = await self._mailbox.get()
            if isinstance(message, Ask):
                self._remember(message)
            try:
                await self.handle(message)
            except Exception as error:  # pylint: disable=broad-except
                # An error in one message must not stop the task.
                _LOGGER.exception('task %s failed on a message', self.name)
                if isinstance(message, Ask):
                    message.fail(_without_promise(error))


def _without_promise(error: BaseException) -> BaseException:
    """Returns the error to report for an unexpected exception.

    Its traceback is left out, since it refers to a frame that has to live on.
    An error that says that nothing was run is replaced, since the exception
    may have come after a part of the work.
    """
    error = error.with_traceback(None)
    if not errors.failure_of(error).not_run:
        return error
    unknown = errors.OutcomeUnknownError(str(error))
    unknown.__cause__ = error
    return unknown
