"""Acquires shards from their prior homes.

The home of a shard is the only VM that sends to its owner. A new home may send
only after every prior home has released the shard.
"""

import asyncio
import contextlib

from oriolefold_coordination import messages as lease_messages
from oriolefold_coordination import shardmap
from oriolefold_core import errors, tasks
from oriolefold_ownership import messages
from oriolefold_peer import messages as peer_messages

RETRY_INTERVAL_S = 0.02
CALL_TIMEOUT_S = 0.5
# Limit on the VMs asked about one home: the home, its standby, the standby of
# that VM and so on.
MAX_STANDBY_CHAIN = 8


class Acquirer:
    """Asks prior homes, or the VMs acting for them, to release shards."""

    def __init__(self, vm_id: str, peers: tasks.Task):
        self._vm_id = vm_id
        self._peers = peers
        self._guards_by_vm_id: dict[str, shardmap.Guard] = {}

    def update_guards(self, guards_by_vm_id: dict[str, shardmap.Guard]) -> None:
        """Replaces the known guards by those recorded in the store."""
        self._guards_by_vm_id = guards_by_vm_id

    async def acquire(
        self,
        shard_map: shardmap.ShardMap,
        epochs_by_shard: dict[int, int],
        shard_manager: tasks.Task,
    ) -> None:
        """Repeats the requests until every prior home released its shards.

        Args:
            shard_map: Map that names this VM as the new home.
            epochs_by_shard: Shards to acquire, with the epochs of their rows.
            shard_manager: Task that gets a `ShardsAcquired` for each batch.
        """
        prior_ids_by_shard = {
            shard: set(shard_map.rows[shard].prior_home_ids)
            for shard in epochs_by_shard
        }
        while prior_ids_by_shard:
            unreleased_ids = {
                prior_id
                for prior_ids in prior_ids_by_shard.values()
                for prior_id in prior_ids
            }
            for prior_id in sorted(unreleased_ids):
                await self._request_release(
                    shard_map, prior_id, prior_ids_by_shard
                )
            released = [
                shard
                for shard, prior_ids in prior_ids_by_shard.items()
                if not prior_ids
            ]
            for shard in released:
                del prior_ids_by_shard[shard]
            if released:
                shard_manager.post(
                    messages.ShardsAcquired(
                        shard_map.service_id,
                        {shard: epochs_by_shard[shard] for shard in released},
                    )
                )
            if prior_ids_by_shard:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _request_release(
        self, shard_map, prior_id, prior_ids_by_shard
    ) -> None:
        shards = tuple(
            shard
            for shard, prior_ids in prior_ids_by_shard.items()
            if prior_id in prior_ids
        )
        request = lease_messages.ReleaseRequest(
            shard_map.service_id, shard_map.epoch, prior_id, shards
        )
        chain = shardmap.standby_chain(
            prior_id, self._guards_by_vm_id, MAX_STANDBY_CHAIN
        )
        for vm_id in chain:
            with contextlib.suppress(errors.OriolefoldError, TimeoutError):
                reply = await self._call(vm_id, request)
                if reply.authoritative:
                    for shard in reply.released:
                        prior_ids_by_shard[shard].discard(prior_id)
                    return

    async def _call(self, vm_id: str, request) -> lease_messages.ReleaseReply:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            return await self._peers.ask(peer_messages.CallPeer(vm_id, request))
