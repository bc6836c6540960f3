"""Tests of oriolefold_coordination.planning, shardmap and shardstate."""

import collections
import json

from hypothesis import given, settings
from hypothesis import strategies as st

from oriolefold_coordination import planning, shardmap, shardstate
from oriolefold_core import errors
from oriolefold_testbed import basecase


class PlanTest(basecase.BaseCase):
    """Plans keep valid assignments and replace lost ones."""

    def setUp(self):
        super().setUp()
        self.register = basecase.make_register(vm_count=6, instance_count=6)
        self.configuration = basecase.make_configuration(self.register)

    def plan(self, current=None, excluded=(), vm_ids=None):
        plan_input = planning.PlanInput(
            self.configuration,
            tuple(self.register.vms_by_id if vm_ids is None else vm_ids),
            frozenset(excluded),
        )
        return planning.plan('svc', current, plan_input)

    def test_first_map_is_even_and_complete(self):
        first = self.plan()
        counts = collections.Counter(row.owner_id for row in first.rows)
        self.assertEqual(sum(counts.values()), 16)
        self.assertLessEqual(max(counts.values()), 3)
        for row in first.rows:
            self.assertNotEqual(row.owner_id, row.standby_id)

    def test_home_is_in_the_region_of_the_owner(self):
        service = self.register.services_by_id['svc']
        for row in self.plan().rows:
            owner_zone = service.instances_by_id[row.owner_id].zone_id
            home_zone = self.register.vms_by_id[row.home_id].zone_id
            self.assertEqual(
                self.register.region_of(owner_zone),
                self.register.region_of(home_zone),
            )

    def test_a_valid_map_is_unchanged(self):
        first = self.plan()
        self.assertIs(self.plan(first), first)

    def test_only_the_rows_of_a_lost_instance_change_owner(self):
        first = self.plan()
        second = self.plan(first, excluded=['s0'])
        self.assertEqual(second.epoch, first.epoch + 1)
        for before, after in zip(first.rows, second.rows, strict=True):
            if before.owner_id == 's0':
                self.assertNotEqual(after.owner_id, 's0')
                self.assertGreater(after.epoch, before.epoch)
            else:
                self.assertEqual(after.owner_id, before.owner_id)
            self.assertNotEqual(after.standby_id, 's0')

    def test_a_lost_home_is_a_prior_home_until_cleared(self):
        first = self.plan()
        vm_ids = [vm for vm in self.register.vms_by_id if vm != 'vm0']
        second = self.plan(first, vm_ids=vm_ids)
        moved = {
            i: row.epoch
            for i, row in enumerate(second.rows)
            if first.rows[i].home_id == 'vm0'
        }
        self.assertTrue(moved)
        for shard in moved:
            self.assertEqual(second.rows[shard].prior_home_ids, ('vm0',))
        third = planning.clear_prior_homes(second, moved)
        for shard, epoch in moved.items():
            self.assertEqual(third.rows[shard].prior_home_ids, ())
            self.assertEqual(third.rows[shard].epoch, epoch)

    def test_clearing_an_outdated_row_changes_nothing(self):
        first = self.plan()
        self.assertIs(planning.clear_prior_homes(first, {0: 99}), first)

    def test_removing_every_instance_is_rejected(self):
        with self.assertRaisesRegex(errors.NoOwnerError, 'no instance'):
            self.plan(excluded=[f's{i}' for i in range(6)])
        with self.assertRaisesRegex(errors.NoOwnerError, 'no VM'):
            self.plan(vm_ids=[])

    @given(st.lists(st.sets(st.integers(0, 5), max_size=4), max_size=6))
    @settings(max_examples=60, deadline=None, derandomize=True)
    def test_tokens_never_decrease(self, losses):
        current = self.plan()
        for lost in losses:
            following = self.plan(current, excluded=[f's{i}' for i in lost])
            pairs = zip(current.rows, following.rows, strict=True)
            for before, after in pairs:
                if before == after:
                    continue
                standby = shardmap.Role.STANDBY
                highest = before.token(7, standby, standby)
                first = shardmap.Role.PRIMARY
                self.assertGreater(after.token(0, first, first), highest)
            current = following

    def test_record_round_trips(self):
        first = self.plan()
        record = json.loads(json.dumps(shardmap.to_record(first)))
        self.assertEqual(shardmap.from_record(record, 'x'), first)

    def test_malformed_records_are_rejected(self):
        good = shardmap.to_record(self.plan())
        for broken in (
            None,
            [],
            {},
            good | {'rows': [[0]]},
            good | {'rows': [[99, 0, 0, 1]]},
            good | {'rows': [[-1, 0, 0, 1]]},
            good | {'epoch': 'x'},
        ):
            with self.assertRaises(errors.ConfigurationError):
                shardmap.from_record(broken, 'maps/svc')


class ShardStateTest(basecase.BaseCase):
    """Requests and grants of a shard never overlap between two owners."""

    @given(st.lists(st.integers(0, 6), min_size=20, max_size=60))
    @settings(max_examples=1000, deadline=None, derandomize=True)
    def test_requests_go_only_to_the_one_granted_owner(self, steps):
        state = shardstate.ShardState()
        granted, in_flight, pending = None, [], shardstate.Step.NOTHING
        for number, step in enumerate(steps):
            if step in (0, 1, 2):
                name = ('', 's1', 's2')[step]
                target = shardstate.Target(name, number) if name else None
                pending = state.set_target(target) or pending
            elif step == 3 and state.phase is shardstate.Phase.SERVING:
                in_flight.append(state.target.instance_id)
                state.request_sent()
            elif step == 4 and in_flight:
                in_flight.pop()
                state.request_done()
            elif step == 5 and state.granted and state.granted == state.target:
                state.grant_accepted(state.target)
            elif step == 6 and state.phase is shardstate.Phase.ENDING:
                state.grant_ended(state.granted.instance_id)
            granted = state.granted
            self.assertLessEqual(len(set(in_flight)), 1)
            if in_flight:
                self.assertEqual(in_flight[0], granted.instance_id)
            if state.released:
                self.assertEqual(in_flight, [])
                self.assertIsNone(granted)
