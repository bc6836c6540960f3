"""Cold instances, which tolerate few requests until they are warm."""

import dataclasses

# Difference between the ends of one cold period that two registrations give,
# as they are read with different delays.
READ_DELAY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpLimits:
    """Bound on the requests that a cold instance gets from all VMs together.

    Attributes:
        overage: Factor on the rate that an instance tolerates.
        slack: Requests per second beyond that.
    """

    overage: float = 1.0
    slack: float = 0.0

    def max_requests_per_s(self, rate_per_s: float) -> float:
        """Returns the most requests that may arrive in any second.

        Args:
            rate_per_s: Requests per second that a cold instance tolerates.
        """
        return rate_per_s * self.overage + self.slack


@dataclasses.dataclass(slots=True)
class WarmUpState:
    """Until when one incarnation is cold, and whether that is known.

    Attributes:
        cold_until_s: It is cold before this time.
        unverified_since_s: When it was last suspected to have restarted, or
            None if its state is known.
    """

    cold_until_s: float = 0.0
    unverified_since_s: float | None = None
    _announced_cold: bool = False

    def register(self, left_s: float, now_s: float) -> None:
        """Records a registration that is newer than what is known.

        A registration with 0 ends a cold period only if an earlier one told of
        that period: one written before the period began has 0, too.

        Args:
            left_s: For how long the instance is still cold, in seconds. It
                counts from now, since the time of writing is not known.
            now_s: When the registration was read.
        """
        self.unverified_since_s = None
        if left_s > 0:
            until_s = now_s + left_s
            if until_s >= self.cold_until_s - READ_DELAY_S:
                self._announced_cold = True
            self.cold_until_s = max(self.cold_until_s, until_s)
        elif self._announced_cold:
            self.cold_until_s = min(self.cold_until_s, now_s)
            self._announced_cold = False

    def record_evacuation_end(self, warm_up_s: float, now_s: float) -> None:
        """Treats the instance as if it had started now."""
        self._impose(warm_up_s, now_s)

    def record_restart(self, warm_up_s: float, now_s: float) -> None:
        """Records a possible restart of an instance without a health path."""
        self._impose(warm_up_s, now_s)

    def record_failure(self, now_s: float) -> None:
        """Records a failed connection: the instance may have restarted."""
        self.unverified_since_s = now_s

    def record_health(
        self, left_s: float, started_at_s: float, now_s: float
    ) -> None:
        """Records a health check.

        It does not shorten a cold period, so that one that follows an
        evacuation lasts for its whole time.

        Args:
            left_s: For how long the instance is still cold, in seconds.
            started_at_s: When the check began. Later failures still count.
            now_s: Current time.
        """
        if left_s > 0:
            self.cold_until_s = max(self.cold_until_s, now_s + left_s)
        since_s = self.unverified_since_s
        if since_s is not None and since_s <= started_at_s:
            self.unverified_since_s = None

    def _impose(self, warm_up_s: float, now_s: float) -> None:
        self.cold_until_s = max(self.cold_until_s, now_s + warm_up_s)
        self._announced_cold = False
