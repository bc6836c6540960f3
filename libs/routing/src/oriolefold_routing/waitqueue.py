"""Priority queue of requests that wait for capacity, and its time limits."""

import dataclasses
from typing import Any

# The limit of the wait, as a fraction of the latency objective.
MIN_WAIT_FRACTION = 0.125
MAX_WAIT_FRACTION = 0.6
# Planned over average service time; 4 in 5 requests take less.
SERVICE_TIME_MARGIN = 1.5
MIN_RETRY_AFTER_S = 0.15  # Shortest delay before jitter.


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A queued request.

    Attributes:
        payload: Opaque object that identifies the request to the queue's user.
        rank: Priority; 0 is the most urgent.
        give_up_at_s: When it leaves the queue, since an answer would be late.
        owner_id: The one instance that may serve it, or an empty string.
        owner_is_shared: Whether requests of different ranks go to that
            instance.
        returning: Whether it goes before first attempts of its rank.
        since_s: When it began to wait.
    """

    payload: Any
    rank: int
    give_up_at_s: float
    owner_id: str = ''
    owner_is_shared: bool = False
    returning: bool = False
    since_s: float = 0.0


class WaitQueue:
    """Queue of the requests of one service, the most urgent first."""

    def __init__(self):
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Adds a request."""
        self._waiters.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Removes a request from the queue, if it is there."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def by_priority(self) -> list[Waiter]:
        """Returns the requests in the order in which they are to be served."""
        return sorted(self._waiters, key=_priority)

    def count_ahead(self, rank: int) -> int:
        """Returns how many requests are served before a new one of a rank."""
        return sum(1 for waiter in self._waiters if waiter.rank <= rank)

    def any_ahead(self, waiter: Waiter) -> bool:
        """Whether a queued request for the same owner goes before another."""
        return self.count_before(waiter) > 0

    def count_before(self, waiter: Waiter) -> int:
        """Returns how many queued requests for its owner go before another."""
        own = _priority(waiter)
        return sum(
            other.owner_id == waiter.owner_id and _priority(other) <= own
            for other in self._waiters
        )

    def has_other_rank(self, rank: int) -> bool:
        """Whether a request of another rank waits."""
        return any(waiter.rank != rank for waiter in self._waiters)

    def line_length(self, owner_id: str) -> int:
        """Returns how many requests wait for an owner."""
        return sum(waiter.owner_id == owner_id for waiter in self._waiters)


def max_wait_s(objective_s: float, service_time_s: float) -> float:
    """Returns how long a request may wait for capacity, in seconds.

    Args:
        objective_s: Latency within which an answer is worth the most.
        service_time_s: Typical time from a send to the answer.
    """
    left_s = objective_s - SERVICE_TIME_MARGIN * service_time_s
    longest_s = MAX_WAIT_FRACTION * objective_s
    return min(longest_s, max(MIN_WAIT_FRACTION * objective_s, left_s))


def retry_after_s(left_s: float, wait_s: float, jitter: float) -> float:
    """Returns after how many seconds a refused caller should retry.

    Args:
        left_s: Time until the caller's deadline; the result is at most a
            third of it.
        wait_s: Expected time until there is capacity.
        jitter: Random number from 0 to 1; it keeps callers from
            retrying at the same moment.
    """
    wanted_s = max(MIN_RETRY_AFTER_S, wait_s) * (0.75 + 0.5 * jitter)
    return round(max(0.05, min(wanted_s, left_s / 3)), 3)


def _priority(waiter: Waiter) -> tuple:
    return waiter.rank, not waiter.returning, waiter.give_up_at_s
