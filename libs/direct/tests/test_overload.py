"""Tests of how overload is handled, under loads in virtual time."""

import unittest
from unittest import mock

import virtualload

from oriolefold_routing import reservation
from oriolefold_telemetry import logs


def shared_kinds(load):
    """Returns an urgent short kind and a long one for the same instances."""
    return [
        virtualload.Kind('alarm', 0, False, 36 * load, 0.16, 0.606, 2.527),
        virtualload.Kind('logger', 2, True, 25 * load, 0.94, 3.006, 12.023),
    ]


class SharedInstancesTest(unittest.TestCase):
    """Short urgent requests beside long ones at the same owners."""

    def setUp(self):
        patcher = mock.patch.object(logs, 'event')
        patcher.start()
        self.addCleanup(patcher.stop)

    def play(self, load):
        return virtualload.Load(
            shared_kinds(load), vm_count=16, instance_count=16
        ).run(20)

    def test_urgent_requests_are_served_better_with_the_reservation(self):
        """Long requests of rank 2 used to take the turns of rank 0."""
        with mock.patch.object(
            reservation.Reservation, 'is_shared', return_value=False
        ):
            before = self.play(1.6)
        after = self.play(1.6)
        alarms, former = after['alarm'], before['alarm']
        self.assertGreater(
            alarms.in_time / alarms.sent, former.in_time / former.sent
        )
        self.assertLess(
            alarms.rejected / alarms.sent,
            0.6 * former.rejected / former.sent,
        )
        loggers = after['logger']
        self.assertGreater(
            loggers.in_time / loggers.sent, 0.25 * alarms.in_time / alarms.sent
        )
