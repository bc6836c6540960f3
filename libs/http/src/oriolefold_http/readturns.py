"""Turns of streams whose responses take much work."""

import asyncio
import collections

STREAMS_PER_TURN = 4  # Streams that go on in one turn of the event loop.


class ReadTurns:
    """Lets a few of the streams that wait go on in each turn of the event loop.

    Other tasks so wait for the work of these few at a time, however many
    responses without an end arrive.
    """

    def __init__(self):
        self._waiting: collections.deque[asyncio.Future] = collections.deque()

    async def wait(self) -> None:
        """Waits until it is the turn of the caller."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._admit, loop)
        await turn

    def _admit(self, loop: asyncio.AbstractEventLoop) -> None:
        admitted = 0
        while self._waiting and admitted < STREAMS_PER_TURN:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                admitted += 1
        if self._waiting:
            loop.call_soon(self._admit, loop)
