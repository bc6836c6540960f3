"""Tests of leases when the store is restored from an older copy.

The simulation of `test_rangeleases` goes on with a store that comes back as it
was some seconds before an outage. Its versions go back; its era rises.
"""

import collections
import unittest
from unittest import mock

import test_rangeleases

from oriolefold_coordination import (
    assignment,
    leaderelection,
    rangeleases,
    ranges,
)

SEEDS = range(100)
FAULT_SEEDS = range(1000)  # Seeds searched for an injected fault.
VERSIONS_PER_ERA = 2**40
MAX_COPY_AGE_S = 9.0


class RestoredStore(test_rangeleases.Simulation):
    """One run in which the store is restored, sometimes twice in a row.

    Attributes:
        era: Era of the store.
        beats: Heartbeat counter of the stored record.
        tokens_back: Keys that an instance took with a token not above that of
            an earlier holder.
        went_on: Number of restores after which the leader went on.
        taken_over: Number of takeovers from a copied record.
    """

    restore_from_s = 10.0

    def __init__(self, seed: int):
        super().__init__(seed)
        self.era = 1
        self.beats = 0
        self.copies: collections.deque = collections.deque()
        self.down_until_s = 0.0
        self.restores_at_s = [self.restore_from_s + self.random.uniform(0, 5)]
        if self.random.random() < 0.5:
            again_s = self.random.uniform(0.5, 15.0)
            self.restores_at_s.append(self.restores_at_s[0] + again_s)
        self.highest_by_key: dict[int, tuple[int, ranges.Holder]] = {}
        self.tokens_back: list[str] = []
        self.went_on = 0
        self.taken_over = 0
        for vm in self.vms:
            self.forget(vm)

    def forget(self, vm) -> None:
        """Sets what a new process of a VM knows of the store."""
        vm.known_incarnation = vm.incarnation
        vm.leader_monitor = leaderelection.LeaderMonitor(
            vm.name, str(vm.incarnation)
        )
        vm.beats = vm.beat_version = vm.era = vm.map_era = 0
        vm.beat_at_s = 0.0
        vm.from_copy, vm.previous_era = False, -1

    def inject_fault(self) -> None:
        self.copies.append(
            (
                self.now_s,
                self.key_map,
                self.map_version,
                self.leader,
                self.leader_incarnation,
                self.leader_version,
                self.inherited_s,
                self.beats,
            )
        )
        if self.restores_at_s and self.now_s >= self.restores_at_s[0]:
            self.restores_at_s.pop(0)
            self.begin_restore()
        else:
            self.inject_other_fault()

    def inject_other_fault(self) -> None:
        super().inject_fault()

    def begin_restore(self) -> None:
        outage_s = self.random.choice((0.0, 0.5, 2.0, 3.0))
        copied_at_s = self.now_s - self.random.uniform(1.0, MAX_COPY_AGE_S)
        for vm in self.vms:
            vm.store_unreachable_until_s = max(
                vm.store_unreachable_until_s, self.now_s + outage_s
            )
        self.lose_vms()
        self.schedule(outage_s, lambda: self.restore(copied_at_s))

    def lose_vms(self) -> None:
        """Ends processes of VMs with some probability."""
        sample = self.random.random()
        lost = []
        if sample < 0.25 and self.leader is not None:
            lost = [self.leader]
        elif sample < 0.5:
            lost = self.vms
        for vm in lost:
            vm.start_process()
            pause_s = test_rangeleases.PROCESS_RESTART_S
            vm.paused_until_s = self.now_s + pause_s + 2.0

    def restore(self, copied_at_s: float) -> None:
        copies = [c for c in self.copies if c[0] <= copied_at_s]
        (
            _,
            self.key_map,
            map_version,
            self.leader,
            self.leader_incarnation,
            leader_version,
            self.inherited_s,
            self.beats,
        ) = (copies or self.copies)[-1 if copies else 0]
        self.era += 1
        first = self.era * VERSIONS_PER_ERA
        self.map_version = first + map_version % VERSIONS_PER_ERA
        self.leader_version = first + leader_version % VERSIONS_PER_ERA

    def renew_or_take_over(self, vm) -> None:
        if vm.known_incarnation != vm.incarnation:
            self.forget(vm)
        if vm.electing:
            return
        if vm.lease_manager is not None:
            if self.now_s - vm.beat_at_s >= leaderelection.HEARTBEAT_S:
                self.renew(vm)
            return
        record = leaderelection.LeaderRecord(
            self.leader.name if self.leader else '',
            str(self.leader_incarnation),
            self.beats,
        )
        is_first = self.leader is None and self.era == 1
        may_claim = vm.leader_monitor.observe(
            self.leader_version, record, self.now_s, era=self.era
        )
        if not is_first and not may_claim:
            return
        vm.previous_era = -1 if is_first else record.era
        vm.from_copy = not is_first and vm.leader_monitor.is_copy(record)
        self.taken_over += vm.from_copy
        self.elect(
            vm,
            self.leader is not vm or self.leader_incarnation == vm.incarnation,
        )
        self.note_beat(vm, self.beats)

    def note_beat(self, vm, beat: int) -> None:
        self.beats = vm.beats = leaderelection.next_beat(beat, self.era)
        vm.beat_version, vm.era = self.leader_version, self.era
        vm.beat_at_s = self.now_s

    def renew(self, vm) -> None:
        if vm.beat_version != self.leader_version and not self.may_go_on(vm):
            vm.lease_manager = None
            return
        self.leader, self.leader_incarnation = vm, vm.incarnation
        self.leader_version += 1
        self.heartbeat_at_s = self.now_s
        self.inherited_s = vm.lease_manager.inherited_s(self.now_s)
        self.note_beat(vm, max(vm.beats, self.beats))
        if vm.map_era != self.era and not self.keep_map(vm):
            vm.lease_manager = None
            return
        self.extend_authority(vm, self.now_s)

    def may_go_on(self, vm) -> bool:
        """Whether the stored record is a copy that the leader replaces."""
        is_own = self.leader is vm and self.leader_incarnation == vm.incarnation
        return (
            self.now_s < vm.authority_until_s
            and self.era > vm.era
            and (self.beats <= vm.beats or is_own)
        )

    def keep_map(self, vm) -> bool:
        vm.map_version, vm.map_era = self.map_version, self.era
        self.went_on += 1
        return vm.lease_manager.go_on_in_restored_store(self.key_map, self.era)

    def become_leader(self, vm, inherited_until_s, earlier_until_s) -> None:
        if vm.era != self.era:
            # Restored between the election and the reading of the map.
            return
        super().become_leader(vm, inherited_until_s, earlier_until_s)
        vm.map_era = self.era
        if vm.from_copy:
            inherited_until_s = earlier_until_s = 0.0
        vm.lease_manager = rangeleases.RangeLeaseManager(
            self.key_map,
            inherited_until_s,
            earlier_until_s,
            self.era,
            vm.previous_era,
        )

    def ask_former_leader(self, vm, lease_manager, former, record) -> None:
        if lease_manager is not None:
            super().ask_former_leader(vm, lease_manager, former, record)

    def handle_map_conflict(self, vm) -> None:
        if vm.map_era < self.era:
            vm.lease_manager.publishing_failed(self.now_s)
        else:
            super().handle_map_conflict(vm)

    def apply_grant(self, instance, grant, arrived_s: float) -> bool:
        held = set(instance.holds)
        accepted = super().apply_grant(instance, grant, arrived_s)
        if accepted:
            for key in set(instance.holds) - held:
                self.check_token(instance, key)
            for key, (_, token) in instance.holds.items():
                highest, _ = self.highest_by_key.get(key, (0, None))
                if token > highest:
                    self.highest_by_key[key] = token, instance.holder
        return accepted

    def check_token(self, instance, key: int) -> None:
        until_s, token = instance.holds[key]
        highest, holder = self.highest_by_key.get(key, (0, instance.holder))
        if (
            until_s > self.now_s
            and holder != instance.holder
            and token <= highest
        ):
            self.tokens_back.append(
                f'{self.now_s:.2f} s {instance.holder} takes {key} with '
                f'{token}, {holder} had {highest}'
            )


class QuietRestoredStore(RestoredStore):
    """One run whose only other faults are those of instances."""

    def inject_other_fault(self) -> None:
        if self.random.random() > 0.01:
            return
        instance = self.random.choice(self.instances)
        if instance.up:
            self.crash(instance)
            restart_s = self.random.choice((0.1, 0.7, 6.0))
            self.schedule(restart_s, lambda: self.restart(instance))


class LostAgain(QuietRestoredStore):
    """One run in which leaders that go on may lose the store at once."""

    def keep_map(self, vm) -> bool:
        if self.random.random() < 0.7:
            vm.store_unreachable_until_s = self.now_s + 20.0
        return super().keep_map(vm)


class RestoredStoreTest(unittest.TestCase):
    """Keys never have two holders and tokens rise; faults are detected."""

    def test_no_key_has_two_holders(self):
        for simulated in (QuietRestoredStore, LostAgain, RestoredStore):
            for seed in SEEDS:
                with self.subTest(simulated=simulated.__name__, seed=seed):
                    self.assertEqual(simulated(seed).run()[:1], [])

    def test_no_token_goes_back(self):
        for simulated in (QuietRestoredStore, LostAgain, RestoredStore):
            for seed in SEEDS:
                with self.subTest(simulated=simulated.__name__, seed=seed):
                    simulation = simulated(seed)
                    simulation.run()
                    self.assertEqual(simulation.tokens_back[:1], [])
                    self.assertEqual(simulation.reused_tokens[:1], [])

    def test_histories_contain_leaders_that_go_on_and_that_are_replaced(self):
        went_on = taken_over = 0
        for seed in SEEDS:
            simulation = QuietRestoredStore(seed)
            simulation.run()
            went_on += simulation.went_on
            taken_over += simulation.taken_over
        self.assertGreater(went_on, len(SEEDS) / 4)
        self.assertGreater(taken_over, len(SEEDS) / 4)

    def test_detects_tokens_without_a_floor(self):
        def goes_back(seed):
            simulation = QuietRestoredStore(seed)
            simulation.run()
            return bool(simulation.tokens_back)

        with mock.patch.object(rangeleases, 'TOKENS_PER_ERA', 0):
            self.assertTrue(any(goes_back(seed) for seed in FAULT_SEEDS))

    def test_detects_a_takeover_that_trusts_a_copied_record(self):
        with mock.patch.object(
            leaderelection.LeaderMonitor, 'is_copy', lambda self, record: False
        ):
            self.assertTrue(
                any(QuietRestoredStore(seed).run() for seed in FAULT_SEEDS)
            )

    def test_detects_a_leader_that_goes_on_from_the_copied_map(self):
        class FromCopy(QuietRestoredStore):
            def keep_map(self, vm):
                vm.lease_manager.key_map = self.key_map
                return super().keep_map(vm)

        self.assertTrue(any(FromCopy(seed).run() for seed in FAULT_SEEDS))

    def test_detects_a_successor_that_trusts_a_map_not_written_again(self):
        class Trusting(LostAgain):
            def become_leader(self, vm, inherited_until_s, earlier_until_s):
                vm.previous_era = -1
                super().become_leader(vm, inherited_until_s, earlier_until_s)

        self.assertTrue(any(Trusting(seed).run() for seed in FAULT_SEEDS))


class RangeLeaseManagerTest(unittest.TestCase):
    """Key maps and tokens of a leader in a restored store."""

    def setUp(self):
        self.owner = ranges.Holder('i1', 1, 'a1')
        self.first_token = 2 * rangeleases.TOKENS_PER_ERA

    def lease_manager(self, key_map, **arguments):
        made = rangeleases.RangeLeaseManager(key_map, **arguments)
        made.update([assignment.Candidate(self.owner, 4)], [self.owner])
        return made

    def key_map(self, next_token):
        key_range = ranges.KeyRange(0, ranges.KEY_COUNT - 1, self.owner, 1)
        return ranges.KeyMap('svc', next_token, (key_range,))

    def published(self, lease_manager, now_s=0.0):
        (publish,) = lease_manager.step(now_s, test_rangeleases.PROFILE)
        lease_manager.published(publish.key_map)
        return publish.key_map

    def test_the_first_map_of_an_era_raises_the_tokens(self):
        lease_manager = self.lease_manager(
            self.key_map(9), inherited_until_s=0.0, era=2
        )
        written = self.published(lease_manager)
        self.assertGreater(written.next_token, self.first_token)
        (grant,) = lease_manager.step(0.0, test_rangeleases.PROFILE)
        self.assertGreaterEqual(grant.token, self.first_token)

    def test_a_leader_writes_its_map_again_after_a_restore(self):
        lease_manager = self.lease_manager(
            self.key_map(9), inherited_until_s=0.0, era=1
        )
        before = self.published(lease_manager)
        self.assertTrue(
            lease_manager.go_on_in_restored_store(self.key_map(9), 2)
        )
        self.assertFalse(lease_manager.is_published)
        actions = lease_manager.step(1.0, test_rangeleases.PROFILE)
        self.assertIsInstance(actions[0], rangeleases.Publish)
        written = actions[0].key_map
        self.assertEqual(written.ranges, before.ranges)
        self.assertGreater(written.next_token, self.first_token)

    def test_a_leader_does_not_go_on_if_a_newer_map_is_stored(self):
        lease_manager = self.lease_manager(
            self.key_map(9), inherited_until_s=0.0, era=1
        )
        newer = self.key_map(self.published(lease_manager).next_token + 1)
        self.assertFalse(lease_manager.go_on_in_restored_store(newer, 2))

    def test_a_stored_map_of_an_own_unanswered_write_is_not_a_newer_one(self):
        lease_manager = self.lease_manager(
            self.key_map(9), inherited_until_s=0.0, era=1
        )
        (publish,) = lease_manager.step(0.0, test_rangeleases.PROFILE)
        lease_manager.publishing_failed(0.1)
        self.assertTrue(
            lease_manager.go_on_in_restored_store(publish.key_map, 2)
        )

    def test_a_successor_waits_if_the_map_was_not_written_again(self):
        for previous_era, next_token, waits in (
            (2, 9, True),
            (2, self.first_token + 9, False),
            (1, 9, False),
        ):
            with self.subTest(previous_era=previous_era, token=next_token):
                lease_manager = self.lease_manager(
                    self.key_map(next_token),
                    inherited_until_s=13.2,
                    era=2,
                    previous_era=previous_era,
                )
                early = lease_manager.step(13.1, test_rangeleases.PROFILE)
                self.assertEqual(early == [], waits)
                self.assertTrue(
                    lease_manager.step(13.3, test_rangeleases.PROFILE)
                    or not waits
                )
