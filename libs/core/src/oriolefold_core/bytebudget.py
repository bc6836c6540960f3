"""Budgets of the bytes that a process buffers.

Responses and the bodies of requests have a budget each, so that neither takes
room from the other.
"""

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
    """

    __slots__ = ('_abort', '_budget', 'announced_size', 'essential', 'size')

    def __init__(
        self, budget: 'ByteBudget', abort: Callable[[], None], essential: bool
    ):
        self._budget = budget
        self._abort: Callable[[], None] | None = abort
        self.announced_size = 0
        self.essential = essential
        self.size = 0

    def __del__(self):
        self.release()

    def grow(self, count: int) -> None:
        """Counts more bytes; may abort this hold or others to make room."""
        if self._abort is not None:
            self.size += count
            self._budget.add(self, count)

    def settle(self, size: int) -> None:
        """Fixes the size of a complete response, which is never aborted."""
        if self._abort is not None:
            self._abort = None
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
        self._budget.remove(self)
        self.size = 0


class ByteBudget:
    """Limits the bytes that a process has buffered at the same time.

    When the budget is exhausted, the largest hold that still grows is aborted,
    since a response without an end outgrows proper ones sooner or later. Those
    of unknown length come first, unless they are small, since one that keeps to
    an announced length has an end.

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
        if hold.size <= SMALL_BYTES:
            return self._max_small_bytes
        return self._max_large_bytes

    def settle(self, hold: Hold, change: int) -> None:
        """Changes the size of a hold for the last time."""
        self._growing.discard(hold)
        self.held_bytes += change

    def remove(self, hold: Hold) -> None:
        """Stops counting a hold."""
        self._growing.discard(hold)
        self.held_bytes -= hold.size


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
        hold.size > hold.announced_size + SMALL_BYTES,
        max(hold.size, hold.announced_size),
    )
