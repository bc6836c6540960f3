"""Finds out who holds the rows of a home that has begun a new epoch."""

from collections.abc import Awaitable, Callable
from typing import Any

from oriolefold_coordination import messages, shardmap

Call = Callable[[str, Any], Awaitable[Any]]


async def reclaim(
    home_id: str,
    guard: shardmap.Guard,
    guards_by_vm_id: dict[str, shardmap.Guard],
    call: Call,
) -> messages.Knowledge | None:
    """Asks the former standbys, and theirs, to hand the rows back.

    A VM that has lost its memory cannot say whether it held them; if it did,
    its own standby has taken them over, so that one is asked next.

    Args:
        home_id: The home.
        guard: Its new guard, which names the former standbys.
        guards_by_vm_id: Guards as recorded in the store.
        call: Sends a message to a VM; None stands for no answer.

    Returns:
        What the holders learned, or None if the question is still open.
    """
    knowledge = messages.Knowledge()
    request = messages.HandBackRequest(home_id, guard.epoch - 1)
    for standby_id in guard.former_standby_ids:
        learned = await _follow(
            home_id, standby_id, request, guards_by_vm_id, call
        )
        if learned is None:
            return None
        knowledge = knowledge.with_facts_of(learned)
    return knowledge


async def _follow(
    home_id, standby_id, request, guards_by_vm_id, call
) -> messages.Knowledge | None:
    asked = {home_id}
    vm_id = standby_id
    while vm_id and vm_id not in asked:
        asked.add(vm_id)
        reply = await call(vm_id, request)
        if reply is None or reply.custody is messages.Custody.DRAINING:
            return None
        if reply.custody is not messages.Custody.NO_MEMORY:
            return reply.knowledge
        guard = guards_by_vm_id.get(vm_id)
        vm_id = guard.standby_id if guard else ''
    return messages.Knowledge()
