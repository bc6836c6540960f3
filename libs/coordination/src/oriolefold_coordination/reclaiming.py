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
        self._home_id = home_id
        self._asked: set[str] = set()
        self.request = messages.HandBackRequest(home_id, guard.epoch - 1)
        self.knowledge = messages.Knowledge()
        self.vm_id = ''
        self._next_chain()

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
            self._next_chain()
        return True

    def _follow(self, guards_by_vm_id) -> None:
        guard = guards_by_vm_id.get(self.vm_id)
        following = guard.standby_id if guard else ''
        if not following or following in self._asked:
            self._next_chain()
        else:
            self._ask(following)

    def _next_chain(self) -> None:
        self._asked = {self._home_id}
        self.vm_id = ''
        while self._open_ids and not self.vm_id:
            first = self._open_ids.pop(0)
            if first not in self._asked:
                self._ask(first)

    def _ask(self, vm_id: str) -> None:
        self._asked.add(vm_id)
        self.vm_id = vm_id
