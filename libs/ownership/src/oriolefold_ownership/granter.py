"""Task that grants shards to servers and keeps the grants alive."""

import dataclasses
from typing import Any

from oriolefold_backend import ports
from oriolefold_core import clock, data, errors, notices, tasks
from oriolefold_ownership import messages

GRANT_TTL_S = 1.2  # Lease of a server, counted from the issue of its nonce.
RENEW_INTERVAL_S = 0.3
QUIET_LIMIT_S = 0.75  # Without an accepted grant a server counts as quiet.
CLOCK_DRIFT = 0.02


class _Renew:
    """Message: time to renew the grants of a server."""

    def __init__(self, instance_id: str):
        self.instance_id = instance_id


class _Lapsed:
    """Message: the leases of a server may have lapsed by now."""

    def __init__(self, instance_id: str):
        self.instance_id = instance_id


class _Replied:
    """Message: a server has answered a batch of grants, or has not."""

    def __init__(self, instance_id: str, batch, reply):
        self.instance_id = instance_id
        self.batch = batch
        self.reply = reply


@dataclasses.dataclass(slots=True)
class _Server:
    """What the granter keeps of a server.

    Attributes:
        instance: The server.
        tokens_by_shard: Token to grant by service and shard.
        confirmed_by_shard: Token that the server has accepted.
        ending_by_shard: Token to revoke by service and shard.
        nonce: Nonce to quote next, empty before the first reply.
        nonce_received_s: When the nonce came; it was issued before.
        lease_ends_s: Time by which every lease at the server has lapsed.
        answered_s: When the server last accepted a batch.
        calling: Whether a call is under way.
        urgent: Whether another call is to follow at once.
        timer_set: Whether a renewal is due later anyway.
    """

    instance: data.Instance
    answered_s: float
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
    lease_ends_s: float = float('-inf')
    calling: bool = False
    urgent: bool = False
    timer_set: bool = False


class Granter(tasks.Task):
    """Owns the grants of this VM at all servers."""

    def __init__(
        self,
        sender_id: str,
        backend: ports.Backend,
        time: clock.Clock,
        keeper: tasks.Task,
    ):
        """Makes the task.

        Args:
            sender_id: Identity of this process, by which servers tell nonces.
            backend: Port to the servers.
            time: Clock that leases are counted on.
            keeper: Task that learns what was granted and what has ended.
        """
        super().__init__('granter')
        self._sender_id = sender_id
        self._backend = backend
        self._clock = time
        self._keeper = keeper
        self._instances_by_id: dict[str, data.Instance] = {}
        self._servers_by_id: dict[str, _Server] = {}

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.GrantWanted():
                self._want(message)
            case messages.GrantDropped():
                self._drop(message)
            case _Renew():
                self._renew(message.instance_id)
            case _Lapsed():
                self._check_lapsed(message.instance_id)
            case _Replied():
                self._take(message)
            case notices.ConfigurationInForce():
                self._instances_by_id = {
                    instance_id: instance
                    for service in (
                        message.configuration.register.services_by_id.values()
                    )
                    for instance_id, instance in service.instances_by_id.items()
                }

    def _want(self, wanted: messages.GrantWanted) -> None:
        server = self._servers_by_id.get(wanted.instance_id)
        if server is None:
            instance = self._instances_by_id.get(wanted.instance_id)
            if instance is None:
                return
            server = _Server(instance, self._clock.now_s())
            self._servers_by_id[wanted.instance_id] = server
        if not server.tokens_by_shard:
            server.answered_s = self._clock.now_s()
        shard = (wanted.service_id, wanted.fence.shard)
        server.tokens_by_shard[shard] = wanted.fence.token
        server.confirmed_by_shard.pop(shard, None)
        server.urgent = True
        self._call(server)

    def _drop(self, dropped: messages.GrantDropped) -> None:
        server = self._servers_by_id.get(dropped.instance_id)
        shard = (dropped.service_id, dropped.shard)
        if server is None or shard not in server.tokens_by_shard:
            self._end(dropped.instance_id, shard)
            return
        server.confirmed_by_shard.pop(shard, None)
        server.ending_by_shard[shard] = server.tokens_by_shard.pop(shard)
        server.urgent = True
        self._call(server)
        self._check_lapsed(dropped.instance_id)

    def _check_lapsed(self, instance_id: str) -> None:
        """Ends grants without the server, at the latest when they lapse."""
        server = self._servers_by_id.get(instance_id)
        if server is None or not server.ending_by_shard:
            return
        left_s = server.lease_ends_s - self._clock.now_s()
        if left_s > 0:
            self.post_later(left_s, _Lapsed(instance_id))
            return
        ending, server.ending_by_shard = server.ending_by_shard, {}
        for shard in ending:
            self._end(instance_id, shard)

    def _end(self, instance_id: str, shard: tuple[str, int]) -> None:
        service_id, number = shard
        ended = messages.GrantEnded(instance_id, service_id, number)
        self._keeper.post(ended)

    def _renew(self, instance_id: str) -> None:
        server = self._servers_by_id.get(instance_id)
        if server is None:
            return
        server.timer_set = False
        if server.tokens_by_shard or server.ending_by_shard:
            self._call(server)
        elif not server.calling:
            del self._servers_by_id[instance_id]

    def _call(self, server: _Server) -> None:
        if server.calling:
            return
        server.calling = True
        server.urgent = False
        batch = self._batch(server)
        if batch.nonce and batch.fences:
            self._extend(server)
        self.spawn(self._grant(server, batch))

    def _batch(self, server: _Server) -> ports.GrantBatch:
        service_id = server.instance.service_id
        return ports.GrantBatch(
            self._sender_id,
            service_id,
            server.nonce,
            int(GRANT_TTL_S * 1000),
            _fences(server.tokens_by_shard),
            _fences(server.ending_by_shard),
        )

    async def _grant(self, server: _Server, batch: ports.GrantBatch) -> None:
        reply = None
        try:
            reply = await self._backend.grant(server.instance, batch)
        except errors.OriolefoldError:
            reply = None
        finally:
            instance_id = server.instance.instance_id
            self.post(_Replied(instance_id, batch, reply))

    def _extend(self, server: _Server) -> None:
        # Whether or not the answer comes, the server may take the grant, whose
        # lease counts from the issue of the nonce.
        lapse_s = server.nonce_received_s + GRANT_TTL_S * (1 + CLOCK_DRIFT)
        server.lease_ends_s = max(server.lease_ends_s, lapse_s)

    def _take(self, replied: _Replied) -> None:
        server = self._servers_by_id.get(replied.instance_id)
        if server is None:
            return
        server.calling = False
        now_s = self._clock.now_s()
        reply = replied.reply
        if reply is None:
            self._check_quiet(server, now_s)
            self._later(server)
            return
        server.nonce = reply.next_nonce
        server.nonce_received_s = now_s
        if not reply.accepted:
            # The server did not know the nonce: it was restarted, or it is the
            # first call. The next call quotes the one that it has issued now.
            server.confirmed_by_shard.clear()
            self._call(server)
            return
        server.answered_s = now_s
        self._confirm(server, replied.batch, reply)
        if server.urgent:
            self._call(server)
        else:
            self._later(server)

    def _confirm(self, server: _Server, batch, reply) -> None:
        instance_id = server.instance.instance_id
        refused = {fence.shard for fence in reply.refused}
        for fence in batch.fences:
            shard = (batch.service_id, fence.shard)
            wanted = server.tokens_by_shard.get(shard) == fence.token
            known = server.confirmed_by_shard.get(shard) == fence.token
            if wanted and not known and fence.shard not in refused:
                server.confirmed_by_shard[shard] = fence.token
                self._keeper.post(
                    messages.Granted(instance_id, batch.service_id, fence)
                )
        for fence in batch.revoked:
            shard = (batch.service_id, fence.shard)
            if server.ending_by_shard.get(shard) == fence.token:
                del server.ending_by_shard[shard]
                self._end(instance_id, shard)

    def _check_quiet(self, server: _Server, now_s: float) -> None:
        if not server.tokens_by_shard:
            return
        if now_s - server.answered_s < QUIET_LIMIT_S:
            return
        quiet = messages.InstanceQuiet(server.instance.instance_id)
        self._keeper.post(quiet)

    def _later(self, server: _Server) -> None:
        if server.timer_set:
            return
        server.timer_set = True
        instance_id = server.instance.instance_id
        delay_s = RENEW_INTERVAL_S
        unconfirmed = len(server.confirmed_by_shard) < len(
            server.tokens_by_shard
        )
        if unconfirmed or server.ending_by_shard:
            delay_s /= 4
        self.post_later(delay_s, _Renew(instance_id))


def _fences(
    tokens_by_shard: dict[tuple[str, int], int],
) -> tuple[ports.Fence, ...]:
    return tuple(
        ports.Fence(shard, token)
        for (_, shard), token in tokens_by_shard.items()
    )
