"""Tests of oriolefold_core.bytebudget."""

import asyncio

from oriolefold_core import bytebudget
from oriolefold_testbed import basecase

ORDINARY_BYTES = 10_000_000  # For responses that are not essential.
MAX_BYTES = round(ORDINARY_BYTES / (1 - bytebudget.ESSENTIAL_FRACTION))


class BudgetCase:
    """Opens holds of one budget and notes which are aborted."""

    def setUp(self):
        super().setUp()
        self.budget = bytebudget.ByteBudget(MAX_BYTES)
        self.aborted_names = []
        self.kept = []

    def open(self, name, size=0, essential=False):
        hold = self.budget.open(
            lambda: self.aborted_names.append(name), essential
        )
        hold.grow(size)
        return hold


class ByteBudgetTest(BudgetCase, basecase.BaseCase):
    """The bytes held stay within the budget and are given back."""

    def test_the_largest_growing_hold_is_aborted(self):
        large = self.open('large', 5_000_000)
        small = self.open('small', 2_000_000)
        small.grow(1_500_000)
        self.assertEqual(self.aborted_names, ['large'])
        self.assertEqual((large.size, small.size), (0, 3_500_000))
        self.assertEqual(self.budget.held_bytes, 3_500_000)

    def test_a_hold_that_is_the_largest_itself_is_aborted(self):
        self.open('one', 3_000_000)
        self.open('two', 6_000_000)
        self.assertEqual(self.aborted_names, ['two'])
        self.assertEqual(self.budget.held_bytes, 3_000_000)

    def test_holds_of_unknown_length_are_aborted_first_unless_small(self):
        announced = self.open('announced')
        announced.announced_size = 6_000_000
        announced.grow(4_000_000)
        self.open('small', bytebudget.SMALL_BYTES)
        self.open('unknown', 3_000_000)
        announced.grow(1_000_000)
        self.assertEqual(self.aborted_names, ['unknown'])
        announced.grow(3_000_000)
        self.assertEqual(self.aborted_names, ['unknown', 'announced'])

    def test_a_hold_that_outgrows_its_announcement_is_of_unknown_length(self):
        false = self.open('false')
        false.announced_size = 5
        false.grow(1_000_000)
        announced = self.open('announced')
        announced.announced_size = 8_000_000
        announced.grow(7_500_000)
        self.assertEqual(self.aborted_names, ['false'])

    def test_complete_responses_are_never_aborted(self):
        complete = self.open('complete', 5_000_000)
        complete.settle(5_000_000)
        self.open('growing', 4_000_000)
        self.assertEqual(self.aborted_names, ['growing'])
        self.assertEqual(complete.size, 5_000_000)

    def test_essential_holds_are_aborted_last(self):
        self.open('essential', 4_000_000, essential=True)
        self.open('other', 1_000_000)
        self.open('last', 3_500_000)
        self.assertEqual(self.aborted_names, ['last'])

    def test_responses_that_hold_nothing_are_not_aborted(self):
        self.open('waiting')
        complete = self.open('complete', 7_000_000)
        complete.settle(7_000_000)
        self.open('essential', 6_000_000, essential=True)
        self.assertEqual(self.aborted_names, ['essential'])

    def test_complete_responses_leave_essential_ones_a_share(self):
        for _ in range(1000):
            for size in (6_000_000, 1_000_000, bytebudget.SMALL_BYTES):
                complete = self.open('ordinary', size)
                complete.settle(complete.size)
                self.kept.append(complete)
        self.open('essential', MAX_BYTES - ORDINARY_BYTES, essential=True)
        self.assertNotIn('essential', self.aborted_names)
        self.assertLessEqual(self.budget.held_bytes, MAX_BYTES)

    def test_complete_responses_use_up_no_room_of_essential_ones(self):
        while 'ordinary' not in self.aborted_names:
            complete = self.open('ordinary', bytebudget.SMALL_BYTES)
            complete.settle(complete.size)
            self.kept.append(complete)
        self.open('essential', MAX_BYTES // 10, essential=True)
        self.assertNotIn('essential', self.aborted_names)

    def test_small_holds_fit_beside_a_budget_used_by_complete_ones(self):
        complete = self.open('complete', 7_900_000)
        complete.settle(7_900_000)
        self.open('large', 200_000)
        for index in range(20):
            self.open(f'small {index}', bytebudget.SMALL_BYTES)
        self.assertEqual(self.aborted_names, ['large'])

    def test_a_hold_is_given_back_once_released_or_dropped(self):
        holds = [self.open('a', 10), self.open('b', 10), self.open('c', 10)]
        holds[0].release()
        holds[0].release()
        holds[1].settle(4)
        self.assertEqual(self.budget.held_bytes, 14)
        holds[2].abort()
        holds[2].grow(10)
        self.assertEqual(self.budget.held_bytes, 4)
        del holds
        self.assertEqual(self.budget.held_bytes, 0)


class RoomTest(BudgetCase, basecase.AsyncCase):
    """Responses of announced lengths wait for room instead of being aborted."""

    def receive(self, name, size, limit_s=5.0):
        """Returns a hold and a task that receives a response with it."""
        hold = self.open(name, 1000)

        async def announce_and_grow():
            await hold.announce(size, limit_s)
            hold.grow(size)

        return hold, asyncio.create_task(announce_and_grow())

    async def test_large_responses_at_once_are_not_aborted(self):
        first, receiving_first = self.receive('first', 5_000_000)
        await receiving_first
        second, receiving_second = self.receive('second', 5_000_000)
        _, receiving_third = self.receive('third', 2_000_000)
        await receiving_third
        await asyncio.sleep(0.05)
        self.assertFalse(receiving_second.done())
        first.settle(first.size)
        first.release()
        await receiving_second
        self.assertGreater(second.waited_s, 0.04)
        self.assertEqual(self.aborted_names, [])
        self.assertEqual(self.budget.held_bytes, 7_002_000)

    async def test_announced_bytes_are_counted_before_they_arrive(self):
        hold = self.open('announced', 1000)
        await hold.announce(6_000_000, 1.0)
        self.assertEqual(self.budget.held_bytes, 6_001_000)
        _, receiving = self.receive('other', 3_000_000)
        await asyncio.sleep(0)
        hold.release()
        await receiving
        self.assertEqual(self.budget.held_bytes, 3_001_000)

    async def test_a_sender_that_keeps_its_room_does_not_block_others(self):
        idle = self.open('idle')
        await idle.announce(7_000_000, 1.0)
        _, receiving = self.receive('other', 3_000_000, limit_s=0.05)
        await receiving
        self.assertEqual(self.aborted_names, ['idle'])

    async def test_responses_of_unknown_length_make_room(self):
        self.open('unknown', 6_000_000)
        _, receiving = self.receive('announced', 4_000_000)
        await receiving
        self.assertEqual(self.aborted_names, ['unknown'])

    async def test_a_response_given_up_while_it_waits_reserves_nothing(self):
        full, receiving_full = self.receive('full', 7_900_000)
        await receiving_full
        waiting, receiving = self.receive('waiting', 3_000_000)
        await asyncio.sleep(0)
        waiting.abort()
        full.release()
        await asyncio.sleep(0)
        self.assertEqual(self.budget.held_bytes, 0)
        receiving.cancel()

    async def test_unread_bytes_of_waiting_responses_abort_none(self):
        full, receiving_full = self.receive('full', 7_900_000)
        await receiving_full
        waiting, receiving = self.receive('waiting', 3_000_000)
        await asyncio.sleep(0)
        waiting.grow(2 * bytebudget.SMALL_BYTES)
        self.assertEqual(self.aborted_names, [])
        receiving.cancel()
        await asyncio.gather(receiving, return_exceptions=True)
        waiting.release()
        self.assertEqual(self.budget.held_bytes, full.size)


class BodyBudgetTest(basecase.BaseCase):
    """Room for bodies is bounded, never taken back, and given back once."""

    def setUp(self):
        super().setUp()
        self.budget = bytebudget.BodyBudget(1_000_000)

    def test_a_body_without_room_reserves_nothing(self):
        first, second = self.budget.open(), self.budget.open()
        self.assertTrue(first.reserve(700_000))
        self.assertFalse(second.reserve(200_000))
        self.assertEqual((first.size, second.size), (700_000, 0))
        self.assertTrue(second.reserve(100_000))
        self.assertEqual(self.budget.held_bytes, 800_000)

    def test_small_bodies_fit_beside_large_ones(self):
        self.assertTrue(self.budget.open().reserve(800_000))
        small = self.budget.open()
        self.assertTrue(small.reserve(bytebudget.SMALL_BYTES))
        self.assertFalse(small.reserve(1))

    def test_all_small_bodies_stay_within_the_budget(self):
        holds = [self.budget.open() for _ in range(100)]
        while any(hold.reserve(1000) for hold in holds):
            pass
        self.assertEqual(self.budget.held_bytes, 1_000_000)

    def test_room_is_given_back_once(self):
        holds = [self.budget.open(), self.budget.open()]
        for hold in holds:
            self.assertTrue(hold.reserve(10))
        holds[0].release()
        holds[0].release()
        self.assertEqual(self.budget.held_bytes, 10)
