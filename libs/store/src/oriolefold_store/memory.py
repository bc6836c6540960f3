"""In-memory store for tests and embedding."""

import asyncio

from oriolefold_core import errors
from oriolefold_store import ports


class MemoryStore(ports.Store):
    """Keeps objects in a dict.

    Attributes:
        down: Whether every call fails, as in an outage.
        answers_to_lose: Number of next writes that take effect but report a
            lost answer.
        reads: Number of reads and watches so far.
        writes: Number of writes so far.
    """

    def __init__(self):
        self.down = False
        self.answers_to_lose = 0
        self.reads = 0
        self.writes = 0
        self._revision = 0
        self._objects_by_name: dict[str, ports.StoredObject] = {}
        self._revisions_by_name: dict[str, int] = {}
        self._changed = asyncio.Condition()

    async def read(self, name: str) -> ports.StoredObject:
        """Reads an object."""
        self.reads += 1
        self._check_up()
        if name not in self._objects_by_name:
            raise errors.ObjectNotFoundError(
                f'the store has no object {name!r}'
            )
        return self._objects_by_name[name]

    async def write(
        self, name: str, content: bytes, expected_version: int
    ) -> int:
        """Writes an object if its version is the expected one."""
        self.writes += 1
        self._check_up()
        if len(content) > ports.MAX_CONTENT_BYTES:
            raise errors.StoreError(
                f'{name}: {len(content)} bytes exceed the size limit'
            )
        current = self._objects_by_name.get(name)
        version = current.version if current else ports.NEW_OBJECT
        if version != expected_version:
            raise errors.VersionConflictError(
                f'{name} has version {version}, not {expected_version}'
            )
        stored = ports.StoredObject(name, version + 1, content)
        async with self._changed:
            self._revision += 1
            self._objects_by_name[name] = stored
            self._revisions_by_name[name] = self._revision
            self._changed.notify_all()
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise errors.StoreAnswerLostError(
                f'{name}: the answer to the write was lost'
            )
        return stored.version

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> ports.Changes:
        """Waits for changes after a revision."""
        self.reads += 1
        self._check_up()
        if after_revision > self._revision:
            # The client has seen a later revision, as after a restore of the
            # store, so all objects are returned again.
            after_revision = 0
        async with self._changed:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._changed.wait_for(
                        lambda: self._newer(prefix, after_revision)
                    )
            except TimeoutError:
                return ports.Changes(self._revision, ())
        self._check_up()
        return ports.Changes(
            self._revision, tuple(self._newer(prefix, after_revision))
        )

    def _newer(self, prefix: str, after: int) -> list[ports.StoredObject]:
        return [
            self._objects_by_name[name]
            for name, revision in self._revisions_by_name.items()
            if revision > after and name.startswith(prefix)
        ]

    def _check_up(self) -> None:
        if self.down:
            raise errors.StoreUnavailableError('the store is down')
