"""Finds out who holds the rows of a home that has begun a new epoch.

The former standbys are asked, one after another. A VM that has lost its memory
cannot say whether it held the rows; if it did, its own standby has taken them
over, so that one is asked next.
"""

from oriolefold_coordination import messages, shardmap


class Reclaim:
    """One round of questions.

    Attributes:
        vm_id: VM that is asked now.
        request: Question that is asked.
        knowledge: What the holders learned so far.
    """

    def __init__(self, home_id: str, guard: shardmap.Guard):
        """Starts with the former standbys of the new guard."""
        self._open_ids = list(guard.former_standby_ids)
        self._asked = {home_id}
        self.request = messages.HandBackRequest(home_id, guard.epoch - 1)
        self.knowledge = messages.Knowledge()
        self.vm_id = ''
        self._next()

    def next_request(self) -> messages.HandBackRequest | None:
        """Returns the question for `vm_id`, or None if all are answered."""
        return self.request if self.vm_id else None

    def take(
        self,
        reply: messages.HandBackReply | None,
        guards_by_vm_id: dict[str, shardmap.Guard],
    ) -> bool:
        """Takes an answer.

        Args:
            reply: The answer, or None if there was none.
            guards_by_vm_id: Guards as recorded in the store.

        Returns:
            Whether to go on at once; otherwise the same VM is asked again.
        """
        custody = messages.Custody
        if reply is None or reply.custody is custody.DRAINING:
            return False
        if reply.custody is custody.NO_MEMORY:
            self._follow(guards_by_vm_id)
        else:
            self.knowledge = self.knowledge.with_facts_of(reply.knowledge)
            self._next()
        return True

    def _follow(self, guards_by_vm_id) -> None:
        guard = guards_by_vm_id.get(self.vm_id)
        if guard is not None:
            self._open_ids = [
                guard.standby_id,
                *guard.former_standby_ids,
                *self._open_ids,
            ]
        self._next()

    def _next(self) -> None:
        self.vm_id = ''
        while self._open_ids and not self.vm_id:
            candidate = self._open_ids.pop(0)
            if candidate and candidate not in self._asked:
                self._asked.add(candidate)
                self.vm_id = candidate
