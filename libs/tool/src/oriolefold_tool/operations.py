"""Operations on configuration documents, the store and the daemons."""

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
class ApplyResult:
    """Result of an `apply`.

    Attributes:
        version: Current version after the call.
        changed: Whether the call wrote a new version.
    """

    version: int
    changed: bool


async def apply(
    folder: str,
    store_address: data.Address,
    expected_version: int | None = None,
) -> ApplyResult:
    """Validates the documents in a folder and writes them to the store.

    Args:
        folder: Folder with `register.yaml` and `rules.yaml`.
        store_address: Address of the store.
        expected_version: Version that must be current, or None for any.

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
            return ApplyResult(before.version, False)
        after = await updates.replace(store, before, body)
        return ApplyResult(after.version, True)
    finally:
        await store.close()


async def query_daemon(
    address: data.Address, path: str, arguments: dict[str, str]
) -> dict:
    """Sends a GET request to the admin interface of a daemon.

    Raises:
        UnreachableError: If the daemon does not respond.
        RequestError: If the daemon responds with an error.
    """
    http_client = client.HttpClient(max_clients=1)
    query = parse.urlencode(arguments)
    try:
        response = await http_client.call(
            'GET',
            f'http://{address}{path}?{query}',
            timeout_s=CALL_TIMEOUT_S,
            connect_timeout_s=CALL_TIMEOUT_S,
        )
    except errors.OutcomeUnknownError as error:
        raise errors.UnreachableError(error.message) from error
    finally:
        http_client.close()
    record = json.loads(response.body)
    if response.code != 200:
        raise errors.RequestError(f'{record["category"]}: {record["message"]}')
    return record
