"""Task that plans shard maps and writes them to the store.

Every daemon runs a planner, without leader election. Each delays its plans by
its rank among the live VMs, so that usually only the first one writes; if two
write at once, the conditional updates of the store reject one of them.
"""

import asyncio
import json
from typing import Any

from oriolefold_backend import ports as backend_ports
from oriolefold_coordination import loads, planning, shardmap
from oriolefold_coordination import messages as lease_messages
from oriolefold_core import data, errors, notices, tasks
from oriolefold_ownership import messages, names
from oriolefold_peer import messages as peer_messages
from oriolefold_store import ports, updates
from oriolefold_telemetry import logs

RANK_DELAY_S = 0.5  # Per rank; later ranks then find the map already written.
PLAN_INTERVAL_S = 1.0  # Minimum delay of a routine plan after a new map.
URGENT_DELAY_S = 0.05  # Batches simultaneous events into one write.
RETRY_INTERVAL_S = 0.5
PROBE_INTERVAL_S = 1.0
BALANCE_INTERVAL_S = 2.0
LOAD_TIMEOUT_S = 0.5
# Consecutive successful probes after which a lost instance is used again.
PROBES_UNTIL_RETURN = 3


class _Plan:
    """Message: a plan for a service is due."""

    def __init__(self, service_id: str):
        self.service_id = service_id


class _Balance:
    """Message: a check of the load balance is due."""


class _LoadsCollected:
    """Message: the loads of the shards of a service were collected.

    Attributes:
        service_id: Service of the shards.
        weights: Weight of each shard, by its load.
    """

    def __init__(self, service_id: str, weights: tuple[float, ...]):
        self.service_id = service_id
        self.weights = weights


class _Written:
    """Message: an attempt to write a map has ended.

    Attributes:
        service_id: Service of the map.
        retry: Whether the map must be planned again.
    """

    def __init__(self, service_id: str, retry: bool):
        self.service_id = service_id
        self.retry = retry


class _Probe:
    """Message: a probe of the lost instances is due."""


class _Probed:
    """Message: a probe of a lost instance has ended."""

    def __init__(self, instance_id: str, healthy: bool):
        self.instance_id = instance_id
        self.healthy = healthy


class Planner(tasks.Task):
    """Adapts the shard map of each keyed service to lost servers and loads."""

    def __init__(
        self,
        vm_id: str,
        store: ports.Store,
        backend: backend_ports.Backend,
        observer: tasks.Task,
        peers: tasks.Task,
    ):
        """Initializes the task.

        Args:
            vm_id: This VM.
            store: Port to the store.
            backend: Port to the instances, for probes.
            observer: Task that gets each map written by this one.
            peers: Task that calls other VMs, for the loads of their shards.
        """
        super().__init__('planner')
        self._vm_id = vm_id
        self._store = store
        self._backend = backend
        self._observer = observer
        self._peers = peers
        self._configuration: data.Configuration | None = None
        self._stored_by_service_id: dict[str, messages.MapStored] = {}
        self._lost_epochs_by_id: dict[str, int] = {}
        self._returned_ids: set[str] = set()
        self._successful_probes_by_id: dict[str, int] = {}
        self._acquired_epochs_by_service_id: dict[str, dict[int, int]] = {}
        self._vm_list: messages.VmListUpdated | None = None
        self._timers_by_service_id: dict[str, asyncio.TimerHandle] = {}
        self._writing_service_ids: set[str] = set()

    async def on_start(self) -> None:
        """Starts the periodic probes and load checks."""
        self.post_later(PROBE_INTERVAL_S, _Probe())
        self.post_later(BALANCE_INTERVAL_S, _Balance())

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case notices.ConfigurationUpdated():
                self._configuration = message.configuration
                self._schedule_all(self._rank_delay_s())
            case messages.MapStored():
                self._on_map_stored(message)
            case messages.InstanceLost():
                self._on_instance_lost(message)
            case messages.ShardsAcquired():
                known = self._acquired_epochs_by_service_id.setdefault(
                    message.service_id, {}
                )
                for shard, epoch in message.epochs_by_shard.items():
                    known[shard] = max(known.get(shard, 0), epoch)
                self._schedule_plan(message.service_id, RETRY_INTERVAL_S)
            case messages.VmListUpdated():
                changed, self._vm_list = message != self._vm_list, message
                # The first configuration schedules all plans by itself.
                if changed and self._configuration is not None:
                    self._schedule_all(self._rank_delay_s())
            case _Plan():
                self._plan(message.service_id)
            case _Written():
                self._writing_service_ids.discard(message.service_id)
                if message.retry:
                    self._schedule_plan(message.service_id, RETRY_INTERVAL_S)
            case _Balance():
                self._balance()
            case _LoadsCollected():
                self._rebalance(message)
            case _Probe():
                self._probe()
            case _Probed():
                self._on_probed(message)

    def _rank_delay_s(self) -> float:
        live = sorted(self._live_vm_ids())
        rank = live.index(self._vm_id) if self._vm_id in live else len(live)
        return rank * RANK_DELAY_S

    def _live_vm_ids(self) -> tuple[str, ...]:
        vm_ids = self._configuration.register.vms_by_id
        if self._vm_list is None:
            return tuple(vm_ids)
        present = tuple(
            vm_id
            for vm_id in vm_ids
            if vm_id in self._vm_list.live_ids
            and vm_id not in self._vm_list.leaving_ids
        )
        # A list without any registered VM is assumed to be faulty and ignored.
        return present or tuple(vm_ids)

    def _schedule_all(self, delay_s: float) -> None:
        services = self._configuration.register.services_by_id.values()
        for service in services:
            if service.keyed:
                self._schedule_plan(service.service_id, delay_s)

    def _schedule_plan(self, service_id: str, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        timer = self._timers_by_service_id.get(service_id)
        if timer is not None:
            if timer.when() <= loop.time() + delay_s:
                return
            timer.cancel()
        self._timers_by_service_id[service_id] = loop.call_later(
            delay_s, self.post, _Plan(service_id)
        )

    def _on_map_stored(self, stored: messages.MapStored) -> None:
        service_id = stored.shard_map.service_id
        known = self._stored_by_service_id.get(service_id)
        if known and known.version >= stored.version:
            return
        self._stored_by_service_id[service_id] = stored
        if self._configuration is not None:
            self._schedule_plan(
                service_id, PLAN_INTERVAL_S + self._rank_delay_s()
            )

    def _on_instance_lost(self, lost: messages.InstanceLost) -> None:
        known = self._lost_epochs_by_id.get(lost.instance_id, 0)
        self._lost_epochs_by_id[lost.instance_id] = max(known, lost.epoch)
        self._returned_ids.discard(lost.instance_id)
        for service_id, stored in self._stored_by_service_id.items():
            if _uses_lost(stored.shard_map, lost):
                self._schedule_plan(service_id, URGENT_DELAY_S)

    def _plan(self, service_id: str) -> None:
        self._timers_by_service_id.pop(service_id, None)
        if (
            self._configuration is None
            or service_id in self._writing_service_ids
        ):
            return
        service = self._configuration.register.services_by_id.get(service_id)
        if service is None or not service.keyed:
            return
        self._writing_service_ids.add(service_id)
        self.spawn(self._write(service_id))

    async def _write(
        self, service_id: str, weights: tuple[float, ...] = ()
    ) -> None:
        retry = False
        try:
            stored = self._stored_by_service_id.get(service_id)
            if stored:
                known = stored.shard_map
                if self._next_map(service_id, known, weights) is None:
                    return
            # The watched copy may be out of date, so the change is based on the
            # map as stored now.
            document = await updates.read(
                self._store, names.map_name(service_id)
            )
            planned = self._next_map(service_id, _map_of(document), weights)
            if planned is not None:
                await self._store_map(document, planned)
        except errors.VersionConflictError:
            retry = True
        except errors.StoreError as error:
            retry = True
            logs.event('map.write_failed', service=service_id, error=str(error))
        except errors.NoOwnerError as error:
            logs.event('map.plan_failed', service=service_id, error=str(error))
        finally:
            self.post(_Written(service_id, retry))

    def _next_map(
        self,
        service_id: str,
        current: shardmap.ShardMap | None,
        weights: tuple[float, ...],
    ) -> shardmap.ShardMap | None:
        """Returns the map to write, or None if the current one can stay.

        Shards on usable instances are moved only if `weights` are given.
        """
        acquired = self._acquired_epochs_by_service_id.get(service_id, {})
        base = (
            planning.clear_prior_homes(current, acquired) if current else None
        )
        plan_input = planning.PlanInput(
            self._configuration,
            self._live_vm_ids(),
            self._excluded_ids(current),
            weights,
            may_move=bool(weights),
        )
        planned = planning.plan(service_id, base, plan_input)
        if current is not None and planned.rows == current.rows:
            if planned.excluded_ids == current.excluded_ids:
                return None
        return planned

    def _excluded_ids(self, current) -> frozenset[str]:
        excluded = set(current.excluded_ids) if current else set()
        excluded -= self._returned_ids
        if current is not None:
            for instance_id, epoch in self._lost_epochs_by_id.items():
                lost = messages.InstanceLost(instance_id, epoch)
                if _uses_lost(current, lost):
                    excluded.add(instance_id)
        if self._vm_list is not None:
            excluded |= self._vm_list.leaving_ids
        return frozenset(excluded)

    async def _store_map(self, before, planned: shardmap.ShardMap) -> None:
        body = json.dumps(shardmap.to_record(planned)).encode()
        document = await updates.replace(self._store, before, body)
        # If the answer to the write was lost, the document may already be a
        # later map by another writer.
        written = shardmap.from_record(json.loads(document.body), document.name)
        logs.event(
            'map.written', service=written.service_id, epoch=written.epoch
        )
        self._observer.post(messages.MapStored(document.version, written))

    def _balance(self) -> None:
        """Collects the loads of all shards, on the first live VM only."""
        self.post_later(BALANCE_INTERVAL_S, _Balance())
        if self._configuration is None or self._rank_delay_s() > 0:
            return
        for service_id, stored in self._stored_by_service_id.items():
            self.spawn(
                self._collect_loads(service_id, stored.shard_map.shard_count)
            )

    async def _collect_loads(self, service_id: str, shard_count: int) -> None:
        request = lease_messages.LoadRequest(service_id)
        replies = await asyncio.gather(
            *(self._ask_load(vm_id, request) for vm_id in self._live_vm_ids())
        )
        rates_by_shard: dict[int, float] = {}
        for reply in replies:
            for shard, rate in reply.rates_by_shard.items():
                known = rates_by_shard.get(shard, 0.0)
                rates_by_shard[shard] = known + rate
        weights = loads.weights_of(rates_by_shard, shard_count)
        self.post(_LoadsCollected(service_id, weights))

    async def _ask_load(self, vm_id, request) -> lease_messages.LoadReply:
        try:
            async with asyncio.timeout(LOAD_TIMEOUT_S):
                return await self._peers.ask(
                    peer_messages.CallPeer(vm_id, request)
                )
        except (errors.OriolefoldError, TimeoutError):
            return lease_messages.LoadReply({})

    def _rebalance(self, collected: _LoadsCollected) -> None:
        service_id = collected.service_id
        service = self._configuration.register.services_by_id.get(service_id)
        if service is None or service_id in self._writing_service_ids:
            return
        shard_map = self._stored_by_service_id[service_id].shard_map
        usable = set(service.instances_by_id) - self._excluded_ids(shard_map)
        owner_ids = tuple(row.owner_id for row in shard_map.rows)
        if not usable or not set(owner_ids) <= usable:
            return
        if loads.needs_moves(owner_ids, collected.weights, tuple(usable)):
            self._writing_service_ids.add(service_id)
            self.spawn(self._write(service_id, collected.weights))

    def _probe(self) -> None:
        self.post_later(PROBE_INTERVAL_S, _Probe())
        if self._configuration is None or self._rank_delay_s() > 0:
            return
        for service_id, stored in self._stored_by_service_id.items():
            service = self._configuration.register.services_by_id.get(
                service_id
            )
            for instance_id in stored.shard_map.excluded_ids:
                instance = service and service.instances_by_id.get(instance_id)
                if instance is not None:
                    self.spawn(self._probe_one(instance))

    async def _probe_one(self, instance: data.Instance) -> None:
        try:
            state = await self._backend.health(instance)
            healthy = state is not backend_ports.HealthState.LEAVING
        except errors.OriolefoldError:
            healthy = False
        self.post(_Probed(instance.instance_id, healthy))

    def _on_probed(self, probed: _Probed) -> None:
        instance_id = probed.instance_id
        successes = self._successful_probes_by_id.get(instance_id, 0) + 1
        self._successful_probes_by_id[instance_id] = (
            successes if probed.healthy else 0
        )
        if self._successful_probes_by_id[instance_id] >= PROBES_UNTIL_RETURN:
            self._successful_probes_by_id[instance_id] = 0
            self._returned_ids.add(instance_id)
            logs.event('instance.returned', instance=instance_id)
            self._schedule_all(URGENT_DELAY_S)


def _map_of(document: updates.Document) -> shardmap.ShardMap | None:
    if document.version == ports.NEW_OBJECT:
        return None
    return shardmap.from_record(json.loads(document.body), document.name)


def _uses_lost(
    shard_map: shardmap.ShardMap, lost: messages.InstanceLost
) -> bool:
    """Whether a map uses a lost instance in a row that the loss covers."""
    return any(
        lost.instance_id in (row.owner_id, row.standby_id)
        and row.epoch <= lost.epoch
        for row in shard_map.rows
    )
