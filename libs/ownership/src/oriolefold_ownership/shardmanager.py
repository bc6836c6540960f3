"""Task that sends keyed requests for the shards whose home is this VM.

It runs the state machine (`shardstate.ShardState`) of each shard: when the
owner of a shard changes, the task drains the old owner and waits for the end of
its grant. It sends again once the new owner has accepted a grant.
"""

import asyncio
import functools
import math
from typing import Any

from oriolefold_backend import ports
from oriolefold_coordination import loads, protocol, shardmap, shardstate
from oriolefold_coordination import messages as lease_messages
from oriolefold_coordination import notices as coordination_notices
from oriolefold_core import clock, data, errors, notices, tasks
from oriolefold_ownership import acquisition, messages
from oriolefold_routing import draining
from oriolefold_sending import messages as sending_messages
from oriolefold_telemetry import logs

MAX_WAITING_PER_SHARD = 512  # Requests that wait while a shard has no owner.

# Service ID and number of a shard.
ShardKey = tuple[str, int]


class _SendDone:
    """Message: a request to an owner has ended.

    Attributes:
        key: Shard of the request.
        target: Owner and token that it was sent with.
        stale: Whether the owner refused the token.
    """

    def __init__(self, key: ShardKey, target: shardstate.Target, stale: bool):
        self.key = key
        self.target = target
        self.stale = stale


class _DeadlinePassed:
    """Message: the deadline of a request that had to wait has passed.

    Attributes:
        key: Shard of the request.
        ask: The request, which may have been sent meanwhile.
    """

    def __init__(self, key: ShardKey, ask: messages.SendKeyed):
        self.key = key
        self.ask = ask


class ShardManager(tasks.Task):
    """Owns the states of the shards that this VM sends for.

    `connect` sets the other tasks, because they also refer to this one.
    """

    def __init__(self, vm_id: str, time: clock.Clock):
        super().__init__('shard manager')
        self._vm_id = vm_id
        self._clock = time
        self._maps_by_service_id: dict[str, shardmap.ShardMap] = {}
        self._keyed_service_ids: frozenset[str] = frozenset()
        self._lease = protocol.NO_LEASE
        self._states_by_shard: dict[ShardKey, shardstate.ShardState] = {}
        self._waiting_by_shard: dict[ShardKey, list[messages.SendKeyed]] = {}
        self._acquired_epochs_by_shard: dict[ShardKey, int] = {}
        self._loads_by_service_id: dict[str, loads.ShardLoads] = {}
        self._acquiring_maps: set[tuple[str, int]] = set()
        self._stops_at_s = math.inf
        self._has_stepped_down = False
        self._sender: tasks.Task | None = None
        self._granter: tasks.Task | None = None
        self._lease_manager: tasks.Task | None = None
        self._planner: tasks.Task | None = None
        self._acquirer: acquisition.Acquirer | None = None

    def connect(
        self,
        sender: tasks.Task,
        granter: tasks.Task,
        lease_manager: tasks.Task,
        planner: tasks.Task,
        acquirer: acquisition.Acquirer,
    ) -> None:
        """Sets the tasks that the shard manager posts messages to."""
        self._sender = sender
        self._granter = granter
        self._lease_manager = lease_manager
        self._planner = planner
        self._acquirer = acquirer

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.SendKeyed():
                self._dispatch(message)
            case _SendDone():
                self._on_send_done(message)
            case _DeadlinePassed():
                self._on_deadline_passed(message)
            case sending_messages.Drain():
                self._drain(message.stops_at_s)
            case messages.LeaseUpdated():
                self._on_lease_updated(message.lease)
            case messages.Granted():
                self._on_granted(message)
            case messages.GrantEnded():
                key = (message.service_id, message.shard)
                state = self._states_by_shard.get(key)
                if state is not None:
                    self._apply_step(
                        key, state.grant_ended(message.instance_id)
                    )
            case messages.InstanceUnresponsive():
                self._declare_lost(message.instance_id)
            case (
                messages.ReleaseShards()
                | messages.CheckHomeDrained()
                | messages.CheckAllDrained()
                | messages.DescribeLoads()
                | messages.RefuseWaiting()
            ):
                message.answer(self._reply_to(message))
            case messages.ShardsAcquired():
                self._on_acquired(message)
            case coordination_notices.MapUpdated():
                self._on_map(message.shard_map)
            case coordination_notices.GuardsUpdated():
                self._acquirer.update_guards(message.guards_by_vm_id)
            case notices.ConfigurationUpdated():
                self._configure(message.configuration)

    def _reply_to(self, ask: tasks.Ask) -> Any:
        match ask:
            case messages.ReleaseShards():
                return self._release(ask.request)
            case messages.CheckHomeDrained():
                return self._is_drained(ask.home_id)
            case messages.DescribeLoads():
                return self._describe_loads(ask.service_id)
            case messages.RefuseWaiting():
                text = f'{self._vm_id} stops before the request was sent'
                for key in list(self._waiting_by_shard):
                    self._refuse_waiting(key, errors.StoppingError, text)
                return None
        return self._all_drained()

    def _configure(self, configuration) -> None:
        services = configuration.register.services_by_id.values()
        self._keyed_service_ids = frozenset(
            service.service_id for service in services if service.keyed
        )
        for service_id in list(self._maps_by_service_id):
            self._update_targets(service_id)

    def _on_map(self, shard_map: shardmap.ShardMap) -> None:
        known = self._maps_by_service_id.get(shard_map.service_id)
        if known is not None and known.epoch >= shard_map.epoch:
            return
        self._maps_by_service_id[shard_map.service_id] = shard_map
        self._update_targets(shard_map.service_id)
        self._lease_manager.post(
            messages.MapAdopted(shard_map.service_id, shard_map.epoch)
        )

    def _on_lease_updated(self, lease: protocol.SendLease) -> None:
        before, self._lease = self._lease, lease
        unchanged = (
            before.holdings_by_home_id == lease.holdings_by_home_id
            and before.knowledge == lease.knowledge
        )
        if not unchanged:
            for service_id in list(self._maps_by_service_id):
                self._update_targets(service_id)

    def _update_targets(self, service_id: str) -> None:
        """Recomputes the target (owner and token) of each shard."""
        shard_map = self._maps_by_service_id[service_id]
        holdings_by_home_id = self._lease.holdings_by_home_id
        known_epochs = self._lease.knowledge.map_epochs_by_service_id
        usable = (
            service_id in self._keyed_service_ids
            and shard_map.epoch >= known_epochs.get(service_id, 0)
        )
        to_acquire: list[int] = []
        for shard, row in enumerate(shard_map.rows):
            key = (service_id, shard)
            holding = holdings_by_home_id.get(row.home_id) if usable else None
            if holding is not None and not self._is_acquired(key, row):
                to_acquire.append(shard)
                holding = None
            lost = self._lease.knowledge.lost_epochs_by_id
            target = shardstate.target_of(row, holding, lost)
            state = self._states_by_shard.get(key)
            if state is None and target is not None:
                state = self._states_by_shard[key] = shardstate.ShardState()
            if state is not None:
                self._apply_step(key, state.set_target(target))
        self._drop_removed_shards(service_id, shard_map.shard_count)
        if to_acquire:
            self._acquire(shard_map, to_acquire)

    def _drop_removed_shards(self, service_id: str, shard_count: int) -> None:
        for key, state in self._states_by_shard.items():
            if key[0] == service_id and key[1] >= shard_count:
                self._apply_step(key, state.set_target(None))

    def _is_acquired(self, key: ShardKey, row: shardmap.Row) -> bool:
        if not row.prior_home_ids:
            return True
        return self._acquired_epochs_by_shard.get(key) == row.epoch

    def _acquire(self, shard_map, shards: list[int]) -> None:
        map_key = (shard_map.service_id, shard_map.epoch)
        if map_key in self._acquiring_maps:
            return
        self._acquiring_maps.add(map_key)
        epochs_by_shard = {
            shard: shard_map.rows[shard].epoch for shard in shards
        }
        child = self.spawn_loop(
            functools.partial(
                self._acquirer.acquire, shard_map, epochs_by_shard, self
            )
        )
        child.add_done_callback(lambda _: self._acquiring_maps.discard(map_key))

    def _on_acquired(self, acquired: messages.ShardsAcquired) -> None:
        for shard, epoch in acquired.epochs_by_shard.items():
            key = (acquired.service_id, shard)
            known = self._acquired_epochs_by_shard.get(key, 0)
            # Acquisitions for an earlier and a later map run side by side.
            self._acquired_epochs_by_shard[key] = max(known, epoch)
        if acquired.service_id in self._maps_by_service_id:
            self._update_targets(acquired.service_id)
        self._planner.post(acquired)

    def _apply_step(self, key: ShardKey, step: shardstate.Step) -> None:
        state = self._states_by_shard[key]
        service_id, shard = key
        if step is shardstate.Step.GRANT:
            target = state.target
            fence = ports.Fence(shard, target.token)
            self._granter.post(
                messages.RequestGrant(target.instance_id, service_id, fence)
            )
        elif step is shardstate.Step.END:
            instance_id = state.granted.instance_id
            self._granter.post(
                messages.EndGrant(instance_id, service_id, shard)
            )
        if state.target is None:
            text = f'{self._vm_id} is no longer the home of the shard'
            self._refuse_waiting(key, errors.NotHomeError, text)

    def _dispatch(self, ask: messages.SendKeyed) -> None:
        if ask.reply.done():
            return
        key = (ask.request.service_id, ask.shard)
        state = self._states_by_shard.get(key)
        if state is None or state.target is None:
            ask.fail(
                errors.NotHomeError(
                    f'{self._vm_id} is not the home of the shard'
                )
            )
        elif self._clock.now_s() >= self._lease.valid_until_s:
            text = f'{self._vm_id}: the send lease has expired'
            ask.fail(errors.NoOwnerError(text))
        elif not self._may_send(ask.request):
            ask.fail(self._stopping_error())
            self._step_down()
        elif state.phase is shardstate.Phase.SERVING:
            self._send(key, state, ask)
        else:
            self._enqueue(key, ask)

    def _may_send(self, request: data.Request) -> bool:
        """Whether a request can end before this VM stops."""
        return draining.may_send(request.expires_at_s, self._stops_at_s)

    def _drain(self, stops_at_s: float) -> None:
        """Refuses the waiting requests that cannot end before the stop."""
        self._stops_at_s = stops_at_s
        for waiting in self._waiting_by_shard.values():
            late = [ask for ask in waiting if not self._may_send(ask.request)]
            for ask in late:
                waiting.remove(ask)
                ask.fail(self._stopping_error())
                self._step_down()

    def _step_down(self) -> None:
        """Hands over the keys, which a standby can serve from now on."""
        if not self._has_stepped_down:
            self._has_stepped_down = True
            self._lease_manager.post(messages.StepDown())

    def _stopping_error(self) -> errors.StoppingError:
        text = f'{self._vm_id} stops before the request is sure to end'
        return errors.StoppingError(text)

    def _enqueue(self, key: ShardKey, ask: messages.SendKeyed) -> None:
        waiting = self._waiting_by_shard.setdefault(key, [])
        if len(waiting) >= MAX_WAITING_PER_SHARD:
            waiting[:] = [other for other in waiting if not other.reply.done()]
        if len(waiting) >= MAX_WAITING_PER_SHARD:
            ask.fail(
                errors.NoOwnerError(
                    'too many requests wait for the shard owner'
                )
            )
        else:
            waiting.append(ask)
            left_s = ask.request.expires_at_s - self._clock.now_s()
            self.post_later(max(0.0, left_s), _DeadlinePassed(key, ask))

    def _on_deadline_passed(self, passed: _DeadlinePassed) -> None:
        waiting = self._waiting_by_shard.get(passed.key, [])
        if passed.ask in waiting:
            waiting.remove(passed.ask)
            text = 'deadline expired while waiting for the owner of the key'
            passed.ask.fail(errors.DeadlineExpiredError(text))

    def _refuse_waiting(
        self, key: ShardKey, error_class: type[errors.NotRunError], text: str
    ) -> None:
        for ask in self._waiting_by_shard.pop(key, ()):
            ask.fail(error_class(text))

    def _describe_loads(self, service_id: str) -> lease_messages.LoadReply:
        known = self._loads_by_service_id.get(service_id)
        rates = known.rates(self._clock.now_s()) if known else {}
        return lease_messages.LoadReply(rates)

    def _send(
        self, key, state: shardstate.ShardState, ask: messages.SendKeyed
    ) -> None:
        target = state.target
        state.request_sent()
        service_id, shard = key
        shard_loads = self._loads_by_service_id.get(service_id)
        if shard_loads is None:
            shard_loads = loads.ShardLoads(self._clock.now_s())
            self._loads_by_service_id[service_id] = shard_loads
        shard_loads.record(shard)
        permit = ports.Permit(
            self._clock,
            self._lease.valid_until_s,
            ports.Fence(ask.shard, target.token),
        )
        ask.reply.add_done_callback(
            functools.partial(self._on_sent, key, target)
        )
        self._sender.post(
            sending_messages.SendTo(
                target.instance_id, ask.request, permit, reply=ask.reply
            )
        )

    def _on_sent(self, key, target, reply: asyncio.Future) -> None:
        error = None if reply.cancelled() else reply.exception()
        stale = isinstance(error, errors.StaleTokenError)
        self.post(_SendDone(key, target, stale))

    def _on_send_done(self, done: _SendDone) -> None:
        state = self._states_by_shard[done.key]
        self._apply_step(done.key, state.request_done())
        if done.stale:
            self._apply_step(done.key, state.grant_refused(done.target))

    def _on_granted(self, granted: messages.Granted) -> None:
        key = (granted.service_id, granted.fence.shard)
        state = self._states_by_shard.get(key)
        if state is None:
            return
        state.grant_accepted(
            shardstate.Target(granted.instance_id, granted.fence.token)
        )
        if state.phase is shardstate.Phase.SERVING:
            for ask in self._waiting_by_shard.pop(key, ()):
                self._dispatch(ask)

    def _declare_lost(self, instance_id: str) -> None:
        """Declares a server lost for all rows of the current maps."""
        # The next owner is granted only after the requests to the lost server
        # have ended, so they are abandoned rather than left to their deadlines.
        self._sender.post(sending_messages.AbandonInstance(instance_id))
        for service_id, shard_map in self._maps_by_service_id.items():
            used = any(
                instance_id in (row.owner_id, row.standby_id)
                for row in shard_map.rows
            )
            if not used:
                continue
            logs.event(
                'instance.lost',
                instance=instance_id,
                service=service_id,
                epoch=shard_map.epoch,
            )
            lost = messages.InstanceLost(instance_id, shard_map.epoch)
            self._lease_manager.post(lost)
            self._planner.post(lost)

    def _release(
        self, request: lease_messages.ReleaseRequest
    ) -> lease_messages.ReleaseReply:
        lease = self._lease
        authoritative = request.prior_home_id in lease.holdings_by_home_id
        if not authoritative or self._clock.now_s() >= lease.valid_until_s:
            return lease_messages.ReleaseReply(False)
        known = lease.knowledge.map_epochs_by_service_id
        # Release only after the guards have stored the epoch of this map.
        # Otherwise a takeover could resume from an older map and send for the
        # released shards again.
        if known.get(request.service_id, 0) < request.epoch:
            return lease_messages.ReleaseReply(True)
        released = tuple(
            shard
            for shard in request.shards
            if self._is_released((request.service_id, shard))
        )
        return lease_messages.ReleaseReply(True, released)

    def _is_released(self, key: ShardKey) -> bool:
        state = self._states_by_shard.get(key)
        return state is None or (state.target is None and state.released)

    def _all_drained(self) -> bool:
        if self._lease.holdings_by_home_id:
            return False
        return all(state.released for state in self._states_by_shard.values())

    def _is_drained(self, home_id: str) -> bool:
        if home_id in self._lease.holdings_by_home_id:
            return False
        return all(
            self._is_released((shard_map.service_id, shard))
            for shard_map in self._maps_by_service_id.values()
            for shard in shard_map.shards_of_home(home_id)
        )
