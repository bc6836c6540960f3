"""Gets shards released by their prior homes."""

import asyncio
import contextlib

from oriolefold_coordination import messages as lease_messages
from oriolefold_coordination import shardmap
from oriolefold_core import errors, tasks
from oriolefold_ownership import messages
from oriolefold_peer import messages as peer_messages

RETRY_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 0.5
MAX_CHAIN = 8  # Standbys of standbys that are asked for one home.


class Acquirer:
    """Asks whoever holds the right of a prior home to release shards."""

    def __init__(self, vm_id: str, peers: tasks.Task):
        self._vm_id = vm_id
        self._peers = peers
        self._guards_by_vm_id: dict[str, shardmap.Guard] = {}

    def know_guards(self, guards_by_vm_id: dict[str, shardmap.Guard]) -> None:
        """Takes the guards that are recorded in the store."""
        self._guards_by_vm_id = guards_by_vm_id

    async def acquire(
        self,
        shard_map: shardmap.ShardMap,
        epochs_by_shard: dict[int, int],
        keeper: tasks.Task,
    ) -> None:
        """Asks until every prior home of every shard has released it.

        Args:
            shard_map: Map that names this VM as the new home.
            epochs_by_shard: Shards to acquire, with the epochs of their rows.
            keeper: Task that gets a `ShardsAcquired` for each part.
        """
        open_by_shard = {
            shard: set(shard_map.rows[shard].prior_home_ids)
            for shard in epochs_by_shard
        }
        while open_by_shard:
            prior_ids = {
                home for homes in open_by_shard.values() for home in homes
            }
            for prior_id in sorted(prior_ids):
                await self._ask_for(shard_map, prior_id, open_by_shard)
            done = [i for i, homes in open_by_shard.items() if not homes]
            for shard in done:
                del open_by_shard[shard]
            if done:
                keeper.post(
                    messages.ShardsAcquired(
                        shard_map.service_id,
                        {shard: epochs_by_shard[shard] for shard in done},
                    )
                )
            if open_by_shard:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _ask_for(self, shard_map, prior_id, open_by_shard) -> None:
        wanted = tuple(
            i for i, homes in open_by_shard.items() if prior_id in homes
        )
        request = lease_messages.ReleaseRequest(
            shard_map.service_id, shard_map.epoch, prior_id, wanted
        )
        chain = shardmap.standby_chain(
            prior_id, self._guards_by_vm_id, MAX_CHAIN
        )
        for vm_id in chain:
            with contextlib.suppress(errors.OriolefoldError, TimeoutError):
                reply = await self._call(vm_id, request)
                if reply.authoritative:
                    for shard in reply.released:
                        open_by_shard[shard].discard(prior_id)
                    return

    async def _call(self, vm_id: str, request) -> lease_messages.ReleaseReply:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await self._peers.ask(peer_messages.CallPeer(vm_id, request))
