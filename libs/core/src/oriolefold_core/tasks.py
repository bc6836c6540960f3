"""Actors: tasks that own their state and communicate by messages.

A task has a mailbox and handles one message at a time, so its state needs no
lock. An operation that waits, such as a call to a server, runs as a child of
the task and reports its result by a message or by the future in the message
that asked for it.
"""

import abc
import asyncio
import dataclasses
import logging
from collections.abc import Coroutine
from typing import Any

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

    @abc.abstractmethod
    async def handle(self, message: Any) -> None:
        """Handles one message."""

    async def on_start(self) -> None:
        """Acquires the resources of the task, before the first message."""

    async def on_stop(self) -> None:
        """Releases the resources of the task, after the last message."""

    def post(self, message: Any) -> None:
        """Puts a message into the mailbox without waiting."""
        self._mailbox.put_nowait(message)

    def post_later(self, delay_s: float, message: Any) -> None:
        """Puts a message into the mailbox after a delay in seconds."""
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._mailbox.put_nowait, message)

    async def ask(self, message: Ask) -> Any:
        """Puts a message into the mailbox and waits for the reply."""
        self._mailbox.put_nowait(message)
        return await message.reply

    async def start(self) -> None:
        """Calls `on_start` and starts to handle messages."""
        await self.on_start()
        self._loop_task = asyncio.create_task(self._run(), name=self.name)

    async def stop(self) -> None:
        """Stops handling messages, cancels the children and calls `on_stop`."""
        if self._loop_task is None:
            return
        self._loop_task.cancel()
        for child in list(self._children):
            child.cancel()
        await asyncio.gather(
            self._loop_task, *self._children, return_exceptions=True
        )
        self._loop_task = None
        await self.on_stop()

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Runs a coroutine as a child that is cancelled when the task stops."""
        child = asyncio.create_task(work)
        self._children.add(child)
        child.add_done_callback(self._on_child_done)
        return child

    def _on_child_done(self, child: asyncio.Task) -> None:
        self._children.discard(child)
        if not child.cancelled() and child.exception() is not None:
            _LOGGER.error(
                'child of task %s failed', self.name, exc_info=child.exception()
            )

    async def _run(self) -> None:
        while True:
            message = await self._mailbox.get()
            try:
                await self.handle(message)
            except Exception as error:  # pylint: disable=broad-except
                # An error in one message must not stop the task.
                _LOGGER.exception('task %s failed on a message', self.name)
                if isinstance(message, Ask):
                    # Without the traceback, which refers to the frame of this
                    # loop: clearing that frame would end the loop.
                    message.fail(error.with_traceback(None))
