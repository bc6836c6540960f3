"""Task that grants shards to servers and renews the grants.

A grant is a lease with a fencing token. The server issues a nonce with each
reply, and the lease of a batch counts from the issue of the nonce it quotes, so
a delayed batch cannot extend a lease beyond what the granter assumes.
"""

import dataclasses
from typing import Any

from oriolefold_backend import ports
from oriolefold_core import clock, data, errors, notices, tasks
from oriolefold_ownership import messages

GRANT_TTL_S = 1.2  # Counted from when the server issued the nonce.
RENEW_INTERVAL_S = 0.3
UNRESPONSIVE_AFTER_S = 0.75  # Time without an accepted batch.
MAX_CLOCK_DRIFT = 0.02  # Fraction by which a server's clock may run slower.


class _Renew:
    """Message: the renewal of the grants of a server is due."""

    def __init__(self, instance_id: str):
        self.instance_id = instance_id


class _LeaseExpired:
    """Message: the leases of a server may have expired."""

    def __init__(self, instance_id: str):
        self.instance_id = instance_id


class _Replied:
    """Message: a grant call has ended; `reply` is None if it failed."""

    def __init__(self, instance_id: str, batch, reply):
        self.instance_id = instance_id
        self.batch = batch
        self.reply = reply


@dataclasses.dataclass(slots=True)
class _Server:
    """State of the grants at one server.

    Attributes:
        instance: The server.
        accepted_s: When the server last accepted a batch.
        tokens_by_shard: Token to grant by service and shard.
        confirmed_by_shard: Token that the server has accepted, by service and
            shard.
        ending_by_shard: Token to revoke by service and shard.
        nonce: Nonce to quote next, empty before the first reply.
        nonce_received_s: When the nonce was received; it was issued earlier.
        leases_expire_s: Time by which every lease at the server has expired.
        call_in_flight: Whether a grant call is in progress.
        call_again: Whether another call must follow immediately.
        renewal_scheduled: Whether a renewal is scheduled.
    """

    instance: data.Instance
    accepted_s: float
    tokens_by_shard: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    confirmed_by_shard: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    ending_by_shard: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    nonce: str = ''
    nonce_received_s: float = float('-inf')
    leases_expire_s: float = float('-inf')
    call_in_flight: bool = False
    call_again: bool = False
    renewal_scheduled: bool = False


class Granter(tasks.Task):
    """Owns the grants of this VM at all servers."""

    def __init__(
        self,
        sender_id: str,
        backend: ports.Backend,
        time: clock.Clock,
        shard_manager: tasks.Task,
    ):
        """Initializes the task.

        Args:
            sender_id: Identity of this process; a server issues a
                separate nonce to each process.
            backend: Port to the servers.
            time: Clock that measures the leases.
            shard_manager: Task that is told of accepted and ended grants.
        """
        super().__init__('granter')
        self._sender_id = sender_id
        self._backend = backend
        self._clock = time
        self._shard_manager = shard_manager
        self._instances_by_id: dict[str, data.Instance] = {}
        self._servers_by_id: dict[str, _Server] = {}

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.RequestGrant():
                self._on_request(message)
            case messages.EndGrant():
                self._on_end(message)
            case _Renew():
                self._renew(message.instance_id)
            case _LeaseExpired():
                self._check_expired(message.instance_id)
            case _Replied():
                self._on_reply(message)
            case notices.ConfigurationUpdated():
                self._instances_by_id = {
                    instance_id: instance
                    for service in (
                        message.configuration.register.services_by_id.values()
                    )
                    for instance_id, instance in service.instances_by_id.items()
                }

    def _on_request(self, request: messages.RequestGrant) -> None:
        server = self._servers_by_id.get(request.instance_id)
        if server is None:
            instance = self._instances_by_id.get(request.instance_id)
            if instance is None:
                return
            server = _Server(instance, self._clock.now_s())
            self._servers_by_id[request.instance_id] = server
        if not server.tokens_by_shard:
            server.accepted_s = self._clock.now_s()
        key = (request.service_id, request.fence.shard)
        server.tokens_by_shard[key] = request.fence.token
        server.confirmed_by_shard.pop(key, None)
        server.call_again = True
        self._send_batch(server)

    def _on_end(self, request: messages.EndGrant) -> None:
        server = self._servers_by_id.get(request.instance_id)
        key = (request.service_id, request.shard)
        if server is None or key not in server.tokens_by_shard:
            self._report_ended(request.instance_id, key)
            return
        server.confirmed_by_shard.pop(key, None)
        server.ending_by_shard[key] = server.tokens_by_shard.pop(key)
        server.call_again = True
        self._send_batch(server)
        self._check_expired(request.instance_id)

    def _check_expired(self, instance_id: str) -> None:
        """Ends the grants that could not be revoked, once they have expired."""
        server = self._servers_by_id.get(instance_id)
        if server is None or not server.ending_by_shard:
            return
        left_s = server.leases_expire_s - self._clock.now_s()
        if left_s > 0:
            self.post_later(left_s, _LeaseExpired(instance_id))
            return
        ending, server.ending_by_shard = server.ending_by_shard, {}
        for key in ending:
            self._report_ended(instance_id, key)

    def _report_ended(self, instance_id: str, key: tuple[str, int]) -> None:
        service_id, shard = key
        ended = messages.GrantEnded(instance_id, service_id, shard)
        self._shard_manager.post(ended)

    def _renew(self, instance_id: str) -> None:
        server = self._servers_by_id.get(instance_id)
        if server is None:
            return
        server.renewal_scheduled = False
        if server.tokens_by_shard or server.ending_by_shard:
            self._send_batch(server)
        elif not server.call_in_flight:
            del self._servers_by_id[instance_id]

    def _send_batch(self, server: _Server) -> None:
        if server.call_in_flight:
            return
        server.call_in_flight = True
        server.call_again = False
        batch = self._build_batch(server)
        if batch.nonce and batch.fences:
            self._extend_lease(server)
        self.spawn(self._call_server(server, batch))

    def _build_batch(self, server: _Server) -> ports.GrantBatch:
        service_id = server.instance.service_id
        return ports.GrantBatch(
            self._sender_id,
            service_id,
            server.nonce,
            int(GRANT_TTL_S * 1000),
            _fences(server.tokens_by_shard),
            _fences(server.ending_by_shard),
        )

    async def _call_server(
        self, server: _Server, batch: ports.GrantBatch
    ) -> None:
        reply = None
        try:
            reply = await self._backend.grant(server.instance, batch)
        except errors.OriolefoldError:
            reply = None
        finally:
            instance_id = server.instance.instance_id
            self.post(_Replied(instance_id, batch, reply))

    def _extend_lease(self, server: _Server) -> None:
        # The server may accept the batch even if its reply is lost. Its lease
        # counts from the issue of the nonce, which was before its receipt.
        expires_s = server.nonce_received_s + GRANT_TTL_S * (
            1 + MAX_CLOCK_DRIFT
        )
        server.leases_expire_s = max(server.leases_expire_s, expires_s)

    def _on_reply(self, replied: _Replied) -> None:
        server = self._servers_by_id.get(replied.instance_id)
        if server is None:
            return
        server.call_in_flight = False
        now_s = self._clock.now_s()
        reply = replied.reply
        if reply is None:
            self._check_responsive(server, now_s)
            self._schedule_renewal(server)
            return
        server.nonce = reply.next_nonce
        server.nonce_received_s = now_s
        if not reply.accepted:
            # The server did not know the nonce, because this is the first call
            # or it has restarted. The next call quotes the nonce just issued.
            server.confirmed_by_shard.clear()
            self._send_batch(server)
            return
        server.accepted_s = now_s
        self._confirm(server, replied.batch, reply)
        if server.call_again:
            self._send_batch(server)
        else:
            self._schedule_renewal(server)

    def _confirm(self, server: _Server, batch, reply) -> None:
        instance_id = server.instance.instance_id
        refused = {fence.shard for fence in reply.refused}
        for fence in batch.fences:
            key = (batch.service_id, fence.shard)
            requested = server.tokens_by_shard.get(key) == fence.token
            confirmed = server.confirmed_by_shard.get(key) == fence.token
            if requested and not confirmed and fence.shard not in refused:
                server.confirmed_by_shard[key] = fence.token
                self._shard_manager.post(
                    messages.Granted(instance_id, batch.service_id, fence)
                )
        for fence in batch.revoked:
            key = (batch.service_id, fence.shard)
            if server.ending_by_shard.get(key) == fence.token:
                del server.ending_by_shard[key]
                self._report_ended(instance_id, key)

    def _check_responsive(self, server: _Server, now_s: float) -> None:
        if not server.tokens_by_shard:
            return
        if now_s - server.accepted_s < UNRESPONSIVE_AFTER_S:
            return
        unresponsive = messages.InstanceUnresponsive(
            server.instance.instance_id
        )
        self._shard_manager.post(unresponsive)

    def _schedule_renewal(self, server: _Server) -> None:
        if server.renewal_scheduled:
            return
        server.renewal_scheduled = True
        instance_id = server.instance.instance_id
        delay_s = RENEW_INTERVAL_S
        unconfirmed = len(server.confirmed_by_shard) < len(
            server.tokens_by_shard
        )
        if unconfirmed or server.ending_by_shard:
            # Requests may wait for these changes, so they are retried sooner.
            delay_s /= 4
        self.post_later(delay_s, _Renew(instance_id))


def _fences(
    tokens_by_shard: dict[tuple[str, int], int],
) -> tuple[ports.Fence, ...]:
    return tuple(
        ports.Fence(shard, token)
        for (_, shard), token in tokens_by_shard.items()
    )
