"""Whether the store answers, shared by all who call it.

A watch that waits on a silent connection looks like one without changes. Any
call that fails therefore ends the waiting watches, and one of them probes
until the store answers again.
"""

import asyncio

from oriolefold_core import clock, errors
from oriolefold_telemetry import logs


class Availability:
    """State of the store as this process sees it.

    Attributes:
        regained_at_s: When the store was last regained.
    """

    def __init__(self, time: clock.Clock):
        self._clock = time
        self._lost_at_s: float | None = None
        self._lost = asyncio.Event()
        self._present = asyncio.Event()
        self._present.set()
        self.regained_at_s = float('-inf')

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._lost_at_s is not None

    def lose(self, error: errors.StoreError) -> None:
        """Notes that a call failed."""
        if self._lost_at_s is not None:
            return
        self._lost_at_s = self._clock.now_s()
        self._present.clear()
        self._lost.set()
        logs.event('store.lost', error=str(error))

    def regain(self) -> None:
        """Notes that the store answered a watch."""
        if self._lost_at_s is None:
            return
        now_s = self._clock.now_s()
        away_s = round(now_s - self._lost_at_s, 3)
        self._lost_at_s = None
        self.regained_at_s = now_s
        self._lost.clear()
        self._present.set()
        logs.event('store.regained', away_s=away_s)

    async def until_lost(self) -> None:
        """Waits until a call fails."""
        await self._lost.wait()

    async def until_regained(self) -> None:
        """Waits until the store answers again."""
        await self._present.wait()
