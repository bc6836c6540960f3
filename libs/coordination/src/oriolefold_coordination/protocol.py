"""Sans-I/O state machine of the lease protocol of one VM.

A driver passes in messages, replies and the time, and carries out the commands
that are returned. The state machine holds the lease of its own VM as a home
and guards the leases of other homes.
"""

import dataclasses
from typing import Any

from oriolefold_coordination import (
    guardedhomes,
    homelease,
    lease,
    messages,
    reclaiming,
    shardmap,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Command: send a message to a VM and pass the reply to `replied`.

    Attributes:
        vm_id: VM to call.
        body: The message.
        sent_s: Time of the command, from which a lease is counted.
    """

    vm_id: str
    body: Any
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEpoch:
    """Command: write a new guard record and pass it to `recorded`.

    Attributes:
        epoch_before: Epoch that the new one must exceed.
    """

    epoch_before: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetryHandBack:
    """Command: call `ask_holders` after a short delay."""


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Command: write a log event.

    Attributes:
        name: Name of the event.
        home_id: Home that it concerns.
        epoch: Guard epoch of that home.
    """

    name: str
    home_id: str
    epoch: int


Command = Call | RecordEpoch | RetryHandBack | LogEvent


@dataclasses.dataclass(frozen=True, slots=True)
class SendLease:
    """Snapshot of the leases under which the VM may send.

    Attributes:
        valid_until_s: Time from which the VM must not send any more.
        holdings_by_home_id: Rows that the VM may send for, by their home.
        knowledge: State that is in force.
    """

    valid_until_s: float
    holdings_by_home_id: dict[str, homelease.Holding]
    knowledge: messages.Knowledge


NO_LEASE = SendLease(float('-inf'), {}, messages.Knowledge())


class LeaseProtocol:
    """Holds the lease of one VM and guards those of others.

    Attributes:
        own: Lease of this VM, or None before the guard record is known.
        guarded_homes: Promises to the homes that this VM guards.
    """

    def __init__(
        self,
        vm_id: str,
        incarnation: str,
        terms: lease.Terms,
        now_s: float,
    ):
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._terms = terms
        self._guards_by_vm_id: dict[str, shardmap.Guard] = {}
        self._pending_votes: set[str] = set()
        self._recording = False
        self._reclaim: reclaiming.Reclaim | None = None
        self.own: homelease.HomeLease | None = None
        self.guarded_homes = guardedhomes.GuardedHomes(
            vm_id, incarnation, terms, now_s
        )

    def update_guards(self, guards_by_vm_id: dict[str, shardmap.Guard]) -> None:
        """Sets the guards recorded in the store."""
        self._guards_by_vm_id = guards_by_vm_id

    def begin(
        self, guard: shardmap.Guard, created_here: bool, now_s: float
    ) -> list[Command]:
        """Starts to acquire the lease of this VM.

        Args:
            guard: Guard as recorded in the store.
            created_here: Whether this process wrote the first guard record.
            now_s: Current time.
        """
        if self.own is not None:
            return []
        self.own = homelease.HomeLease(
            self._vm_id,
            self._incarnation,
            guard,
            self._terms,
            created_here,
            now_s,
        )
        return self.send_heartbeats(now_s)

    def tick(self, now_s: float) -> list[Command]:
        """Performs periodic work; call it once per heartbeat interval."""
        if self.own is None or self.own.phase is homelease.Phase.ENDED:
            return []
        commands = self.send_heartbeats(now_s)
        if self.own.needs_new_epoch(now_s) and not self._recording:
            self._recording = True
            commands.append(RecordEpoch(self.own.guard.epoch))
        if self.own.holds(now_s):
            commands += self._request_due_votes(now_s)
        return commands

    def send_heartbeats(self, now_s: float) -> list[Command]:
        """Returns calls that send a heartbeat to each guard."""
        if self.own is None or self.own.phase is homelease.Phase.ENDED:
            return []
        self.own.renew_unguarded(now_s)
        return [
            Call(guard_id, self.own.next_heartbeat(guard_id, now_s), now_s)
            for guard_id in self.own.guard.vm_ids
        ]

    def send_lease(self) -> SendLease:
        """Returns a snapshot of the leases of this VM."""
        if self.own is None:
            return NO_LEASE
        return SendLease(
            self.own.valid_until_s, self.own.holdings(), self.own.in_force
        )

    def declare_lost(self, instance_id: str, epoch: int, now_s: float):
        """Marks an instance as lost for rows up to an epoch.

        Returns:
            Commands.
        """
        if self.own is None:
            return []
        self.own.add_lost_instance(instance_id, epoch)
        return self.send_heartbeats(now_s)

    def adopt_map(self, service_id: str, epoch: int, now_s: float):
        """Records that the VM acts on the shard map of an epoch.

        Returns:
            Commands.
        """
        if self.own is None:
            return []
        self.own.add_map_epoch(service_id, epoch)
        return self.send_heartbeats(now_s)

    def recorded(
        self, guard: shardmap.Guard | None, now_s: float
    ) -> list[Command]:
        """Handles the outcome of `RecordEpoch`, None if it failed."""
        self._recording = False
        if guard is None or self.own.phase is homelease.Phase.ENDED:
            return []
        self.own.begin_epoch(guard, now_s)
        self._reclaim = reclaiming.Reclaim(self._vm_id, guard)
        event = LogEvent('right.new_epoch', self._vm_id, guard.epoch)
        return [
            event,
            *self.send_heartbeats(now_s),
            *self.ask_holders(now_s),
        ]

    def ask_holders(self, now_s: float) -> list[Command]:
        """Asks the next VM that may hold rows of this home.

        Activates the lease once every such VM has answered.
        """
        if self._reclaim is None:
            return []
        request = self._reclaim.next_request()
        if request is not None:
            return [Call(self._reclaim.vm_id, request, now_s)]
        self.own.activate(self._reclaim.knowledge)
        self._reclaim = None
        epoch = self.own.guard.epoch
        event = LogEvent('right.reclaimed', self._vm_id, epoch)
        return [event, *self.send_heartbeats(now_s)]

    def step_down(self) -> None:
        """Relinquishes the lease of this VM permanently."""
        self.own.step_down()

    def final_heartbeats(self, now_s: float) -> list[Call]:
        """Returns the final heartbeats to the guards, in sending order.

        The witness comes first; otherwise it would reject the takeover that
        the standby starts at once.
        """
        guard = self.own.guard
        return [
            Call(guard_id, self.own.final_heartbeat(guard_id, now_s), now_s)
            for guard_id in (guard.witness_id, guard.standby_id)
            if guard_id
        ]

    def replied(self, call: Call, reply: Any, now_s: float) -> list[Command]:
        """Handles the reply to a call, None if there was none."""
        if now_s - call.sent_s > self._terms.call_limit_s:
            # The witness may have lost its vote in a restart by this time.
            reply = None
        match call.body:
            case messages.Heartbeat():
                return self._handle_heartbeat_reply(call, reply, now_s)
            case messages.VoteRequest():
                return self._handle_vote(call.body, reply, now_s)
            case messages.HandBackRequest():
                return self._handle_hand_back_reply(call, reply, now_s)
        return []

    def _handle_heartbeat_reply(
        self, call: Call, reply, now_s: float
    ) -> list[Command]:
        if reply is None or self.own.phase is homelease.Phase.ENDED:
            return []
        if self.own.store_nonce(call.vm_id, reply):
            heartbeat = self.own.next_heartbeat(call.vm_id, now_s)
            return [Call(call.vm_id, heartbeat, now_s)]
        before = self.own.phase
        self.own.handle_reply(call.vm_id, call.body, call.sent_s, reply)
        if self.own.phase is before:
            return []
        epoch = self.own.guard.epoch
        name = f'right.{self.own.phase.value}'
        commands: list[Command] = [LogEvent(name, self._vm_id, epoch)]
        if self.own.phase is homelease.Phase.RECLAIMING:
            self._reclaim = reclaiming.Reclaim(self._vm_id, self.own.guard)
            commands += self.ask_holders(now_s)
        return commands

    def _handle_hand_back_reply(
        self, call: Call, reply, now_s: float
    ) -> list[Command]:
        if self._reclaim is None or call.body != self._reclaim.request:
            return []
        if call.vm_id != self._reclaim.vm_id:
            # A VM may be asked twice, and its second reply comes when the next
            # VM is being asked.
            return []
        if self._reclaim.handle_reply(reply, self._guards_by_vm_id):
            return self.ask_holders(now_s)
        return [RetryHandBack()]

    def _request_due_votes(self, now_s: float) -> list[Command]:
        commands: list[Command] = []
        for request in self.guarded_homes.due_takeovers(now_s):
            if request.home_id in self._pending_votes:
                continue
            guarded = self.guarded_homes.by_home_id[request.home_id]
            witness_id = guarded.heartbeat.witness_id
            if witness_id:
                self._pending_votes.add(request.home_id)
                commands.append(Call(witness_id, request, now_s))
            else:
                # This VM is the only guard of the home.
                agreed = messages.VoteReply(True)
                commands += self._handle_vote(request, agreed, now_s)
        return commands

    def _handle_vote(self, request, reply, now_s: float) -> list[Command]:
        self._pending_votes.discard(request.home_id)
        if reply is None or not self.own.holds(now_s):
            return []
        last = self.guarded_homes.take_over(request, reply, now_s)
        if last is None:
            return []
        self.own.add_takeover(last)
        event = LogEvent('home.taken_over', last.home_id, last.guard_epoch)
        return [event, *self.send_heartbeats(now_s)]

    def answer_heartbeat(
        self, heartbeat: messages.Heartbeat, now_s: float
    ) -> tuple[messages.HeartbeatReply, list[Command]]:
        """Answers the heartbeat of another home."""
        reply = self.guarded_homes.answer_heartbeat(heartbeat, now_s)
        if heartbeat.ended and self.own is not None and self.own.holds(now_s):
            return reply, self._request_due_votes(now_s)
        return reply, []

    def answer_vote(
        self, request: messages.VoteRequest, now_s: float
    ) -> messages.VoteReply:
        """Answers a standby that asks for a vote."""
        return self.guarded_homes.vote(request, now_s)

    def answer_hand_back(
        self, request: messages.HandBackRequest, now_s: float
    ) -> tuple[messages.HandBackReply | None, list[Command]]:
        """Answers a home that has begun a new epoch.

        Returns:
            The reply and commands. The reply is None if the rows have to be
            drained first; `finish_hand_back` then returns it.
        """
        status = messages.HandBackStatus
        if not self._is_authoritative(now_s):
            return messages.HandBackReply(status.DRAINING), []
        self.guarded_homes.close_epoch(request.home_id, request.guard_epoch)
        commands: list[Command] = []
        if self.own.acts_for(request.home_id, request.guard_epoch):
            self.own.stop_acting_for(request.home_id)
            commands = self.send_heartbeats(now_s)
        may_still_act = self.own.may_act_for(request.home_id)
        if may_still_act or self.own.has_handed_back(request.home_id):
            return None, commands
        if self.own.has_closed_epochs:
            return messages.HandBackReply(status.NO_MEMORY), commands
        known = self.guarded_homes.knowledge_of(request.home_id)
        return messages.HandBackReply(status.NOT_HELD, known), commands

    def _is_authoritative(self, now_s: float) -> bool:
        """Whether the VM's record of what it holds is current.

        Without a valid lease the VM may have been taken over, and another VM
        may hold the rows that this one has on record.
        """
        if self.own is None:
            return False
        if self.own.phase is homelease.Phase.RECLAIMING:
            return True
        return self.own.holds(now_s)

    def finish_hand_back(
        self, request: messages.HandBackRequest, drained: bool, now_s: float
    ) -> messages.HandBackReply:
        """Returns the reply after an attempt to drain the rows."""
        status = messages.HandBackStatus
        drained = drained and self.own.holds(now_s)
        if drained and not self.own.may_act_for(request.home_id):
            return messages.HandBackReply(status.HANDED_BACK, self.own.in_force)
        return messages.HandBackReply(status.DRAINING)
