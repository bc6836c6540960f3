"""State and promises that a VM keeps as a guard of other homes.

A home holds its lease as long as either of its two guards renews it. The
standby takes over only after its own promise has ended and the witness, whose
promise has ended too, has voted for the takeover. From then on both reject the
home's heartbeats, so at most one of home and standby can hold the lease.

A guard that has restarted has lost its promises. It therefore rejects
heartbeats for the length of a promise. After that it joins an epoch only when
the home proves that it holds the lease at that moment or has just begun the
epoch.
"""

import dataclasses

from oriolefold_coordination import lease, messages

MAX_FORMER_INCARNATIONS = 16


@dataclasses.dataclass(slots=True)
class GuardedHome:
    """State that a guard keeps of one home.

    Attributes:
        heartbeat: The last accepted heartbeat.
        promised_until_s: Time before which no takeover may happen.
        voted: Whether this guard, as witness, has agreed to a takeover.
        taken_over: Whether this guard, as standby, has taken over.
        retired: Whether the home has left this epoch.
        former_incarnations: Earlier processes of the home, newest first.
    """

    heartbeat: messages.Heartbeat
    promised_until_s: float
    voted: bool = False
    taken_over: bool = False
    retired: bool = False
    former_incarnations: tuple[str, ...] = ()

    @property
    def closed(self) -> bool:
        """Whether the home can no longer renew its lease in this epoch."""
        return self.voted or self.taken_over or self.retired


class GuardedHomes:
    """All homes that a VM guards.

    Attributes:
        by_home_id: State of each guarded home.
    """

    def __init__(
        self, vm_id: str, nonce: str, terms: lease.Terms, now_s: float
    ):
        """Starts without any state.

        Args:
            vm_id: This VM.
            nonce: Identity of this process. It is disclosed to homes only
                after the initial period in which heartbeats are rejected.
            terms: Durations of the protocol.
            now_s: Current time.
        """
        self._vm_id = vm_id
        self._nonce = nonce
        self._terms = terms
        self._accept_from_s = now_s + terms.promise_s
        self.by_home_id: dict[str, GuardedHome] = {}

    def answer_heartbeat(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> messages.HeartbeatReply:
        """Answers a heartbeat and renews the promise if it is accepted."""
        guarded = self.by_home_id.get(heartbeat.home_id)
        verdict = self._verdict(guarded, heartbeat, now_s)
        known = guarded.heartbeat if guarded is not None else None
        if known is not None and known.guard_epoch != heartbeat.guard_epoch:
            # State from another epoch would mislead the home.
            known = None
        if verdict is not messages.Verdict.ACCEPTED:
            return self._reply(verdict, known)
        self.by_home_id[heartbeat.home_id] = self._accepted_state(
            guarded, heartbeat, now_s
        )
        kept = self.by_home_id[heartbeat.home_id].heartbeat
        return self._reply(verdict, kept)

    def _accepted_state(self, guarded, heartbeat, now_s) -> GuardedHome:
        promised_until_s = now_s
        if not heartbeat.ended:
            promised_until_s += self._terms.promise_s
        if (
            guarded is None
            or guarded.heartbeat.guard_epoch != heartbeat.guard_epoch
        ):
            return GuardedHome(heartbeat, promised_until_s)
        former = guarded.former_incarnations
        known = guarded.heartbeat
        if not heartbeat.established:
            heartbeat = dataclasses.replace(heartbeat, active=known.active)
        if known.incarnation != heartbeat.incarnation:
            former = (known.incarnation, *former)[:MAX_FORMER_INCARNATIONS]
            knowledge = known.knowledge.latest(heartbeat.knowledge)
            heartbeat = dataclasses.replace(heartbeat, knowledge=knowledge)
        return GuardedHome(
            heartbeat, promised_until_s, former_incarnations=former
        )

    def _verdict(self, guarded, heartbeat, now_s) -> messages.Verdict:
        if guarded is None:
            return self._first_verdict(heartbeat, now_s)
        known = guarded.heartbeat
        if heartbeat.guard_epoch < known.guard_epoch:
            return messages.Verdict.OUTDATED
        if heartbeat.guard_epoch > known.guard_epoch:
            return self._first_verdict(heartbeat, now_s)
        if guarded.closed:
            return messages.Verdict.TAKEN_OVER
        if heartbeat.incarnation in guarded.former_incarnations:
            return messages.Verdict.OUTDATED
        if heartbeat.incarnation == known.incarnation:
            # A delayed heartbeat must not restore outdated knowledge.
            if heartbeat.sequence <= known.sequence:
                return messages.Verdict.OUTDATED
        # The previous process may still run, so its lease has to expire.
        elif now_s < guarded.promised_until_s:
            return messages.Verdict.WAIT
        return messages.Verdict.ACCEPTED

    def _first_verdict(self, heartbeat, now_s) -> messages.Verdict:
        """Returns the verdict on a heartbeat of an epoch without state here."""
        # The previous process of this guard may have voted for a takeover just
        # before it ended, while the home still claimed to hold the lease.
        if now_s < self._accept_from_s:
            return messages.Verdict.WAIT
        # A delayed heartbeat may date from that period; one that quotes the
        # nonce was sent after it.
        if heartbeat.established and heartbeat.nonce == self._nonce:
            return messages.Verdict.ACCEPTED
        return messages.Verdict.NO_MEMORY

    def _reply(self, verdict, known) -> messages.HeartbeatReply:
        has_no_state = verdict is messages.Verdict.NO_MEMORY
        nonce = self._nonce if has_no_state else ''
        knowledge = known.knowledge if known else messages.Knowledge()
        active = known is not None and known.active
        return messages.HeartbeatReply(verdict, nonce, active, knowledge)

    def vote(
        self, request: messages.VoteRequest, now_s: float
    ) -> messages.VoteReply:
        """Answers the vote request of a standby as the witness of a home."""
        guarded = self.by_home_id.get(request.home_id)
        if guarded is None or not self._may_vote(guarded, request, now_s):
            return messages.VoteReply(False)
        guarded.voted = True
        return messages.VoteReply(True, guarded.heartbeat.knowledge)

    def _may_vote(self, guarded, request, now_s) -> bool:
        known = guarded.heartbeat
        return (
            known.guard_epoch == request.guard_epoch
            and known.standby_id == request.standby_id
            and known.witness_id == self._vm_id
            and not guarded.retired
            and now_s >= guarded.promised_until_s
        )

    def due_takeovers(self, now_s: float) -> list[messages.VoteRequest]:
        """Returns vote requests for the homes that this VM should take over."""
        return [
            messages.VoteRequest(
                home_id, guarded.heartbeat.guard_epoch, self._vm_id
            )
            for home_id, guarded in self.by_home_id.items()
            if self._takeover_is_due(guarded, now_s)
        ]

    def _takeover_is_due(self, guarded: GuardedHome, now_s: float) -> bool:
        return (
            guarded.heartbeat.standby_id == self._vm_id
            and guarded.heartbeat.active
            and not guarded.closed
            and now_s >= guarded.promised_until_s
        )

    def take_over(
        self,
        request: messages.VoteRequest,
        vote: messages.VoteReply,
        now_s: float,
    ) -> messages.Heartbeat | None:
        """Closes the epoch of a home after the witness has voted.

        Returns:
            The last heartbeat with the newest knowledge of the two guards, or
            None if the vote was rejected or the home has renewed its lease or
            left the epoch.
        """
        guarded = self.by_home_id.get(request.home_id)
        if not vote.granted or guarded is None:
            return None
        if (
            guarded.heartbeat.guard_epoch != request.guard_epoch
            or guarded.retired
        ):
            return None
        if now_s < guarded.promised_until_s:
            return None
        guarded.taken_over = True
        knowledge = guarded.heartbeat.knowledge.latest(vote.knowledge)
        return dataclasses.replace(guarded.heartbeat, knowledge=knowledge)

    def knowledge_of(self, home_id: str) -> messages.Knowledge:
        """Returns the knowledge that this guard keeps of a home."""
        guarded = self.by_home_id.get(home_id)
        return guarded.heartbeat.knowledge if guarded else messages.Knowledge()

    def close_epoch(self, home_id: str, guard_epoch: int) -> None:
        """Prevents takeovers of a home in epochs up to the given one."""
        guarded = self.by_home_id.get(home_id)
        if guarded is not None and guarded.heartbeat.guard_epoch <= guard_epoch:
            guarded.retired = True
