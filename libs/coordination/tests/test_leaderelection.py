"""Tests of oriolefold_coordination.leaderelection."""

import unittest

from oriolefold_coordination import leaderelection, rangeleases

OTHER = leaderelection.LeaderRecord('two', 'p2', 1)


class LeaderMonitorTest(unittest.TestCase):
    """Conditions under which a VM may take over the leadership."""

    def setUp(self):
        self.leader_monitor = leaderelection.LeaderMonitor('one', 'p1')

    def test_a_leader_with_heartbeats_stays(self):
        for step in range(20):
            self.assertFalse(
                self.leader_monitor.observe(step + 1, OTHER, float(step))
            )

    def test_a_leader_without_heartbeats_is_replaced(self):
        self.assertFalse(self.leader_monitor.observe(5, OTHER, 0.0))
        self.assertFalse(
            self.leader_monitor.observe(5, OTHER, leaderelection.TAKEOVER_S)
        )
        self.assertTrue(
            self.leader_monitor.observe(
                5, OTHER, leaderelection.TAKEOVER_S + 0.1
            )
        )

    def test_a_leader_that_is_also_unreachable_is_replaced_earlier(self):
        self.leader_monitor.observe(5, OTHER, 0.0, suspected=True)
        limit_s = leaderelection.SUSPECTED_TAKEOVER_S
        self.assertFalse(
            self.leader_monitor.observe(5, OTHER, limit_s - 0.1, suspected=True)
        )
        self.assertTrue(
            self.leader_monitor.observe(5, OTHER, limit_s + 0.1, suspected=True)
        )

    def test_a_stale_read_is_ignored(self):
        self.leader_monitor.observe(5, OTHER, 0.0)
        self.assertFalse(self.leader_monitor.observe(4, OTHER, 60.0))

    def test_resigned_leader_or_own_former_process_is_replaced(self):
        self.assertTrue(
            self.leader_monitor.observe(
                1, leaderelection.LeaderRecord('', 'p2', 1), 0.0
            )
        )
        self.assertTrue(
            self.leader_monitor.observe(
                2, leaderelection.LeaderRecord('one', 'p0', 1), 0.0
            )
        )


class CopiedRecordTest(unittest.TestCase):
    """Records from before a restore of the store prove nothing."""

    def setUp(self):
        self.leader_monitor = leaderelection.LeaderMonitor('one', 'p1')
        self.limit_s = rangeleases.inherited_until_s(0.0, True, 0.0)
        self.beat = leaderelection.next_beat(0, 1)

    def may_claim(self, version, record, now_s, era=2, suspected=False):
        return self.leader_monitor.observe(
            version, record, now_s, suspected, era
        )

    def test_a_copied_record_is_replaced_once_all_leases_have_ended(self):
        for vm_id, incarnation in (('', 'p2'), ('one', 'p0'), ('two', 'p2')):
            with self.subTest(vm_id=vm_id):
                self.setUp()
                record = leaderelection.LeaderRecord(
                    vm_id, incarnation, self.beat
                )
                self.assertFalse(self.may_claim(5, record, 0.0))
                self.assertFalse(
                    self.may_claim(5, record, self.limit_s, suspected=True)
                )
                self.assertTrue(self.may_claim(5, record, self.limit_s + 0.1))

    def test_a_record_of_the_current_era_is_replaced_as_usual(self):
        beat = leaderelection.next_beat(self.beat, 2)
        resigned = leaderelection.LeaderRecord('', 'p2', beat)
        self.assertTrue(self.may_claim(5, resigned, 0.0))

    def test_a_record_that_changes_in_this_era_is_no_copy(self):
        # Earlier versions of the program do not tell the era.
        unmarked = leaderelection.LeaderRecord('two', 'p2', 7)
        self.assertFalse(self.may_claim(5, unmarked, 0.0))
        resigned = leaderelection.LeaderRecord('', 'p2', 8)
        self.assertTrue(self.may_claim(6, resigned, 1.0))

    def test_the_wait_begins_anew_with_a_second_restore(self):
        record = leaderelection.LeaderRecord('two', 'p2', self.beat)
        self.may_claim(5, record, 0.0)
        self.assertFalse(self.may_claim(9, record, self.limit_s, era=3))
        self.assertFalse(self.may_claim(9, record, self.limit_s + 0.1, era=3))

    def test_heartbeats_rise_across_eras(self):
        beats = [0]
        for era in (0, 1, 1, 2, 4):
            beats.append(leaderelection.next_beat(beats[-1], era))
        self.assertEqual(beats, sorted(set(beats)))
        eras = [leaderelection.LeaderRecord('', '', b).era for b in beats]
        self.assertEqual(eras, [0, 0, 1, 1, 2, 4])
