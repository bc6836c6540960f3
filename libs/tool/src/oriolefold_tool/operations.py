"""What operators do with the store and the daemons."""

import dataclasses
import json
from urllib import parse

from oriolefold_config import documents
from oriolefold_core import data, errors
from oriolefold_http import client
from oriolefold_store import http as store_http
from oriolefold_store import updates

CONFIGURATION_NAME = 'configuration/current'
CALL_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """Result of an `apply`.

    Attributes:
        version: Version that is now current.
        changed: Whether this call made it.
    """

    version: int
    changed: bool


def check(folder: str) -> data.Configuration:
    """Reads and validates the documents of a folder.

    Raises:
        ConfigurationError: With everything that was found wrong.
    """
    return documents.validate(documents.read_folder(folder))


async def apply(
    folder: str,
    store_address: data.Address,
    expected_version: int | None = None,
) -> Applied:
    """Writes the documents of a folder to the store.

    Args:
        folder: Folder with `register.yaml` and `rules.yaml`.
        store_address: Where the store is.
        expected_version: Version that must be current, or None for any that is
            current now.

    Raises:
        ConfigurationError: If the documents are invalid.
        VersionConflictError: If another version is current.
        StoreError: If the store does not answer.
    """
    parsed = documents.read_folder(folder)
    documents.validate(parsed)
    body = documents.encode(parsed)
    store = store_http.HttpStore(store_address)
    try:
        before = await updates.read(store, CONFIGURATION_NAME)
        if expected_version is not None and before.version != expected_version:
            raise errors.VersionConflictError(
                f'version {before.version} is current, not {expected_version}'
            )
        if before.body == body:
            return Applied(before.version, False)
        after = await updates.replace(store, before, body)
        return Applied(after.version, True)
    finally:
        await store.close()


async def ask_daemon(
    address: data.Address, path: str, arguments: dict[str, str]
) -> dict:
    """Asks the admin interface of a daemon.

    Raises:
        UnreachableError: If the daemon does not answer.
        RequestError: If it refuses the question.
    """
    caller = client.HttpClient(max_clients=1)
    query = parse.urlencode(arguments)
    try:
        response = await caller.call(
            'GET',
            f'http://{address}{path}?{query}',
            timeout_s=CALL_TIMEOUT_S,
            connect_timeout_s=CALL_TIMEOUT_S,
        )
    except errors.OutcomeUnknownError as error:
        raise errors.UnreachableError(error.message) from error
    finally:
        caller.close()
    record = json.loads(response.body)
    if response.code != 200:
        raise errors.RequestError(f'{record["category"]}: {record["message"]}')
    return record
