"""Task that holds the right of this VM to send, and guards that of others."""

import asyncio
from typing import Any

from oriolefold_coordination import home, lease, shardmap, wards
from oriolefold_coordination import messages as lease_messages
from oriolefold_coordination import notices as coordination_notices
from oriolefold_core import clock, errors, tasks
from oriolefold_ownership import messages, reclaiming
from oriolefold_peer import messages as peer_messages
from oriolefold_telemetry import logs

CALL_TIMEOUT_S = 0.5
RECORD_RETRY_S = 0.5
RECLAIM_INTERVAL_S = 0.02
DRAIN_INTERVAL_S = 0.01


class _Tick:
    """Message: time for a heartbeat."""


class _BeatReplied:
    """Message: a guard has answered a heartbeat."""

    def __init__(self, guard_id, beat, sent_s, reply):
        self.guard_id = guard_id
        self.beat = beat
        self.sent_s = sent_s
        self.reply = reply


class _Voted:
    """Message: the witness has answered a vote."""

    def __init__(self, request, reply):
        self.request = request
        self.reply = reply


class _EpochRecorded:
    """Message: a new epoch of the own guard is in the store."""

    def __init__(self, guard: shardmap.Guard):
        self.guard = guard


class _Reclaimed:
    """Message: nobody else holds the rows of this home any more."""

    def __init__(self, epoch: int, knowledge: lease_messages.Knowledge):
        self.epoch = epoch
        self.knowledge = knowledge


class Guardian(tasks.Task):
    """Owns the lease of this home and the promises to other homes."""

    def __init__(
        self,
        vm_id: str,
        incarnation: str,
        terms: lease.Terms,
        time: clock.Clock,
        peers: tasks.Task,
        keeper: tasks.Task,
    ):
        super().__init__('guardian')
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._terms = terms
        self._clock = time
        self._peers = peers
        self._keeper = keeper
        self._recorder: tasks.Task | None = None
        self._book = wards.WardBook(vm_id, terms)
        self._right: home.HomeRight | None = None
        self._guards_by_vm_id: dict[str, shardmap.Guard] = {}
        self._voting: set[str] = set()
        self._beating: set[str] = set()
        self._recording = False
        self._reclaiming = False

    def connect(self, recorder: tasks.Task) -> None:
        """Sets the task that writes the guard record."""
        self._recorder = recorder

    async def on_start(self) -> None:
        """Starts the heartbeat."""
        self.post(_Tick())

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.PeerCall():
                self._answer_peer(message)
            case _Tick():
                self._tick()
            case _BeatReplied():
                self._take_beat_reply(message)
            case _Voted():
                self._take_vote(message)
            case messages.GuardRecorded():
                self._start_right(message)
            case _EpochRecorded():
                self._begin_epoch(message.guard)
            case _Reclaimed():
                self._finish_reclaiming(message)
            case messages.InstanceLost():
                if self._right is not None:
                    self._right.want_lost(message.instance_id, message.epoch)
                    self._beat()
            case messages.MapActedOn():
                self._act_on_map(message)
            case coordination_notices.GuardsKnown():
                self._guards_by_vm_id = message.guards_by_vm_id
            case messages.StepDown():
                self._step_down(message)
            case messages.DescribeRight():
                message.answer(self._describe())

    def _start_right(self, recorded: messages.GuardRecorded) -> None:
        if self._right is not None:
            return
        self._right = home.HomeRight(
            self._vm_id,
            self._incarnation,
            recorded.guard,
            self._terms,
            recorded.begun_here,
            self._clock.now_s(),
        )
        self._beat()

    def _act_on_map(self, acted_on: messages.MapActedOn) -> None:
        if self._right is None:
            # The keeper must learn later that its map is known to the guards.
            self.post_later(RECORD_RETRY_S, acted_on)
            return
        self._right.want_map(acted_on.service_id, acted_on.epoch)
        self._beat()

    def _tick(self) -> None:
        self.post_later(self._terms.heartbeat_interval_s, _Tick())
        if self._right is None or self._right.phase is home.Phase.ENDED:
            return
        self._beat()
        if self._right.needs_new_epoch(self._clock.now_s()):
            self._record_epoch()
        if self._right.phase is home.Phase.RECLAIMING:
            self._reclaim()
        if self._right.holds(self._clock.now_s()):
            self._take_over_due()

    def _beat(self) -> None:
        if self._right.phase is home.Phase.ENDED:
            return
        self._right.stand_alone(self._clock.now_s())
        if not self._right.guard.vm_ids:
            self._publish()
        for guard_id in self._right.guard.vm_ids:
            self.spawn(self._send_beat(guard_id, self._right.beat()))

    async def _send_beat(self, guard_id: str, beat) -> None:
        sent_s = self._clock.now_s()
        reply = await self._call(guard_id, beat)
        if reply is not None:
            self.post(_BeatReplied(guard_id, beat, sent_s, reply))

    async def _call(self, vm_id: str, body: Any) -> Any:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._peers.ask(
                    peer_messages.CallPeer(vm_id, body)
                )
        except (errors.OriolefoldError, TimeoutError):
            return None

    def _take_beat_reply(self, replied: _BeatReplied) -> None:
        before = self._right.phase
        self._right.acknowledge(
            replied.guard_id, replied.beat, replied.sent_s, replied.reply
        )
        if self._right.phase is not before:
            logs.event('right.phase', phase=self._right.phase.value)
        self._publish()

    def _publish(self) -> None:
        self._keeper.post(
            messages.RightRenewed(
                self._right.valid_until_s,
                self._right.holdings(),
                self._right.in_force,
            )
        )

    def _record_epoch(self) -> None:
        if not self._recording:
            self._recording = True
            self.spawn(self._write_epoch(self._right.guard.epoch))

    async def _write_epoch(self, epoch_before: int) -> None:
        try:
            guard = await self._recorder.ask(messages.RecordGuard(epoch_before))
            self.post(_EpochRecorded(guard))
        except errors.OriolefoldError as error:
            logs.event('guard.record_failed', error=str(error))
            await asyncio.sleep(RECORD_RETRY_S)
        finally:
            self._recording = False

    def _begin_epoch(self, guard: shardmap.Guard) -> None:
        logs.event('right.new_epoch', epoch=guard.epoch)
        self._right.begin_epoch(guard)
        self._publish()
        self._beat()
        self._reclaim()

    def _reclaim(self) -> None:
        if not self._reclaiming:
            self._reclaiming = True
            self.spawn(self._ask_holders(self._right.guard))

    async def _ask_holders(self, guard: shardmap.Guard) -> None:
        try:
            knowledge = None
            while knowledge is None:
                knowledge = await reclaiming.reclaim(
                    self._vm_id, guard, self._guards_by_vm_id, self._call
                )
                if knowledge is None:
                    await asyncio.sleep(RECLAIM_INTERVAL_S)
            self.post(_Reclaimed(guard.epoch, knowledge))
        finally:
            self._reclaiming = False

    def _finish_reclaiming(self, reclaimed: _Reclaimed) -> None:
        right = self._right
        if right.phase is not home.Phase.RECLAIMING:
            return
        if right.guard.epoch == reclaimed.epoch:
            logs.event('right.reclaimed', epoch=reclaimed.epoch)
            right.activate(reclaimed.knowledge)
            self._beat()

    def _take_over_due(self) -> None:
        for request in self._book.due_takeovers(self._clock.now_s()):
            if request.home_id in self._voting:
                continue
            ward = self._book.wards_by_home_id[request.home_id]
            witness_id = ward.heartbeat.witness_id
            self._voting.add(request.home_id)
            self.spawn(self._ask_vote(witness_id, request))

    async def _ask_vote(self, witness_id: str, request) -> None:
        try:
            if witness_id:
                reply = await self._call(witness_id, request)
            else:
                # Without a witness the home had no other guard than this VM.
                reply = lease_messages.VoteReply(True)
            if reply is not None:
                self.post(_Voted(request, reply))
        finally:
            self._voting.discard(request.home_id)

    def _take_vote(self, voted: _Voted) -> None:
        now_s = self._clock.now_s()
        if not self._right.holds(now_s):
            return
        taken = self._book.take_over(voted.request, voted.reply, now_s)
        if taken is None:
            return
        logs.event(
            'home.taken_over', home=taken.home_id, epoch=taken.guard_epoch
        )
        self._right.want_acted(taken)
        self._beat()

    def _step_down(self, ask: messages.StepDown) -> None:
        if self._right is None or not self._right.holds(self._clock.now_s()):
            ask.answer(None)
            return
        logs.event('right.stepping_down')
        self._right.step_down()
        self._publish()
        self.spawn(self._finish_step_down(ask))

    async def _finish_step_down(self, ask: messages.StepDown) -> None:
        while not await self._keeper.ask(messages.DrainAll()):
            await asyncio.sleep(DRAIN_INTERVAL_S)
        # The witness has to know first, or it would not agree to the takeover
        # that the standby begins at once.
        guard = self._right.guard
        for guard_id in (guard.witness_id, guard.standby_id):
            if guard_id:
                await self._call(guard_id, self._right.last_beat())
        ask.answer(None)

    def _answer_peer(self, call: messages.PeerCall) -> None:
        now_s = self._clock.now_s()
        match call.body:
            case lease_messages.Heartbeat():
                call.answer(self._book.heartbeat(call.body, now_s))
                if call.body.ended and self._right is not None:
                    self._take_over_due()
            case lease_messages.VoteRequest():
                call.answer(self._book.vote(call.body, now_s))
            case lease_messages.RetireRequest():
                call.answer(self._book.retire(call.body))
            case lease_messages.HandBackRequest():
                self._hand_back(call)
            case lease_messages.ReleaseRequest():
                release = messages.ReleaseShards(call.body, reply=call.reply)
                self._keeper.post(release)
            case _:
                text = f'{type(call.body).__name__} is not for the guardian'
                call.fail(errors.ProtocolError(text))

    def _hand_back(self, call: messages.PeerCall) -> None:
        custody = lease_messages.Custody
        right = self._right
        if right is None or right.phase is home.Phase.RESUMING:
            call.answer(lease_messages.HandBackReply(custody.DRAINING))
            return
        request = call.body
        self._book.close_epoch(request.home_id, request.guard_epoch)
        if right.acts_for(request.home_id, request.guard_epoch):
            right.drop_acted(request.home_id)
            self._publish()
            self._beat()
        if right.keeps_acting_for(request.home_id) or right.has_handed_back(
            request.home_id
        ):
            self.spawn(self._finish_drain(call))
        elif right.reclaimed:
            call.answer(lease_messages.HandBackReply(custody.NO_MEMORY))
        else:
            known = self._book.knowledge_of(request.home_id)
            call.answer(lease_messages.HandBackReply(custody.NOT_HELD, known))

    async def _finish_drain(self, call: messages.PeerCall) -> None:
        custody = lease_messages.Custody
        drained = await self._keeper.ask(messages.DrainHome(call.body.home_id))
        if drained and not self._right.keeps_acting_for(call.body.home_id):
            call.answer(
                lease_messages.HandBackReply(
                    custody.HANDED_BACK, self._right.in_force
                )
            )
        else:
            call.answer(lease_messages.HandBackReply(custody.DRAINING))

    def _describe(self) -> dict:
        if self._right is None:
            return {'phase': 'waiting for the store'}
        now_s = self._clock.now_s()
        return {
            'phase': self._right.phase.value,
            'holds': self._right.holds(now_s),
            'guard': {
                'epoch': self._right.guard.epoch,
                'standby': self._right.guard.standby_id,
                'witness': self._right.guard.witness_id,
            },
            'acts_for': sorted(
                home_id
                for home_id in self._right.holdings()
                if home_id != self._vm_id
            ),
            'lost': dict(self._right.in_force.lost_epochs_by_id),
        }
