"""Health of the store connection, shared by all clients in this process.

A long poll on a dead connection looks like one without changes. Any failed
call therefore aborts the pending watches, and one of them probes the store by
cheap calls until it answers again.
"""

import asyncio
import contextlib
from collections.abc import Iterator

from oriolefold_core import clock, errors
from oriolefold_store import ports
from oriolefold_telemetry import logs

# Objects expire only in outages that last for some time, in which several calls
# fail. A VM that makes few calls may learn late that only one of them failed.
MIN_EXPIRY_S = 1.0
MIN_FAILED_CALLS = 2
# Errors that show that a call did not get through, or its answer did not.
_FAILURES = (
    errors.StoreUnavailableError,
    errors.StoreAnswerLostError,
    errors.StoreBudgetError,
)


class Availability:
    """Whether the store is reachable from this process.

    Attributes:
        recovered_at_s: When the store last recovered from an outage in which
            objects may have expired.
    """

    def __init__(self, time: clock.Clock):
        self._clock = time
        self._unavailable_since_s: float | None = None
        self._unavailable_event = asyncio.Event()
        self._available_event = asyncio.Event()
        self._available_event.set()
        self._is_probe_claimed = False
        self._failed_calls = 0  # Since the store last answered one.
        self.recovered_at_s = float('-inf')

    @property
    def is_unavailable(self) -> bool:
        """Whether a call has failed since the store last answered one."""
        return self._unavailable_since_s is not None

    def mark_unavailable(self, error: errors.StoreError) -> None:
        """Records a failed call."""
        self._failed_calls += 1
        if self._unavailable_since_s is not None:
            return
        self._unavailable_since_s = self._clock.now_s()
        self._available_event.clear()
        self._unavailable_event.set()
        logs.event('store.unavailable', error=str(error))

    def mark_available(self) -> None:
        """Records that the store answered a call."""
        if self._unavailable_since_s is None:
            return
        now_s = self._clock.now_s()
        outage_s = round(now_s - self._unavailable_since_s, 3)
        self._unavailable_since_s = None
        if outage_s >= MIN_EXPIRY_S and self._failed_calls >= MIN_FAILED_CALLS:
            self.recovered_at_s = now_s
        self._failed_calls = 0
        self._unavailable_event.clear()
        self._available_event.set()
        logs.event('store.recovered', outage_s=outage_s)

    @contextlib.contextmanager
    def claim_probe(self) -> Iterator[bool]:
        """Yields whether the caller is the one that probes the store next."""
        if self._is_probe_claimed:
            yield False
            return
        self._is_probe_claimed = True
        try:
            yield True
        finally:
            self._is_probe_claimed = False

    async def wait_until_unavailable(self) -> None:
        """Waits until a call fails."""
        await self._unavailable_event.wait()

    async def wait_until_available(self) -> None:
        """Waits until the store answers again."""
        await self._available_event.wait()


class MonitoredStore(ports.Store):
    """Store that reports which of its calls get through.

    Callers may retry or resolve a failure themselves, so they cannot be relied
    on to report it.
    """

    def __init__(self, store: ports.Store, store_availability: Availability):
        """Initializes the store.

        Args:
            store: The underlying store.
            store_availability: Shared health of the store.
        """
        self._store = store
        self._availability = store_availability

    @property
    def era(self) -> int:
        """Latest era in the answers of the underlying store."""
        return self._store.era

    def observe_era(self, era: int) -> None:
        """Takes note of an era that the store has told another VM."""
        self._store.observe_era(era)

    async def read(self, name: str) -> ports.StoredObject:
        """Reads an object."""
        with self._reporting():
            return await self._store.read(name)

    async def read_stale(self, name: str) -> ports.StoredObject:
        """Reads an object that may be seconds old."""
        with self._reporting():
            return await self._store.read_stale(name)

    async def write(
        self, name: str, content: bytes, expected_version: int
    ) -> int:
        """Writes an object if its version is the expected one."""
        with self._reporting():
            return await self._store.write(name, content, expected_version)

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> ports.Changes:
        """Waits for changes after a revision."""
        with self._reporting():
            return await self._store.watch(prefix, after_revision, timeout_s)

    async def close(self) -> None:
        """Releases the connections."""
        await self._store.close()

    @contextlib.contextmanager
    def _reporting(self):
        try:
            yield
        except _FAILURES as error:
            self._availability.mark_unavailable(error)
            raise
        except errors.StoreError:
            self._availability.mark_available()
            raise
        self._availability.mark_available()
