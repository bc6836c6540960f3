"""Leader election and key ownership of one keyed service.

Each VM runs one coordinator per keyed service. The VMs elect a leader by
heartbeats in the store; the leader assigns key ranges to instances and grants
them with fencing tokens. The other VMs report their load to it.
"""

import asyncio
import dataclasses
import random
from typing import Any

from oriolefold_coordination import (
    leaderelection,
    rangeleases,
    ranges,
)
from oriolefold_core import clock, errors, tasks
from oriolefold_direct import (
    candidates,
    changefeed,
    documents,
    following,
    leadercalls,
    leaderrecords,
    loadreports,
    loadtracker,
    messages,
    ports,
    warmupgrants,
)
from oriolefold_routing import announcements, warmup
from oriolefold_store import ports as store_ports
from oriolefold_store import updates
from oriolefold_telemetry import counters, logs

LOAD_REPORT_INTERVAL_S = 0.5
READ_INTERVAL_S = 1.0  # Mean interval of leader record reads by other VMs.
SUSPECTED_READ_INTERVAL_S = 0.4  # The same after polling the leader failed.
FOLLOWING_READ_INTERVAL_S = 6.0  # The same while following the leader's feed.
STEP_INTERVAL_S = 0.05  # Interval between steps without other events.
MAX_FIRST_READ_DELAY_S = 0.3  # Random; spreads VMs that start together.
SETTLE_S = 1.2  # Time without registry changes before the first assignment.
SETTLE_LIMIT_S = 4.0  # Longest wait for the registrations to settle.
# Between requests to a silent former leader, whose process may be restarted.
END_TERMS_RETRY_S = 2.0
DEFAULT_WARM_UP_LIMITS = warmup.WarmUpLimits()


class Coordinator(tasks.Task):
    """Owns the leadership state and the grants of one service."""

    def __init__(
        self,
        service_id: str,
        vm_id: str,
        incarnation: str,
        takeover_delay_s: float,
        own_address: str,
        store: following.FollowerStore,
        feed: changefeed.ChangeFeed,
        instances: ports.Instances,
        peers: ports.Peers,
        dispatcher: tasks.Task,
        time: clock.Clock,
        recorder: counters.Counters,
        generator: random.Random,
        warm_up_limits: warmup.WarmUpLimits = DEFAULT_WARM_UP_LIMITS,
    ):
        """Initializes the task.

        Args:
            service_id: The service.
            vm_id: This VM.
            incarnation: Random identifier of this process.
            takeover_delay_s: Extra delay before this VM takes over leadership,
                which gives precedence to other VMs.
            own_address: Address of this VM's status server.
            store: Store whose watches follow the leader's change feed.
            feed: Change feed that this VM serves as leader.
            instances: Client for the instances.
            peers: Client for the other VMs.
            dispatcher: Task that observes load and applies shares and key
                maps.
            time: Clock.
            recorder: Metrics of grants and releases.
            generator: Source of random numbers.
            warm_up_limits: Bound on the requests to a cold instance.
        """
        super().__init__(f'coordinator {service_id}')
        self._service_id = service_id
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._store = store
        self._feed = feed
        self._instances = instances
        self._peers = peers
        self._dispatcher = dispatcher
        self._clock = time
        self._metrics = recorder
        self._random = generator
        self._takeover_delay_s = takeover_delay_s
        self._records = leaderrecords.LeaderRecords(
            store,
            service_id,
            leaderelection.LeaderRecord(vm_id, incarnation, 0, own_address),
            takeover_delay_s,
        )
        self._authority_until_s = 0.0
        self._sole_leader_until_s = 0.0
        self._lease_manager: rangeleases.RangeLeaseManager | None = None
        # Version of the leader record by which this VM was last elected.
        self._term_version = store_ports.NEW_OBJECT
        self._ended_before_version = store_ports.NEW_OBJECT
        self._grants_in_flight: set[asyncio.Task] = set()
        self._former_leader: leaderelection.LeaderRecord | None = None
        self._map_document: updates.Document | None = None
        self._map_era = 0  # Era of the store in which the map was read.
        self._candidates = candidates.Candidates(service_id)
        self._load_tracker = loadtracker.LoadTracker(time.now_s(), service_id)
        self._load_updated_at_s = 0.0
        self._load_reporter = loadreports.LoadReporter(
            service_id, vm_id, peers, dispatcher
        )
        self._warm_up_grants = warmupgrants.WarmUpGrants(
            service_id, warm_up_limits, recorder
        )
        self._registry_changed_at_s = 0.0
        self._settle_deadline_s = 0.0
        self._resigning = False

    async def on_start(self) -> None:
        """Starts the election loop."""
        self._store.expect_leader()
        self.spawn_loop(self._run_election)

    async def resign(self) -> None:
        """Resigns leadership, so that another VM can take over at once."""
        self._resigning = True
        has_led = self._lease_manager is not None
        inherited_s = self._inherited_s()
        if has_led:
            self._step_down('stopping')
            # The next leader counts leases from its own election.
            await self._wait_for_grants()
        # A takeover in progress gives the leadership back before it ends. The
        # record of a heartbeat in progress is the one to replace.
        async with self._records.lock:
            if has_led:
                await self._write_resignation(inherited_s)

    async def _write_resignation(self, inherited_s: float) -> None:
        try:
            await self._records.resign(inherited_s)
        except errors.StoreError as error:
            self._log('leadership.resign_failed', error=str(error))

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.WarmUpRateUpdated():
                self._warm_up_grants.set_rate(message.rate_per_s)
            case messages.EndpointsUpdated():
                self._update_endpoints(message)
            case leadercalls.CallEnded() if not self._is_term_of(
                message.lease_manager
            ):
                pass
            case leadercalls.GrantEnded():
                self._handle_grant_ended(message)
            case leadercalls.ReleaseEnded():
                self._handle_release_ended(message)
            case leadercalls.PublishEnded():
                self._handle_publish_ended(message)
            case messages.LoadReport():
                message.answer(
                    self._record_load(
                        message.vm_id, message.load, message.reads_admissions
                    )
                )
            case messages.EndTerms():
                self._end_terms(message)
            case leadercalls.FormerLeaderAnswered():
                self._handle_former_leader_answered(message)
            case messages.Tick():
                await self._update_own_load()
                self._step()

    def _update_endpoints(self, update: messages.EndpointsUpdated) -> None:
        if not self._candidates.update(
            update.endpoints_by_id, update.key_zone_ids
        ):
            return
        if self._candidates.has_changed:
            self._registry_changed_at_s = self._clock.now_s()
        self._update_candidates()
        self._step()

    async def _run_election(self) -> None:
        if self._lease_manager is None:
            first_delay_s = MAX_FIRST_READ_DELAY_S * self._random.random()
            await asyncio.sleep(self._takeover_delay_s + first_delay_s)
        while not self._resigning:
            if self._lease_manager is None:
                became_leader = await self._try_to_lead()
                if not became_leader:
                    await self._report_until_next_read()
                continue
            await self._renew_leadership()
            for _ in range(round(leaderelection.HEARTBEAT_S / STEP_INTERVAL_S)):
                self.post(messages.Tick())
                await asyncio.sleep(STEP_INTERVAL_S)

    async def _report_until_next_read(self) -> None:
        """Reports load until the leader record is due to be read again.

        A leader whose feed this VM follows is alive, so its record is read
        less often.
        """
        interval_s = READ_INTERVAL_S
        if self._store.is_following:
            interval_s = FOLLOWING_READ_INTERVAL_S
        elif (
            self._store.is_leader_suspected or self._store.is_waiting_for_leader
        ):
            interval_s = SUSPECTED_READ_INTERVAL_S
        until_s = self._clock.now_s() + interval_s * (
            0.75 + 0.5 * self._random.random()
        )
        was_following = self._store.is_following
        while (
            self._clock.now_s() < until_s
            and self._store.is_following == was_following
        ):
            left_s = until_s - self._clock.now_s()
            await asyncio.sleep(min(LOAD_REPORT_INTERVAL_S, left_s))
            reported = await self._load_reporter.report(
                self._records.leader_address
            )
            if not reported:
                # A relay serves the feed of a lost leader on, so that only
                # this shows that there may be another one.
                break

    async def _try_to_lead(self) -> bool:
        try:
            vacancy = await self._records.find_vacancy(
                self._clock.now_s(), self._store.is_leader_suspected
            )
            if self._records.feed_address:
                self._store.follow(self._records.feed_address)
            if vacancy is None or self._resigning:
                return False
            async with self._records.lock:
                return await self._become_leader(vacancy)
        except errors.StoreError:
            return False
        except errors.ConfigurationError as error:
            self._log('leadership.unreadable', error=str(error))
            return False

    async def _become_leader(self, vacancy: leaderrecords.Vacancy) -> bool:
        now_s = self._clock.now_s()
        previous, max_inherited_s = vacancy.previous, 0.0
        if previous is not None:
            # Upper bound until the key map has been read.
            max_inherited_s = rangeleases.inherited_until_s(
                0.0, True, previous.inherited_s
            )
        try:
            await self._records.claim(vacancy, max_inherited_s)
        except errors.VersionConflictError:
            return False
        name = documents.KEY_MAP_PREFIX + self._service_id
        if not self._resigning:
            self._map_document = await updates.read(self._store, name)
        if self._resigning:
            await self._give_back(max_inherited_s)
            return False
        if (
            self._records.version < self._ended_before_version
            or self._records.era < self._store.era
        ):
            # Another VM was elected meanwhile and was told that this one will
            # not act, or the store has been restored.
            self._log('leadership.superseded', beat=self._records.beat)
            return False
        key_map = ranges.KeyMap(self._service_id)
        if self._map_document.body:
            key_map = documents.decode_key_map(self._map_document.body, name)
        self._store.stop_following()
        self._feed.advance_contact(now_s)
        self._feed.start_leading(self._service_id)
        self._extend_authority(now_s)
        self._term_version = self._records.version
        self._map_era = self._records.era
        self._lease_manager = self._make_lease_manager(key_map, vacancy)
        self._warm_up_grants.start_term(self._clock.now_s())
        self._former_leader = previous
        self._update_candidates()
        self._log(
            'leadership.acquired',
            previous=previous.vm_id if previous else '',
            version=self._records.version,
            from_copy=vacancy.all_leases_ended,
            ranges=len(key_map.ranges),
        )
        self._settle_deadline_s = 0.0
        if not key_map.ranges:
            self._settle_deadline_s = self._clock.now_s() + SETTLE_LIMIT_S
        return True

    async def _give_back(self, inherited_s: float) -> None:
        """Resigns a leadership under which this VM has not acted."""
        self._log('leadership.given_back', beat=self._records.beat)
        # Without the key map it is unknown whether an earlier leader still
        # acts, so its authority and its leases are allowed for.
        await self._write_resignation(
            rangeleases.inherited_until_s(0.0, True, inherited_s)
        )

    def _make_lease_manager(
        self, key_map: ranges.KeyMap, vacancy: leaderrecords.Vacancy
    ) -> rangeleases.RangeLeaseManager:
        previous, era = vacancy.previous, self._records.era
        if vacancy.all_leases_ended or (
            previous is None and not key_map.ranges
        ):
            return rangeleases.RangeLeaseManager(key_map, 0.0, era=era)
        if previous is None:
            previous = leaderelection.LeaderRecord('unknown', '', 0)
        # A record of this same process does not prove that no other VM acts as
        # leader: when another VM has written the key map, this process steps
        # down and may be elected again while that VM is still active.
        previous_stopped = not previous.vm_id or (
            previous.vm_id == self._vm_id
            and previous.incarnation != self._incarnation
        )
        now_s = self._clock.now_s()
        inherited_until_s = rangeleases.inherited_until_s(
            now_s, not previous_stopped, previous.inherited_s
        )
        return rangeleases.RangeLeaseManager(
            key_map,
            inherited_until_s,
            now_s + previous.inherited_s,
            era,
            previous.era,
        )

    def _end_terms(self, ask: messages.EndTerms) -> None:
        """Ends the terms that began before another VM was elected."""
        is_leader = self._lease_manager is not None
        if is_leader and (
            store_ports.era_of(ask.version)
            < store_ports.era_of(self._term_version)
        ):
            # The asker does not know of the restore, or of eras at all.
            ask.fail(errors.ProtocolError('the version is of an earlier era'))
            return
        self._ended_before_version = max(
            self._ended_before_version, ask.version
        )
        if is_leader and self._term_version < ask.version:
            self._step_down('another VM is the leader')
        self.spawn(self._answer_after_grants(ask), ask)

    async def _answer_after_grants(self, ask: messages.EndTerms) -> None:
        await self._wait_for_grants()
        ask.answer(
            leaderelection.TermsEnded(
                self._vm_id, self._incarnation, ask.version
            )
        )

    async def _wait_for_grants(self) -> None:
        """Waits until the grants of the ended term have ended."""
        if self._grants_in_flight:
            await asyncio.wait(set(self._grants_in_flight))

    def _ask_former_leader(self) -> None:
        """Asks the former leader once in a term to end its own ones.

        It is asked after the first write of the key map, since this VM cannot
        renew leases before that.
        """
        former, self._former_leader = self._former_leader, None
        if (
            former is not None
            and former.address
            and former.incarnation != self._incarnation
        ):
            self.spawn(
                self._end_former_terms(
                    former, self._lease_manager, self._term_version
                )
            )

    async def _end_former_terms(
        self,
        former: leaderelection.LeaderRecord,
        lease_manager: rangeleases.RangeLeaseManager,
        version: int,
    ) -> None:
        while self._is_term_of(
            lease_manager
        ) and lease_manager.awaits_previous_leader(self._clock.now_s()):
            try:
                statement = await self._peers.end_terms(
                    former.address, self._service_id, version
                )
            except errors.OriolefoldError as error:
                self._log('leadership.former_silent', error=str(error))
                await asyncio.sleep(END_TERMS_RETRY_S)
            else:
                self.post(
                    leadercalls.FormerLeaderAnswered(
                        lease_manager, former, statement
                    )
                )
                return

    def _handle_former_leader_answered(
        self, answered: leadercalls.FormerLeaderAnswered
    ) -> None:
        has_ended = leaderelection.has_ended(
            answered.former, self._term_version, answered.statement
        )
        if has_ended:
            self._lease_manager.previous_leader_ended(self._clock.now_s())
        self._log(
            'leadership.former_answered',
            former=answered.former.vm_id,
            vm=answered.statement.vm_id,
            same_process=(
                answered.statement.incarnation == answered.former.incarnation
            ),
            has_ended=has_ended,
        )
        self._step()

    def _inherited_s(self) -> float:
        if self._lease_manager is None:
            return 0.0
        return round(self._lease_manager.inherited_s(self._clock.now_s()), 3)

    async def _renew_leadership(self) -> None:
        sent_at_s = self._clock.now_s()
        try:
            await self._write_heartbeat()
            if self._lease_manager is not None:
                await self._go_on_after_restore(self._lease_manager)
        except errors.VersionConflictError:
            self._step_down('another VM is the leader')
        except errors.ConfigurationError as error:
            self._step_down(str(error))
        except errors.StoreError as error:
            self._log('leadership.renewal_failed', error=str(error))
        else:
            self._feed.advance_contact(sent_at_s)
            self._extend_authority(sent_at_s)

    async def _write_heartbeat(self) -> None:
        try:
            await self._records.renew(self._inherited_s())
        except errors.VersionConflictError:
            # The stored record may be a copy that was restored. A leader that
            # no longer acts has no better knowledge than the store.
            if (
                not self._has_authority()
                or not await self._records.renew_in_restored_store(
                    self._inherited_s()
                )
            ):
                raise

    async def _go_on_after_restore(
        self, lease_manager: rangeleases.RangeLeaseManager
    ) -> None:
        """Goes on from the own key map, which is newer than a restored one.

        Raises:
            VersionConflictError: If the stored map is newer.
        """
        era = self._records.era
        if era == self._map_era:
            return
        if not self._has_authority():
            raise errors.VersionConflictError(
                'the store was restored while this VM could not act'
            )
        name = documents.KEY_MAP_PREFIX + self._service_id
        document = await updates.read(self._store, name)
        stored = ranges.KeyMap(self._service_id)
        if document.body:
            stored = documents.decode_key_map(document.body, name)
        if not lease_manager.go_on_in_restored_store(stored, era):
            raise errors.VersionConflictError(f'{name}: a newer map is stored')
        self._log(
            'leadership.reestablished',
            former_era=self._map_era,
            era=era,
            version=self._records.version,
            next_token=lease_manager.key_map.next_token,
            stored_version=document.version,
            stored_next_token=stored.next_token,
        )
        self._map_document, self._map_era = document, era

    def _extend_authority(self, heartbeat_sent_at_s: float) -> None:
        self._authority_until_s = heartbeat_sent_at_s + rangeleases.AUTHORITY_S
        # No other VM takes over sooner.
        self._sole_leader_until_s = (
            heartbeat_sent_at_s + leaderelection.SUSPECTED_TAKEOVER_S
        )

    def _step_down(self, reason: str) -> None:
        if self._lease_manager is not None:
            self._log('leadership.ended', reason=reason)
        self._lease_manager = None
        self._feed.stop_leading(self._service_id)

    def _is_term_of(self, lease_manager: rangeleases.RangeLeaseManager) -> bool:
        """Whether a lease manager is that of the current term."""
        return self._lease_manager is lease_manager

    def _has_authority(self) -> bool:
        return (
            self._lease_manager is not None
            and self._clock.now_s() < self._authority_until_s
        )

    def _is_sole_leader(self) -> bool:
        return (
            self._lease_manager is not None
            and self._clock.now_s() < self._sole_leader_until_s
            # Another VM may have become the leader in a restored store.
            and self._store.era <= self._map_era
        )

    def _update_candidates(self) -> None:
        if self._lease_manager is None:
            return
        self._lease_manager.update(
            self._candidates.available(
                self._load_tracker.capacity, self._clock.now_s()
            ),
            self._candidates.registered(),
        )

    async def _update_own_load(self) -> None:
        now_s = self._clock.now_s()
        if now_s - self._load_updated_at_s < LOAD_REPORT_INTERVAL_S:
            return
        self._load_updated_at_s = now_s
        load = await self._load_reporter.collect()
        self._load_reporter.apply(
            self._record_load(self._vm_id, load, reads_admissions=True), load
        )
        self._update_candidates()

    def _record_load(
        self, vm_id: str, load: messages.ObservedLoad, reads_admissions: bool
    ) -> messages.LoadReply:
        """Records the load of a VM and returns the reply to it."""
        if self._lease_manager is None:
            return messages.LoadReply({})
        self._record_leaving('report', vm_id, load.leaving_by_id)
        shares_by_id = self._load_tracker.record(
            vm_id,
            load,
            self._lease_manager.key_map,
            self._candidates.endpoints,
            self._clock.now_s(),
        )
        permits_by_id = self._warm_up_grants.grant(
            vm_id,
            load,
            self._candidates.endpoints,
            self._is_sole_leader(),
            self._clock.now_s(),
        )
        return messages.LoadReply(
            shares_by_id,
            self._granted_ranges(),
            permits_by_id,
            *(
                self._load_tracker.admissions(
                    self._candidates.endpoints, self._clock.now_s()
                )
                if reads_admissions
                else ()
            ),
        )

    def _record_leaving(
        self, source: str, vm_id: str, leaving_by_id: dict[str, int]
    ) -> None:
        """Records the instances that told a VM that they leave.

        Args:
            source: Where they told it, for the log.
            vm_id: The VM, which may be this one.
            leaving_by_id: Start time of each of them.
        """
        begins = False
        for instance_id, born_ms in leaving_by_id.items():
            news = self._candidates.announcements.record(
                instance_id,
                born_ms,
                announcements.Announcement(leaving=True),
                self._clock.now_s(),
            )
            if news.leaving:
                self._log(
                    'owner.leaving',
                    instance=instance_id,
                    born_ms=born_ms,
                    source=source,
                    told=vm_id,
                )
                begins = True
        if begins:
            self._update_candidates()

    def _granted_ranges(self) -> messages.GrantedRanges | None:
        """Returns the moving ranges that are granted, or None without any.

        The map write that ends their move may take as long as an outage of
        the store.
        """
        if not self._has_authority():
            return None
        held = self._lease_manager.held_moving()
        if not held:
            return None
        return messages.GrantedRanges(
            self._service_id,
            self._map_document.version,
            frozenset((r.first, r.last, r.token) for r in held),
        )

    def _step(self) -> None:
        if not self._has_authority():
            return
        now_s = self._clock.now_s()
        quiet_s = now_s - self._registry_changed_at_s
        if now_s < self._settle_deadline_s and quiet_s < SETTLE_S:
            return
        for action in self._lease_manager.step(
            now_s, self._load_tracker.profile(now_s), self._is_sole_leader()
        ):
            match action:
                case rangeleases.Grant():
                    granting = self.spawn(
                        self._grant(self._lease_manager, action)
                    )
                    self._grants_in_flight.add(granting)
                    granting.add_done_callback(self._grants_in_flight.discard)
                case rangeleases.Release():
                    self.spawn(self._release(self._lease_manager, action))
                case rangeleases.Publish():
                    self.spawn(
                        self._publish(
                            self._lease_manager,
                            self._map_document,
                            action.key_map,
                            self._map_era,
                        )
                    )

    async def _grant(
        self,
        lease_manager: rangeleases.RangeLeaseManager,
        grant: rangeleases.Grant,
    ) -> None:
        # An exception does not tell whether the grant was written, and no
        # connection has the number 0.
        outcome = ports.GrantOutcome(ports.GrantResult.UNKNOWN, 0)
        try:
            outcome = await self._instances.grant(
                dataclasses.replace(grant.key_range, token=grant.token),
                rangeleases.LEASE_S,
                grant.handover,
                lambda: self._may_send(lease_manager, grant),
                grant.newest_connection,
            )
        finally:
            self._metrics.count_grant('grant', outcome.result.value)
            self.post(leadercalls.GrantEnded(lease_manager, grant, outcome))
        # It counts as in flight until it must have arrived.
        await asyncio.sleep(outcome.in_transit_s)

    def _may_send(
        self,
        lease_manager: rangeleases.RangeLeaseManager,
        grant: rangeleases.Grant,
    ) -> bool:
        if not self._is_term_of(lease_manager):
            return False
        if grant.sole_leader_only:
            return self._is_sole_leader()
        return self._has_authority()

    async def _release(
        self,
        lease_manager: rangeleases.RangeLeaseManager,
        release: rangeleases.Release,
    ) -> None:
        result = ports.ReleaseResult(False)
        started_s = self._clock.now_s()
        try:
            result = await self._instances.release(
                release.key_range, release.holder
            )
        finally:
            took_s = self._clock.now_s() - started_s
            self._metrics.count_grant('release', str(result.released))
            self.post(
                leadercalls.ReleaseEnded(lease_manager, release, result, took_s)
            )

    async def _publish(
        self,
        lease_manager: rangeleases.RangeLeaseManager,
        before: updates.Document,
        key_map: ranges.KeyMap,
        era: int,
    ) -> None:
        document, publish_error = None, None
        try:
            document = await updates.replace(
                self._store,
                before,
                documents.encode_key_map(key_map),
                accept_later=False,
            )
        except errors.StoreError as error:
            publish_error = error
        except Exception as error:
            publish_error = error
            raise
        finally:
            # No other map is published until this one has ended.
            self.post(
                leadercalls.PublishEnded(
                    lease_manager, document, key_map, publish_error, era
                )
            )

    def _handle_grant_ended(self, ended: leadercalls.GrantEnded) -> None:
        result = ended.outcome.result
        now_s = self._clock.now_s()
        sent = dataclasses.replace(
            ended.grant.key_range, token=ended.grant.token
        )
        if result in (ports.GrantResult.BUSY, ports.GrantResult.NO_CONNECTION):
            is_busy = result is ports.GrantResult.BUSY
            if self._lease_manager.grant_not_sent(ended.grant, is_busy, now_s):
                self._log_key_range('grant.token_retired', sent, result.value)
                self._step()
            return
        if result is ports.GrantResult.OTHER_INSTANCE:
            self._lease_manager.owner_has_ended(ended.grant)
            self._log_key_range('grant.failed', sent, result.value)
            self._step()
            return
        self._lease_manager.grant_ended(
            ended.grant,
            result is ports.GrantResult.ACCEPTED,
            result is ports.GrantResult.STALE,
            now_s,
            ended.outcome.newest_connection,
            ended.outcome.in_transit_s,
        )
        if ended.outcome.leaving:
            holder = sent.owner
            self._record_leaving(
                'grant', self._vm_id, {holder.instance_id: holder.born_ms}
            )
        if result is not ports.GrantResult.ACCEPTED:
            self._log_key_range('grant.failed', sent, result.value)
        elif sent.priors:
            self._log_key_range('grant.accepted', sent, result.value)
            # Renewals have no priors: they are frequent and need no step.
            self._step()

    def _handle_release_ended(self, ended: leadercalls.ReleaseEnded) -> None:
        result = ended.result
        handover = result.handover if result.released else None
        self._lease_manager.release_ended(
            ended.release, handover, self._clock.now_s()
        )
        self._log_key_range(
            'release.ended',
            ended.release.key_range,
            str(result.released),
            holder=ended.release.holder.instance_id,
            evidence=result.evidence,
            took_ms=round(ended.took_s * 1000),
        )
        self._step()

    def _handle_publish_ended(self, ended: leadercalls.PublishEnded) -> None:
        # A restore of the store undoes a write that has just succeeded, and
        # makes one in progress conflict.
        if ended.document is None or ended.era < self._map_era:
            self._lease_manager.publishing_failed(self._clock.now_s())
            self._log('key_map.write_failed', error=str(ended.error))
            if (
                isinstance(ended.error, errors.VersionConflictError)
                and ended.era >= self._store.era
            ):
                self._step_down('another VM wrote the key map')
            return
        self._map_document = ended.document
        self._lease_manager.published(ended.key_map)
        self._ask_former_leader()
        self._log(
            'key_map.written',
            version=ended.document.version,
            next_token=ended.key_map.next_token,
            moving=sum(1 for r in ended.key_map.ranges if r.priors),
        )
        self._dispatcher.post(
            messages.KeyMapUpdated(ended.key_map, ended.document.version)
        )
        self._step()

    def _log_key_range(self, name, key_range, result: str, **fields) -> None:
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
