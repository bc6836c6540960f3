"""Tests of how overload is handled, under loads in virtual time."""

import unittest
from unittest import mock

import virtualload

from oriolefold_routing import scarcity, silence
from oriolefold_telemetry import logs


def shared_kinds(load):
    """Returns an urgent short kind and a long one for the same instances."""
    return [
        virtualload.Kind('alarm', 0, False, 36 * load, 0.16, 0.606, 2.527),
        virtualload.Kind('logger', 2, True, 25 * load, 0.94, 3.006, 12.023),
    ]


class OverloadCase(unittest.TestCase):
    """Plays loads without log lines."""

    def setUp(self):
        patcher = mock.patch.object(logs, 'event')
        patcher.start()
        self.addCleanup(patcher.stop)


class SilentInstancesTest(OverloadCase):
    """Instances that never answer what they cannot queue."""

    def play(self, idempotent):
        kind = virtualload.Kind('k', 2, idempotent, 120, 0.222, 0.812, 3.021)
        load = virtualload.Load(
            [kind],
            vm_count=12,
            instance_count=16,
            keyed=False,
            queue=4,
            burst=(10, 1.5, 5),
        )
        return load, load.run(40)['k']

    def test_idempotent_requests_are_answered_elsewhere(self):
        """They used to wait for a silent instance until their deadline."""
        with mock.patch.object(
            silence.Silence, 'is_active', return_value=False
        ):
            _, before = self.play(True)
        load, after = self.play(True)
        self.assertLess(
            after.failed / after.sent, 0.9 * before.failed / before.sent
        )
        # Fewer than 1 in 1,000 sends that will be answered are cut.
        self.assertLess(load.instances.cut['/k/x'], after.sent / 1000)

    def test_others_are_executed_at_most_once(self):
        """A request that may have run must not be sent a second time."""
        load, result = self.play(False)
        self.assertGreater(load.instances.silenced['/k/x'], 0)
        self.assertGreater(result.failed, 0)
        self.assertEqual(max(load.instances.executed.values()), 1)
        self.assertEqual(load.instances.cut['/k/x'], 0)


class ScarcityTest(OverloadCase):
    """Two ranks on a service that cannot serve all, callers that return."""

    def play(self, load=2.0):
        kinds = [
            virtualload.Kind('valve', 1, False, 9 * load, 0.3, 1.022, 4.024),
            virtualload.Kind('trend', 2, True, 20 * load, 0.22, 0.812, 3.021),
        ]
        return virtualload.Load(
            kinds,
            vm_count=4,
            instance_count=3,
            keyed=False,
            queue=24,
            silent=False,
            short_queues=True,
        ).run(40)

    def test_rejections_come_at_once_and_nobody_starves(self):
        """Requests used to be held until their limit before a rejection."""
        with mock.patch.object(
            scarcity.Scarcity, 'is_active', return_value=False
        ):
            before = self.play()['trend'].reject_waits_s
        results = self.play()
        after = results['trend'].reject_waits_s
        self.assertLess(
            sum(after) / len(after), 0.7 * sum(before) / len(before)
        )
        served = [
            (r.in_time + r.late) / r.sent
            for r in (results['valve'], results['trend'])
        ]
        self.assertGreaterEqual(served[0], served[1])
        self.assertGreater(served[1], 0.25 * served[0])

    def test_calm_load_is_served_as_before(self):
        """Admission control must not change a service with enough room."""
        with mock.patch.object(
            scarcity.Scarcity, 'is_active', return_value=False
        ):
            before = self.play(0.8)
        self.assertEqual(self.play(0.8), before)

    def test_full_instances_that_fail_reject_truthfully(self):
        """A rejected request must not have run."""
        load = virtualload.Load(
            [virtualload.Kind('k', 1, False, 60, 0.3, 0.6, 2.0)],
            vm_count=3,
            instance_count=3,
            keyed=False,
            queue=1,
            silent=False,
            retries=0,
        )
        result = load.run(15)['k']
        self.assertGreater(result.rejected, 0)
        self.assertEqual(
            sum(load.instances.executed.values()) + result.rejected,
            result.sent,
        )


class SharedInstancesTest(OverloadCase):
    """Short urgent requests beside long ones at the same owners."""

    def play(self, load, sheds):
        return virtualload.Load(
            shared_kinds(load),
            vm_count=16,
            instance_count=16,
            short_queues=sheds,
            sheds=sheds,
            retries=1,
        ).run(20)

    def test_urgent_requests_are_served_better_by_shedding(self):
        """Long requests of rank 2 used to fill the queues of rank 0."""
        former, after = self.play(1.6, False), self.play(1.6, True)
        alarms, before = after['alarm'], former['alarm']
        self.assertGreater(
            alarms.in_time / alarms.sent, 0.05 + before.in_time / before.sent
        )
        self.assertLess(
            alarms.failed / alarms.sent, 0.5 * before.failed / before.sent
        )
        # The long requests must not pay for it.
        loggers, before = after['logger'], former['logger']
        self.assertGreater(
            loggers.in_time / loggers.sent, before.in_time / before.sent - 0.05
        )
