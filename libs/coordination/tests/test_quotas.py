"""Tests of oriolefold_coordination.quotas under load."""

import unittest

from oriolefold_coordination import quotas, ranges

VMS = 80
CAPACITY_PER_S = 10.0
STEP_S = 0.5
STEPS = 60
OWNER = ranges.Holder('hot', 1, '10.0.0.1:80')
KEY_MAP = ranges.KeyMap(
    's', 2, (ranges.KeyRange(0, ranges.KEY_COUNT - 1, OWNER, 1),)
)


class AdmissionsTest(unittest.TestCase):
    """The part of its requests that an overloaded owner can take."""

    def admitted(self, utilization, capacities_by_id=None):
        divided = quotas.Quotas()
        per_step = round(utilization * CAPACITY_PER_S * STEP_S)
        sent = 0
        for step in range(STEPS):
            # Each request goes through the next VM, so that each VM sends the
            # owner one every few seconds.
            senders = {(sent + n) % VMS for n in range(per_step)}
            sent += per_step
            for vm in range(VMS):
                keys = [7] * (vm in senders)
                divided.report(str(vm), keys, KEY_MAP, step * STEP_S)
        if capacities_by_id is None:
            capacities_by_id = {'hot': CAPACITY_PER_S}
        return divided.admissions(capacities_by_id, STEPS * STEP_S)

    def test_admitted_requests_of_all_vms_fit_the_capacity(self):
        # VMs with few requests each used to send an owner three times its
        # slots, and nearly all answers were late.
        for utilization in (1.4, 2.0, 4.0):
            with self.subTest(utilization):
                part = self.admitted(utilization)['hot']
                self.assertAlmostEqual(part * utilization, 1.0, 1)

    def test_owner_with_room_admits_all(self):
        self.assertEqual(self.admitted(0.8), {})

    def test_owner_of_unknown_capacity_admits_all(self):
        self.assertEqual(self.admitted(4.0, {}), {})
