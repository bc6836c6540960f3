"""Tests of oriolefold_routing.reservation and the order of keyed waiters."""

import unittest

from oriolefold_core import data
from oriolefold_routing import concurrency, reservation, topology, waitqueue

ENDPOINT = topology.Endpoint(
    'i', 1, 's', 'z1', data.Address('10.0.0.1', 80), slots=4
)


def state(limit=4.0):
    return concurrency.InstanceState(ENDPOINT, 0, limit, divides_room=True)


class ReservationTest(unittest.TestCase):
    """Room of ranks at one instance; 0 is urgent and short, 2 is long."""

    def fill(self, instance, rank, now_s):
        count = 0
        while instance.has_capacity(now_s, rank):
            instance.record_send(now_s, rank)
            count += 1
        return count

    def test_long_requests_of_a_low_rank_leave_room(self):
        """Long requests must not take all the room of short urgent ones."""
        instance = state()
        for rank, took_s in ((0, 0.16), (2, 0.94)):
            instance.record_send(9.0, rank)
            instance.record_end(rank)
            instance.record(concurrency.SendResult.ANSWERED, took_s, 9.2, rank)
        instance.limit = 4.0
        self.assertEqual(self.fill(instance, 2, 10.0), 2)
        self.assertIs(instance.obstacle(10.0, 2), concurrency.Obstacle.RESERVED)
        self.assertEqual(self.fill(instance, 0, 10.0), 2)

    def test_a_rank_alone_has_all_the_room(self):
        """A reservation must not cost a service whose kinds have one rank."""
        instance = state()
        instance.record_send(9.0, 0)
        instance.record_end(0)
        self.assertEqual(self.fill(instance, 2, 9.1 + reservation.RECENT_S), 4)

    def test_room_for_one_is_not_closed_by_a_lower_rank(self):
        """A long request must not use up a limit of one for its time."""
        instance = state(limit=1.0)
        instance.reserved.record_seen(0, 9.9)
        self.assertEqual(self.fill(instance, 2, 10.0), 1)
        self.assertEqual(self.fill(instance, 0, 10.0), 1)

    def test_lower_rank_does_not_use_up_the_turn_under_a_small_quota(self):
        """Pacing after a long request must not hold back an urgent one."""
        instance = state()
        instance.baseline_time_s = 0.5
        instance.set_quota(0.02, 10.0)
        instance.reserved.record_seen(0, 10.0)
        instance.record_send(10.0, 2)
        self.assertTrue(instance.has_capacity(10.1, 0))
        instance.record_send(10.1, 0)
        instance.record_end(0)
        self.assertIs(instance.obstacle(10.2, 0), concurrency.Obstacle.PACING)
        self.assertIs(instance.obstacle(10.2, 2), concurrency.Obstacle.PACING)

    def test_waiters_of_an_owner_are_in_order_of_rank_and_limit(self):
        """A new request must not pass a more urgent one of its owner."""
        queue = waitqueue.WaitQueue()
        queue.add(waitqueue.Waiter(None, 1, 5.0, 'i'))
        cases = [
            (2, 1.0, 'i', True),
            (1, 6.0, 'i', True),
            (1, 4.0, 'i', False),
            (0, 9.0, 'i', False),
            (2, 9.0, 'other', False),
        ]
        for rank, give_up_at_s, owner_id, expected in cases:
            with self.subTest(rank=rank, limit=give_up_at_s, owner=owner_id):
                waiter = waitqueue.Waiter(None, rank, give_up_at_s, owner_id)
                self.assertEqual(queue.any_ahead(waiter), expected)
