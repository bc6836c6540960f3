"""Task that watches the store and tells the others what is in force."""

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
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0


class _Changed:
    """Message: the watch has returned objects."""

    def __init__(self, objects: tuple[ports.StoredObject, ...]):
        self.objects = objects


class ConfigurationReader(abc.ABC):
    """Reads the configuration document, whose form this library ignores."""

    @abc.abstractmethod
    def read(self, document: updates.Document) -> None:
        """Passes a newer configuration on.

        Raises:
            ConfigurationError: If the document is invalid.
        """


class Watcher(tasks.Task):
    """Owns the one waiting watch of this daemon.

    A watch may drop, repeat or lag. Each object is passed on only in a version
    that is newer than the one before, so nothing in force ever goes back.
    """

    def __init__(
        self,
        store: ports.Store,
        configuration_reader: ConfigurationReader,
        map_subscribers: Sequence[tasks.Task],
    ):
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
        """Sets the planner and the tasks that learn of guards."""
        self._planner = planner
        self._guard_subscribers = guard_subscribers

    async def on_start(self) -> None:
        """Starts to watch."""
        self.spawn(self._watch())

    async def handle(self, message: Any) -> None:
        """Handles what the watch, or the planner, has found."""
        match message:
            case _Changed():
                for stored in message.objects:
                    self._take(stored)
            case messages.MapStored():
                name = names.map_name(message.shard_map.service_id)
                if self._is_newer(name, message.version):
                    self._publish_map(message)

    async def _watch(self) -> None:
        revision = 0
        pause_s = FIRST_PAUSE_S
        while True:
            try:
                changes = await self._store.watch('', revision, WATCH_TIMEOUT_S)
                self.post(_Changed(changes.objects))
                revision = changes.revision
                pause_s = FIRST_PAUSE_S
            except errors.StoreError as error:
                logs.event('store.watch_failed', error=str(error))
                await asyncio.sleep(pause_s * (0.5 + random.random()))
                pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    def _take(self, stored: ports.StoredObject) -> None:
        try:
            document = updates.opened(stored)
            if stored.name.startswith(names.MAP_PREFIX):
                self._take_map(document)
            elif self._is_newer(document.name, document.version):
                self._take_other(document)
        except errors.ConfigurationError as error:
            # What is in force stays so; the object can be repaired and is then
            # read again in its next version.
            logs.event('object.invalid', name=stored.name, error=str(error))

    def _is_newer(self, name: str, version: int) -> bool:
        if version <= self._versions_by_name.get(name, 0):
            return False
        self._versions_by_name[name] = version
        return True

    def _take_map(self, document: updates.Document) -> None:
        if not self._is_newer(document.name, document.version):
            return
        shard_map = shardmap.from_record(
            json.loads(document.body), document.name
        )
        self._publish_map(messages.MapStored(document.version, shard_map))

    def _publish_map(self, stored: messages.MapStored) -> None:
        self._planner.post(stored)
        for subscriber in self._map_subscribers:
            subscriber.post(coordination_notices.MapInForce(stored.shard_map))

    def _take_other(self, document: updates.Document) -> None:
        if document.name == names.CONFIGURATION:
            self._configuration_reader.read(document)
        elif document.name.startswith(names.GUARD_PREFIX):
            vm_id = document.name.removeprefix(names.GUARD_PREFIX)
            guard = guardrecords.decode(document.body, document.name)
            self._guards_by_vm_id[vm_id] = guard
            notice = coordination_notices.GuardsKnown(
                dict(self._guards_by_vm_id)
            )
            for subscriber in self._guard_subscribers:
                subscriber.post(notice)
