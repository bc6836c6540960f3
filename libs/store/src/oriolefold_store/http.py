"""Adapter to an object store with an HTTP interface."""

import base64
import json
from urllib import parse

from oriolefold_core import bytebudget, data, errors
from oriolefold_http import client
from oriolefold_store import ports

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
WATCH_GRACE_S = 2.0  # Added to the timeout of a watch for its HTTP call.
MAX_CLIENTS = 8


class HttpStore(ports.Store):
    """Client of the store's HTTP interface."""

    def __init__(
        self,
        address: data.Address,
        budget: bytebudget.ByteBudget | None = None,
    ):
        """Initializes the client.

        Args:
            address: Address of the store.
            budget: Budget of the bytes of incomplete responses; by default
                this client has its own.
        """
        self._base = f'http://{address}'
        self._client = client.HttpClient(MAX_CLIENTS, budget)

    async def read(self, name: str) -> ports.StoredObject:
        """Reads an object."""
        response = await self._call('GET', self._url(name))
        if response.code == 404:
            raise errors.ObjectNotFoundError(
                f'the store has no object {name!r}'
            )
        self._check_status(response, 200)
        version = int(response.headers['ETag'].strip('"'))
        return ports.StoredObject(name, version, response.body)

    async def write(
        self, name: str, content: bytes, expected_version: int
    ) -> int:
        """Writes an object if its version is the expected one."""
        if expected_version == ports.NEW_OBJECT:
            headers = {'If-None-Match': '*'}
        else:
            headers = {'If-Match': f'"{expected_version}"'}
        response = await self._call(
            'PUT', self._url(name), headers=headers, body=content
        )
        if response.code == 412:
            raise errors.VersionConflictError(
                f'{name}: version is no longer {expected_version}'
            )
        if response.code >= 500 and response.code != 503:
            raise errors.StoreAnswerLostError(
                f'the write may have taken effect: status {response.code}'
            )
        self._check_status(response, 200)
        return int(response.headers['ETag'].strip('"'))

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> ports.Changes:
        """Waits for changes after a revision."""
        query = parse.urlencode(
            {
                'prefix': prefix,
                'after': after_revision,
                'timeout_ms': int(timeout_s * 1000),
            }
        )
        response = await self._call(
            'GET',
            f'{self._base}/watch?{query}',
            timeout_s=timeout_s + WATCH_GRACE_S,
        )
        self._check_status(response, 200)
        try:
            return _changes(json.loads(response.body))
        except (KeyError, TypeError, ValueError) as error:
            raise errors.StoreError(
                f'invalid watch response: {error}'
            ) from error

    async def close(self) -> None:
        """Releases the connections."""
        self._client.close()

    def _url(self, name: str) -> str:
        return f'{self._base}/objects/{parse.quote(name)}'

    async def _call(
        self, method, url, headers=None, body=None, timeout_s=CALL_TIMEOUT_S
    ):
        is_write = method == 'PUT'
        try:
            return await self._client.call(
                method,
                url,
                timeout_s=timeout_s,
                connect_timeout_s=CONNECT_TIMEOUT_S,
                headers=headers,
                body=body,
                at_most_once=is_write,
            )
        except errors.OutcomeUnknownError as error:
            if is_write:
                raise errors.StoreAnswerLostError(str(error)) from error
            raise errors.StoreUnavailableError(str(error)) from error
        except errors.UnreachableError as error:
            raise errors.StoreUnavailableError(str(error)) from error

    def _check_status(self, response, code: int) -> None:
        if response.code == code:
            return
        if response.code == 429:
            raise errors.StoreBudgetError(
                'the store rejected the call: rate limit exceeded'
            )
        if response.code == 503:
            raise errors.StoreUnavailableError('the store is unavailable')
        raise errors.StoreError(
            f'the store answered with unexpected status {response.code}'
        )


def _changes(record: dict) -> ports.Changes:
    objects = tuple(
        ports.StoredObject(
            str(item['name']),
            int(item['version']),
            base64.b64decode(item['content']),
        )
        for item in record['objects']
    )
    return ports.Changes(int(record['revision']), objects)
