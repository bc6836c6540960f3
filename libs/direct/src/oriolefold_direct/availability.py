"""Health of the store connection, shared by all clients in this process.

A long poll on a dead connection looks like one without changes. Any failed
call therefore aborts the pending watches, and one of them probes the store
until it answers again.
"""

import asyncio

from oriolefold_core import clock, errors
from oriolefold_telemetry import logs


class Availability:
    """Whether the store is reachable from this process.

    Attributes:
        recovered_at_s: When the store last recovered from an outage.
    """

    def __init__(self, time: clock.Clock):
        self._clock = time
        self._unavailable_since_s: float | None = None
        self._unavailable_event = asyncio.Event()
        self._available_event = asyncio.Event()
        self._available_event.set()
        self.recovered_at_s = float('-inf')

    @property
    def is_unavailable(self) -> bool:
        """Whether a call has failed since the store last answered a watch."""
        return self._unavailable_since_s is not None

    def mark_unavailable(self, error: errors.StoreError) -> None:
        """Records a failed call."""
        if self._unavailable_since_s is not None:
            return
        self._unavailable_since_s = self._clock.now_s()
        self._available_event.clear()
        self._unavailable_event.set()
        logs.event('store.unavailable', error=str(error))

    def mark_available(self) -> None:
        """Records that the store answered a watch."""
        if self._unavailable_since_s is None:
            return
        now_s = self._clock.now_s()
        outage_s = round(now_s - self._unavailable_since_s, 3)
        self._unavailable_since_s = None
        self.recovered_at_s = now_s
        self._unavailable_event.clear()
        self._available_event.set()
        logs.event('store.recovered', outage_s=outage_s)

    async def wait_until_unavailable(self) -> None:
        """Waits until a call fails."""
        await self._unavailable_event.wait()

    async def wait_until_available(self) -> None:
        """Waits until the store answers again."""
        await self._available_event.wait()
