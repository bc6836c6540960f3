"""Task that watches the objects of one prefix in the store."""

import abc
import asyncio
import contextlib
import random
from typing import Any

from oriolefold_core import clock, errors, tasks
from oriolefold_direct import availability, documents, messages
from oriolefold_store import ports, updates
from oriolefold_telemetry import logs

# Bounds how long a lost answer stays unnoticed, which looks like no changes.
# With the transit time it is shorter than a change may take to be in force.
WATCH_TIMEOUT_S = 1.2
PROBE_TIMEOUT_S = 0.1  # Timeout of a watch during an outage.
PROBE_INTERVAL_S = 0.4  # Mean interval between probes in an outage.
RETRY_INTERVAL_S = 1.0  # Minimum between retries without a pause.
# After an outage, until objects that expired in it have been written again.
ABSENCE_GRACE_S = 2.0


class OutdatedObjectError(errors.OriolefoldError):
    """An object is an older copy of one that was removed since."""


class Reader(abc.ABC):
    """Decodes stored objects and builds messages from them."""

    prefix: str
    # Delay after changes, so that the next call returns several at once.
    batch_delay_s = 0.0
    # Whether objects may expire during an outage and be written again after it.
    may_expire = False
    # Time after which an outdated object that is still stored is read again.
    outdated_limit_s = 0.0

    @abc.abstractmethod
    def read(self, stored: ports.StoredObject) -> Any:
        """Returns the value of an object.

        Raises:
            ConfigurationError: If the object is invalid.
        """

    def begin_era(self, revision: int, now_s: float) -> None:
        """Learns that the store was restored from an older copy.

        Args:
            revision: That of the first list of objects since.
            now_s: Current time.
        """

    def reconcile(
        self, value: Any, version: int, known: Any, now_s: float
    ) -> Any:
        """Returns the value to use, given what is known from before a restore.

        Args:
            value: The value of an object.
            version: Version of the object.
            known: The value in use under the same name, or None.
            now_s: Current time.

        Raises:
            OutdatedObjectError: If the object is to be treated as missing.
        """
        return value

    def record_removal(self, value: Any, now_s: float) -> None:
        """Learns that the object with a value has been removed."""

    @abc.abstractmethod
    def build_message(self, values_by_name: dict[str, Any]) -> Any:
        """Returns the message or list of messages to post, or None."""


class KeyMapReader(Reader):
    """Decodes key maps."""

    prefix = documents.KEY_MAP_PREFIX

    def __init__(self):
        self._sent_by_name: dict[str, messages.KeyMapUpdated] = {}

    def read(self, stored: ports.StoredObject) -> Any:
        """Returns the key map in an object."""
        document = updates.to_document(stored)
        key_map = documents.decode_key_map(document.body, stored.name)
        return messages.KeyMapUpdated(key_map, stored.version)

    def build_message(self, values_by_name: dict[str, Any]) -> Any:
        """Returns messages for the key maps that changed.

        Each write of a key map raises its next token, so one with a lower token
        is an older copy, whatever its version.
        """
        changed = []
        for name, update in values_by_name.items():
            sent = self._sent_by_name.get(name)
            if update == sent or (
                sent is not None
                and update.key_map.next_token < sent.key_map.next_token
            ):
                continue
            self._sent_by_name[name] = update
            changed.append(update)
        return changed


class Watcher(tasks.Task):
    """Owns one watch and the latest value of each object."""

    def __init__(
        self,
        store: ports.Store,
        reader: Reader,
        subscribers: list[tasks.Task],
        time: clock.Clock,
        store_availability: availability.Availability,
    ):
        """Initializes the task.

        Args:
            store: Store to watch.
            reader: Decodes the objects.
            subscribers: Tasks that receive the messages.
            time: Clock for the grace time after an outage.
            store_availability: Shared health of the store.
        """
        super().__init__(f'watcher {reader.prefix}')
        self._store = store
        self._reader = reader
        self._subscribers = subscribers
        self._clock = time
        self._values_by_name: dict[str, Any] = {}
        self._versions_by_name: dict[str, int] = {}
        self._absent_until_s: dict[str, float] = {}
        # Outdated objects and when to read them again.
        self._outdated_by_name: dict[str, tuple[ports.StoredObject, float]] = {}
        self._era = 0
        self._restored_at_s = float('-inf')
        self._store_availability = store_availability
        self._retried_at_s = float('-inf')
        self.is_synchronized = False

    async def on_start(self) -> None:
        """Starts the watch loop."""
        self.spawn_loop(self._watch_continuously)

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        if isinstance(message, ports.Changes):
            self._apply(message)
        elif isinstance(message, messages.Tick):
            self._handle_times()

    async def _watch_continuously(self) -> None:
        revision = 0
        has_failed = False
        while True:
            try:
                changes = await self._watch(revision, has_failed)
            except errors.HistoryLostError:
                logs.event('watch.history_lost', prefix=self._reader.prefix)
                revision = 0
                if not self._may_retry_at_once():
                    await asyncio.sleep(PROBE_INTERVAL_S)
            except errors.StoreError:
                await self._wait_after_failure()
                has_failed = True
            else:
                has_failed = False
                revision = changes.revision
                self.post(changes)
                if changes.objects or changes.removed_names:
                    await asyncio.sleep(self._reader.batch_delay_s)

    async def _watch(self, revision: int, has_failed: bool) -> ports.Changes:
        """Waits for changes; aborts when another call to the store fails.

        Args:
            revision: Revision of the last watch, or 0.
            has_failed: Whether the last watch failed. The store may have been
                restored since, which only an answer shows, so the wait is
                short.
        """
        prefix = self._reader.prefix
        if self._store.is_fed(self._reader.prefix):
            return await self._store.watch(prefix, revision, WATCH_TIMEOUT_S)
        if has_failed or self._store_availability.is_unavailable:
            return await self._store.watch(prefix, revision, PROBE_TIMEOUT_S)
        watch = asyncio.ensure_future(
            self._store.watch(prefix, revision, WATCH_TIMEOUT_S)
        )
        outage = asyncio.ensure_future(
            self._store_availability.wait_until_unavailable()
        )
        try:
            await asyncio.wait(
                (watch, outage), return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done():
                return watch.result()
        finally:
            outage.cancel()
            watch.cancel()
        raise errors.StoreUnavailableError('another call to the store failed')

    def _may_retry_at_once(self) -> bool:
        """Whether the last retry without a pause was some time ago."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._retried_at_s + RETRY_INTERVAL_S:
            return False
        self._retried_at_s = now_s
        return True

    async def _wait_after_failure(self) -> None:
        """Waits until the store answers again; one watch at a time probes it.

        A watch may be cut by a store that is available, so the first probe
        comes at once. Probes are cheap calls; a watch is not.
        """
        pause_s = PROBE_INTERVAL_S * (0.75 + 0.5 * random.random())
        if not self._may_retry_at_once():
            await asyncio.sleep(pause_s)
        with self._store_availability.claim_probe() as is_prober:
            if is_prober:
                while not (
                    self._store.is_fed(self._reader.prefix)
                    or await self._is_store_answering()
                ):
                    await asyncio.sleep(pause_s)
                return
        while self._store_availability.is_unavailable:
            if self._store.is_fed(self._reader.prefix):
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._store_availability.wait_until_available()

    async def _is_store_answering(self) -> bool:
        try:
            await self._store.read_stale(documents.PROBE_NAME)
        except errors.ObjectNotFoundError:
            return True
        except errors.StoreError:
            return False
        return True

    def _apply(self, changes: ports.Changes) -> None:
        self._observe_era(changes.revision)
        changed = not self.is_synchronized
        self.is_synchronized = True
        for stored in changes.objects:
            changed |= self._update_object(stored)
        removed_names = set(changes.removed_names)
        if changes.complete:
            present = {stored.name for stored in changes.objects}
            known = set(self._values_by_name) | set(self._outdated_by_name)
            removed_names |= known - present
        for name in removed_names:
            self._outdated_by_name.pop(name, None)
            changed |= self._remove(name)
        if changed:
            self._notify_subscribers()

    def _observe_era(self, revision: int) -> None:
        era = ports.era_of(revision)
        if era <= self._era:
            return
        self._era = era
        if self.is_synchronized:
            now_s = self._clock.now_s()
            self._restored_at_s = now_s
            self._reader.begin_era(revision, now_s)
            logs.event('watch.restored', prefix=self._reader.prefix, era=era)

    def _update_object(self, stored: ports.StoredObject) -> bool:
        name = stored.name
        if self._versions_by_name.get(name, 0) >= stored.version:
            return False
        known = self._values_by_name.get(name)
        now_s = self._clock.now_s()
        try:
            value = self._reader.reconcile(
                self._reader.read(stored), stored.version, known, now_s
            )
        except OutdatedObjectError as error:
            self._delay_outdated(stored, error, now_s)
            return self._remove(name)
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
        self._outdated_by_name.pop(name, None)
        self._values_by_name[name] = value
        return known != value

    def _delay_outdated(
        self, stored: ports.StoredObject, error: Exception, now_s: float
    ) -> None:
        logs.event(
            'object.outdated',
            name=stored.name,
            version=stored.version,
            error=str(error),
        )
        limit_s = self._reader.outdated_limit_s
        self._outdated_by_name[stored.name] = stored, now_s + limit_s
        self.post_later(limit_s + 0.01, messages.Tick())

    def _remove(self, name: str) -> bool:
        if name not in self._values_by_name or name in self._absent_until_s:
            return False
        now_s = self._clock.now_s()
        until_s = ABSENCE_GRACE_S + max(
            self._store_availability.recovered_at_s, self._restored_at_s
        )
        if self._reader.may_expire and now_s < until_s:
            # Objects expire during an outage, and a restored store lacks what
            # was written last; most are written again at once.
            self._absent_until_s[name] = until_s
            self.post_later(until_s - now_s, messages.Tick())
            return False
        logs.event('object.removed', name=name)
        self._drop(name, now_s)
        return True

    def _drop(self, name: str, now_s: float) -> None:
        self._reader.record_removal(self._values_by_name.pop(name), now_s)
        self._versions_by_name.pop(name, None)

    def _handle_times(self) -> None:
        """Removes and reads again what is due."""
        now_s = self._clock.now_s()
        changed = False
        for stored, until_s in list(self._outdated_by_name.values()):
            if until_s <= now_s:
                del self._outdated_by_name[stored.name]
                changed |= self._update_object(stored)
        for name, until_s in list(self._absent_until_s.items()):
            if until_s <= now_s + 0.01:
                del self._absent_until_s[name]
                logs.event(
                    'object.removed', name=name, reason='not written again'
                )
                if name in self._values_by_name:
                    self._drop(name, now_s)
                    changed = True
        if changed:
            self._notify_subscribers()

    def _notify_subscribers(self) -> None:
        built = self._reader.build_message(dict(self._values_by_name))
        if built is None:
            return
        built_messages = built if isinstance(built, list) else [built]
        for message in built_messages:
            for subscriber in self._subscribers:
                subscriber.post(message)
