"""Lease under which a VM may send requests as a home.

Each heartbeat that a guard accepts renews the lease, counted from the time of
sending. The knowledge in the heartbeat is in force from then on.
"""

import dataclasses
import enum

from oriolefold_coordination import lease, messages, shardmap


class Phase(enum.Enum):
    """Stages of a home since its process started.

    Attributes:
        RESUMING: It recovers the state of the previous process from the guards.
        RECLAIMING: It asks other VMs to hand back its rows.
        ACTIVE: It may send while the lease is valid.
        ENDED: It has relinquished the lease.
    """

    RESUMING = 'resuming'
    RECLAIMING = 'reclaiming'
    ACTIVE = 'active'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """Permission to send for the shard map rows of one home.

    Attributes:
        home_id: Home of the rows.
        guard_epoch: Epoch of the guard under which the VM acts.
        role: Whether the VM acts as the home itself or as its standby.
    """

    home_id: str
    guard_epoch: int
    role: shardmap.Role


RESUME_LIMIT_S = 2.0  # Maximum wait for both guards before a new epoch.


class HomeLease:
    """The lease of a home and the knowledge in force under it.

    Attributes:
        guard: The guard under which the home acts.
        phase: Stage since the start of the process.
        valid_until_s: Time from which the home must not send any more.
        in_force: Knowledge that a guard has accepted.
        has_closed_epochs: Whether an earlier epoch of this home was closed, so
            that the home cannot tell which rows it held before.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: str,
        guard: shardmap.Guard,
        terms: lease.Terms,
        created_here: bool,
        now_s: float,
    ):
        """Starts without a valid lease.

        Args:
            vm_id: The home.
            incarnation: Identity of this process.
            guard: Guard as recorded in the store.
            terms: Durations of the protocol.
            created_here: Whether this process began the epoch, so that no other
                process has held the lease before.
            now_s: Current time.
        """
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._terms = terms
        self._started_s = now_s
        self._claim_until_s = float('-inf')
        if created_here:
            self._claim_until_s = now_s + terms.claim_s
        self._sequence = 0
        self._proposed = messages.Knowledge()
        self._accepted_sequence = 0
        self._resumed_sequence = 0
        self._handed_back: set[str] = set()
        self._nonces_by_guard_id: dict[str, str] = {}
        self._replies_by_guard_id: dict[str, messages.HeartbeatReply] = {}
        self.guard = guard
        self.phase = Phase.ACTIVE if created_here else Phase.RESUMING
        self.valid_until_s = float('-inf')
        self.in_force = messages.Knowledge()
        self.has_closed_epochs = bool(guard.former_standby_ids)

    def next_heartbeat(self, guard_id: str, now_s: float) -> messages.Heartbeat:
        """Returns the next heartbeat to send to a guard.

        A restarted guard cannot check whether the home holds the lease and
        accepts its claim (`established`). The home makes that claim only for a
        short time after its last accepted heartbeat or the beginning of the
        epoch.
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
            knowledge=self._proposed,
        )

    def step_down(self) -> None:
        """Relinquishes the lease permanently."""
        self.phase = Phase.ENDED
        self.valid_until_s = float('-inf')

    def final_heartbeat(
        self, guard_id: str, now_s: float
    ) -> messages.Heartbeat:
        """Returns the heartbeat that announces the end of the home."""
        return dataclasses.replace(
            self.next_heartbeat(guard_id, now_s), ended=True
        )

    def store_nonce(
        self, guard_id: str, reply: messages.HeartbeatReply
    ) -> bool:
        """Stores the nonce of a restarted guard.

        Returns:
            Whether it is new, so that another heartbeat may be accepted.
        """
        known = self._nonces_by_guard_id.get(guard_id, '')
        if not reply.nonce or reply.nonce == known:
            return False
        self._nonces_by_guard_id[guard_id] = reply.nonce
        return True

    def handle_reply(
        self,
        guard_id: str,
        heartbeat: messages.Heartbeat,
        sent_s: float,
        reply: messages.HeartbeatReply,
    ) -> None:
        """Handles the reply of a guard to a heartbeat.

        Args:
            guard_id: The guard.
            heartbeat: The heartbeat that it answers.
            sent_s: When the heartbeat was sent; the lease is counted from then.
            reply: The reply.
        """
        if heartbeat.guard_epoch != self.guard.epoch:
            return
        if self.phase is Phase.ENDED:
            return
        if reply.verdict is messages.Verdict.OUTDATED:
            if heartbeat.sequence < self._sequence:
                # A later heartbeat has arrived before this one.
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
        if heartbeat.active and heartbeat.sequence > self._resumed_sequence:
            self._renew(heartbeat, sent_s)

    def _resume(self) -> None:
        """Resumes the state of the previous process.

        Both guards must have replied, since either one alone may have an older
        version of the knowledge.
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
            self._proposed = self._proposed.latest(reply.knowledge)
        self._resumed_sequence = self._sequence
        # The previous process may have ended while it was reclaiming its rows.
        was_active = any(reply.active for reply in accepted)
        self.phase = Phase.ACTIVE if was_active else Phase.RECLAIMING

    def _renew(self, heartbeat: messages.Heartbeat, sent_s: float) -> None:
        self.valid_until_s = max(
            self.valid_until_s, sent_s + self._terms.duration_s
        )
        if heartbeat.sequence > self._accepted_sequence:
            self._accepted_sequence = heartbeat.sequence
            self.in_force = heartbeat.knowledge

    def renew_unguarded(self, now_s: float) -> None:
        """Renews the lease if there is no other VM to guard it."""
        if not self.guard.vm_ids:
            self.phase = Phase.ACTIVE
            self.valid_until_s = now_s + self._terms.duration_s
            self.in_force = self._proposed

    def needs_new_epoch(self, now_s: float) -> bool:
        """Whether this process can no longer renew in the current epoch.

        This is the case if a guard took part in a takeover, if each guard has
        lost the state of the epoch or has newer state, or if a guard does not
        answer a resuming process.
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
        rejecting = (messages.Verdict.NO_MEMORY, messages.Verdict.OUTDATED)
        return all(
            verdicts.get(guard_id) in rejecting
            for guard_id in self.guard.vm_ids
        )

    def begin_epoch(self, guard: shardmap.Guard, now_s: float) -> None:
        """Enters a new epoch that was recorded in the store.

        The lease is inactive until the rows of the old epoch are handed back.
        """
        self.guard = guard
        self.phase = Phase.RECLAIMING
        self.valid_until_s = float('-inf')
        self._claim_until_s = now_s + self._terms.claim_s
        self.in_force = messages.Knowledge()
        self.has_closed_epochs = True
        self._handed_back = set()
        self._replies_by_guard_id = {}
        self._propose(
            dataclasses.replace(self._proposed, acted_epochs_by_home_id={})
        )

    def activate(self, reclaimed: messages.Knowledge) -> None:
        """Ends the reclaiming once no other VM holds the rows any more.

        Args:
            reclaimed: Knowledge merged from the hand-back replies.
        """
        self._propose(self._proposed.with_facts_of(reclaimed))
        self.phase = Phase.ACTIVE

    def add_lost_instance(self, instance_id: str, epoch: int) -> None:
        """Marks an instance as lost for rows up to an epoch."""
        added = messages.Knowledge(lost_epochs_by_id={instance_id: epoch})
        self._propose(self._proposed.with_facts_of(added))

    def add_map_epoch(self, service_id: str, epoch: int) -> None:
        """Records that the home acts on the shard map of an epoch."""
        added = messages.Knowledge(map_epochs_by_service_id={service_id: epoch})
        self._propose(self._proposed.with_facts_of(added))

    def add_takeover(self, last_heartbeat: messages.Heartbeat) -> None:
        """Acts for a home that was taken over and for those it acted for.

        Args:
            last_heartbeat: Last heartbeat of the home, with the newest
                knowledge of its guards.
        """
        acted = dict(self._proposed.acted_epochs_by_home_id)
        acted.update(last_heartbeat.knowledge.acted_epochs_by_home_id)
        acted[last_heartbeat.home_id] = last_heartbeat.guard_epoch
        acted.pop(self._vm_id, None)
        self._handed_back.difference_update(acted)
        self._propose(
            dataclasses.replace(
                self._proposed.with_facts_of(last_heartbeat.knowledge),
                acted_epochs_by_home_id=acted,
            )
        )

    def _propose(self, knowledge: messages.Knowledge) -> None:
        self._proposed = dataclasses.replace(
            knowledge, version=self._proposed.version + 1
        )

    def acts_for(self, home_id: str, epoch: int) -> bool:
        """Whether the VM acts for a home under an epoch up to the given one."""
        acted = self._proposed.acted_epochs_by_home_id.get(home_id)
        return acted is not None and acted <= epoch

    def may_act_for(self, home_id: str) -> bool:
        """Whether the VM acts for a home by its proposed or in-force state."""
        return (
            home_id in self._proposed.acted_epochs_by_home_id
            or home_id in self.in_force.acted_epochs_by_home_id
        )

    def has_handed_back(self, home_id: str) -> bool:
        """Whether this process has stopped acting for a home."""
        return home_id in self._handed_back

    def stop_acting_for(self, home_id: str) -> None:
        """Stops acting for a home."""
        self._handed_back.add(home_id)
        acted = dict(self._proposed.acted_epochs_by_home_id)
        acted.pop(home_id, None)
        self._propose(
            dataclasses.replace(self._proposed, acted_epochs_by_home_id=acted)
        )

    def holds(self, now_s: float) -> bool:
        """Whether the lease is valid, so that the VM may send."""
        return self.phase is Phase.ACTIVE and now_s < self.valid_until_s

    def holdings(self) -> dict[str, Holding]:
        """Returns what the VM may send for while the lease is valid, by home.

        When the VM stops acting for a home, this takes effect at once. When it
        starts, this takes effect only after a guard has accepted it.
        """
        if self.phase is not Phase.ACTIVE:
            return {}
        holdings_by_home_id = {
            self._vm_id: Holding(
                self._vm_id, self.guard.epoch, shardmap.Role.PRIMARY
            )
        }
        proposed = self._proposed.acted_epochs_by_home_id
        for home_id, epoch in self.in_force.acted_epochs_by_home_id.items():
            if proposed.get(home_id) == epoch and home_id != self._vm_id:
                holdings_by_home_id[home_id] = Holding(
                    home_id, epoch, shardmap.Role.STANDBY
                )
        return holdings_by_home_id
