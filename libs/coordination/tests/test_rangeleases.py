"""Tests of oriolefold_coordination.rangeleases by randomized simulation.

The simulation follows the guarantees of the platform. Instances check tokens,
count a lease from the arrival of the grant on a slow clock, and may apply an
unanswered grant late. The store has conditional writes. Leaders may pause or
lose the store while another one takes over. Connections end with the
incarnation that accepted them. A new leader asks the former one to end its
terms; processes of leaders restart. No key may ever have two holders, and no
incarnation may take a token that an earlier one had.
"""

import dataclasses
import heapq
import itertools
import random
import unittest
from unittest import mock

from oriolefold_coordination import (
    assignment,
    keyload,
    leaderelection,
    rangeleases,
    ranges,
)

SEEDS = range(60)
FAULT_SEEDS = range(3000)  # Seeds searched for an injected fault.
DURATION_S = 60.0
STEP_S = 0.1
GRANT_TIMEOUT_S = 0.6
PROCESS_RESTART_S = 0.7  # Until a process of a VM runs again.
END_TERMS_RETRY_S = 2.0
REGISTRY_DELAY_S = 0.3  # Until a new incarnation is registered.
REGISTRY_EXPIRY_S = 2.6  # Until an ended instance is deregistered.
INSTANCES = 4
SAMPLE_KEYS = range(100, ranges.KEY_COUNT, 2048)
PROFILE = keyload.Profile({})


@dataclasses.dataclass
class Instance:
    """An instance that checks tokens.

    Attributes:
        holder: Its current incarnation.
        up: Whether it runs.
        partitioned_from: VMs whose calls do not reach it.
        holds: Lease end and token of each key that it holds.
        highest_tokens: Highest token that it has seen for each key.
        registered: Its incarnation in the registry, which lags, or None.
        used_tokens: Highest token with which an earlier incarnation held each
            key.
    """

    holder: ranges.Holder
    up: bool = True
    partitioned_from: set[str] = dataclasses.field(default_factory=set)
    holds: dict[int, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    highest_tokens: dict[int, int] = dataclasses.field(default_factory=dict)
    registered: ranges.Holder | None = None
    used_tokens: dict[int, int] = dataclasses.field(default_factory=dict)

    def __post_init__(self):
        self.registered = self.holder


@dataclasses.dataclass(frozen=True)
class Connection:
    """A connection to an instance, which may have ended unnoticed."""

    number: int
    holder: ranges.Holder


class Vm:
    """A VM that may be the leader.

    Attributes:
        incarnation: Number of its process.
        electing: Whether it waits for the outcome of its election.
        term_version: Version of the record by which it was last elected.
        ended_before_version: It has stated that its terms have ended that began
            before this version.
        grants_in_flight: Identifiers of the grants of its process.
        connections_by_id: Its connections by name of the instance.
        opened: Number of connections opened so far.
        registered: Registered instances when it last reached the store.
        sole_leader_until_s: Until when no other VM can have become the leader.
        last_seen: Last observed version of the leadership record and the time
            at which the VM first saw it.
    """

    def __init__(self, name: str):
        self.name = name
        self.lease_manager: rangeleases.RangeLeaseManager | None = None
        self.map_version = 0
        self.incarnation = 0
        self.connections_by_id: dict[str, list[Connection]] = {}
        self.opened = 0
        self.registered: list[ranges.Holder] = []
        self.authority_until_s = 0.0
        self.sole_leader_until_s = 0.0
        self.peers_unreachable_until_s = 0.0
        self.paused_until_s = 0.0
        self.store_unreachable_until_s = 0.0
        self.last_seen = (0, 0.0)
        self.start_process()

    def start_process(self) -> None:
        """Starts the first process, or another one that knows nothing."""
        self.incarnation += 1
        self.lease_manager = None
        self.electing = False
        self.term_version = 0
        self.ended_before_version = 0
        self.grants_in_flight: set[int] = set()
        self.connections_by_id = {}


class Simulation:
    """One randomized run.

    Attributes:
        violations: Times at which a key had two holders.
        proofs: Number of proofs that shortened the wait of a new leader.
        reused_tokens: Keys that a new incarnation accepted with a token that an
            earlier one had used.
    """

    def __init__(self, seed: int):
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.events: list = []
        self.order = itertools.count()
        self.instances = [
            Instance(ranges.Holder(f'i{n}', 1, f'a{n}'))
            for n in range(INSTANCES)
        ]
        self.vms = [Vm('one'), Vm('two'), Vm('three')]
        self.key_map = ranges.KeyMap('svc')
        self.map_version = 0
        self.leader: Vm | None = None
        self.leader_incarnation = 0
        self.leader_version = 0
        self.proofs = 0
        # Fraction of grants that arrive shortly before their time-out.
        self.slow_share = self.random.choice((0.02, 0.4))
        self.heartbeat_at_s = 0.0
        self.inherited_s = 0.0
        self.violations: list[str] = []
        self.reused_tokens: list[str] = []

    def schedule(self, delay_s: float, action) -> None:
        heapq.heappush(
            self.events, (self.now_s + delay_s, next(self.order), action)
        )

    def run(self) -> list[str]:
        """Runs the simulation and returns the violations."""
        for _ in range(round(DURATION_S / STEP_S)):
            until_s = self.now_s + STEP_S
            while self.events and self.events[0][0] <= until_s:
                self.now_s, _, action = heapq.heappop(self.events)
                action()
                self.check()
            self.now_s = until_s
            self.inject_fault()
            for vm in self.vms:
                if vm.paused_until_s <= self.now_s:
                    self.act(vm)
            self.check()
        return self.violations

    def check(self) -> None:
        """Records keys with two holders."""
        for key in SAMPLE_KEYS:
            holders = [
                i.holder.instance_id
                for i in self.instances
                if i.up and i.holds.get(key, (0.0, 0))[0] > self.now_s
            ]
            if len(holders) > 1:
                self.violations.append(
                    f'{self.now_s:.2f} s key {key}: {holders}'
                )

    def inject_fault(self) -> None:
        """Injects a random fault with a low probability."""
        if self.random.random() > 0.03:
            return
        instance = self.random.choice(self.instances)
        vm = self.random.choice(self.vms)
        length_s = self.random.choice((2.0, 6.0, 12.0, 40.0))
        match self.random.randrange(8):
            case 5:
                vm.start_process()
                vm.paused_until_s = self.now_s + PROCESS_RESTART_S
            case 0:
                names = {vm.name}
                if self.random.random() < 0.5:
                    names = {other.name for other in self.vms}
                instance.partitioned_from |= names
                self.schedule(length_s, instance.partitioned_from.clear)
            case 1 if instance.up:
                self.crash(instance)
                length_s = self.random.choice((0.1, 0.7, length_s))
                self.schedule(length_s, lambda: self.restart(instance))
            case 2:
                vm.paused_until_s = self.now_s + length_s
            case 3:
                vm.store_unreachable_until_s = self.now_s + length_s
            case 4:
                for other in self.vms:
                    other.store_unreachable_until_s = self.now_s + length_s
            case 6 | 7 if self.leader is not None:
                self.lose_leaders(instance)

    def lose_leaders(self, instance: Instance) -> None:
        """Cuts off leaders, and an instance from all but the first of them."""
        first, length_s = self.leader, 20.0
        names = {vm.name for vm in self.vms if vm is not first}
        instance.partitioned_from |= names
        self.schedule(length_s, instance.partitioned_from.clear)
        first.store_unreachable_until_s = self.now_s + length_s
        if self.random.random() < 0.5:
            first.peers_unreachable_until_s = self.now_s + length_s

        def lose_successor() -> None:
            self.leader.store_unreachable_until_s = self.now_s + length_s

        if self.random.random() < 0.5:
            self.schedule(self.random.uniform(2.0, 5.0), lose_successor)

    def crash(self, instance: Instance) -> None:
        instance.up = False
        for key, (_, token) in instance.holds.items():
            instance.used_tokens[key] = max(
                token, instance.used_tokens.get(key, 0)
            )
        instance.holds, instance.highest_tokens = {}, {}

        def expire_registration() -> None:
            if not instance.up:
                instance.registered = None

        self.schedule(REGISTRY_EXPIRY_S, expire_registration)

    def restart(self, instance: Instance) -> None:
        holder = instance.holder
        instance.up = True
        instance.holder = dataclasses.replace(
            holder, born_ms=holder.born_ms + 1
        )

        def register() -> None:
            instance.registered = instance.holder

        self.schedule(REGISTRY_DELAY_S, register)

    def act(self, vm: Vm) -> None:
        """Performs the due actions of a VM."""
        if vm.store_unreachable_until_s <= self.now_s:
            self.renew_or_take_over(vm)
        lease_manager = vm.lease_manager
        if lease_manager is None or self.now_s >= vm.authority_until_s:
            return
        # Unreachable instances are missing from the registry as well.
        if vm.store_unreachable_until_s <= self.now_s:
            vm.registered = [
                i.registered
                for i in self.instances
                if i.registered is not None
                and vm.name not in i.partitioned_from
            ]
        lease_manager.update(
            [assignment.Candidate(h, 4) for h in vm.registered], vm.registered
        )
        self.open_connections(vm)
        is_sole_leader = self.now_s < vm.sole_leader_until_s
        for action in lease_manager.step(self.now_s, PROFILE, is_sole_leader):
            match action:
                case rangeleases.Publish():
                    self.publish(vm, lease_manager, action.key_map)
                case rangeleases.Grant():
                    self.send_grant(vm, lease_manager, action)
                case rangeleases.Release():
                    self.send_release(vm, lease_manager, action)

    def renew_or_take_over(self, vm: Vm) -> None:
        if vm.electing:
            return
        if self.leader is vm and vm.lease_manager is not None:
            if self.now_s - self.heartbeat_at_s >= leaderelection.HEARTBEAT_S:
                self.heartbeat_at_s = self.now_s
                self.leader_version += 1
                self.inherited_s = vm.lease_manager.inherited_s(self.now_s)
                self.extend_authority(vm, self.now_s)
            return
        vm.lease_manager = None
        if vm.last_seen[0] != self.leader_version:
            vm.last_seen = (self.leader_version, self.now_s)
        waited_s = self.now_s - vm.last_seen[1]
        has_restarted = (
            self.leader is vm and self.leader_incarnation != vm.incarnation
        )
        if (
            self.leader_version
            and not has_restarted
            and waited_s <= leaderelection.TAKEOVER_S
        ):
            return
        self.elect(vm, may_still_act=not has_restarted)

    def elect(self, vm: Vm, may_still_act: bool) -> None:
        """Writes the leader record; the VM may learn of it late."""
        former, former_inherited_s = self.leader, self.inherited_s
        record = leaderelection.LeaderRecord(
            former.name if former else '', str(self.leader_incarnation), 0
        )
        if former is not None:
            self.inherited_s = rangeleases.inherited_until_s(
                0.0, True, former_inherited_s
            )
        self.leader, self.leader_incarnation = vm, vm.incarnation
        self.leader_version += 1
        self.heartbeat_at_s = elected_at_s = self.now_s
        version, incarnation = self.leader_version, vm.incarnation
        vm.electing = True

        def learn() -> None:
            if vm.incarnation != incarnation:
                return
            if vm.paused_until_s > self.now_s:
                self.schedule(vm.paused_until_s - self.now_s, learn)
                return
            vm.electing = False
            if version < vm.ended_before_version:
                return
            vm.term_version = version
            inherited_until_s = 0.0
            if former is not None:
                inherited_until_s = rangeleases.inherited_until_s(
                    self.now_s, may_still_act, former_inherited_s
                )
            self.become_leader(
                vm, inherited_until_s, self.now_s + former_inherited_s
            )
            self.extend_authority(vm, elected_at_s)
            if former not in (None, vm):
                self.ask_former_leader(vm, vm.lease_manager, former, record)

        late = self.random.random() < 0.2
        self.schedule(self.random.uniform(0.1, 6.0) if late else 0.0, learn)

    def become_leader(
        self, vm: Vm, inherited_until_s: float, earlier_until_s: float
    ) -> None:
        vm.map_version = self.map_version
        vm.lease_manager = rangeleases.RangeLeaseManager(
            self.key_map, inherited_until_s, earlier_until_s
        )

    def ask_former_leader(
        self,
        vm: Vm,
        lease_manager: rangeleases.RangeLeaseManager,
        former: Vm,
        record: leaderelection.LeaderRecord,
    ) -> None:
        """Asks a former leader to end its terms until it answers."""

        def handle(statement: leaderelection.TermsEnded) -> None:
            if vm.lease_manager is lease_manager and leaderelection.has_ended(
                record, vm.term_version, statement
            ):
                self.proofs += lease_manager.awaits_previous_leader(self.now_s)
                lease_manager.previous_leader_ended(self.now_s)

        if (
            vm.lease_manager is not lease_manager
            or not lease_manager.awaits_previous_leader(self.now_s)
        ):
            return
        is_reachable = former.peers_unreachable_until_s <= self.now_s
        if is_reachable and self.random.random() < 0.7:
            version = vm.term_version
            self.schedule(
                self.random.uniform(0.001, 0.05),
                lambda: self.end_terms(former, version, handle),
            )
        self.schedule(
            END_TERMS_RETRY_S,
            lambda: self.ask_former_leader(vm, lease_manager, former, record),
        )

    def end_terms(self, former: Vm, version: int, reply) -> None:
        """Ends the terms of a VM as a leader, and says so once it is true."""
        if former.paused_until_s > self.now_s:
            incarnation = former.incarnation

            def resume() -> None:
                if former.incarnation == incarnation:
                    self.end_terms(former, version, reply)

            self.schedule(former.paused_until_s - self.now_s, resume)
            return
        former.ended_before_version = max(former.ended_before_version, version)
        if former.term_version < version:
            former.lease_manager = None
        statement = leaderelection.TermsEnded(
            former.name, str(former.incarnation), version
        )
        in_flight = former.grants_in_flight
        pending = self.pending_grants(former)

        def answer() -> None:
            if former.grants_in_flight is not in_flight:
                return
            if pending & in_flight:
                self.schedule(0.02, answer)
            else:
                transit_s = self.random.uniform(0.001, 0.05)
                self.schedule(transit_s, lambda: reply(statement))

        answer()

    def pending_grants(self, former: Vm) -> set[int]:
        """Returns the grants that a statement of a VM waits for."""
        return set(former.grants_in_flight)

    def extend_authority(self, vm: Vm, heartbeat_at_s: float) -> None:
        vm.authority_until_s = heartbeat_at_s + rangeleases.AUTHORITY_S
        vm.sole_leader_until_s = (
            heartbeat_at_s + leaderelection.SUSPECTED_TAKEOVER_S
        )

    def open_connections(self, vm: Vm) -> None:
        """Opens and closes connections, as requests and idle limits do."""
        for instance in self.instances:
            sample = self.random.random()
            if sample < 0.02:
                self.open_connection(vm, instance.holder)
            elif sample < 0.04:
                vm.connections_by_id.pop(instance.holder.instance_id, None)

    def open_connection(
        self, vm: Vm, holder: ranges.Holder
    ) -> Connection | None:
        instance = self.instance_of(vm, holder)
        if instance is None:
            return None
        vm.opened += 1
        connection = Connection(vm.opened, instance.holder)
        connections = vm.connections_by_id.setdefault(holder.instance_id, [])
        connections.append(connection)
        return connection

    def publish(self, vm: Vm, lease_manager, key_map) -> None:
        def write() -> None:
            if vm.lease_manager is not lease_manager:
                return
            if vm.store_unreachable_until_s > self.now_s:
                lease_manager.publishing_failed(self.now_s)
                return
            if vm.map_version != self.map_version:
                self.handle_map_conflict(vm)
                return
            self.map_version += 1
            vm.map_version = self.map_version
            self.key_map = key_map
            lease_manager.published(key_map)

        self.schedule(self.random.uniform(0.005, 0.2), write)

    def handle_map_conflict(self, vm: Vm) -> None:
        vm.lease_manager = None

    def instance_of(self, vm: Vm, holder: ranges.Holder) -> Instance | None:
        for instance in self.instances:
            # Instances check only the name, so calls reach any incarnation.
            same = instance.holder.instance_id == holder.instance_id
            if same and instance.up:
                return (
                    None if vm.name in instance.partitioned_from else instance
                )
        return None

    def grant_transit_s(self) -> float:
        """Returns the time until a grant arrives."""
        if self.random.random() < self.slow_share:
            return self.random.uniform(0.05, GRANT_TIMEOUT_S)
        return self.random.uniform(0.001, 0.05)

    def send_grant(
        self, vm: Vm, lease_manager, grant: rangeleases.Grant
    ) -> None:
        owner = grant.key_range.owner
        connections = [
            c
            for c in vm.connections_by_id.get(owner.instance_id, ())
            if grant.newest_connection is None
            or c.number <= grant.newest_connection
        ]
        if grant.newest_connection is not None and not connections:
            lease_manager.grant_not_sent(grant, False, self.now_s)
            return
        if connections and self.random.random() < 0.7:
            connection = self.random.choice(connections)
        elif grant.newest_connection is None:
            connection = self.open_connection(vm, owner)
        else:
            busy = self.random.random() < 0.3
            if busy:
                lease_manager.grant_not_sent(grant, True, self.now_s)
                return
            connection = connections[-1]
        if connection is None:
            self.schedule(
                0.4, lambda: self.end_unsent_grant(vm, lease_manager, grant)
            )
            return
        end_grant = self.begin_grant(vm, lease_manager, grant)
        instance = self.instance_of(vm, owner)
        sample = self.random.random()
        if (
            instance is None
            or instance.holder != connection.holder
            or sample < 0.25
        ):
            vm.connections_by_id[owner.instance_id].remove(connection)
        if (
            instance is None
            or instance.holder != connection.holder
            or sample < 0.1
        ):
            self.schedule(GRANT_TIMEOUT_S, lambda: end_grant(False))
            return
        transit_s = self.grant_transit_s()
        if sample < 0.25:
            # Applied late, with the lease counted from the arrival.
            arrived_s = self.now_s + transit_s
            late_s = self.random.uniform(2.0, 12.0)
            incarnation = instance.holder

            def apply_late() -> None:
                # Delayed work does not survive a restart.
                if instance.holder == incarnation:
                    self.apply_grant(instance, grant, arrived_s)

            self.schedule(late_s, apply_late)
            self.schedule(GRANT_TIMEOUT_S, lambda: end_grant(False))
            return

        def arrive() -> None:
            if instance.holder != connection.holder:
                # The incarnation ended while the call was in transit.
                end_grant(False)
                return
            accepted = self.apply_grant(instance, grant, self.now_s)
            self.schedule(
                min(transit_s, GRANT_TIMEOUT_S - transit_s),
                lambda: end_grant(accepted, stale=not accepted),
            )

        self.schedule(transit_s, arrive)

    def end_unsent_grant(self, vm: Vm, lease_manager, grant) -> None:
        if vm.lease_manager is lease_manager:
            lease_manager.grant_ended(grant, False, False, self.now_s, None)

    def begin_grant(self, vm: Vm, lease_manager, grant: rangeleases.Grant):
        """Records a grant as written; returns the function that ends it."""
        number = next(self.order)
        in_flight, newest_connection = vm.grants_in_flight, vm.opened
        in_flight.add(number)

        def end(accepted: bool, stale: bool = False) -> None:
            in_flight.discard(number)
            if vm.lease_manager is lease_manager:
                lease_manager.grant_ended(
                    grant, accepted, stale, self.now_s, newest_connection
                )

        return end

    def apply_grant(self, instance, grant, arrived_s: float) -> bool:
        key_range = grant.key_range
        same = instance.holder.instance_id == key_range.owner.instance_id
        if not same or not instance.up:
            return False
        keys = [
            k for k in SAMPLE_KEYS if key_range.first <= k <= key_range.last
        ]
        if any(instance.highest_tokens.get(k, 0) > grant.token for k in keys):
            return False
        until_s = arrived_s + rangeleases.LEASE_S / (1 - 0.02)
        for key in keys:
            if (
                key not in instance.holds
                and instance.used_tokens.get(key, 0) >= grant.token
            ):
                text = f'{instance.holder} takes {key} with {grant.token}'
                self.reused_tokens.append(f'{self.now_s:.2f} s {text} again')
            instance.highest_tokens[key] = grant.token
            if until_s > instance.holds.get(key, (0.0, 0))[0]:
                instance.holds[key] = (until_s, grant.token)
        return True

    def send_release(self, vm, lease_manager, release) -> None:
        instance = self.instance_of(vm, release.holder)

        def end(handover) -> None:
            if vm.lease_manager is lease_manager:
                lease_manager.release_ended(release, handover, self.now_s)

        if instance is None or self.random.random() < 0.15:
            self.schedule(1.0, lambda: end(None))
            return
        key_range = release.key_range

        def arrive() -> None:
            if not instance.up:
                return end(None)
            for key in SAMPLE_KEYS:
                if key_range.first <= key <= key_range.last:
                    instance.holds.pop(key, None)
                    highest_tokens = instance.highest_tokens.get(key, 0)
                    instance.highest_tokens[key] = max(
                        highest_tokens, key_range.token
                    )
            return end('state')

        self.schedule(self.random.uniform(0.001, 0.5), arrive)


class LostLeaders(Simulation):
    """One run in which leaders are lost together with an instance.

    Connections last, so that a former leader can renew for long.
    """

    def __init__(self, seed: int):
        super().__init__(seed)
        self.slow_share = 0.9
        self.next_loss_at_s = 4.0

    def inject_fault(self) -> None:
        if self.now_s >= self.next_loss_at_s and self.leader is not None:
            self.lose_leaders(self.random.choice(self.instances))
            self.next_loss_at_s += self.random.uniform(26.0, 28.0)

    def open_connections(self, vm: Vm) -> None:
        """Leaves the connections as they are."""


class RangeLeasesTest(unittest.TestCase):
    """Keys never have two holders; injected faults are detected."""

    def test_no_key_has_two_holders(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(Simulation(seed).run(), [])
                self.assertEqual(LostLeaders(seed).run(), [])

    def test_no_token_serves_two_lives(self):
        reused_tokens_by_seed = {}
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run()
            reused_tokens_by_seed[seed] = simulation.reused_tokens[:1]
        self.assertEqual(reused_tokens_by_seed, {seed: [] for seed in SEEDS})

    def is_detected(self, patch) -> bool:
        with patch:
            return any(Simulation(seed).run() for seed in FAULT_SEEDS)

    def test_detects_missing_wait_for_lease_end(self):
        self.assertTrue(
            self.is_detected(
                mock.patch.object(
                    rangeleases, 'lease_end_s', lambda call_ended_s: 0.0
                )
            )
        )

    def test_detects_ignored_unanswered_grant(self):
        original = rangeleases.RangeLeaseManager.grant_ended

        def faulty(self, grant, accepted, stale, now_s, newest_connection):
            # Treats an unanswered grant like one that was never written.
            if not accepted and not stale:
                newest_connection = None
            original(self, grant, accepted, stale, now_s, newest_connection)

        self.assertTrue(
            self.is_detected(
                mock.patch.object(
                    rangeleases.RangeLeaseManager, 'grant_ended', faulty
                )
            )
        )

    def test_detects_ignored_inherited_leases(self):
        original = rangeleases.inherited_until_s

        def faulty(now_s, may_still_act, inherited_s):
            return original(now_s, may_still_act, 0.0)

        self.assertTrue(
            self.is_detected(
                mock.patch.object(rangeleases, 'inherited_until_s', faulty)
            )
        )

    def assert_two_holders_are_detected(self, faulty):
        self.assertTrue(any(faulty(seed).run() for seed in FAULT_SEEDS))

    def test_histories_contain_proofs_that_former_leaders_ended(self):
        proofs = 0
        for seed in SEEDS:
            simulation = Simulation(seed)
            simulation.run()
            proofs += simulation.proofs
        self.assertGreater(proofs, len(SEEDS) / 2)

    def test_detects_a_statement_about_another_term(self):
        class AnotherTerm(Simulation):
            def end_terms(self, former, version, reply):
                super().end_terms(former, 0, reply)

        with mock.patch.object(
            leaderelection, 'has_ended', lambda *arguments: True
        ):
            self.assert_two_holders_are_detected(AnotherTerm)
        for seed in SEEDS:
            self.assertEqual(AnotherTerm(seed).run(), [])

    def test_detects_a_statement_made_before_the_grants_ended(self):
        class TooEarly(LostLeaders):
            def pending_grants(self, former):
                return set()

        self.assert_two_holders_are_detected(TooEarly)

    def test_detects_a_statement_taken_for_one_of_all_earlier_leaders(self):
        class OfAll(LostLeaders):
            def become_leader(self, vm, inherited_until_s, earlier_until_s):
                super().become_leader(vm, inherited_until_s, 0.0)

        self.assert_two_holders_are_detected(OfAll)

    def test_detects_unbounded_authority(self):
        class Unbounded(Simulation):
            def act(self, vm):
                vm.authority_until_s = float('inf')
                super().act(vm)

        self.assertTrue(any(Unbounded(seed).run() for seed in FAULT_SEEDS))

    def assert_reuse_is_detected(self, faulty):
        def reuses(seed):
            simulation = faulty(seed)
            simulation.run()
            return bool(simulation.reused_tokens)

        self.assertTrue(any(reuses(seed) for seed in FAULT_SEEDS))

    def test_detects_renewals_over_any_connection(self):
        class AnyConnection(Simulation):
            def send_grant(self, vm, lease_manager, grant):
                grant = dataclasses.replace(grant, newest_connection=None)
                super().send_grant(vm, lease_manager, grant)

        self.assert_reuse_is_detected(AnyConnection)

    def test_detects_tokens_inherited_from_another_leader(self):
        class Inheriting(Simulation):
            def become_leader(self, vm, inherited_until_s, earlier_until_s):
                super().become_leader(vm, inherited_until_s, earlier_until_s)
                vm.lease_manager._first_own_token = 0

        self.assert_reuse_is_detected(Inheriting)

    def test_detects_new_tokens_of_a_superseded_leader(self):
        class Superseded(Simulation):
            def extend_authority(self, vm, heartbeat_at_s):
                super().extend_authority(vm, heartbeat_at_s)
                vm.sole_leader_until_s = float('inf')

        self.assert_reuse_is_detected(Superseded)


class RangeLeaseManagerTest(unittest.TestCase):
    """Actions of the leader in single cases."""

    def setUp(self):
        self.one = ranges.Holder('i1', 1, 'a1')
        self.two = ranges.Holder('i2', 1, 'a2')

    def lease_manager(self, holders, key_map=None, inherited_until_s=0.0):
        made = rangeleases.RangeLeaseManager(
            key_map or ranges.KeyMap('svc'), inherited_until_s
        )
        made.update([assignment.Candidate(h, 4) for h in holders], holders)
        return made

    def assigned(self, lease_manager, now_s=0.0):
        (publish,) = lease_manager.step(now_s, PROFILE)
        lease_manager.published(publish.key_map)
        return publish.key_map

    def test_the_map_is_stored_before_any_grant(self):
        lease_manager = self.lease_manager([self.one, self.two])
        self.assigned(lease_manager)
        actions = lease_manager.step(0.0, PROFILE)
        self.assertEqual(len(actions), 2)
        self.assertTrue(all(isinstance(a, rangeleases.Grant) for a in actions))

    def test_a_leaving_owner_is_released_first_and_hands_over(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        (grant,) = lease_manager.step(0.0, PROFILE)
        lease_manager.grant_ended(grant, True, False, 0.1)
        lease_manager.update([assignment.Candidate(self.two, 4)], [self.one])
        moved = self.assigned(lease_manager, 0.2)
        self.assertGreater(moved.ranges[0].token, grant.key_range.token)
        releases = lease_manager.step(0.2, PROFILE)
        self.assertTrue(
            all(isinstance(a, rangeleases.Release) for a in releases), releases
        )
        lease_manager.release_ended(releases[0], 'state', 0.3)
        granted = lease_manager.step(0.3, PROFILE)
        self.assertIn('state', [a.handover for a in granted])

    def test_an_unreachable_owner_keeps_its_keys_until_its_lease_ends(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        (grant,) = lease_manager.step(0.0, PROFILE)
        lease_manager.grant_ended(grant, True, False, 0.1)
        lease_manager.update([assignment.Candidate(self.two, 4)], [self.two])
        self.assigned(lease_manager, 0.2)
        end_s = rangeleases.lease_end_s(0.1)
        early = lease_manager.step(end_s - 0.01, PROFILE)
        self.assertFalse(any(isinstance(a, rangeleases.Grant) for a in early))
        late = lease_manager.step(end_s + 0.01, PROFILE)
        self.assertTrue(any(isinstance(a, rangeleases.Grant) for a in late))

    def test_a_restarted_instance_gets_its_keys_back_with_a_higher_token(self):
        lease_manager = self.lease_manager([self.one])
        before = self.assigned(lease_manager)
        (grant,) = lease_manager.step(0.0, PROFILE)
        lease_manager.grant_ended(grant, True, False, 0.1)
        again = dataclasses.replace(self.one, born_ms=2)
        lease_manager.update([assignment.Candidate(again, 4)], [again])
        after = self.assigned(lease_manager, 0.2)
        self.assertEqual(after.ranges[0].owner, again)
        self.assertGreater(after.ranges[0].token, before.ranges[0].token)
        (grant,) = lease_manager.step(0.2, PROFILE)
        self.assertIsInstance(grant, rangeleases.Grant)

    def test_an_older_entry_at_its_address_does_not_end_a_holder(self):
        # An instance that restarted under a new name was considered ended,
        # because its former entry stayed in the registry for a while.
        earlier = ranges.Holder('i0', 0, self.one.address)
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        (grant,) = lease_manager.step(0.0, PROFILE)
        lease_manager.grant_ended(grant, True, False, 0.1)
        for registered in ([self.one, earlier], [earlier, self.one]):
            lease_manager.update(
                [assignment.Candidate(self.two, 4)], [*registered, self.two]
            )
            for action in lease_manager.step(0.2, PROFILE):
                if isinstance(action, rangeleases.Publish):
                    lease_manager.published(action.key_map)
            actions = lease_manager.step(0.3, PROFILE)
            self.assertFalse(
                any(isinstance(a, rangeleases.Grant) for a in actions), actions
            )

    def test_a_younger_instance_at_its_address_ends_a_holder(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        (grant,) = lease_manager.step(0.0, PROFILE)
        lease_manager.grant_ended(grant, True, False, 0.1)
        later = ranges.Holder('i9', 5, self.one.address)
        lease_manager.update([assignment.Candidate(later, 4)], [later])
        self.assigned(lease_manager, 0.2)
        (again,) = lease_manager.step(0.2, PROFILE)
        self.assertIsInstance(again, rangeleases.Grant)

    def test_a_new_life_elsewhere_does_not_keep_the_old_address_blocked(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        self.granted(lease_manager)
        elsewhere = ranges.Holder('i1', 4, 'a4')
        later = ranges.Holder('i9', 5, self.one.address)
        registered = [elsewhere, later, self.two]
        lease_manager.update([assignment.Candidate(self.two, 4)], registered)
        self.assigned(lease_manager, 0.2)
        actions = lease_manager.step(0.2, PROFILE)
        self.assertTrue(any(isinstance(a, rangeleases.Grant) for a in actions))

    def grants_to_two_at_s(self, lease_manager, from_s):
        """Moves all keys to the second instance and waits for its grant."""
        lease_manager.update([assignment.Candidate(self.two, 4)], [self.two])
        for step in range(2000):
            now_s = from_s + step * 0.01
            for action in lease_manager.step(now_s, PROFILE):
                if isinstance(action, rangeleases.Publish):
                    lease_manager.published(action.key_map)
                elif isinstance(action, rangeleases.Grant):
                    return now_s
        return None

    def test_a_grant_that_was_not_written_does_not_extend_a_lease(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        self.granted(lease_manager)
        for now_s in (2.0, 2.5, 3.0):
            (renewal,) = lease_manager.step(now_s, PROFILE)
            lease_manager.grant_ended(renewal, False, False, now_s, None)
        granted_at_s = self.grants_to_two_at_s(lease_manager, 3.0)
        self.assertGreaterEqual(granted_at_s, rangeleases.lease_end_s(0.0))
        self.assertLess(granted_at_s, rangeleases.lease_end_s(0.0) + 0.2)

    def test_a_grant_with_a_wrong_stale_answer_extends_a_lease(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        self.granted(lease_manager)
        (renewal,) = lease_manager.step(2.0, PROFILE)
        lease_manager.grant_ended(renewal, False, True, 2.0, 1)
        granted_at_s = self.grants_to_two_at_s(lease_manager, 2.0)
        self.assertGreaterEqual(granted_at_s, rangeleases.lease_end_s(2.0))

    def test_a_grant_in_transit_is_waited_for_beside_a_wrong_answer(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        (grant,) = lease_manager.step(0.0, PROFILE)
        lease_manager.grant_ended(grant, True, False, 0.0, 1, 0.5)
        granted_at_s = self.grants_to_two_at_s(lease_manager, 0.0)
        self.assertGreaterEqual(granted_at_s, rangeleases.lease_end_s(0.5))

    def test_another_instance_that_answers_ends_the_owner(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        self.granted(lease_manager)
        (renewal,) = lease_manager.step(2.0, PROFILE)
        lease_manager.owner_has_ended(renewal)
        self.assertEqual(lease_manager.step(2.3, PROFILE), [])
        self.assertLess(self.grants_to_two_at_s(lease_manager, 2.4), 2.6)

    def test_an_ended_instance_that_is_still_registered_gets_no_keys(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        lease_manager.owner_has_ended(self.granted(lease_manager))
        both = [self.one, self.two]
        lease_manager.update([assignment.Candidate(h, 4) for h in both], both)
        for step in range(50):
            for action in lease_manager.step(0.1 * step, PROFILE):
                if isinstance(action, rangeleases.Publish):
                    lease_manager.published(action.key_map)
                elif isinstance(action, rangeleases.Grant):
                    lease_manager.grant_ended(
                        action, True, False, 0.1 * step, 1
                    )
        owners = {r.owner for r in lease_manager.key_map.ranges}
        self.assertEqual(owners, {self.two})

    def granted(self, lease_manager, newest_connection=1):
        (grant,) = lease_manager.step(0.0, PROFILE)
        lease_manager.grant_ended(grant, True, False, 0.0, newest_connection)
        return grant

    def test_a_renewal_keeps_its_token_on_its_connections(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        first = self.granted(lease_manager)
        (renewal,) = lease_manager.step(2.0, PROFILE)
        self.assertEqual(
            (first.newest_connection, renewal.newest_connection), (None, 1)
        )
        self.assertEqual(renewal.token, first.token)

    def test_a_lost_connection_costs_a_token_and_no_map_write(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        first = self.granted(lease_manager)
        (renewal,) = lease_manager.step(2.0, PROFILE)
        lease_manager.grant_not_sent(renewal, False, 2.0)
        (again,) = lease_manager.step(2.0, PROFILE)
        self.assertGreater(again.token, first.token)
        self.assertLess(again.token, lease_manager.key_map.next_token)
        self.assertIsNone(again.newest_connection)

    def test_a_busy_connection_is_waited_for_briefly(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        first = self.granted(lease_manager)
        for now_s in (2.0, 2.2):
            (renewal,) = lease_manager.step(now_s, PROFILE)
            lease_manager.grant_not_sent(renewal, True, now_s)
            self.assertEqual(renewal.token, first.token)
        (renewal,) = lease_manager.step(2.6, PROFILE)
        lease_manager.grant_not_sent(renewal, True, 2.6)
        (again,) = lease_manager.step(2.6, PROFILE)
        self.assertGreater(again.token, first.token)

    def test_a_retired_token_is_still_sent_over_its_connections(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        first = self.granted(lease_manager)
        (renewal,) = lease_manager.step(2.0, PROFILE, False)
        self.assertTrue(lease_manager.grant_not_sent(renewal, False, 2.0))
        (again,) = lease_manager.step(2.0, PROFILE, False)
        self.assertEqual((again.token, again.newest_connection), (1, 1))
        self.assertFalse(lease_manager.grant_not_sent(again, False, 2.0))
        self.assertEqual(lease_manager.step(2.1, PROFILE, False), [])
        (again,) = lease_manager.step(2.3, PROFILE)
        self.assertGreater(again.token, first.token)

    def test_a_map_with_many_ranges_is_reserved_for_once(self):
        count = 2 * rangeleases.RESERVED_TOKENS
        stored = ranges.KeyMap(
            'svc',
            count + 1,
            tuple(ranges.KeyRange(n, n, self.one, n + 1) for n in range(count)),
        )
        lease_manager = self.lease_manager([self.one], stored)
        self.assigned(lease_manager)
        actions = lease_manager.step(1.0, PROFILE)
        self.assertEqual(len(actions), count)
        self.assertEqual({type(a) for a in actions}, {rangeleases.Grant})

    def test_a_new_leader_reserves_tokens_before_its_first_grant(self):
        stored = self.assigned(self.lease_manager([self.one]))
        successor = self.lease_manager([self.one], stored)
        (reserve,) = successor.step(0.0, PROFILE)
        self.assertEqual(reserve.key_map.ranges, stored.ranges)
        successor.published(reserve.key_map)
        (grant,) = successor.step(0.0, PROFILE)
        self.assertGreaterEqual(grant.token, stored.next_token)

    def test_reserved_tokens_are_sent_by_a_sole_leader_only(self):
        stored = self.assigned(self.lease_manager([self.one]))
        successor = self.lease_manager([self.one], stored)
        self.assigned(successor)
        self.assertEqual(successor.step(0.0, PROFILE, False), [])
        (grant,) = successor.step(0.1, PROFILE, True)
        self.assertTrue(grant.sole_leader_only)

    def test_a_moved_range_is_renewed_while_the_last_write_fails(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        self.granted(lease_manager)
        lease_manager.update([assignment.Candidate(self.two, 4)], [self.two])
        self.assigned(lease_manager, 0.2)
        grants_at_s = []
        for step in range(100):
            now_s = 0.2 + 0.1 * step
            for action in lease_manager.step(now_s, PROFILE, False):
                match action:
                    case rangeleases.Publish():
                        lease_manager.publishing_failed(now_s)
                    case rangeleases.Release():
                        lease_manager.release_ended(action, '', now_s)
                    case rangeleases.Grant():
                        lease_manager.grant_ended(action, True, False, now_s, 1)
                        grants_at_s.append(now_s)
        self.assertTrue(all(r.priors for r in lease_manager.key_map.ranges))
        self.assertLess(grants_at_s[0], 1.0)
        self.assertGreater(grants_at_s[-1], 8.0)

    def test_a_write_that_was_taken_for_failed_is_known_after_a_restore(self):
        lease_manager = self.lease_manager([self.one])
        self.assigned(lease_manager)
        lease_manager.update([assignment.Candidate(self.two, 4)], [self.one])
        (first,) = [
            action
            for action in lease_manager.step(0.5, PROFILE)
            if isinstance(action, rangeleases.Publish)
        ]
        lease_manager.publishing_failed(0.5)
        three = ranges.Holder('i3', 1, 'a3')
        lease_manager.update([assignment.Candidate(three, 4)], [self.one])
        actions = lease_manager.step(1.5, PROFILE)
        self.assertTrue(
            any(isinstance(a, rangeleases.Publish) for a in actions)
        )
        lease_manager.publishing_failed(1.5)
        self.assertTrue(lease_manager.go_on_in_restored_store(first.key_map, 2))

    def test_a_failed_write_is_replanned(self):
        lease_manager = self.lease_manager([self.one])
        lease_manager.step(0.0, PROFILE)
        lease_manager.publishing_failed(0.1)
        (again,) = lease_manager.step(
            0.1 + rangeleases.PUBLISH_RETRY_S, PROFILE
        )
        self.assertIsInstance(again, rangeleases.Publish)

    def test_failed_writes_are_retried_at_a_bounded_rate(self):
        lease_manager = self.lease_manager([self.one])
        writes = 0
        for step in range(100):
            now_s = step * 0.05
            for action in lease_manager.step(now_s, PROFILE):
                writes += isinstance(action, rangeleases.Publish)
                lease_manager.publishing_failed(now_s)
        self.assertLessEqual(writes, 5.0 / rangeleases.PUBLISH_RETRY_S + 1)
