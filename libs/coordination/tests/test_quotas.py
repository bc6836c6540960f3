"""Tests of oriolefold_coordination.quotas under load."""

import unittest

from oriolefold_coordination import quotas, ranges

VMS = 80
SLOTS = 4
TIME_S = 0.4
CAPACITY_PER_S = SLOTS / TIME_S
STEP_S = 0.5
STEPS = 60
OWNER = ranges.Holder('hot', 1, '10.0.0.1:80')
KEY_MAP = ranges.KeyMap(
    's', 2, (ranges.KeyRange(0, ranges.KEY_COUNT - 1, OWNER, 1),)
)


class StrictSharesTest(unittest.TestCase):
    """All VMs together leave no long queue at an owner with much demand."""

    def allowed(self, utilization, strict=True):
        """Returns the requests in flight of all VMs together, per slot."""
        divided = quotas.Quotas()
        per_step = round(utilization * CAPACITY_PER_S * STEP_S)
        sent = 0
        for step in range(STEPS):
            # Each request goes through the next VM.
            senders = {(sent + n) % VMS for n in range(per_step)}
            sent += per_step
            for vm in range(VMS):
                keys = [7] * (vm in senders)
                divided.report(str(vm), keys, KEY_MAP, step * STEP_S)
        now_s = STEPS * STEP_S
        shares = [
            divided.shares(str(vm), {'hot': CAPACITY_PER_S}, now_s, strict)
            for vm in range(VMS)
        ]
        return round(sum(share.get('hot', 0.0) for share in shares), 2)

    def test_overloaded_owner_gets_little_more_than_its_slots(self):
        # Quotas rounded up for each VM let a queue grow that makes all late.
        self.assertAlmostEqual(self.allowed(2.0), quotas.TIGHT_MARGIN, 1)

    def test_owner_with_room_gets_what_happens_to_come(self):
        self.assertAlmostEqual(self.allowed(0.6), quotas.LOOSE_MARGIN, 1)

    def test_margin_falls_as_the_utilization_rises(self):
        allowed = [self.allowed(u) for u in (0.6, 0.8, 0.9, 1.0, 1.2, 3.0)]
        self.assertEqual(allowed, sorted(allowed, reverse=True))

    def test_shares_that_are_not_strict_have_no_margin(self):
        self.assertAlmostEqual(self.allowed(2.0, strict=False), 1.0, 1)

    def test_idle_owner_is_not_divided(self):
        self.assertEqual(self.allowed(0.3), 0.0)
