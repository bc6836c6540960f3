"""Tests of oriolefold_routing.incarnations."""

from oriolefold_core import data
from oriolefold_routing import incarnations, topology
from oriolefold_testbed import basecase

COPIED = 50  # A version from the copy.
RESTORED = 100  # Revision of the first list after the restore.
LATER = 101  # A version that was written after it.


def endpoint(name='i', born_ms=5, draining=False):
    return topology.Endpoint(
        name, born_ms, 's', 'z', data.Address('10.0.0.1', 80), 4, draining
    )


class IncarnationMemoryTest(basecase.BaseCase):
    """A restored store does not bring back what has ended."""

    def setUp(self):
        super().setUp()
        self.memory = incarnations.IncarnationMemory()

    def find(self, found, version=COPIED, known=None, now_s=10.0):
        return self.memory.reconcile(found, version, known, now_s)

    def test_entries_are_believed_before_any_restore(self):
        self.memory.record_removal(endpoint(), 9.0)
        self.find(endpoint(draining=True))
        for found in (endpoint(), endpoint(born_ms=4)):
            known = endpoint(draining=True)
            self.assertEqual(self.find(found, known=known), found)

    def test_draining_incarnation_stays_draining_in_an_older_copy(self):
        self.find(endpoint(draining=True))
        self.memory.begin_era(RESTORED, 10.0)
        for now_s in (10.0, 10.0 + incarnations.COPY_LIMIT_S):
            self.assertTrue(self.find(endpoint(), now_s=now_s).draining)
        self.assertFalse(self.find(endpoint(born_ms=6)).draining)
        self.assertFalse(self.find(endpoint('j')).draining)
        self.assertFalse(self.find(endpoint(), LATER).draining)

    def test_removed_incarnation_does_not_return_from_an_older_copy(self):
        self.memory.record_removal(endpoint(), 9.0)
        self.memory.begin_era(RESTORED, 10.0)
        self.assertIsNone(self.find(endpoint()))
        for other in (endpoint(born_ms=6), endpoint('j')):
            self.assertEqual(self.find(other), other)

    def test_removed_incarnation_returns_with_an_entry_written_later(self):
        self.memory.record_removal(endpoint(), 9.0)
        self.memory.begin_era(RESTORED, 10.0)
        self.assertEqual(self.find(endpoint(), LATER), endpoint())

    def test_removed_incarnation_returns_if_its_entry_does_not_expire(self):
        self.memory.record_removal(endpoint(), 9.0)
        self.memory.begin_era(RESTORED, 10.0)
        now_s = 10.0 + incarnations.COPY_LIMIT_S
        self.assertEqual(self.find(endpoint(), now_s=now_s), endpoint())

    def test_removed_incarnation_stays_out_in_a_second_restore(self):
        self.memory.record_removal(endpoint(), 9.0)
        self.memory.begin_era(RESTORED, 10.0)
        self.memory.begin_era(RESTORED + 1, 12.0)
        now_s = 11.0 + incarnations.COPY_LIMIT_S
        self.assertIsNone(self.find(endpoint(), RESTORED + 1, now_s=now_s))

    def test_restarted_instance_does_not_return_as_its_predecessor(self):
        old, new = endpoint(), endpoint(born_ms=6)
        self.assertEqual(self.find(new, known=old), new)
        self.memory.begin_era(RESTORED, 10.0)
        self.assertIsNone(self.find(old, known=new))
        self.assertIsNone(self.find(old))
        # An instance whose former incarnations were never seen here.
        self.assertIsNone(self.find(endpoint(born_ms=3), known=new))

    def test_memory_of_removals_is_bounded(self):
        self.memory.begin_era(RESTORED, 10.0)
        self.memory.record_removal(endpoint('first'), 1.0)
        for number in range(incarnations.MAX_REMOVALS):
            self.memory.record_removal(endpoint(str(number)), 2.0)
        self.assertIsNotNone(self.find(endpoint('first')))
        self.assertIsNone(self.find(endpoint('0')))
        now_s = 3.0 + incarnations.REMOVAL_MEMORY_S
        self.memory.begin_era(RESTORED, now_s)
        self.assertIsNotNone(self.find(endpoint('1'), now_s=now_s))

    def test_draining_is_forgotten_with_the_removal(self):
        self.find(endpoint(draining=True))
        self.memory.record_removal(endpoint(draining=True), 10.0)
        now_s = 11.0 + incarnations.REMOVAL_MEMORY_S
        self.memory.begin_era(RESTORED, now_s)
        self.assertFalse(self.find(endpoint(), now_s=now_s).draining)
