"""The lease protocol of one VM as a state machine without sockets.

A driver passes in messages, replies and the time, and carries out the commands
that come back. One instance holds the right of its own VM as a home and guards
the rights of others.
"""

import dataclasses
from typing import Any

from oriolefold_coordination import (
    home,
    lease,
    messages,
    reclaiming,
    shardmap,
    wards,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """Command: send a message to a VM and pass the reply to `replied`.

    Attributes:
        vm_id: VM to call.
        body: The message.
        sent_s: Time of the command; a lease counts from it.
    """

    vm_id: str
    body: Any
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEpoch:
    """Command: write a new guard record and pass it to `recorded`.

    Attributes:
        epoch_before: Epoch that the new record has to follow.
    """

    epoch_before: int


@dataclasses.dataclass(frozen=True, slots=True)
class AskAgain:
    """Command: call `ask_holders` after a short pause."""


@dataclasses.dataclass(frozen=True, slots=True)
class Happened:
    """Command: log something of note.

    Attributes:
        name: What happened.
        home_id: Home that it is about.
        epoch: Epoch of the guard of that home.
    """

    name: str
    home_id: str
    epoch: int


Command = Call | RecordEpoch | AskAgain | Happened


@dataclasses.dataclass(frozen=True, slots=True)
class Right:
    """What the VM may send for.

    Attributes:
        valid_until_s: Time from which nothing may be sent any more.
        holdings_by_home_id: Rows that may be sent for, by their home.
        knowledge: What is in force.
    """

    valid_until_s: float
    holdings_by_home_id: dict[str, home.Holding]
    knowledge: messages.Knowledge


NO_RIGHT = Right(float('-inf'), {}, messages.Knowledge())


class LeaseProtocol:
    """Holds the right of one VM and guards those of others.

    Attributes:
        own: The own right, or None before the guard record is known.
        book: What is promised to other homes.
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
        self._voting: set[str] = set()
        self._recording = False
        self._reclaim: reclaiming.Reclaim | None = None
        self.own: home.HomeRight | None = None
        self.book = wards.WardBook(vm_id, incarnation, terms, now_s)

    def know_guards(self, guards_by_vm_id: dict[str, shardmap.Guard]) -> None:
        """Takes the guards that are recorded in the store."""
        self._guards_by_vm_id = guards_by_vm_id

    def begin(
        self, guard: shardmap.Guard, begun_here: bool, now_s: float
    ) -> list[Command]:
        """Starts to hold the own right.

        Args:
            guard: Guard as recorded in the store.
            begun_here: Whether this process made the first record.
            now_s: Present time.
        """
        if self.own is not None:
            return []
        self.own = home.HomeRight(
            self._vm_id,
            self._incarnation,
            guard,
            self._terms,
            begun_here,
            now_s,
        )
        return self.beat(now_s)

    def tick(self, now_s: float) -> list[Command]:
        """Does what is due; to be called at each heartbeat interval."""
        if self.own is None or self.own.phase is home.Phase.ENDED:
            return []
        commands = self.beat(now_s)
        if self.own.needs_new_epoch(now_s) and not self._recording:
            self._recording = True
            commands.append(RecordEpoch(self.own.guard.epoch))
        if self.own.holds(now_s):
            commands += self._votes_due(now_s)
        return commands

    def beat(self, now_s: float) -> list[Command]:
        """Sends a heartbeat to the guards now."""
        if self.own is None or self.own.phase is home.Phase.ENDED:
            return []
        self.own.stand_alone(now_s)
        return [
            Call(guard_id, self.own.beat(guard_id, now_s), now_s)
            for guard_id in self.own.guard.vm_ids
        ]

    def right(self) -> Right:
        """Returns what the VM may send for."""
        if self.own is None:
            return NO_RIGHT
        return Right(
            self.own.valid_until_s, self.own.holdings(), self.own.in_force
        )

    def give_up(self, instance_id: str, epoch: int, now_s: float):
        """Gives an instance up for rows up to an epoch; returns commands."""
        if self.own is None:
            return []
        self.own.want_lost(instance_id, epoch)
        return self.beat(now_s)

    def act_on_map(self, service_id: str, epoch: int, now_s: float):
        """Acts on a shard map; returns commands."""
        if self.own is None:
            return []
        self.own.want_map(service_id, epoch)
        return self.beat(now_s)

    def recorded(
        self, guard: shardmap.Guard | None, now_s: float
    ) -> list[Command]:
        """Takes the outcome of `RecordEpoch`, None if it failed."""
        self._recording = False
        if guard is None:
            return []
        self.own.begin_epoch(guard, now_s)
        self._reclaim = reclaiming.Reclaim(self._vm_id, guard)
        happened = Happened('right.new_epoch', self._vm_id, guard.epoch)
        return [happened, *self.beat(now_s), *self.ask_holders(now_s)]

    def ask_holders(self, now_s: float) -> list[Command]:
        """Asks who holds the rows of the own home, or finishes asking."""
        if self._reclaim is None:
            return []
        request = self._reclaim.next_request()
        if request is not None:
            return [Call(self._reclaim.vm_id, request, now_s)]
        self.own.activate(self._reclaim.knowledge)
        self._reclaim = None
        epoch = self.own.guard.epoch
        happened = Happened('right.reclaimed', self._vm_id, epoch)
        return [happened, *self.beat(now_s)]

    def step_down(self) -> None:
        """Gives the own right up for good."""
        self.own.step_down()

    def farewells(self, now_s: float) -> list[Call]:
        """Returns the calls that tell the guards of the end, in their order.

        The witness has to know first, or it would not agree to the takeover
        that the standby begins at once.
        """
        guard = self.own.guard
        return [
            Call(guard_id, self.own.last_beat(guard_id, now_s), now_s)
            for guard_id in (guard.witness_id, guard.standby_id)
            if guard_id
        ]

    def replied(self, call: Call, reply: Any, now_s: float) -> list[Command]:
        """Takes the reply to a call, None if there was none."""
        if now_s - call.sent_s > self._terms.call_limit_s:
            # A vote that comes later could be one that its giver has forgotten.
            reply = None
        match call.body:
            case messages.Heartbeat():
                return self._take_beat_reply(call, reply, now_s)
            case messages.VoteRequest():
                return self._take_vote(call.body, reply, now_s)
            case messages.HandBackRequest():
                return self._take_custody(call.body, reply, now_s)
        return []

    def _take_beat_reply(
        self, call: Call, reply, now_s: float
    ) -> list[Command]:
        if reply is None:
            return []
        if self.own.learn_nonce(call.vm_id, reply):
            beat = self.own.beat(call.vm_id, now_s)
            return [Call(call.vm_id, beat, now_s)]
        before = self.own.phase
        self.own.acknowledge(call.vm_id, call.body, call.sent_s, reply)
        if self.own.phase is before:
            return []
        epoch = self.own.guard.epoch
        name = f'right.{self.own.phase.value}'
        commands: list[Command] = [Happened(name, self._vm_id, epoch)]
        if self.own.phase is home.Phase.RECLAIMING:
            self._reclaim = reclaiming.Reclaim(self._vm_id, self.own.guard)
            commands += self.ask_holders(now_s)
        return commands

    def _take_custody(self, request, reply, now_s: float) -> list[Command]:
        if self._reclaim is None or request != self._reclaim.request:
            return []
        if self._reclaim.take(reply, self._guards_by_vm_id):
            return self.ask_holders(now_s)
        return [AskAgain()]

    def _votes_due(self, now_s: float) -> list[Command]:
        commands: list[Command] = []
        for request in self.book.due_takeovers(now_s):
            if request.home_id in self._voting:
                continue
            ward = self.book.wards_by_home_id[request.home_id]
            witness_id = ward.heartbeat.witness_id
            if witness_id:
                self._voting.add(request.home_id)
                commands.append(Call(witness_id, request, now_s))
            else:
                # The home had no other guard than this VM.
                agreed = messages.VoteReply(True)
                commands += self._take_vote(request, agreed, now_s)
        return commands

    def _take_vote(self, request, reply, now_s: float) -> list[Command]:
        self._voting.discard(request.home_id)
        if reply is None or not self.own.holds(now_s):
            return []
        taken = self.book.take_over(request, reply, now_s)
        if taken is None:
            return []
        self.own.want_acted(taken)
        happened = Happened('home.taken_over', taken.home_id, taken.guard_epoch)
        return [happened, *self.beat(now_s)]

    def answer_beat(
        self, beat: messages.Heartbeat, now_s: float
    ) -> tuple[messages.HeartbeatReply, list[Command]]:
        """Answers the heartbeat of another home."""
        reply = self.book.heartbeat(beat, now_s)
        if beat.ended and self.own is not None and self.own.holds(now_s):
            return reply, self._votes_due(now_s)
        return reply, []

    def answer_vote(
        self, request: messages.VoteRequest, now_s: float
    ) -> messages.VoteReply:
        """Answers a standby that asks for a takeover."""
        return self.book.vote(request, now_s)

    def answer_hand_back(
        self, request: messages.HandBackRequest, now_s: float
    ) -> tuple[messages.HandBackReply | None, list[Command]]:
        """Answers a home that has begun a new epoch.

        Returns:
            The reply, or None if the rows have to be drained first and
            `finish_hand_back` gives it; and commands.
        """
        custody = messages.Custody
        if not self._can_speak(now_s):
            return messages.HandBackReply(custody.DRAINING), []
        self.book.close_epoch(request.home_id, request.guard_epoch)
        commands: list[Command] = []
        if self.own.acts_for(request.home_id, request.guard_epoch):
            self.own.drop_acted(request.home_id)
            commands = self.beat(now_s)
        keeps = self.own.keeps_acting_for(request.home_id)
        if keeps or self.own.has_handed_back(request.home_id):
            return None, commands
        if self.own.reclaimed:
            return messages.HandBackReply(custody.NO_MEMORY), commands
        known = self.book.knowledge_of(request.home_id)
        return messages.HandBackReply(custody.NOT_HELD, known), commands

    def _can_speak(self, now_s: float) -> bool:
        """Whether the VM can say what it holds.

        Without a valid lease it may have been taken over, and then another VM
        holds what this one remembers to hold.
        """
        if self.own is None:
            return False
        if self.own.phase is home.Phase.RECLAIMING:
            return True
        return self.own.holds(now_s)

    def finish_hand_back(
        self, request: messages.HandBackRequest, drained: bool, now_s: float
    ) -> messages.HandBackReply:
        """Returns the reply once it is known whether the rows are drained."""
        custody = messages.Custody
        drained = drained and self.own.holds(now_s)
        if drained and not self.own.keeps_acting_for(request.home_id):
            return messages.HandBackReply(
                custody.HANDED_BACK, self.own.in_force
            )
        return messages.HandBackReply(custody.DRAINING)
