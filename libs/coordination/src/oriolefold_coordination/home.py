"""How a VM holds its own right to send as a home.

The right lasts as long as a guard accepted a heartbeat not too long ago,
counted from the sending. What the heartbeat says comes into force with it.
"""

import dataclasses
import enum

from oriolefold_coordination import lease, messages, shardmap


class Phase(enum.Enum):
    """How far a home has come since its process started."""

    RESUMING = 'resuming'
    RECLAIMING = 'reclaiming'
    ACTIVE = 'active'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Rows that a VM may send for, by the home that they name.

    Attributes:
        home_id: Home of the rows.
        guard_epoch: Epoch of the guard under which the VM acts.
        role: Whether the VM is the home itself or its standby.
    """

    home_id: str
    guard_epoch: int
    role: shardmap.Role


RESUME_LIMIT_S = 2.0  # Wait for both guards before a new epoch is begun.


class HomeRight:
    """The lease of a home and what is in force under it.

    Attributes:
        guard: The guard under which it acts.
        phase: How far it has come since the process started.
        valid_until_s: Time from which nothing may be sent any more.
        in_force: Knowledge that a guard keeps.
        reclaimed: Whether an epoch of this home has ended without it, so that
            it cannot say what it held before.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: str,
        guard: shardmap.Guard,
        terms: lease.Terms,
        begun_here: bool,
        now_s: float,
    ):
        """Starts to hold the right.

        Args:
            vm_id: The home.
            incarnation: Identity of this process.
            guard: Guard as recorded in the store.
            terms: Lengths of time.
            begun_here: Whether this process has begun the epoch and no other
                process has held the right before.
            now_s: Present time.
        """
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._terms = terms
        self._started_s = now_s
        self._claim_until_s = float('-inf')
        if begun_here:
            self._claim_until_s = now_s + terms.claim_s
        self._sequence = 0
        self._wanted = messages.Knowledge()
        self._accepted_sequence = 0
        self._resumed_sequence = 0
        self._dropped: set[str] = set()
        self._nonces_by_guard_id: dict[str, str] = {}
        self._replies_by_guard_id: dict[str, messages.HeartbeatReply] = {}
        self.guard = guard
        self.phase = Phase.ACTIVE if begun_here else Phase.RESUMING
        self.valid_until_s = float('-inf')
        self.in_force = messages.Knowledge()
        self.reclaimed = bool(guard.former_standby_ids)

    def beat(self, guard_id: str, now_s: float) -> messages.Heartbeat:
        """Returns the next heartbeat to send to a guard.

        A guard without memory believes the home only for a short time after
        its last accepted heartbeat or the beginning of the epoch.
        """
        self._sequence += 1
        return messages.Heartbeat(
            self._vm_id,
            self._incarnation,
            self.guard.epoch,
            self.guard.standby_id,
            self.guard.witness_id,
            established=(
                self.phase is not Phase.RESUMING and now_s < self._claim_until_s
            ),
            active=self.phase is Phase.ACTIVE or self.phase is Phase.ENDED,
            ended=False,
            sequence=self._sequence,
            nonce=self._nonces_by_guard_id.get(guard_id, ''),
            knowledge=self._wanted,
        )

    def step_down(self) -> None:
        """Gives the right up for good."""
        self.phase = Phase.ENDED
        self.valid_until_s = float('-inf')

    def last_beat(self, guard_id: str, now_s: float) -> messages.Heartbeat:
        """Returns the heartbeat that tells the guards of the end."""
        return dataclasses.replace(self.beat(guard_id, now_s), ended=True)

    def learn_nonce(
        self, guard_id: str, reply: messages.HeartbeatReply
    ) -> bool:
        """Takes the nonce of a guard without memory.

        Returns:
            Whether it is new, so that another heartbeat may change the verdict.
        """
        known = self._nonces_by_guard_id.get(guard_id, '')
        if not reply.nonce or reply.nonce == known:
            return False
        self._nonces_by_guard_id[guard_id] = reply.nonce
        return True

    def acknowledge(
        self,
        guard_id: str,
        beat: messages.Heartbeat,
        sent_s: float,
        reply: messages.HeartbeatReply,
    ) -> None:
        """Takes the reply of a guard to a heartbeat."""
        if beat.guard_epoch != self.guard.epoch:
            return
        if self.phase is Phase.ENDED:
            return
        if reply.verdict is messages.Verdict.OUTDATED:
            if beat.sequence < self._sequence:
                # A later heartbeat has overtaken this one.
                return
        self._replies_by_guard_id[guard_id] = reply
        if reply.verdict is not messages.Verdict.ACCEPTED:
            return
        if self.phase is Phase.RESUMING:
            self._resume()
            return
        self._claim_until_s = max(
            self._claim_until_s, sent_s + self._terms.claim_s
        )
        if beat.active and beat.sequence > self._resumed_sequence:
            self._renew(beat, sent_s)

    def _resume(self) -> None:
        """Goes on where the process before ended, once both guards spoke.

        One of them alone may have an older version of the knowledge.
        """
        replies = [
            self._replies_by_guard_id.get(guard_id)
            for guard_id in self.guard.vm_ids
        ]
        known = (messages.Verdict.ACCEPTED, messages.Verdict.NO_MEMORY)
        if any(
            reply is None or reply.verdict not in known for reply in replies
        ):
            return
        accepted = [
            reply
            for reply in replies
            if reply.verdict is messages.Verdict.ACCEPTED
        ]
        for reply in accepted:
            self._wanted = self._wanted.latest(reply.knowledge)
        self._resumed_sequence = self._sequence
        # The process before may have ended while it still reclaimed its rows.
        was_active = any(reply.active for reply in accepted)
        self.phase = Phase.ACTIVE if was_active else Phase.RECLAIMING

    def _renew(self, beat: messages.Heartbeat, sent_s: float) -> None:
        self.valid_until_s = max(
            self.valid_until_s, sent_s + self._terms.duration_s
        )
        if beat.sequence > self._accepted_sequence:
            self._accepted_sequence = beat.sequence
            self.in_force = beat.knowledge

    def stand_alone(self, now_s: float) -> None:
        """Prolongs the right where there is no other VM to guard it."""
        if not self.guard.vm_ids:
            self.phase = Phase.ACTIVE
            self.valid_until_s = now_s + self._terms.duration_s
            self.in_force = self._wanted

    def needs_new_epoch(self, now_s: float) -> bool:
        """Whether the epoch is closed to this process.

        That is so if a guard took part in a takeover, if no guard remembers
        the epoch, or if a guard stays silent while the process resumes.
        """
        if not self.guard.vm_ids or self.phase is Phase.ENDED:
            return False
        verdicts = {
            guard_id: reply.verdict
            for guard_id, reply in self._replies_by_guard_id.items()
        }
        if messages.Verdict.TAKEN_OVER in verdicts.values():
            return now_s >= self.valid_until_s
        if self.phase is Phase.RESUMING:
            if now_s >= self._started_s + RESUME_LIMIT_S:
                return True
        forgotten = (messages.Verdict.NO_MEMORY, messages.Verdict.OUTDATED)
        return all(
            verdicts.get(guard_id) in forgotten
            for guard_id in self.guard.vm_ids
        )

    def begin_epoch(self, guard: shardmap.Guard, now_s: float) -> None:
        """Goes on under a new epoch that the store has accepted.

        The right is inactive until the rows of the old epoch are handed back.
        """
        self.guard = guard
        self.phase = Phase.RECLAIMING
        self.valid_until_s = float('-inf')
        self._claim_until_s = now_s + self._terms.claim_s
        self.in_force = messages.Knowledge()
        self.reclaimed = True
        self._dropped = set()
        self._replies_by_guard_id = {}
        self._change(
            dataclasses.replace(self._wanted, acted_epochs_by_home_id={})
        )

    def activate(self, learned: messages.Knowledge) -> None:
        """Ends the reclaiming: nobody else holds the rows any more."""
        self._change(self._wanted.with_facts_of(learned))
        self.phase = Phase.ACTIVE

    def want_lost(self, instance_id: str, epoch: int) -> None:
        """Gives an instance up for rows up to an epoch."""
        added = messages.Knowledge(lost_epochs_by_id={instance_id: epoch})
        self._change(self._wanted.with_facts_of(added))

    def want_map(self, service_id: str, epoch: int) -> None:
        """Acts on a shard map of an epoch."""
        added = messages.Knowledge(map_epochs_by_service_id={service_id: epoch})
        self._change(self._wanted.with_facts_of(added))

    def want_acted(self, taken: messages.Heartbeat) -> None:
        """Acts for a home that was taken over, and for those it acted for."""
        acted = dict(self._wanted.acted_epochs_by_home_id)
        acted.update(taken.knowledge.acted_epochs_by_home_id)
        acted[taken.home_id] = taken.guard_epoch
        acted.pop(self._vm_id, None)
        self._dropped.difference_update(acted)
        self._change(
            dataclasses.replace(
                self._wanted.with_facts_of(taken.knowledge),
                acted_epochs_by_home_id=acted,
            )
        )

    def _change(self, knowledge: messages.Knowledge) -> None:
        self._wanted = dataclasses.replace(
            knowledge, version=self._wanted.version + 1
        )

    def acts_for(self, home_id: str, epoch: int) -> bool:
        """Whether the VM acts for a home under an epoch up to the given one."""
        acted = self._wanted.acted_epochs_by_home_id.get(home_id)
        return acted is not None and acted <= epoch

    def keeps_acting_for(self, home_id: str) -> bool:
        """Whether the VM acts for a home, or a guard still thinks so."""
        return (
            home_id in self._wanted.acted_epochs_by_home_id
            or home_id in self.in_force.acted_epochs_by_home_id
        )

    def has_handed_back(self, home_id: str) -> bool:
        """Whether this process has acted for a home and does no more."""
        return home_id in self._dropped

    def drop_acted(self, home_id: str) -> None:
        """Acts for a home no more."""
        self._dropped.add(home_id)
        acted = dict(self._wanted.acted_epochs_by_home_id)
        acted.pop(home_id, None)
        self._change(
            dataclasses.replace(self._wanted, acted_epochs_by_home_id=acted)
        )

    def holds(self, now_s: float) -> bool:
        """Whether the VM may send now."""
        return self.phase is Phase.ACTIVE and now_s < self.valid_until_s

    def holdings(self) -> dict[str, Holding]:
        """Returns what the VM may send for while the right is valid, by home.

        What was dropped but is still kept by a guard is left out: dropping
        takes effect at once, taking up only when it is in force.
        """
        if self.phase is not Phase.ACTIVE:
            return {}
        holdings_by_home_id = {
            self._vm_id: Holding(
                self._vm_id, self.guard.epoch, shardmap.Role.FIRST
            )
        }
        wanted = self._wanted.acted_epochs_by_home_id
        for home_id, epoch in self.in_force.acted_epochs_by_home_id.items():
            if wanted.get(home_id) == epoch and home_id != self._vm_id:
                holdings_by_home_id[home_id] = Holding(
                    home_id, epoch, shardmap.Role.STANDBY
                )
        return holdings_by_home_id
