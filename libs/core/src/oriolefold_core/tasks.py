"""Tasks that own their state and talk by messages.

A task has a mailbox and handles one message at a time, so its state needs no
lock. Work that waits (a call to a server, say) runs as a child of the task and
reports back by a message or through the future that the message carries.
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
    """Base of messages that expect a reply.

    Attributes:
        reply: Future that the receiver sets.
    """

    reply: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future(),
        kw_only=True,
    )

    def answer(self, value: Any) -> None:
        """Sets the reply, unless the asker has gone."""
        if not self.reply.done():
            self.reply.set_result(value)

    def fail(self, error: BaseException) -> None:
        """Sets an error as the reply, unless the asker has gone."""
        if not self.reply.done():
            self.reply.set_exception(error)


class Task(abc.ABC):
    """Owner of some state that is reached by messages only."""

    def __init__(self, name: str):
        self.name = name
        self._mailbox: asyncio.Queue = asyncio.Queue()
        self._loop_task: asyncio.Task | None = None
        self._children: set[asyncio.Task] = set()

    @abc.abstractmethod
    async def handle(self, message: Any) -> None:
        """Handles one message."""

    async def on_start(self) -> None:
        """Opens what the task owns, before the first message."""

    async def on_stop(self) -> None:
        """Closes what the task owns, after the last message."""

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
        """Opens the task and starts to handle messages."""
        await self.on_start()
        self._loop_task = asyncio.create_task(self._run(), name=self.name)

    async def stop(self) -> None:
        """Stops handling messages, ends the children and closes the task."""
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
        """Runs a coroutine as a child that ends with the task."""
        child = asyncio.create_task(work)
        self._children.add(child)
        child.add_done_callback(self._forget)
        return child

    def _forget(self, child: asyncio.Task) -> None:
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
                # One bad message must not end the task for all others.
                _LOGGER.exception('task %s failed on a message', self.name)
                if isinstance(message, Ask):
                    # The frames of this loop must not leave it: whoever
                    # clears the traceback would end the loop with them.
                    message.fail(error.with_traceback(None))
