"""Recovers the rows of a home that has begun a new epoch.

The former standbys are asked one after another to hand the rows back. A VM
that has lost its state cannot tell whether it held them; if it did, its own
standby has taken them over and is asked next.
"""

from oriolefold_coordination import messages, shardmap


class Reclaim:
    """Hand-back requests of one epoch, sent to one VM after another.

    Attributes:
        vm_id: VM that is being asked, or empty when all have answered.
        request: The request.
        knowledge: Merged knowledge from the replies so far.
    """

    def __init__(self, home_id: str, guard: shardmap.Guard):
        """Starts with the former standbys of the new guard record."""
        self._pending_ids = list(guard.former_standby_ids)
        self._asked = {home_id}
        self.request = messages.HandBackRequest(home_id, guard.epoch - 1)
        self.knowledge = messages.Knowledge()
        self.vm_id = ''
        self._next()

    def next_request(self) -> messages.HandBackRequest | None:
        """Returns the request for `vm_id`, or None if all have answered."""
        return self.request if self.vm_id else None

    def handle_reply(
        self,
        reply: messages.HandBackReply | None,
        guards_by_vm_id: dict[str, shardmap.Guard],
    ) -> bool:
        """Handles a reply.

        Args:
            reply: The reply, or None if there was none.
            guards_by_vm_id: Guards as recorded in the store.

        Returns:
            Whether to proceed at once; otherwise the same VM is asked again.
        """
        status = messages.HandBackStatus
        if reply is None or reply.custody is status.DRAINING:
            return False
        if reply.custody is status.NO_MEMORY:
            self._ask_successors(guards_by_vm_id)
        else:
            self.knowledge = self.knowledge.with_facts_of(reply.knowledge)
            self._next()
        return True

    def _ask_successors(self, guards_by_vm_id) -> None:
        guard = guards_by_vm_id.get(self.vm_id)
        if guard is not None:
            self._pending_ids = [
                guard.standby_id,
                *guard.former_standby_ids,
                *self._pending_ids,
            ]
        self._next()

    def _next(self) -> None:
        self.vm_id = ''
        while self._pending_ids and not self.vm_id:
            candidate = self._pending_ids.pop(0)
            if candidate and candidate not in self._asked:
                self._asked.add(candidate)
                self.vm_id = candidate
