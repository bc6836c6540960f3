"""Admission control for one instance: a concurrency limit and a queue.

The queue is bounded by expected waiting time and sheds the least important
requests first.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

from oriolefold_core import errors

MAX_WAIT_S = 0.5  # Longest expected wait at which a request is queued.
MAX_QUEUE_LENGTH = 4096
SMOOTHING_FACTOR = 0.1  # Weight of a new sample in the moving average.
OUTLIER_FACTOR = 4.0  # Samples are clipped to this multiple of the average.
MIN_SERVICE_TIME_S = 0.0005  # Samples are raised to at least this.
INITIAL_SERVICE_TIME_S = 0.01  # Assumed before the first sample.


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a free slot.

    Attributes:
        payload: Opaque object that identifies the request to the queue's user.
        importance: Requests with lower values are shed first.
        expires_at_s: Deadline of the request.
    """

    payload: Any
    importance: int
    expires_at_s: float


class AdmissionQueue:
    """Concurrency limit of one instance with a queue bounded by waiting time.

    The wait in a queue that is bounded by length alone grows with the service
    time. Here a request is refused as soon as its expected wait is too long. It
    has not run by then, so the caller can try another instance at once.

    Attributes:
        limit: Most requests that may be in flight.
        in_flight: Requests in flight.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.in_flight = 0
        self._waiting: list[Waiter] = []
        self._service_time_s = INITIAL_SERVICE_TIME_S

    @property
    def queue_length(self) -> int:
        """Number of queued requests."""
        return len(self._waiting)

    @property
    def expected_wait_s(self) -> float:
        """Expected wait of one more request, in seconds."""
        return (len(self._waiting) + 1) * self._service_time_s / self.limit

    def admit(self, waiter: Waiter, now_s: float) -> tuple[bool, Waiter | None]:
        """Admits or queues a request, or sheds the least important one.

        Args:
            waiter: The request.
            now_s: Current time.

        Returns:
            Whether the request may be sent now, and the queued request that was
            shed to make room for it, if any.

        Raises:
            OverloadedError: If the request itself is shed.
        """
        if self.in_flight < self.limit and not self._waiting:
            self.in_flight += 1
            return True, None
        max_wait_s = min(MAX_WAIT_S, waiter.expires_at_s - now_s)
        queue_full = len(self._waiting) >= MAX_QUEUE_LENGTH
        if not queue_full and self.expected_wait_s <= max_wait_s:
            self._waiting.append(waiter)
            return False, None
        victim = self._least_important()
        if victim is None or victim.importance >= waiter.importance:
            raise errors.OverloadedError(
                f'expected wait of {self.expected_wait_s * 1000:.0f} ms'
            )
        self._waiting.remove(victim)
        self._waiting.append(waiter)
        return False, victim

    def release(
        self, now_s: float, took_s: float | None
    ) -> tuple[Waiter | None, list[Waiter]]:
        """Releases a slot.

        Args:
            now_s: Current time.
            took_s: Service time of the request, or None if it is no valid
                sample.

        Returns:
            The queued request to send next, if any, and the queued requests
            whose deadlines have passed.
        """
        self.in_flight -= 1
        if took_s is not None:
            # One request to a frozen instance must not inflate the average.
            sample_s = min(took_s, OUTLIER_FACTOR * self._service_time_s)
            sample_s = max(sample_s, MIN_SERVICE_TIME_S)
            self._service_time_s += SMOOTHING_FACTOR * (
                sample_s - self._service_time_s
            )
        expired = [w for w in self._waiting if w.expires_at_s <= now_s]
        if expired:
            self._waiting = [w for w in self._waiting if w not in expired]
        if not self._waiting or self.in_flight >= self.limit:
            return None, expired
        chosen = max(self._waiting, key=_importance)
        self._waiting.remove(chosen)
        self.in_flight += 1
        return chosen, expired

    def pop_all(self) -> list[Waiter]:
        """Removes and returns all queued requests."""
        waiting, self._waiting = self._waiting, []
        return waiting

    def pop_where(self, condition: Callable[[Waiter], bool]) -> list[Waiter]:
        """Removes and returns the queued requests that meet a condition."""
        popped = [w for w in self._waiting if condition(w)]
        if popped:
            self._waiting = [w for w in self._waiting if w not in popped]
        return popped

    def discard(self, waiter: Waiter) -> None:
        """Removes a request from the queue, if it is there."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)

    def _least_important(self) -> Waiter | None:
        if not self._waiting:
            return None
        # Of equally important requests, the newest has waited the least.
        return min(reversed(self._waiting), key=_importance)


def _importance(waiter: Waiter) -> int:
    return waiter.importance
