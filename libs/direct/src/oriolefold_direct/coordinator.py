"""Task that coordinates one keyed service while this VM holds the office."""

import asyncio
import dataclasses
import random
from typing import Any

from oriolefold_coordination import (
    allotment,
    custody,
    office,
    ranges,
)
from oriolefold_core import clock, errors, tasks
from oriolefold_direct import (
    availability,
    documents,
    feeding,
    loadbook,
    messages,
    ports,
)
from oriolefold_routing import fleet
from oriolefold_store import ports as store_ports
from oriolefold_store import updates
from oriolefold_telemetry import counters, logs

REPORT_S = 0.5  # Pause between readings of the load on this VM.
FEW_KEYS = 4  # Requests that are not worth a report of their own.
REPORTS_WITH_TIMES = 4  # Every so many reports tell the times of instances.
READ_S = 1.0  # Mean pause between readings of the office by others.
SUSPICIOUS_READ_S = 0.4  # The same after a feed was lost.
FED_READ_S = 6.0  # The same while the holder feeds this VM.
STEP_S = 0.05  # Pause between steps when nothing happens.
FIRST_READ_S = 0.3  # Longest pause before the first reading.
SETTLE_S = 1.2  # Calm in the registry that the first assignment waits for.
SETTLE_LIMIT_S = 4.0  # Time after which it waits no longer.


@dataclasses.dataclass(frozen=True, slots=True)
class _GrantEnded:
    grant: custody.Grant
    result: ports.GrantResult


@dataclasses.dataclass(frozen=True, slots=True)
class _ReleaseEnded:
    release: custody.Release
    result: ports.ReleaseResult


@dataclasses.dataclass(frozen=True, slots=True)
class _Published:
    document: updates.Document | None
    key_map: ranges.KeyMap
    error: errors.StoreError | None


class Coordinator(tasks.Task):
    """Owns the office and the grants of one service."""

    def __init__(
        self,
        service_id: str,
        vm_id: str,
        incarnation: str,
        patience_s: float,
        own_address: str,
        store: feeding.FedStore,
        feed: feeding.Feed,
        instances: ports.Instances,
        peers: ports.Peers,
        dispatcher: tasks.Task,
        time: clock.Clock,
        available: availability.Availability,
        recorder: counters.Counters,
        generator: random.Random,
    ):
        super().__init__(f'coordinator {service_id}')
        self._service_id = service_id
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._own_address = own_address
        self._store = store
        self._feed = feed
        self._instances = instances
        self._peers = peers
        self._dispatcher = dispatcher
        self._clock = time
        self._availability = available
        self._metrics = recorder
        self._random = generator
        self._patience_s = patience_s
        self._vigil = office.Vigil(vm_id, incarnation, patience_s)
        self._office: updates.Document | None = None
        self._beat = 0
        self._authority_until_s = 0.0
        self._custodian: custody.Custodian | None = None
        self._map_document: updates.Document | None = None
        self._endpoints: tuple[fleet.Endpoint, ...] = ()
        self._loads = loadbook.LoadBook(time.now_s())
        self._weighed_at_s = 0.0
        self._holder_address = ''
        self._reports = 0
        self._unreported: tuple[int, ...] = ()
        self._registry_changed_at_s = 0.0
        self._settled_by_s = 0.0
        self._resigning = False

    async def on_start(self) -> None:
        """Starts to look after the office."""
        self.spawn(self._serve())

    async def resign(self) -> None:
        """Gives the office up, so that another VM takes it at once."""
        self._resigning = True
        if self._custodian is None or self._office is None:
            return
        tenure = dataclasses.replace(
            self._tenure(self._beat + 1), vm_id='', address=''
        )
        self._step_down('stopping')
        try:
            await updates.replace(
                self._store, self._office, documents.tenure_text(tenure)
            )
        except errors.StoreError as error:
            self._log('office.not_resigned', error=str(error))

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.EndpointsKnown():
                self._take_endpoints(message)
            case _GrantEnded():
                self._end_grant(message)
            case _ReleaseEnded():
                self._end_release(message)
            case _Published():
                self._end_publish(message)
            case messages.LoadReported():
                message.answer(self._take_load(message.vm_id, message.seen))
            case messages.Tick():
                await self._weigh()
                self._step()

    def _take_endpoints(self, known: messages.EndpointsKnown) -> None:
        endpoints = tuple(
            e
            for e in known.endpoints_by_id.values()
            if e.service_id == self._service_id
        )
        if endpoints == self._endpoints:
            return
        self._endpoints = endpoints
        self._registry_changed_at_s = self._clock.now_s()
        self._update_custodian()
        self._step()

    async def _serve(self) -> None:
        first_read_s = FIRST_READ_S * self._random.random()
        await asyncio.sleep(self._patience_s + first_read_s)
        while not self._resigning:
            if self._custodian is None:
                taken = await self._try_to_take_office()
                if not taken:
                    await self._follow()
                continue
            await self._prolong()
            for _ in range(round(office.HEARTBEAT_S / STEP_S)):
                self.post(messages.Tick())
                await asyncio.sleep(STEP_S)

    async def _follow(self) -> None:
        """Reports load until the office is to be read again.

        A holder that feeds this VM lives, so its office need not be read.
        """
        read_s = READ_S
        if self._store.is_fed:
            read_s = FED_READ_S
        elif self._store.has_failed:
            read_s = SUSPICIOUS_READ_S
        until_s = self._clock.now_s() + read_s * (
            0.75 + 0.5 * self._random.random()
        )
        fed = self._store.is_fed
        while self._clock.now_s() < until_s and self._store.is_fed == fed:
            await asyncio.sleep(REPORT_S)
            await self._report()

    async def _try_to_take_office(self) -> bool:
        name = documents.OFFICE_PREFIX + self._service_id
        try:
            found = await self._read_office(name)
            if found is None:
                return False
            before, inherited = found
            return await self._take_office(before, inherited)
        except errors.StoreError as error:
            self._availability.lose(error)
            return False
        except errors.ConfigurationError as error:
            self._log('office.unreadable', error=str(error))
            return False

    async def _read_office(self, name: str):
        """Returns the office to take and its last tenure, or None."""
        try:
            stored = await self._store.read_stale(name)
        except errors.ObjectNotFoundError:
            return updates.Document(name, store_ports.NEW_OBJECT, (), b''), None
        document = updates.opened(stored)
        tenure = documents.read_tenure(document.body, name)
        now_s = self._clock.now_s()
        self._follow_holder(tenure)
        if not self._vigil.observe(
            document.version, tenure, now_s, self._store.has_failed
        ):
            return None
        return document, tenure

    def _follow_holder(self, tenure: office.Tenure) -> None:
        """Lets the holder of the office tell of changes in the store."""
        self._holder_address = tenure.address if tenure.vm_id else ''
        if self._holder_address and tenure.incarnation != self._incarnation:
            self._store.follow(self._holder_address)

    async def _take_office(self, before, last: office.Tenure | None) -> bool:
        now_s = self._clock.now_s()
        self._beat = last.beat + 1 if last else 1
        tenure = self._tenure(self._beat)
        if last is not None:
            # Until the key map is read, the most that can be inherited.
            most_s = custody.inherited_until_s(0.0, True, last.inherited_s)
            tenure = dataclasses.replace(tenure, inherited_s=most_s)
        try:
            self._office = await updates.replace(
                self._store,
                before,
                documents.tenure_text(tenure),
                accept_later=False,
            )
        except errors.VersionConflictError:
            return False
        name = documents.KEY_MAP_PREFIX + self._service_id
        self._map_document = await updates.read(self._store, name)
        key_map = ranges.KeyMap(self._service_id)
        if self._map_document.body:
            key_map = documents.read_key_map(self._map_document.body, name)
        self._store.lead()
        self._feed.contact()
        self._feed.hold(self._service_id)
        self._authority_until_s = now_s + custody.AUTHORITY_S
        self._custodian = custody.Custodian(
            key_map, self._inherited_until_s(key_map, last)
        )
        self._update_custodian()
        self._log(
            'office.taken',
            last=last.vm_id if last else '',
            version=self._office.version,
            ranges=len(key_map.ranges),
        )
        self._settled_by_s = 0.0
        if not key_map.ranges:
            self._settled_by_s = self._clock.now_s() + SETTLE_LIMIT_S
        return True

    def _inherited_until_s(
        self, key_map: ranges.KeyMap, last: office.Tenure | None
    ) -> float:
        if last is None:
            if not key_map.ranges:
                return 0.0
            last = office.Tenure('unknown', '', 0)
        # This process can follow itself if another VM wrote the key map, which
        # then still acts.
        over = not last.vm_id or (
            last.vm_id == self._vm_id and last.incarnation != self._incarnation
        )
        return custody.inherited_until_s(
            self._clock.now_s(), not over, last.inherited_s
        )

    def _tenure(self, beat: int) -> office.Tenure:
        now_s = self._clock.now_s()
        inherited_s = 0.0
        if self._custodian is not None:
            inherited_s = self._custodian.inherited_s(now_s)
        return office.Tenure(
            self._vm_id,
            self._incarnation,
            beat,
            self._own_address,
            round(inherited_s, 3),
        )

    async def _prolong(self) -> None:
        sent_at_s = self._clock.now_s()
        tenure = self._tenure(self._beat + 1)
        try:
            self._office = await updates.replace(
                self._store,
                self._office,
                documents.tenure_text(tenure),
                accept_later=False,
            )
        except errors.VersionConflictError:
            self._step_down('another VM holds the office')
        except errors.StoreError as error:
            self._availability.lose(error)
            self._log('office.not_prolonged', error=str(error))
        else:
            self._beat += 1
            self._feed.contact()
            self._authority_until_s = sent_at_s + custody.AUTHORITY_S

    def _step_down(self, reason: str) -> None:
        if self._custodian is not None:
            self._log('office.left', reason=reason)
        self._custodian = None
        self._feed.leave(self._service_id)

    def _may_act(self) -> bool:
        return (
            self._custodian is not None
            and self._clock.now_s() < self._authority_until_s
        )

    def _update_custodian(self) -> None:
        if self._custodian is None:
            return
        candidates = [
            allotment.Candidate(_holder(e), self._loads.capacity(e))
            for e in self._endpoints
            if not e.draining
        ]
        registered = [_holder(e) for e in self._endpoints]
        self._custodian.update(candidates, registered)

    async def _read_load(self) -> messages.SeenLoad:
        return await self._dispatcher.ask(messages.ReadLoad(self._service_id))

    async def _weigh(self) -> None:
        now_s = self._clock.now_s()
        if now_s - self._weighed_at_s < REPORT_S:
            return
        self._weighed_at_s = now_s
        seen = await self._read_load()
        shares_by_id = self._take_load(self._vm_id, seen)
        self._dispatcher.post(messages.SharesKnown(shares_by_id))
        self._update_custodian()

    def _take_load(
        self, vm_id: str, seen: messages.SeenLoad
    ) -> dict[str, float]:
        """Takes what a VM has seen and returns its share of busy owners."""
        if self._custodian is None:
            return {}
        return self._loads.take(
            vm_id,
            seen,
            self._custodian.key_map,
            self._endpoints,
            self._clock.now_s(),
        )

    async def _report(self) -> None:
        """Tells the holder of the office which keys are asked for here.

        A report with few keys waits for the next one, so that many VMs with
        little to do each do not keep the holder busy.
        """
        fresh = await self._read_load()
        seen = messages.SeenLoad(
            self._unreported + fresh.keys, fresh.times_by_id
        )
        if not self._holder_address or not seen.keys:
            return
        if len(seen.keys) < FEW_KEYS and not self._unreported:
            self._unreported = seen.keys
            return
        self._unreported = ()
        self._reports += 1
        if self._reports % REPORTS_WITH_TIMES:
            seen = dataclasses.replace(seen, times_by_id={})
        report = messages.LoadReported(self._vm_id, self._service_id, seen)
        try:
            shares_by_id = await self._peers.report(
                self._holder_address, report
            )
            self._dispatcher.post(messages.SharesKnown(shares_by_id))
        except errors.OriolefoldError as error:
            # The holder balances by what the others tell it.
            self._log('load.not_reported', error=str(error))

    def _step(self) -> None:
        if not self._may_act():
            return
        now_s = self._clock.now_s()
        calm_s = now_s - self._registry_changed_at_s
        if now_s < self._settled_by_s and calm_s < SETTLE_S:
            return
        for action in self._custodian.step(now_s, self._loads.profile(now_s)):
            match action:
                case custody.Grant():
                    self.spawn(self._grant(action))
                case custody.Release():
                    self.spawn(self._release(action))
                case custody.Publish():
                    self.spawn(self._publish(action.key_map))

    async def _grant(self, grant: custody.Grant) -> None:
        result = ports.GrantResult.UNKNOWN
        try:
            result = await self._instances.grant(
                grant.key_range, custody.HOLD_S, grant.handover, self._may_act
            )
        finally:
            self._metrics.count_grant('grant', result.value)
            self.post(_GrantEnded(grant, result))

    async def _release(self, release: custody.Release) -> None:
        result = ports.ReleaseResult(False)
        try:
            result = await self._instances.release(
                release.key_range, release.holder
            )
        finally:
            self._metrics.count_grant('release', str(result.released))
            self.post(_ReleaseEnded(release, result))

    async def _publish(self, key_map: ranges.KeyMap) -> None:
        document, failure = None, None
        try:
            document = await updates.replace(
                self._store,
                self._map_document,
                documents.key_map_text(key_map),
                accept_later=False,
            )
        except errors.StoreError as error:
            failure = error
        self.post(_Published(document, key_map, failure))

    def _end_grant(self, ended: _GrantEnded) -> None:
        if self._custodian is None:
            return
        result = ended.result
        self._custodian.grant_ended(
            ended.grant,
            result is ports.GrantResult.TAKEN,
            result is ports.GrantResult.STALE,
            self._clock.now_s(),
        )
        if result is not ports.GrantResult.TAKEN:
            self._log_range('grant.failed', ended.grant.key_range, result.value)
        elif ended.grant.key_range.priors:
            self._log_range('grant.taken', ended.grant.key_range, result.value)
            # Renewals are many, and nothing follows from their ends.
            self._step()

    def _end_release(self, ended: _ReleaseEnded) -> None:
        if self._custodian is None:
            return
        result = ended.result
        handover = result.handover if result.released else None
        self._custodian.release_ended(
            ended.release, handover, self._clock.now_s()
        )
        self._log_range(
            'release.ended',
            ended.release.key_range,
            str(result.released),
            holder=ended.release.holder.instance_id,
        )
        self._step()

    def _end_publish(self, ended: _Published) -> None:
        if self._custodian is None:
            return
        if ended.document is None:
            self._custodian.publishing_failed(self._clock.now_s())
            self._log('key_map.not_written', error=str(ended.error))
            if isinstance(ended.error, errors.VersionConflictError):
                self._step_down('another VM wrote the key map')
            return
        self._map_document = ended.document
        self._custodian.published(ended.key_map)
        self._log(
            'key_map.written',
            version=ended.document.version,
            next_token=ended.key_map.next_token,
            moving=sum(1 for r in ended.key_map.ranges if r.priors),
        )
        self._dispatcher.post(
            messages.KeyMapKnown(ended.key_map, ended.document.version)
        )
        self._step()

    def _log_range(self, name, key_range, result: str, **fields) -> None:
        self._log(
            name,
            first=key_range.first,
            last=key_range.last,
            token=key_range.token,
            owner=key_range.owner.instance_id,
            result=result,
            **fields,
        )

    def _log(self, name: str, **fields) -> None:
        logs.event(name, service=self._service_id, **fields)


def _holder(endpoint: fleet.Endpoint) -> ranges.Holder:
    return ranges.Holder(
        endpoint.instance_id, endpoint.born_ms, str(endpoint.address)
    )
