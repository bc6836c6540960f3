"""Port to the object store of the platform."""

import abc
import dataclasses

MAX_CONTENT_BYTES = 1_000_000
NEW_OBJECT = 0  # Expected version of an object that must not exist yet.


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the store holds it.

    Attributes:
        name: Name of the object.
        version: Rises with each write of the object, from 1.
        content: The value.
    """

    name: str
    version: int
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What a watch returns.

    Attributes:
        revision: Revision of the whole store to watch from next.
        objects: Objects that changed, each in its newest version.
        removed_names: Objects that were removed.
        complete: Whether `objects` holds every object of the prefix, so that
            those not in it are gone.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    removed_names: tuple[str, ...] = ()
    complete: bool = False


class Store(abc.ABC):
    """Versioned objects with conditional updates and watches.

    Every method raises `StoreUnavailableError` if the store cannot be reached
    and `StoreBudgetError` if it refuses a call over its rate limit.
    """

    @abc.abstractmethod
    async def read(self, name: str) -> StoredObject:
        """Reads an object.

        Raises:
            ObjectNotFoundError: If there is none of that name.
        """

    @abc.abstractmethod
    async def write(
        self, name: str, content: bytes, expected_version: int
    ) -> int:
        """Writes an object if its version is the expected one.

        Args:
            name: Name of the object.
            content: New value of at most `MAX_CONTENT_BYTES`.
            expected_version: Present version, or `NEW_OBJECT`.

        Returns:
            The new version.

        Raises:
            VersionConflictError: If the object has another version.
            StoreAnswerLostError: If the write may have taken effect.
        """

    @abc.abstractmethod
    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> Changes:
        """Waits for changes after a revision; 0 returns all objects at once.

        A watch may return a change again or late, so a reader has to compare
        versions. After the timeout it returns without objects.

        Raises:
            HistoryLostError: If the changes since the revision are not kept.
        """

    async def read_stale(self, name: str) -> StoredObject:
        """Reads an object that may be seconds old, at a lower cost."""
        return await self.read(name)

    async def close(self) -> None:
        """Releases the connections."""
