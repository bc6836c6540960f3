"""Task that follows the objects of one prefix in the store."""

import abc
import asyncio
import contextlib
import random
from typing import Any

from oriolefold_core import clock, errors, tasks
from oriolefold_direct import availability, documents, messages
from oriolefold_store import ports, updates
from oriolefold_telemetry import logs

WAIT_S = 20.0  # Time that one watch waits; bounds how long silence lasts.
PROBE_S = 0.1  # Time that a watch waits while the store is in trouble.
RETRY_S = 0.4  # Mean pause between probes of a store in trouble.
REST_S = 2.0  # Pause after which a watch tries again without the probe.
ABSENCE_GRACE_S = 2.0  # Time for lapsed entries to return.
OUTAGE_MEMORY_S = 2.5  # Time after an outage in which removals may be lapses.


class Reader(abc.ABC):
    """Turns stored objects into notices."""

    prefix: str
    # Pause after changes, in which more of them gather for one call.
    gather_s = 0.0
    # Whether this watch probes the store while it is in trouble.
    probes = False
    # Whether objects may lapse while the store is away and come back after.
    may_lapse = False

    @abc.abstractmethod
    def read(self, stored: ports.StoredObject) -> Any:
        """Returns what an object holds.

        Raises:
            ConfigurationError: If the object cannot be read.
        """

    @abc.abstractmethod
    def notice(self, values_by_name: dict[str, Any]) -> Any:
        """Returns the message that tells of all objects, or None."""


class KeyMapReader(Reader):
    """Reads key maps."""

    prefix = documents.KEY_MAP_PREFIX

    def __init__(self):
        self._told: dict[str, Any] = {}

    def read(self, stored: ports.StoredObject) -> Any:
        """Returns the key map in an object."""
        document = updates.opened(stored)
        key_map = documents.read_key_map(document.body, stored.name)
        return messages.KeyMapKnown(key_map, stored.version)

    def notice(self, values_by_name: dict[str, Any]) -> Any:
        """Returns notices of the maps that changed."""
        changed = [
            known
            for name, known in values_by_name.items()
            if self._told.get(name) != known
        ]
        self._told = dict(values_by_name)
        return changed


class Watcher(tasks.Task):
    """Owns one watch and the newest value of each object."""

    def __init__(
        self,
        store: ports.Store,
        reader: Reader,
        subscribers: list[tasks.Task],
        time: clock.Clock,
        available: availability.Availability,
    ):
        """Makes the task.

        Args:
            store: Where the objects are.
            reader: Reads them.
            subscribers: Tasks that get the notices.
            time: Clock for the grace after an outage.
            available: Whether the store answers.
        """
        super().__init__(f'watcher {reader.prefix}')
        self._store = store
        self._reader = reader
        self._subscribers = subscribers
        self._clock = time
        self._values_by_name: dict[str, Any] = {}
        self._versions_by_name: dict[str, int] = {}
        self._absent_until_s: dict[str, float] = {}
        self._availability = available
        self.synchronized = False

    async def on_start(self) -> None:
        """Starts to watch."""
        self.spawn(self._follow())

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        if isinstance(message, ports.Changes):
            self._apply(message)
        elif isinstance(message, messages.Tick):
            self._drop_absent()

    async def _follow(self) -> None:
        revision = 0
        while True:
            try:
                changes = await self._watch(revision)
            except errors.HistoryLostError:
                logs.event('watch.history_lost', prefix=self._reader.prefix)
                revision = 0
            except errors.StoreError as error:
                self._availability.lose(error)
                await self._pause()
            else:
                self._availability.regain()
                revision = changes.revision
                self.post(changes)
                if changes.objects or changes.removed_names:
                    await asyncio.sleep(self._reader.gather_s)

    async def _watch(self, revision: int) -> ports.Changes:
        """Waits for changes, but no longer than the store answers others."""
        prefix = self._reader.prefix
        if self._availability.is_lost:
            return await self._store.watch(prefix, revision, PROBE_S)
        watching = asyncio.ensure_future(
            self._store.watch(prefix, revision, WAIT_S)
        )
        losing = asyncio.ensure_future(self._availability.until_lost())
        try:
            await asyncio.wait(
                (watching, losing), return_when=asyncio.FIRST_COMPLETED
            )
            if watching.done():
                return watching.result()
        finally:
            losing.cancel()
            watching.cancel()
        raise errors.StoreUnavailableError('another call to the store failed')

    async def _pause(self) -> None:
        """Waits after a failure; only one watch probes the store."""
        pause_s = RETRY_S * (0.75 + 0.5 * random.random())
        if self._reader.probes:
            await asyncio.sleep(pause_s)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REST_S):
                await self._availability.until_regained()

    def _apply(self, changes: ports.Changes) -> None:
        changed = not self.synchronized
        self.synchronized = True
        for stored in changes.objects:
            changed |= self._take(stored)
        gone = set(changes.removed_names)
        if changes.complete:
            present = {stored.name for stored in changes.objects}
            gone |= set(self._values_by_name) - present
        for name in gone:
            changed |= self._remove(name)
        if changed:
            self._tell()

    def _take(self, stored: ports.StoredObject) -> bool:
        name = stored.name
        if self._versions_by_name.get(name, 0) >= stored.version:
            return False
        try:
            value = self._reader.read(stored)
        except errors.ConfigurationError as error:
            logs.event(
                'object.unreadable',
                name=name,
                version=stored.version,
                error=str(error),
            )
            self._versions_by_name[name] = stored.version
            return self._values_by_name.pop(name, None) is not None
        self._versions_by_name[name] = stored.version
        self._absent_until_s.pop(name, None)
        changed = self._values_by_name.get(name) != value
        self._values_by_name[name] = value
        return changed

    def _remove(self, name: str) -> bool:
        if name not in self._values_by_name or name in self._absent_until_s:
            return False
        now_s = self._clock.now_s()
        since_s = now_s - self._availability.regained_at_s
        if self._reader.may_lapse and since_s < OUTAGE_MEMORY_S:
            # Entries lapse while the store is away; most return at once.
            self._absent_until_s[name] = now_s + ABSENCE_GRACE_S
            self.post_later(ABSENCE_GRACE_S, messages.Tick())
            return False
        logs.event('object.removed', name=name)
        del self._values_by_name[name]
        self._versions_by_name.pop(name, None)
        return True

    def _drop_absent(self) -> None:
        now_s = self._clock.now_s()
        changed = False
        for name, until_s in list(self._absent_until_s.items()):
            if until_s <= now_s + 0.01:
                del self._absent_until_s[name]
                logs.event('object.removed', name=name, reason='not returned')
                changed |= self._values_by_name.pop(name, None) is not None
                self._versions_by_name.pop(name, None)
        if changed:
            self._tell()

    def _tell(self) -> None:
        notice = self._reader.notice(dict(self._values_by_name))
        if notice is None:
            return
        notices = notice if isinstance(notice, list) else [notice]
        for message in notices:
            for subscriber in self._subscribers:
                subscriber.post(message)
