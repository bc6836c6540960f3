"""Task that runs the lease protocol of this VM.

A VM may send to the owners of its shards only under a lease, which it renews by
heartbeats to its guards, a standby and a witness. `protocol.LeaseProtocol` is
the state machine; this task passes messages and the time to it and executes the
commands that it returns.
"""

import asyncio
from typing import Any

from oriolefold_coordination import lease, protocol
from oriolefold_coordination import messages as lease_messages
from oriolefold_coordination import notices as coordination_notices
from oriolefold_core import clock, errors, tasks
from oriolefold_ownership import messages
from oriolefold_peer import messages as peer_messages
from oriolefold_telemetry import logs

RECORD_RETRY_S = 0.5
HAND_BACK_RETRY_S = 0.02
DRAIN_INTERVAL_S = 0.01


class _Tick:
    """Message: a heartbeat is due."""


class _RetryHandBack:
    """Message: the hand-back requests to the holders must be sent again."""


class _Replied:
    """Message: a call has ended; `reply` is None if it failed."""

    def __init__(self, call: protocol.Call, reply: Any):
        self.call = call
        self.reply = reply


class _Recorded:
    """Message: a guard record was written; `guard` is None if that failed."""

    def __init__(self, guard):
        self.guard = guard


class LeaseManager(tasks.Task):
    """Owns the state of the lease protocol and executes its commands."""

    def __init__(
        self,
        vm_id: str,
        incarnation: str,
        terms: lease.Terms,
        time: clock.Clock,
        peers: tasks.Task,
        shard_manager: tasks.Task,
    ):
        """Initializes the task.

        Args:
            vm_id: This VM.
            incarnation: Identity of the process, new at each start.
            terms: Timing parameters of the leases.
            time: Clock that measures the leases.
            peers: Task that calls other VMs.
            shard_manager: Task that gets the current lease after each event.
        """
        super().__init__('lease manager')
        self._vm_id = vm_id
        self._terms = terms
        self._clock = time
        self._peers = peers
        self._shard_manager = shard_manager
        self._guard_recorder: tasks.Task | None = None
        self._stepping_down: asyncio.Task | None = None
        self._protocol = protocol.LeaseProtocol(
            vm_id, incarnation, terms, time.now_s()
        )

    def connect(self, guard_recorder: tasks.Task) -> None:
        """Sets the task that writes the guard record."""
        self._guard_recorder = guard_recorder

    async def on_start(self) -> None:
        """Schedules the first heartbeat."""
        self.post(_Tick())

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        now_s = self._clock.now_s()
        match message:
            case messages.HandleLeaseMessage():
                self._on_lease_message(message, now_s)
            case _Tick():
                self.post_later(self._terms.heartbeat_interval_s, _Tick())
                self._execute(self._protocol.tick(now_s))
            case _RetryHandBack():
                self._execute(self._protocol.ask_holders(now_s))
            case _Replied():
                self._execute(
                    self._protocol.replied(message.call, message.reply, now_s)
                )
            case messages.GuardRecorded():
                self._execute(
                    self._protocol.begin(
                        message.guard, message.created_here, now_s
                    )
                )
            case _Recorded():
                self._execute(self._protocol.recorded(message.guard, now_s))
            case messages.InstanceLost():
                self._execute(
                    self._protocol.declare_lost(
                        message.instance_id, message.epoch, now_s
                    )
                )
            case messages.MapAdopted():
                self._on_map_adopted(message, now_s)
            case coordination_notices.GuardsUpdated():
                self._protocol.update_guards(message.guards_by_vm_id)
            case messages.StepDown():
                self._step_down(message, now_s)
            case messages.DescribeLease():
                message.answer(self._describe(now_s))

    def _execute(self, commands: list[protocol.Command]) -> None:
        for command in commands:
            match command:
                case protocol.Call():
                    self.spawn(self._call_and_post(command))
                case protocol.RecordEpoch():
                    self.spawn(self._record(command.epoch_before))
                case protocol.RetryHandBack():
                    self.post_later(HAND_BACK_RETRY_S, _RetryHandBack())
                case protocol.LogEvent():
                    logs.event(
                        command.name, home=command.home_id, epoch=command.epoch
                    )
        self._publish_lease()

    def _publish_lease(self) -> None:
        send_lease = self._protocol.send_lease()
        self._shard_manager.post(messages.LeaseUpdated(send_lease))

    async def _call_and_post(self, call: protocol.Call) -> None:
        reply = None
        try:
            reply = await self._call(call)
        finally:
            # The protocol waits for the end of each call.
            self.post(_Replied(call, reply))

    async def _call(self, call: protocol.Call) -> Any:
        try:
            async with asyncio.timeout(self._terms.call_limit_s):
                return await self._peers.ask(
                    peer_messages.CallPeer(call.vm_id, call.body)
                )
        except (errors.OriolefoldError, TimeoutError):
            return None

    async def _record(self, epoch_before: int) -> None:
        guard = None
        try:
            guard = await self._guard_recorder.ask(
                messages.RecordGuard(epoch_before)
            )
        except errors.OriolefoldError as error:
            logs.event('guard.record_failed', error=str(error))
            await asyncio.sleep(RECORD_RETRY_S)
        finally:
            self.post(_Recorded(guard))

    def _on_map_adopted(
        self, adopted: messages.MapAdopted, now_s: float
    ) -> None:
        if self._protocol.own is None:
            # The guards must store the epoch, so this is retried until the
            # guard record, which names them, was read.
            self.post_later(RECORD_RETRY_S, adopted)
            return
        self._execute(
            self._protocol.adopt_map(adopted.service_id, adopted.epoch, now_s)
        )

    def _on_lease_message(
        self, call: messages.HandleLeaseMessage, now_s: float
    ) -> None:
        match call.body:
            case lease_messages.Heartbeat():
                reply, commands = self._protocol.answer_heartbeat(
                    call.body, now_s
                )
                call.answer(reply)
                if commands:
                    self._execute(commands)
            case lease_messages.VoteRequest():
                call.answer(self._protocol.answer_vote(call.body, now_s))
            case lease_messages.HandBackRequest():
                self._hand_back(call, now_s)
            case lease_messages.ReleaseRequest():
                release = messages.ReleaseShards(call.body, reply=call.reply)
                self._shard_manager.post(release)
            case lease_messages.LoadRequest():
                query = messages.DescribeLoads(
                    call.body.service_id, reply=call.reply
                )
                self._shard_manager.post(query)
            case _:
                text = f'{type(call.body).__name__} is not a lease message'
                call.fail(errors.ProtocolError(text))

    def _hand_back(
        self, call: messages.HandleLeaseMessage, now_s: float
    ) -> None:
        reply, commands = self._protocol.answer_hand_back(call.body, now_s)
        if commands:
            self._execute(commands)
        if reply is not None:
            call.answer(reply)
        else:
            self.spawn(self._drain_and_answer(call), call)

    async def _drain_and_answer(
        self, call: messages.HandleLeaseMessage
    ) -> None:
        drained = await self._shard_manager.ask(
            messages.CheckHomeDrained(call.body.home_id)
        )
        now_s = self._clock.now_s()
        call.answer(self._protocol.finish_hand_back(call.body, drained, now_s))

    def _step_down(self, ask: messages.StepDown, now_s: float) -> None:
        if self._stepping_down is not None:
            self._stepping_down.add_done_callback(lambda _: ask.answer(None))
            return
        own = self._protocol.own
        if own is None or not own.holds(now_s):
            ask.answer(None)
            return
        logs.event('right.stepping_down', home=self._vm_id)
        self._protocol.step_down()
        self._publish_lease()
        self._stepping_down = self.spawn(self._finish_step_down(ask), ask)

    async def _finish_step_down(self, ask: messages.StepDown) -> None:
        while not await self._shard_manager.ask(messages.CheckAllDrained()):
            await asyncio.sleep(DRAIN_INTERVAL_S)
        for call in self._protocol.final_heartbeats(self._clock.now_s()):
            await self._call(call)
        ask.answer(None)

    def _describe(self, now_s: float) -> dict:
        own = self._protocol.own
        if own is None:
            return {'phase': 'waiting for the store'}
        return {
            'phase': own.phase.value,
            'holds': own.holds(now_s),
            'guard': {
                'epoch': own.guard.epoch,
                'standby': own.guard.standby_id,
                'witness': own.guard.witness_id,
            },
            'acts_for': sorted(
                home_id for home_id in own.holdings() if home_id != self._vm_id
            ),
            'lost': dict(own.in_force.lost_epochs_by_id),
        }
