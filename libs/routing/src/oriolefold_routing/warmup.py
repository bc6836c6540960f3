"""Cold instances, which tolerate few requests until they are warm."""

import dataclasses


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
