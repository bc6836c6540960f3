"""What a VM knows and promises as a guard of other homes.

A home holds its right to send by a lease that either of its two guards can
prolong. The standby takes over only after its own promise has ended and the
witness, whose promise has ended too, has voted for it; from then on both refuse
the home. So at most one of home and standby can hold the right.

A guard that has lost its memory does not know what it promised. It therefore
keeps silent for the length of a promise, and then takes no part in an epoch
until the home shows that it holds the lease at that moment or has just begun
the epoch itself.
"""

import dataclasses

from oriolefold_coordination import lease, messages

MAX_FORMER_INCARNATIONS = 16


@dataclasses.dataclass(slots=True)
class Ward:
    """What a guard keeps of one home.

    Attributes:
        heartbeat: The last heartbeat that was accepted.
        promised_until_s: Time before which no takeover may happen.
        voted: Whether this guard, as witness, agreed to a takeover.
        taken_over: Whether this guard, as standby, has begun to act.
        retired: Whether the home has left this epoch.
        former_incarnations: Processes of the home that a later one replaced.
    """

    heartbeat: messages.Heartbeat
    promised_until_s: float
    voted: bool = False
    taken_over: bool = False
    retired: bool = False
    former_incarnations: tuple[str, ...] = ()

    @property
    def closed(self) -> bool:
        """Whether the home can no longer renew in this epoch."""
        return self.voted or self.taken_over or self.retired


class WardBook:
    """All homes that a VM guards.

    Attributes:
        wards_by_home_id: What is kept of each home.
    """

    def __init__(
        self, vm_id: str, nonce: str, terms: lease.Terms, now_s: float
    ):
        """Makes an empty book.

        Args:
            vm_id: This VM.
            nonce: Identity of this process; no home learns it before the
                silence at the start is over.
            terms: Lengths of time.
            now_s: Present time.
        """
        self._vm_id = vm_id
        self._nonce = nonce
        self._terms = terms
        self._silent_until_s = now_s + terms.promise_s
        self.wards_by_home_id: dict[str, Ward] = {}

    def heartbeat(
        self, beat: messages.Heartbeat, now_s: float
    ) -> messages.HeartbeatReply:
        """Answers a heartbeat and renews the promise if it is accepted."""
        ward = self.wards_by_home_id.get(beat.home_id)
        verdict = self._verdict(ward, beat, now_s)
        known = ward.heartbeat if ward is not None else None
        if known is not None and known.guard_epoch != beat.guard_epoch:
            # What belongs to another epoch would mislead the home.
            known = None
        if verdict is not messages.Verdict.ACCEPTED:
            return self._reply(verdict, known)
        self.wards_by_home_id[beat.home_id] = self._accepted(ward, beat, now_s)
        kept = self.wards_by_home_id[beat.home_id].heartbeat
        return self._reply(verdict, kept)

    def _accepted(self, ward, beat, now_s) -> Ward:
        promised_until_s = now_s
        if not beat.ended:
            promised_until_s += self._terms.promise_s
        if ward is None or ward.heartbeat.guard_epoch != beat.guard_epoch:
            return Ward(beat, promised_until_s)
        former = ward.former_incarnations
        known = ward.heartbeat
        if not beat.established:
            beat = dataclasses.replace(beat, active=known.active)
        if known.incarnation != beat.incarnation:
            former = (known.incarnation, *former)[:MAX_FORMER_INCARNATIONS]
            knowledge = known.knowledge.latest(beat.knowledge)
            beat = dataclasses.replace(beat, knowledge=knowledge)
        return Ward(beat, promised_until_s, former_incarnations=former)

    def _verdict(self, ward, beat, now_s) -> messages.Verdict:
        if ward is None:
            return self._first_verdict(beat, now_s)
        known = ward.heartbeat
        if beat.guard_epoch < known.guard_epoch:
            return messages.Verdict.OUTDATED
        if beat.guard_epoch > known.guard_epoch:
            return self._first_verdict(beat, now_s)
        if ward.closed:
            return messages.Verdict.TAKEN_OVER
        if beat.incarnation in ward.former_incarnations:
            return messages.Verdict.OUTDATED
        if beat.incarnation == known.incarnation:
            # A late heartbeat must not bring back what the home then knew.
            if beat.sequence <= known.sequence:
                return messages.Verdict.OUTDATED
        # The process before may not have ended, so its lease has to lapse.
        elif now_s < ward.promised_until_s:
            return messages.Verdict.WAIT
        return messages.Verdict.ACCEPTED

    def _first_verdict(self, beat, now_s) -> messages.Verdict:
        # The process before this one may have voted against the home shortly
        # before its end, when the home could still believe that it holds.
        if now_s < self._silent_until_s:
            return messages.Verdict.WAIT
        # A heartbeat that was sent before that may come late; one that quotes
        # the nonce was sent after the silence.
        if beat.established and beat.nonce == self._nonce:
            return messages.Verdict.ACCEPTED
        return messages.Verdict.NO_MEMORY

    def _reply(self, verdict, known) -> messages.HeartbeatReply:
        forgot = verdict is messages.Verdict.NO_MEMORY
        nonce = self._nonce if forgot else ''
        knowledge = known.knowledge if known else messages.Knowledge()
        active = known is not None and known.active
        return messages.HeartbeatReply(verdict, nonce, active, knowledge)

    def vote(
        self, request: messages.VoteRequest, now_s: float
    ) -> messages.VoteReply:
        """Answers a standby as the witness of a home."""
        ward = self.wards_by_home_id.get(request.home_id)
        if ward is None or not self._may_vote(ward, request, now_s):
            return messages.VoteReply(False)
        ward.voted = True
        return messages.VoteReply(True, ward.heartbeat.knowledge)

    def _may_vote(self, ward, request, now_s) -> bool:
        known = ward.heartbeat
        return (
            known.guard_epoch == request.guard_epoch
            and known.standby_id == request.standby_id
            and known.witness_id == self._vm_id
            and not ward.retired
            and now_s >= ward.promised_until_s
        )

    def due_takeovers(self, now_s: float) -> list[messages.VoteRequest]:
        """Returns the votes to ask for, as standby of homes that are silent."""
        return [
            messages.VoteRequest(
                home_id, ward.heartbeat.guard_epoch, self._vm_id
            )
            for home_id, ward in self.wards_by_home_id.items()
            if self._takeover_is_due(ward, now_s)
        ]

    def _takeover_is_due(self, ward: Ward, now_s: float) -> bool:
        return (
            ward.heartbeat.standby_id == self._vm_id
            and ward.heartbeat.active
            and not ward.closed
            and now_s >= ward.promised_until_s
        )

    def take_over(
        self,
        request: messages.VoteRequest,
        vote: messages.VoteReply,
        now_s: float,
    ) -> messages.Heartbeat | None:
        """Closes the epoch of a home after the witness has agreed.

        Returns:
            The last heartbeat with the newest knowledge that the two guards
            have, or None if the home has come back meanwhile.
        """
        ward = self.wards_by_home_id.get(request.home_id)
        if not vote.granted or ward is None:
            return None
        if ward.heartbeat.guard_epoch != request.guard_epoch or ward.retired:
            return None
        if now_s < ward.promised_until_s:
            return None
        ward.taken_over = True
        knowledge = ward.heartbeat.knowledge.latest(vote.knowledge)
        return dataclasses.replace(ward.heartbeat, knowledge=knowledge)

    def knowledge_of(self, home_id: str) -> messages.Knowledge:
        """Returns what this guard keeps of a home."""
        ward = self.wards_by_home_id.get(home_id)
        return ward.heartbeat.knowledge if ward else messages.Knowledge()

    def close_epoch(self, home_id: str, guard_epoch: int) -> None:
        """Makes sure that no takeover of a home happens in an epoch."""
        ward = self.wards_by_home_id.get(home_id)
        if ward is not None and ward.heartbeat.guard_epoch <= guard_epoch:
            ward.retired = True
