"""Budgets of the bytes that a process buffers.

Responses and the bodies of requests have a budget each, so that neither takes
room from the other.
"""

import asyncio
from collections.abc import Callable

# Fraction of a `ByteBudget` that only essential holds may use. A limit on
# complete answers instead would have to drop some that are ready.
ESSENTIAL_FRACTION = 0.15
# Holds up to this size may use the reserve for small ones, too.
SMALL_BYTES = 64 * 1024
RESERVE_FRACTION = 0.2  # Fraction of the rest that only small holds may use.


class Hold:
    """Buffered bytes of one response, counted against a budget.

    A hold that grows has to be settled or released by its owner. Once settled,
    it is also released when the last reference to it is dropped, so that an
    answer which keeps its hold is counted for as long as it is referenced.

    Attributes:
        size: Number of bytes counted.
        announced_size: Size that the sender has announced, or 0.
        essential: Whether holds that are not essential are aborted first.
        waiting: Whether its sender is kept waiting until there is room.
        waited_s: Time that its sender was kept waiting, in seconds.
    """

    __slots__ = (
        '_abort',
        '_budget',
        '_reserved',
        'announced_size',
        'essential',
        'size',
        'waited_s',
        'waiting',
    )

    def __init__(
        self, budget: 'ByteBudget', abort: Callable[[], None], essential: bool
    ):
        self._budget = budget
        self._abort: Callable[[], None] | None = abort
        self.announced_size = 0
        self.essential = essential
        self.size = 0
        self.waiting = False
        self.waited_s = 0.0
        self._reserved = 0  # Counted bytes that have not arrived yet.

    def __del__(self):
        self.release()

    @property
    def arrived(self) -> int:
        """Number of counted bytes that have arrived."""
        return self.size - self._reserved

    @property
    def is_of_unknown_length(self) -> bool:
        """Whether more has arrived than was announced, unless it is small."""
        return self.arrived > self.announced_size + SMALL_BYTES

    def grow(self, count: int) -> None:
        """Counts more bytes; may abort this hold or others to make room."""
        used = min(count, self._reserved)
        self._reserved -= used
        added = count - used
        if added and self._abort is not None:
            self.size += added
            self._budget.add(self, added)

    async def announce(self, size: int, limit_s: float) -> None:
        """Counts the announced bytes of a response before they arrive.

        Waits for room, so that its sender has to wait instead of losing the
        response. After the limit its bytes are counted as they arrive, and may
        cause it or another response to be aborted.
        """
        self.announced_size = size
        if size <= SMALL_BYTES or self.essential:
            return
        self.waiting = True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        try:
            await self._budget.wait_for_room(self, size, limit_s)
        finally:
            self.waiting = False
            self.waited_s += loop.time() - started_s

    def reserve(self, size: int) -> None:
        """Counts bytes that will arrive."""
        self._reserved += size
        self.size += size

    def settle(self, size: int) -> None:
        """Fixes the size of a complete response, which is never aborted."""
        if self._abort is not None:
            self._abort = None
            self._reserved = 0
            self._budget.settle(self, size - self.size)
            self.size = size

    def abort(self) -> None:
        """Releases the bytes and tells the owner to drop them."""
        abort = self._abort
        self.release()
        if abort is not None:
            abort()

    def release(self) -> None:
        """Gives the bytes back; further calls have no effect."""
        self._abort = None
        self._reserved = 0
        self._budget.remove(self)


class ByteBudget:
    """Limits the bytes that a process has buffered at the same time.

    When the budget is exhausted, the largest hold that still grows is aborted,
    since a response without an end outgrows proper ones sooner or later. Those
    of unknown length come first, unless they are small, since one that keeps to
    an announced length has an end. One that has announced its length waits for
    room before it is received.

    Attributes:
        held_bytes: Number of bytes counted now.
    """

    def __init__(self, max_bytes: int):
        """Initializes an unused budget.

        Args:
            max_bytes: Largest number of bytes that are held at a time.
        """
        self._max_bytes = max_bytes
        self._max_small_bytes = int(max_bytes * (1 - ESSENTIAL_FRACTION))
        self._max_large_bytes = int(
            self._max_small_bytes * (1 - RESERVE_FRACTION)
        )
        self._growing: set[Hold] = set()
        self._waiting: list[tuple[Hold, int, asyncio.Future]] = []
        self.held_bytes = 0

    def open(self, abort: Callable[[], None], essential: bool = False) -> Hold:
        """Returns a new hold that may grow.

        Args:
            abort: Called when the hold is aborted; has to drop its bytes.
            essential: Whether other holds are to be aborted first.
        """
        hold = Hold(self, abort, essential)
        self._growing.add(hold)
        return hold

    def add(self, hold: Hold, count: int) -> None:
        """Counts bytes of a growing hold and makes room for them."""
        self.held_bytes += count
        limit = self._limit(hold)
        while self.held_bytes > limit and hold in self._growing:
            holding = (other for other in self._growing if other.size)
            max(holding, key=_precedence).abort()

    def _limit(self, hold: Hold) -> int:
        """Returns up to how many held bytes a hold may grow."""
        if hold.essential:
            return self._max_bytes
        if hold.size <= SMALL_BYTES or hold.waiting:
            return self._max_small_bytes
        return self._max_large_bytes

    async def wait_for_room(
        self, hold: Hold, size: int, limit_s: float
    ) -> None:
        """Reserves bytes for a hold as soon as there is room.

        Args:
            hold: The hold.
            size: Number of bytes.
            limit_s: Time limit, after which nothing is reserved.
        """
        if size > self._max_large_bytes or self._reserve(hold, size):
            return
        reserved = asyncio.get_running_loop().create_future()
        waiter = hold, size, reserved
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(limit_s):
                await reserved
        except TimeoutError:
            return
        finally:
            self._waiting.remove(waiter)

    def _reserve(self, hold: Hold, size: int) -> bool:
        """Reserves bytes, if need be in favor of those without an end."""
        excess = self.held_bytes + size - self._max_large_bytes
        endless = [
            other
            for other in self._growing
            if not other.essential and other.is_of_unknown_length
        ]
        if excess > sum(other.size for other in endless):
            return False
        for other in sorted(endless, key=_precedence, reverse=True):
            if self.held_bytes + size <= self._max_large_bytes:
                break
            other.abort()
        self.held_bytes += size
        hold.reserve(size)
        return True

    def _wake_waiting(self) -> None:
        """Lets responses that wait have the room that was given back.

        Later, since a hold may be dropped while others are looked at.
        """
        if self._waiting:
            _, _, reserved = self._waiting[0]
            reserved.get_loop().call_soon(self._admit_waiting)

    def _admit_waiting(self) -> None:
        for hold, size, reserved in list(self._waiting):
            if reserved.done() or hold not in self._growing:
                continue
            if self._reserve(hold, size):
                reserved.set_result(None)

    def settle(self, hold: Hold, change: int) -> None:
        """Changes the size of a hold for the last time."""
        self._growing.discard(hold)
        self.held_bytes += change
        self._wake_waiting()

    def remove(self, hold: Hold) -> None:
        """Stops counting a hold."""
        self._growing.discard(hold)
        self.held_bytes -= hold.size
        hold.size = 0
        self._wake_waiting()


class BodyHold:
    """Room for the body of one request.

    Attributes:
        size: Number of bytes reserved.
    """

    __slots__ = ('_budget', 'size')

    def __init__(self, budget: 'BodyBudget'):
        self._budget = budget
        self.size = 0

    def reserve(self, count: int) -> bool:
        """Reserves more bytes; returns whether there is room for them."""
        if not self._budget.take(count, self.size + count):
            return False
        self.size += count
        return True

    def release(self) -> None:
        """Gives the bytes back; further calls have no effect."""
        self._budget.give_back(self.size)
        self.size = 0


class BodyBudget:
    """Limits the bytes of the bodies of all requests in progress.

    Room is reserved before it is used and never taken back, so that a request
    whose body is accepted can be sent.

    Attributes:
        max_body_bytes: Largest body for which there can be room.
        held_bytes: Number of bytes reserved now.
    """

    def __init__(self, max_bytes: int):
        """Initializes an unused budget.

        Args:
            max_bytes: Largest number of bytes that are held at a time.
        """
        self._max_bytes = max_bytes
        self.max_body_bytes = int(max_bytes * (1 - RESERVE_FRACTION))
        self.held_bytes = 0

    def open(self) -> BodyHold:
        """Returns a new hold without any bytes."""
        return BodyHold(self)

    def take(self, count: int, size: int) -> bool:
        """Counts more bytes of a body if there is room for them.

        Args:
            count: Number of bytes to count.
            size: Size of the body with them.
        """
        is_small = size <= SMALL_BYTES
        limit = self._max_bytes if is_small else self.max_body_bytes
        if self.held_bytes + count > limit:
            return False
        self.held_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Stops counting bytes."""
        self.held_bytes -= count


def _precedence(hold: Hold) -> tuple[bool, bool, int]:
    return (
        not hold.essential,
        hold.is_of_unknown_length,
        max(hold.size, hold.announced_size),
    )
