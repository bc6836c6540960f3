"""Clocks, injected into code that measures time."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time in seconds."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Returns the seconds since a fixed but unspecified instant."""


class BootClock(Clock):
    """Monotonic clock that includes the time while the machine is suspended.

    A lease must expire while its holder is suspended. CLOCK_MONOTONIC of Linux
    does not advance during a suspend.
    """

    def now_s(self) -> float:
        """Returns the seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock that is advanced explicitly, for tests and simulations."""

    def __init__(self, now_s: float = 0.0):
        self._now_s = now_s

    def now_s(self) -> float:
        """Returns the time that was last set."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advances the clock by a number of seconds."""
        self._now_s += seconds
