"""Clocks that are passed to whatever measures time."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time in seconds."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Returns the seconds since a fixed but unspecified instant."""


class BootClock(Clock):
    """Monotonic clock of the machine that counts on during a suspend.

    A lease must lapse while its holder is suspended, so the clock has to go on
    in that time; the ordinary monotonic clock of Linux stands still.
    """

    def now_s(self) -> float:
        """Returns the seconds since the machine was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock that moves only when told to, for tests and models."""

    def __init__(self, now_s: float = 0.0):
        self._now_s = now_s

    def now_s(self) -> float:
        """Returns the time that was last set."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Moves the clock forward by a number of seconds."""
        self._now_s += seconds
