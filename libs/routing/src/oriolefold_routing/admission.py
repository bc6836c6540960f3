"""Decides whether a request may go to an instance now, later or not at all."""

import dataclasses
from typing import Any

from oriolefold_core import errors

MAX_WAIT_S = 0.5  # Longest expected wait in a queue.
MAX_WAITING = 4096
SMOOTHING = 0.1  # Weight of a new service time in the moving mean.
OUTLIER_FACTOR = 4.0  # A service time counts for at most so many means.
SHORTEST_S = 0.0005  # Least service time that is taken into account.
FIRST_GUESS_S = 0.01  # Service time before the first was seen.


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request that waits for a free place.

    Attributes:
        owner: Whatever the caller of the gate needs to know it by.
        importance: Higher values are shed later.
        expires_at_s: Time from which waiting on is useless.
    """

    owner: Any
    importance: int
    expires_at_s: float


class Gate:
    """Places at one instance with a queue that is bounded by time.

    A queue that is bounded by length alone grows with the service time. Here a
    request is refused as soon as the wait that it can expect is too long, while
    it has not run, so that the caller may go elsewhere at once.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.in_flight = 0
        self._waiting: list[Ticket] = []
        self._service_time_s = FIRST_GUESS_S

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def expected_wait_s(self) -> float:
        """Wait that one more request can expect."""
        return (len(self._waiting) + 1) * self._service_time_s / self.limit

    def enter(self, ticket: Ticket, now_s: float) -> tuple[bool, Ticket | None]:
        """Lets a request in, makes it wait, or sheds the least important.

        Args:
            ticket: The request.
            now_s: Present time.

        Returns:
            Whether the request may go now, and a waiting request that was shed
            in its favour, if any.

        Raises:
            OverloadedError: If the request itself is shed.
        """
        if self.in_flight < self.limit and not self._waiting:
            self.in_flight += 1
            return True, None
        patience_s = min(MAX_WAIT_S, ticket.expires_at_s - now_s)
        crowded = len(self._waiting) >= MAX_WAITING
        if not crowded and self.expected_wait_s <= patience_s:
            self._waiting.append(ticket)
            return False, None
        victim = self._least_important()
        if victim is None or victim.importance >= ticket.importance:
            raise errors.OverloadedError(
                f'expected wait of {self.expected_wait_s * 1000:.0f} ms'
            )
        self._waiting.remove(victim)
        self._waiting.append(ticket)
        return False, victim

    def leave(
        self, now_s: float, took_s: float | None
    ) -> tuple[Ticket | None, list[Ticket]]:
        """Frees a place.

        Args:
            now_s: Present time.
            took_s: Time that the request took, or None if it tells nothing.

        Returns:
            The request that goes next, if any, and those that waited in vain.
        """
        self.in_flight -= 1
        if took_s is not None:
            # One request to an instance that froze says nothing of the next.
            sample_s = min(took_s, OUTLIER_FACTOR * self._service_time_s)
            sample_s = max(sample_s, SHORTEST_S)
            self._service_time_s += SMOOTHING * (
                sample_s - self._service_time_s
            )
        expired = [t for t in self._waiting if t.expires_at_s <= now_s]
        if expired:
            self._waiting = [t for t in self._waiting if t not in expired]
        if not self._waiting or self.in_flight >= self.limit:
            return None, expired
        chosen = max(self._waiting, key=_importance)
        self._waiting.remove(chosen)
        self.in_flight += 1
        return chosen, expired

    def empty(self) -> list[Ticket]:
        """Removes and returns all requests that wait."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def withdraw(self, ticket: Ticket) -> None:
        """Removes a request whose caller has gone."""
        if ticket in self._waiting:
            self._waiting.remove(ticket)

    def _least_important(self) -> Ticket | None:
        if not self._waiting:
            return None
        # The newest of equals goes first; it has waited the least.
        return min(reversed(self._waiting), key=_importance)


def _importance(ticket: Ticket) -> int:
    return ticket.importance
