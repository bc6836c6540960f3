"""In-memory instances for tests and embedding."""

import asyncio
import dataclasses

from oriolefold_backend import ports
from oriolefold_core import data, errors


@dataclasses.dataclass(slots=True)
class MemoryInstance:
    """State of one instance.

    Attributes:
        up: Whether it answers at all.
        state: State that it reports in health checks.
        checks_tokens: Whether it refuses requests with a stale fencing token.
        delay_s: Time that a request takes.
        tokens_by_shard: Highest token granted for each shard.
        revoked: Shards and tokens of revoked grants.
        ran: IDs of the requests that ran, in order.
        nonces_by_sender_id: Nonce that the next batch of a sender must quote.
    """

    up: bool = True
    state: ports.HealthState = ports.HealthState.OK
    checks_tokens: bool = True
    delay_s: float = 0.0
    tokens_by_shard: dict[int, int] = dataclasses.field(default_factory=dict)
    revoked: set[tuple[int, int]] = dataclasses.field(default_factory=set)
    ran: list[str] = dataclasses.field(default_factory=list)
    nonces_by_sender_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )


class MemoryBackend(ports.Backend):
    """Runs requests on in-memory instances.

    Attributes:
        instances_by_id: State of each instance, created on first use.
    """

    def __init__(self):
        self.instances_by_id: dict[str, MemoryInstance] = {}

    def instance(self, instance_id: str) -> MemoryInstance:
        """Returns the state of an instance."""
        return self.instances_by_id.setdefault(instance_id, MemoryInstance())

    async def send(
        self,
        instance: data.Instance,
        request: data.Request,
        remaining_ms: int,
        permit: ports.Permit,
    ) -> data.Answer:
        """Runs the request and echoes its body."""
        state = self._reach(instance)
        if not permit.is_valid():
            raise errors.NoOwnerError('the send lease has expired')
        fence = permit.fence
        if fence is not None and state.checks_tokens:
            if (fence.shard, fence.token) in state.revoked:
                raise errors.StaleTokenError(f'token {fence.token} is revoked')
            if fence.token != state.tokens_by_shard.get(fence.shard):
                raise errors.StaleTokenError(f'token {fence.token} is not held')
        state.ran.append(request.request_id)
        if state.delay_s:
            await asyncio.sleep(state.delay_s)
        if not state.up:
            raise errors.OutcomeUnknownError('instance lost during the request')
        return data.Answer(200, (), request.body, instance.instance_id)

    async def grant(
        self, instance: data.Instance, batch: ports.GrantBatch
    ) -> ports.GrantReply:
        """Accepts the grants whose tokens are not lower than those held."""
        state = self._reach(instance)
        nonce = state.nonces_by_sender_id.setdefault(batch.sender_id, 1)
        if batch.nonce != str(nonce):
            return ports.GrantReply(str(nonce), False)
        nonce += 1
        state.nonces_by_sender_id[batch.sender_id] = nonce
        for fence in batch.revoked:
            if state.tokens_by_shard.get(fence.shard) == fence.token:
                state.revoked.add((fence.shard, fence.token))
        refused = []
        for fence in batch.fences:
            held = state.tokens_by_shard.get(fence.shard, -1)
            if fence.token < held:
                refused.append(ports.Fence(fence.shard, held))
            else:
                state.tokens_by_shard[fence.shard] = fence.token
                state.revoked.discard((fence.shard, fence.token))
        return ports.GrantReply(str(nonce), True, tuple(refused))

    async def health(self, instance: data.Instance) -> ports.HealthState:
        """Returns the configured health state."""
        return self._reach(instance).state

    def _reach(self, instance: data.Instance) -> MemoryInstance:
        state = self.instance(instance.instance_id)
        if not state.up:
            raise errors.UnreachableError(f'{instance.instance_id} is down')
        return state
