"""Requests that wait for room at an instance, and how long they may."""

import dataclasses
from typing import Any

SHORT_WAIT_SHARE = 0.125  # Part of the objective that may always be waited.
LONGEST_WAIT_SHARE = 0.6  # Part of the objective that may be waited at most.
TIME_MARGIN = 1.5  # Service time to plan for; four in five take less.
FIRST_RETURN_S = 0.15  # Least time after which a refused caller may return.


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits.

    Attributes:
        owner: Whatever the caller needs to know it by.
        rank: Urgency; 0 is the most urgent.
        give_up_at_s: Time from which waiting on is useless.
    """

    owner: Any
    rank: int
    give_up_at_s: float


class Line:
    """Waiting requests of one service, the most urgent first."""

    def __init__(self):
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Adds a request."""
        self._waiters.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Removes a request that waits no longer."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def in_order(self) -> list[Waiter]:
        """Returns the requests, the one to serve first first."""
        return sorted(self._waiters, key=_urgency)

    def ahead_of(self, rank: int) -> int:
        """Returns how many requests go before a new one of a rank."""
        return sum(1 for waiter in self._waiters if waiter.rank <= rank)


def patience_s(objective_s: float, service_time_s: float) -> float:
    """Returns how long a request may wait and still be answered in time.

    Args:
        objective_s: Latency within which an answer is worth the most.
        service_time_s: Usual time from a send to the answer.
    """
    left_s = objective_s - TIME_MARGIN * service_time_s
    longest_s = LONGEST_WAIT_SHARE * objective_s
    return min(longest_s, max(SHORT_WAIT_SHARE * objective_s, left_s))


def retry_after_s(left_s: float, wait_s: float, spread: float) -> float:
    """Returns when a refused caller may come back.

    Args:
        left_s: Time until the caller's deadline; callers wait for at most a
            third of it.
        wait_s: Time in which room is expected.
        spread: Random number from 0 to 1, so that callers do not return
            together.
    """
    wanted_s = max(FIRST_RETURN_S, wait_s) * (0.75 + 0.5 * spread)
    return round(max(0.05, min(wanted_s, left_s / 3)), 3)


def _urgency(waiter: Waiter) -> tuple:
    return waiter.rank, waiter.give_up_at_s
