"""Divides the slots of a busy owner among the VMs that send to it.

Each VM sees only its own requests, so all VMs together can overload an owner
before its answers show it. The leader receives the request counts of all VMs
and gives each VM a share in proportion to its demand.
"""

from collections.abc import Iterable, Mapping

from oriolefold_coordination import ranges

SMOOTHING = 0.5  # Weight of the newest report in the moving average.
BUSY_UTILIZATION = 0.55  # Slots of owners below it are not divided.
REPORT_TTL_S = 2.5  # Age after which the rates of a VM expire.
TOTALS_MAX_AGE_S = 0.2  # Age after which the totals are recomputed.
# Sum of the strict quotas of all VMs, relative to the slots of an owner: much
# for one with room, since unused quota cannot pass to another VM, and little
# for one with more requests than it can process, which would only queue there.
LOOSE_MARGIN = 3.0
TIGHT_MARGIN = 1.1
LOOSE_UTILIZATION = 0.75
TIGHT_UTILIZATION = 1.1


class Quotas:
    """Moving averages of the requests per second from each VM to each owner."""

    def __init__(self):
        self._rates_by_vm_id: dict[str, dict[str, float]] = {}
        self._reported_at_s: dict[str, float] = {}
        self._totals_by_id: dict[str, float] = {}
        self._totals_at_s = float('-inf')

    def report(
        self,
        vm_id: str,
        keys: Iterable[int],
        key_map: ranges.KeyMap,
        now_s: float,
    ) -> None:
        """Records the requests of a VM since its last report.

        Args:
            vm_id: The VM.
            keys: Key of each request.
            key_map: Current owners.
            now_s: Current time.
        """
        before_s = self._reported_at_s.get(vm_id)
        self._reported_at_s[vm_id] = now_s
        if before_s is None or now_s - before_s > REPORT_TTL_S:
            self._rates_by_vm_id[vm_id] = {}
            if before_s is None:
                return
        passed_s = max(0.1, now_s - before_s)
        counts_by_id: dict[str, int] = {}
        for key in keys:
            key_range = key_map.range_of(key)
            if key_range is not None:
                owner_id = key_range.owner.instance_id
                counts_by_id[owner_id] = counts_by_id.get(owner_id, 0) + 1
        rates = self._rates_by_vm_id[vm_id]
        for owner_id in rates.keys() | counts_by_id.keys():
            rate = counts_by_id.get(owner_id, 0) / passed_s
            known = rates.get(owner_id, rate)
            rates[owner_id] = known + SMOOTHING * (rate - known)

    def shares(
        self,
        vm_id: str,
        capacities_by_id: Mapping[str, float],
        now_s: float,
        strict: bool = False,
    ) -> dict[str, float]:
        """Returns the fraction of each busy owner's slots that a VM may use.

        Args:
            vm_id: The VM.
            capacities_by_id: Requests per second that each owner can process.
            now_s: Current time.
            strict: Whether to include the margin that keeps the queues of
                owners short; such fractions can exceed 1.
        """
        if now_s - self._totals_at_s >= TOTALS_MAX_AGE_S:
            self._totals_at_s = now_s
            self._totals_by_id = self._totals(now_s)
        own = self._rates_by_vm_id.get(vm_id, {})
        if strict:
            return {
                owner_id: round(
                    own.get(owner_id, 0.0)
                    / total
                    * _margin(total / capacities_by_id.get(owner_id, total)),
                    4,
                )
                for owner_id, total in self._totals_by_id.items()
                if total
                > BUSY_UTILIZATION * capacities_by_id.get(owner_id, total)
            }
        return {
            owner_id: round(min(1.0, own.get(owner_id, 0.0) / total), 3)
            for owner_id, total in self._totals_by_id.items()
            if total > BUSY_UTILIZATION * capacities_by_id.get(owner_id, total)
        }

    def _totals(self, now_s: float) -> dict[str, float]:
        """Returns the total request rate on each owner over all VMs."""
        totals_by_id: dict[str, float] = {}
        for vm_id, rates in self._rates_by_vm_id.items():
            if now_s - self._reported_at_s[vm_id] > REPORT_TTL_S:
                continue
            for owner_id, rate in rates.items():
                totals_by_id[owner_id] = totals_by_id.get(owner_id, 0.0) + rate
        return totals_by_id


def _margin(utilization: float) -> float:
    """Returns the sum of the strict quotas relative to the slots."""
    tightness = (utilization - LOOSE_UTILIZATION) / (
        TIGHT_UTILIZATION - LOOSE_UTILIZATION
    )
    tightness = min(1.0, max(0.0, tightness))
    return LOOSE_MARGIN + tightness * (TIGHT_MARGIN - LOOSE_MARGIN)
