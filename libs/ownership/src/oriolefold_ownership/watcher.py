"""Task that watches the store and notifies other tasks of new versions."""

import abc
import asyncio
import json
import random
from collections.abc import Sequence
from typing import Any

from oriolefold_coordination import notices as coordination_notices
from oriolefold_coordination import shardmap
from oriolefold_core import errors, tasks
from oriolefold_ownership import guardrecords, messages, names
from oriolefold_store import ports, updates
from oriolefold_telemetry import logs

WATCH_TIMEOUT_S = 20.0
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class _Changed:
    """Message: the watch has returned objects."""

    def __init__(self, objects: tuple[ports.StoredObject, ...]):
        self.objects = objects


class ConfigurationReader(abc.ABC):
    """Reads the configuration document; its format is unknown here."""

    @abc.abstractmethod
    def read(self, document: updates.Document) -> None:
        """Decodes a new version and sends it to the tasks that use it.

        Raises:
            ConfigurationError: If the document is invalid.
        """


class Watcher(tasks.Task):
    """Owns the long-polling watch of this daemon.

    A watch may skip, repeat or delay versions. An object is passed on only if
    its version is newer than the last one, so no subscriber gets an older
    version after a newer one.
    """

    def __init__(
        self,
        store: ports.Store,
        configuration_reader: ConfigurationReader,
        map_subscribers: Sequence[tasks.Task],
    ):
        """Initializes the task.

        Args:
            store: Port to the store.
            configuration_reader: Reader of the configuration document.
            map_subscribers: Tasks that get each new shard map.
        """
        super().__init__('watcher')
        self._store = store
        self._configuration_reader = configuration_reader
        self._map_subscribers = map_subscribers
        self._planner: tasks.Task | None = None
        self._guard_subscribers: Sequence[tasks.Task] = ()
        self._versions_by_name: dict[str, int] = {}
        self._guards_by_vm_id: dict[str, shardmap.Guard] = {}

    def connect(
        self, planner: tasks.Task, guard_subscribers: Sequence[tasks.Task]
    ) -> None:
        """Sets the planner and the tasks that are notified of guards."""
        self._planner = planner
        self._guard_subscribers = guard_subscribers

    async def on_start(self) -> None:
        """Starts the watch."""
        self.spawn_loop(self._watch)

    async def handle(self, message: Any) -> None:
        """Handles objects from the watch and maps written by the planner."""
        match message:
            case _Changed():
                for stored in message.objects:
                    self._apply(stored)
            case messages.MapStored():
                name = names.map_name(message.shard_map.service_id)
                if self._is_newer(name, message.version):
                    self._publish_map(message)

    async def _watch(self) -> None:
        revision = 0
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                changes = await self._store.watch('', revision, WATCH_TIMEOUT_S)
                self.post(_Changed(changes.objects))
                revision = changes.revision
                backoff_s = MIN_BACKOFF_S
            except errors.StoreError as error:
                logs.event('store.watch_failed', error=str(error))
                await asyncio.sleep(backoff_s * (0.5 + random.random()))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    def _apply(self, stored: ports.StoredObject) -> None:
        try:
            document = updates.to_document(stored)
            if stored.name.startswith(names.MAP_PREFIX):
                self._apply_map(document)
            elif self._is_newer(document.name, document.version):
                self._apply_configuration_or_guard(document)
        except errors.ConfigurationError as error:
            # The last valid version stays active. A corrected object has a new
            # version, which the watch returns.
            logs.event('object.invalid', name=stored.name, error=str(error))

    def _is_newer(self, name: str, version: int) -> bool:
        if version <= self._versions_by_name.get(name, 0):
            return False
        self._versions_by_name[name] = version
        return True

    def _apply_map(self, document: updates.Document) -> None:
        if not self._is_newer(document.name, document.version):
            return
        shard_map = shardmap.from_record(
            json.loads(document.body), document.name
        )
        self._publish_map(messages.MapStored(document.version, shard_map))

    def _publish_map(self, stored: messages.MapStored) -> None:
        self._planner.post(stored)
        for subscriber in self._map_subscribers:
            subscriber.post(coordination_notices.MapUpdated(stored.shard_map))

    def _apply_configuration_or_guard(self, document: updates.Document) -> None:
        if document.name == names.CONFIGURATION:
            self._configuration_reader.read(document)
        elif document.name.startswith(names.GUARD_PREFIX):
            vm_id = document.name.removeprefix(names.GUARD_PREFIX)
            guard = guardrecords.decode(document.body, document.name)
            self._guards_by_vm_id[vm_id] = guard
            notice = coordination_notices.GuardsUpdated(
                dict(self._guards_by_vm_id)
            )
            for subscriber in self._guard_subscribers:
                subscriber.post(notice)
