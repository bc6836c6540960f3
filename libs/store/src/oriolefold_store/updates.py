"""Conditional updates that survive a lost answer."""

import asyncio
import dataclasses
import random
import uuid

from oriolefold_core import errors
from oriolefold_store import envelopes, ports

RESOLVE_ATTEMPTS = 8
RESOLVE_DELAY_S = 0.25  # Mean pause before the outcome is read again.


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A stored JSON document.

    Attributes:
        name: Name of the object.
        version: Version of the object, or `NEW_OBJECT` if there is none yet.
        write_ids: Identities of the last writes, the newest first.
        body: JSON text, empty if there is no object yet.
    """

    name: str
    version: int
    write_ids: tuple[str, ...]
    body: bytes


async def read(store: ports.Store, name: str) -> Document:
    """Reads a document; one that is absent has version `NEW_OBJECT`."""
    try:
        stored = await store.read(name)
    except errors.ObjectNotFoundError:
        return Document(name, ports.NEW_OBJECT, (), b'')
    return opened(stored)


def opened(stored: ports.StoredObject) -> Document:
    """Returns the document in a stored object.

    Raises:
        ConfigurationError: If the object holds something else.
    """
    content = envelopes.unseal(stored.content, stored.name)
    return Document(
        stored.name, stored.version, content.write_ids, content.body
    )


async def replace(
    store: ports.Store,
    before: Document,
    body: bytes,
    accept_later: bool = True,
) -> Document:
    """Replaces a document if it is still the one that was read.

    A lost answer is resolved by reading, never by assuming a failure.

    Args:
        store: Where the document is.
        before: The document as it was read.
        body: What it is to hold.
        accept_later: Whether the document of another writer is returned if it
            came after this write, whose answer was lost. A writer that goes on
            from what it wrote must not accept it.

    Raises:
        VersionConflictError: If another writer came first, or, unless that is
            accepted, after.
        StoreAnswerLostError: If the outcome could not be read either.
    """
    write_id = uuid.uuid4().hex
    content = envelopes.seal(body, write_id, before.write_ids)
    try:
        version = await store.write(before.name, content, before.version)
    except errors.StoreAnswerLostError as error:
        now = await _resolve(store, before, write_id, error)
        if not accept_later and now.write_ids[0] != write_id:
            raise errors.VersionConflictError(
                f'{before.name}: version {now.version} is from a later writer'
            ) from error
        return now
    write_ids = (write_id, *before.write_ids)
    return Document(before.name, version, write_ids, body)


async def _resolve(store, before, write_id, lost) -> Document:
    for _ in range(RESOLVE_ATTEMPTS):
        try:
            now = await read(store, before.name)
        except errors.StoreError:
            await asyncio.sleep(RESOLVE_DELAY_S * (0.5 + random.random()))
            continue
        if write_id in now.write_ids:
            return now
        if now.version != before.version:
            raise errors.VersionConflictError(
                f'{before.name}: another writer made version {now.version}'
            ) from lost
        # The version is unchanged, but the write may still be under way, so
        # only a read after a pause proves anything; the next try settles it.
        await asyncio.sleep(RESOLVE_DELAY_S * (0.5 + random.random()))
    raise errors.StoreAnswerLostError(
        f'{before.name}: the outcome of the write could not be read'
    ) from lost
