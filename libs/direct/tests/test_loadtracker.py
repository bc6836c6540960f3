"""Tests of oriolefold_direct.loadtracker at the size of a large deployment."""

import random
import time

import fakes

from oriolefold_coordination import assignment, rangeleases, ranges
from oriolefold_core import data
from oriolefold_direct import loadtracker, messages
from oriolefold_testbed import basecase

VM_COUNT = 76
INSTANCE_COUNT = 95
REQUESTS_PER_S = 377  # On one service of a large deployment.
REPORTS_PER_S = 2
STEPS_PER_S = 20
DURATION_S = 5
# The smallest VM has 0.43 of a core and serves requests beside leading.
MAX_CORE_SHARE = 0.25


def endpoints():
    return [
        fakes.endpoint(
            f'i-{n:08x}', address=data.Address(f'10.4.{n}.7', 8429), slots=4
        )
        for n in range(INSTANCE_COUNT)
    ]


def holder(endpoint):
    return ranges.Holder(
        endpoint.instance_id, endpoint.born_ms, str(endpoint.address)
    )


class LargeDeploymentTest(basecase.BaseCase):
    """The leader of a large service needs little CPU time of a small VM."""

    def setUp(self):
        super().setUp()
        self.generator = random.Random(7)
        self.endpoints = endpoints()
        self.load_tracker = loadtracker.LoadTracker(0.0)
        self.lease_manager = rangeleases.RangeLeaseManager(
            ranges.KeyMap('svc'), 0.0
        )

    def observed_load(self, vm_index):
        count = REQUESTS_PER_S // (VM_COUNT * REPORTS_PER_S) + 1
        keys = tuple(
            int(60000 * self.generator.random() ** 1.7) for _ in range(count)
        )
        times_by_id = {
            e.instance_id: 0.3 + 0.01 * (vm_index % 7) for e in self.endpoints
        }
        return messages.ObservedLoad(keys, times_by_id)

    def step(self, now_s):
        candidates = [
            assignment.Candidate(holder(e), self.load_tracker.capacity(e))
            for e in self.endpoints
        ]
        if now_s % 0.5 < 1 / STEPS_PER_S:
            self.lease_manager.update(
                candidates, [holder(e) for e in self.endpoints]
            )
        for action in self.lease_manager.step(
            now_s, self.load_tracker.profile(now_s)
        ):
            match action:
                case rangeleases.Publish():
                    self.lease_manager.published(action.key_map)
                case rangeleases.Grant():
                    self.lease_manager.grant_ended(action, True, False, now_s)
                case rangeleases.Release():
                    self.lease_manager.release_ended(action, 'state', now_s)

    def test_leading_takes_a_fraction_of_a_small_core(self):
        reports = VM_COUNT * REPORTS_PER_S // STEPS_PER_S
        vm_index = 0
        started_s = time.process_time()
        for step in range(DURATION_S * STEPS_PER_S):
            now_s = step / STEPS_PER_S
            for _ in range(reports):
                vm_index = (vm_index + 1) % VM_COUNT
                self.load_tracker.record(
                    f'vm-{vm_index}',
                    self.observed_load(vm_index),
                    self.lease_manager.key_map,
                    self.endpoints,
                    now_s,
                )
            self.step(now_s)
        spent_s = time.process_time() - started_s
        self.assertLess(spent_s / DURATION_S, MAX_CORE_SHARE)

    def test_capacity_follows_the_mean_service_time(self):
        for now_s in (0.0, 1.0):
            for vm_index, time_s in enumerate((0.2, 0.6)):
                times_by_id = {self.endpoints[0].instance_id: time_s}
                self.load_tracker.record(
                    f'vm-{vm_index}',
                    messages.ObservedLoad((), times_by_id),
                    self.lease_manager.key_map,
                    self.endpoints,
                    now_s,
                )
        for endpoint in self.endpoints[:2]:
            self.assertAlmostEqual(
                self.load_tracker.capacity(endpoint), 4 / 0.4
            )


class ShortQueuesTest(basecase.BaseCase):
    """Admissions are told only where instances need short queues."""

    def record(self, tracker, now_s, needed=False):
        load = messages.ObservedLoad((7,) * 40, {}, needs_short_queues=needed)
        owned = ranges.KeyRange(
            0, ranges.KEY_COUNT - 1, holder(endpoints()[0]), 1
        )
        key_map = ranges.KeyMap('svc', 2, (owned,))
        tracker.record('vm', load, key_map, endpoints(), now_s)

    def test_admissions_follow_a_report_and_not_for_ever(self):
        tracker = loadtracker.LoadTracker(0.0)
        for now_s in (0.0, 0.5, 1.0):
            self.record(tracker, now_s)
        self.assertEqual(tracker.admissions(endpoints(), 1.0), (False, {}))
        self.record(tracker, 1.5, needed=True)
        needed, admitted_by_id = tracker.admissions(endpoints(), 2.0)
        self.assertTrue(needed)
        # 80 requests a second, for an owner with 4 slots of 0.2 s.
        self.assertEqual(admitted_by_id, {endpoints()[0].instance_id: 0.25})
        expired_s = 2.0 + loadtracker.SHORT_QUEUES_TTL_S
        self.assertEqual(
            tracker.admissions(endpoints(), expired_s), (False, {})
        )
