"""Allots the requests that a cold instance may get to the VMs that send them.

The leader of a service grants permits, each for one request to one instance.
A VM uses a permit at the earliest when it was granted, and at the latest
`PERMIT_S` after it sent the report that asked for it, which was before the
grant. Requests that arrive in one second were therefore granted within
`WINDOW_S`, whichever replies are lost, late or repeated, so that it suffices to
bound the permits of each instance in any such window.
"""

import dataclasses
import math
from collections.abc import Collection, Iterable

from oriolefold_routing import topology, warmup, warmuppermits

SLIDING_S = 1.0  # Length of the windows in which arrivals are bounded.
# From the use of a permit to the arrival: 24 ms between regions, 96 ms for
# 60 kB at 5 Mbit/s, and pauses of a busy VM.
MAX_ARRIVAL_DELAY_S = 0.5
WINDOW_S = warmuppermits.PERMIT_S + SLIDING_S + MAX_ARRIVAL_DELAY_S
ASKED_S = 1.0  # A VM that has not asked for so long gets no share.
_ROUNDING = 1e-9  # A sum of refills may fall this much below a whole permit.


@dataclasses.dataclass(frozen=True, slots=True)
class AllotmentLimits:
    """Limits on the permits for one instance.

    Attributes:
        rate_per_s: Requests per second that a cold instance tolerates; 0 if
            there are no permits.
        bound: Bound on the requests that it gets from all VMs together.
    """

    rate_per_s: float = 0.0
    bound: warmup.WarmUpLimits = dataclasses.field(
        default_factory=warmup.WarmUpLimits
    )

    @property
    def refill_per_s(self) -> float:
        """Permits per second in the long run.

        It is below the rate if the bound would leave no burst of one permit.
        """
        return max(0.0, min(self.rate_per_s, (self._max - 1) / WINDOW_S))

    @property
    def burst(self) -> float:
        """Most permits at one moment."""
        return max(0.0, self._max - self.refill_per_s * WINDOW_S)

    @property
    def _max(self) -> float:
        if self.rate_per_s <= 0:
            return 0.0
        return self.bound.max_requests_per_s(self.rate_per_s)


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of one instance.

    Attributes:
        permits: Permits that may be granted.
        filled_at_s: When they were counted.
        asked_at_s: When each VM last asked for the instance.
    """

    permits: float
    filled_at_s: float
    asked_at_s: dict[str, float] = dataclasses.field(default_factory=dict)


class WarmUpAllotment:
    """Permits that one leader has granted in one term.

    Buckets are kept by the name of the instance and do not depend on whether
    this VM takes it for cold, so that a restart, or an instance that turns cold
    again, adds no burst.
    """

    def __init__(self, term_began_at_s: float):
        """Initializes it.

        Args:
            term_began_at_s: When this VM had been elected. Earlier leaders have
                granted nothing since.
        """
        self._opens_at_s = term_began_at_s + WINDOW_S
        self._limits: AllotmentLimits | None = None
        self._buckets_by_id: dict[str, _Bucket] = {}

    def opens_in_s(self, now_s: float) -> float:
        """Returns the time until the first permit may be granted."""
        return max(0.0, self._opens_at_s - now_s)

    def grant(
        self,
        vm_id: str,
        wanted_ids: Iterable[str],
        endpoints: Collection[topology.Endpoint],
        limits: AllotmentLimits,
        now_s: float,
    ) -> dict[str, int]:
        """Grants permits to a VM.

        The caller makes sure that this VM is the only leader.

        Args:
            vm_id: The VM.
            wanted_ids: Instances that it takes for cold and would send to.
            endpoints: Instances of the service.
            limits: Limits for each of them.
            now_s: Current time.

        Returns:
            Number of permits by instance.
        """
        if limits != self._limits:
            # What was granted under other limits may exceed the new bound.
            if self._limits is not None:
                self._opens_at_s = max(self._opens_at_s, now_s + WINDOW_S)
            self._limits = limits
            self._buckets_by_id = {}
        if now_s < self._opens_at_s or limits.burst < 1:
            return {}
        self._drop_full(now_s)
        usable_ids = {
            e.instance_id
            for e in endpoints
            if not (e.draining or e.evacuated or e.unverified)
        }
        permits_by_id: dict[str, int] = {}
        for instance_id in dict.fromkeys(wanted_ids):
            if instance_id not in usable_ids:
                continue
            count = self._take(instance_id, vm_id, limits, now_s)
            if count:
                permits_by_id[instance_id] = count
        return permits_by_id

    def _take(
        self,
        instance_id: str,
        vm_id: str,
        limits: AllotmentLimits,
        now_s: float,
    ) -> int:
        bucket = self._buckets_by_id.get(instance_id)
        if bucket is None:
            bucket = _Bucket(limits.burst, now_s)
            self._buckets_by_id[instance_id] = bucket
        self._fill(bucket, now_s)
        bucket.asked_at_s[vm_id] = now_s
        for asker_id, asked_at_s in list(bucket.asked_at_s.items()):
            if now_s - asked_at_s > ASKED_S:
                del bucket.asked_at_s[asker_id]
        available = math.floor(bucket.permits + _ROUNDING)
        share = max(1, available // len(bucket.asked_at_s))
        count = min(available, share)
        bucket.permits -= count
        return count

    def _fill(self, bucket: _Bucket, now_s: float) -> None:
        passed_s = max(0.0, now_s - bucket.filled_at_s)
        bucket.permits = min(
            self._limits.burst,
            bucket.permits + passed_s * self._limits.refill_per_s,
        )
        bucket.filled_at_s = max(now_s, bucket.filled_at_s)

    def _drop_full(self, now_s: float) -> None:
        """Drops the buckets that are full, like those of new instances."""
        full_after_s = self._limits.burst / self._limits.refill_per_s
        self._buckets_by_id = {
            instance_id: bucket
            for instance_id, bucket in self._buckets_by_id.items()
            if now_s - bucket.filled_at_s < max(full_after_s, ASKED_S)
        }
