"""Decides how long a kept connection may rest before it is used again.

A server may forget connections sooner than it announces, and tells so only by
resetting the next request. Such a request may not be sent again if it must not
run twice, so after the first one all connections of the pool that have rested
as long are given up.
"""

import math

PROMPT_S = 0.15  # A forgotten connection is reset within a round trip.
SHARE = 0.5  # Part of the fatal rest that is trusted afterwards.
LEAST_S = 0.1  # Rest that is always trusted, or nothing would be kept.
CAUTION_S = 8.0  # Time after the last such reset until the trust is back.


class RestTrust:
    """Longest rest after which a connection is used, as resets have shown."""

    def __init__(self):
        self._longest_s = math.inf
        self._until_s = -math.inf

    def longest_s(self, now_s: float) -> float:
        """Returns the longest rest that is trusted at a time, in seconds."""
        return self._longest_s if now_s < self._until_s else math.inf

    def lost(self, rested_s: float, used_s: float, now_s: float) -> bool:
        """Takes a connection that was lost without any answer.

        Args:
            rested_s: Time for which it had rested before its last use.
            used_s: Time from the start of that use to the loss.
            now_s: Present time.

        Returns:
            Whether connections are trusted less from now on.
        """
        if used_s > PROMPT_S or rested_s <= LEAST_S:
            return False
        trusted_s = max(LEAST_S, SHARE * rested_s)
        self._longest_s = min(self.longest_s(now_s), trusted_s)
        self._until_s = now_s + CAUTION_S
        return True
