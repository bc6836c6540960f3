"""Conditional updates (compare-and-swap) that resolve lost answers."""

import asyncio
import dataclasses
import random
import uuid

from oriolefold_core import errors
from oriolefold_store import envelopes, ports

RESOLVE_ATTEMPTS = 8
RESOLVE_DELAY_S = 0.25  # Mean delay before the next attempt, with jitter.


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A stored JSON document.

    Attributes:
        name: Name of the object.
        version: Version of the object, or `NEW_OBJECT` if there is none yet.
        write_ids: IDs of the last writes, newest first.
        body: JSON text, empty if there is no object yet.
    """

    name: str
    version: int
    write_ids: tuple[str, ...]
    body: bytes


async def read(store: ports.Store, name: str) -> Document:
    """Reads a document; a missing one has the version `NEW_OBJECT`."""
    try:
        stored = await store.read(name)
    except errors.ObjectNotFoundError:
        return Document(name, ports.NEW_OBJECT, (), b'')
    return to_document(stored)


def to_document(stored: ports.StoredObject) -> Document:
    """Returns the document that a stored object contains.

    Raises:
        ConfigurationError: If the content is not a valid envelope.
    """
    content = envelopes.unwrap(stored.content, stored.name)
    return Document(
        stored.name, stored.version, content.write_ids, content.body
    )


async def replace(
    store: ports.Store,
    before: Document,
    body: bytes,
    accept_later: bool = True,
) -> Document:
    """Replaces a document if its version is still the one that was read.

    A lost answer is resolved by reading the document again, never by assuming
    that the write failed.

    Args:
        store: Store that holds the document.
        before: The document as it was read.
        body: New JSON text.
        accept_later: Whether to return the document of a later writer if it
            replaced this write, whose answer was lost. A caller that relies on
            its own body being the stored one must pass False.

    Raises:
        VersionConflictError: If another writer came first, or, without
            `accept_later`, replaced this write.
        StoreAnswerLostError: If reading the outcome failed as well.
    """
    write_id = uuid.uuid4().hex
    content = envelopes.wrap(body, write_id, before.write_ids)
    try:
        version = await store.write(before.name, content, before.version)
    except errors.StoreAnswerLostError as error:
        current = await _resolve(store, before, write_id, error)
        if not accept_later and current.write_ids[0] != write_id:
            raise errors.VersionConflictError(
                f'{before.name}: a later writer wrote version {current.version}'
            ) from error
        return current
    write_ids = (write_id, *before.write_ids)
    return Document(before.name, version, write_ids, body)


async def _resolve(store, before, write_id, lost_answer) -> Document:
    for _ in range(RESOLVE_ATTEMPTS):
        try:
            current = await read(store, before.name)
        except errors.StoreError:
            await asyncio.sleep(RESOLVE_DELAY_S * (0.5 + random.random()))
            continue
        if write_id in current.write_ids:
            return current
        if current.version != before.version:
            raise errors.VersionConflictError(
                f'{before.name}: another writer wrote version {current.version}'
            ) from lost_answer
        # The version is unchanged, but the write may still be in flight, so the
        # document is read again after a delay.
        await asyncio.sleep(RESOLVE_DELAY_S * (0.5 + random.random()))
    raise errors.StoreAnswerLostError(
        f'{before.name}: the outcome of the write is unknown'
    ) from lost_answer
