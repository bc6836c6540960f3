"""Adaptive limit on the idle time of connections that are reused.

A server may drop idle connections earlier than it announces, and shows that
only by resetting the next request. A request that must not run twice cannot be
sent again after a reset. So after the first such reset the pool reuses only
connections with a clearly shorter idle time, for a while.
"""

import math

PROMPT_RESET_S = 0.15  # A dropped connection is reset within a round trip.
REDUCTION_FACTOR = 0.5  # New limit relative to the idle time before a reset.
MIN_IDLE_S = 0.1  # Smallest limit; with less, no connection would be reused.
LIMIT_TTL_S = 8.0  # The limit is lifted this long after the last reset.


class IdleLimit:
    """Longest idle time after which a connection may be reused."""

    def __init__(self):
        self._max_idle_s = math.inf
        self._expires_at_s = -math.inf

    def max_idle_s(self, now_s: float) -> float:
        """Returns the current limit, in seconds."""
        return self._max_idle_s if now_s < self._expires_at_s else math.inf

    def record_loss(
        self, idle_s: float, elapsed_s: float, now_s: float
    ) -> bool:
        """Lowers the limit if a loss shows that the server drops connections.

        Args:
            idle_s: Idle time of the lost connection before its last use, in
                seconds.
            elapsed_s: Seconds from the start of its last use to the loss.
            now_s: Current time in seconds.

        Returns:
            Whether the limit was lowered.
        """
        if elapsed_s > PROMPT_RESET_S or idle_s <= MIN_IDLE_S:
            return False
        reduced_s = max(MIN_IDLE_S, REDUCTION_FACTOR * idle_s)
        self._max_idle_s = min(self.max_idle_s(now_s), reduced_s)
        self._expires_at_s = now_s + LIMIT_TTL_S
        return True
