"""Adapter that reaches instances over HTTP, with Tornado's curl client."""

import json

from tornado import httputil

from oriolefold_backend import headers, ports
from oriolefold_core import bytebudget, data, errors, results
from oriolefold_http import client

CONNECT_TIMEOUT_S = 0.5
CONTROL_TIMEOUT_S = 0.5
HEALTH_TIMEOUT_S = 0.3
# The client allocates all of its curl handles at the start, about 5 KB each.
MAX_SENDS = 256
MAX_CONTROL_CALLS = 64

_BODY_METHODS = frozenset({'POST', 'PUT', 'PATCH'})


class HttpBackend(ports.Backend):
    """Sends requests, grants and health checks over HTTP."""

    def __init__(self, budget: bytebudget.ByteBudget | None = None):
        """Initializes the adapter.

        Args:
            budget: Budget of the bytes of incomplete responses; by default
                each client has its own.
        """
        self._client = client.HttpClient(MAX_SENDS, budget)
        # A separate client, so that grants and probes do not queue behind the
        # requests of callers.
        self._control_client = client.HttpClient(MAX_CONTROL_CALLS, budget)

    async def send(
        self,
        instance: data.Instance,
        request: data.Request,
        remaining_ms: int,
        permit: ports.Permit,
    ) -> data.Answer:
        """Sends one request and returns the complete answer."""
        has_body = request.method in _BODY_METHODS or bool(request.body)
        lease_expired = False

        def may_send() -> bool:
            nonlocal lease_expired
            lease_expired = not permit.is_valid()
            return not lease_expired

        try:
            response = await self._client.call(
                request.method,
                f'http://{instance.address}{request.target}',
                timeout_s=remaining_ms / 1000,
                connect_timeout_s=min(CONNECT_TIMEOUT_S, remaining_ms / 1000),
                headers=_outgoing(request, remaining_ms, permit.fence),
                body=request.body if has_body else None,
                at_most_once=not request.idempotent,
                may_send=may_send,
            )
        except errors.OriolefoldError as error:
            if lease_expired and isinstance(error, errors.UnreachableError):
                text = 'the send lease has expired'
                raise errors.NoOwnerError(text) from error
            error.message = f'{instance.instance_id}: {error.message}'
            raise
        if results.NOT_RUN_HEADER in response.headers:
            raise _rejection(response, instance)
        return data.Answer(
            response.code,
            headers.forwarded(response.headers.get_all()),
            response.body,
            instance.instance_id,
        )

    async def grant(
        self, instance: data.Instance, batch: ports.GrantBatch
    ) -> ports.GrantReply:
        """Grants shards to a server that owns keys."""
        body = json.dumps(
            {
                'sender': batch.sender_id,
                'service': batch.service_id,
                'nonce': batch.nonce,
                'ttl_ms': batch.ttl_ms,
                'grants': [
                    [fence.shard, fence.token] for fence in batch.fences
                ],
                'revoked': [
                    [fence.shard, fence.token] for fence in batch.revoked
                ],
            }
        )
        response = await self._control(
            'POST', instance, '/ownership/grants', CONTROL_TIMEOUT_S, body
        )
        if response.code != 200:
            raise errors.ProtocolError(
                f'{instance.instance_id}: grant failed with status '
                f'{response.code}'
            )
        return _grant_reply(response.body, instance)

    async def health(self, instance: data.Instance) -> ports.HealthState:
        """Asks an instance for its state."""
        try:
            response = await self._control(
                'GET', instance, '/health', HEALTH_TIMEOUT_S
            )
        except errors.OutcomeUnknownError as error:
            raise errors.UnreachableError(error.message) from error
        if response.code != 200:
            raise errors.UnreachableError(
                f'{instance.instance_id}: health status {response.code}'
            )
        try:
            return ports.HealthState(json.loads(response.body)['state'])
        except (ValueError, KeyError, TypeError) as error:
            raise errors.UnreachableError(
                f'{instance.instance_id}: invalid health response'
            ) from error

    async def _control(self, method, instance, path, timeout_s, body=None):
        return await self._control_client.call(
            method,
            f'http://{instance.address}{path}',
            timeout_s=timeout_s,
            connect_timeout_s=timeout_s,
            body=body,
        )

    async def close(self) -> None:
        """Releases the connections."""
        self._client.close()
        self._control_client.close()


def _outgoing(request, remaining_ms, fence) -> dict | httputil.HTTPHeaders:
    # With a plain dict the client checks each header once instead of twice, but
    # a dict cannot hold repeated headers.
    outgoing = dict(request.headers)
    if len(outgoing) != len(request.headers):
        outgoing = httputil.HTTPHeaders()
        for name, value in request.headers:
            outgoing.add(name, value)
    outgoing.pop('Host', None)
    outgoing[results.REQUEST_ID_HEADER] = request.request_id
    outgoing[results.DEADLINE_HEADER] = str(remaining_ms)
    if fence is not None:
        outgoing[results.SHARD_HEADER] = str(fence.shard)
        outgoing[results.TOKEN_HEADER] = str(fence.token)
    return outgoing


def _rejection(response, instance) -> errors.NotRunError:
    message = (
        f'{instance.instance_id} rejected the request with status '
        f'{response.code}'
    )
    if response.code == 409:
        return errors.StaleTokenError(message)
    return errors.OverloadedError(message)


def _grant_reply(body: bytes, instance) -> ports.GrantReply:
    try:
        record = json.loads(body)
        refused = tuple(
            ports.Fence(int(shard), int(token))
            for shard, token in record['refused']
        )
        return ports.GrantReply(
            str(record['next_nonce']), bool(record['accepted']), refused
        )
    except (ValueError, KeyError, TypeError) as error:
        raise errors.ProtocolError(
            f'{instance.instance_id}: invalid grant reply'
        ) from error
