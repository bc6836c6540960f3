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
# Part of its capacity that an overloaded owner is given.
TARGET_UTILIZATION = 1.0


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
    ) -> dict[str, float]:
        """Returns the fraction of each busy owner's slots that a VM may use.

        Args:
            vm_id: The VM.
            capacities_by_id: Requests per second that each owner can process.
            now_s: Current time.
        """
        if now_s - self._totals_at_s >= TOTALS_MAX_AGE_S:
            self._totals_at_s = now_s
            self._totals_by_id = self._totals(now_s)
        own = self._rates_by_vm_id.get(vm_id, {})
        return {
            owner_id: round(min(1.0, own.get(owner_id, 0.0) / total), 3)
            for owner_id, total in self._totals_by_id.items()
            if total > BUSY_UTILIZATION * capacities_by_id.get(owner_id, total)
        }

    def admissions(
        self, capacities_by_id: Mapping[str, float], now_s: float
    ) -> dict[str, float]:
        """Returns the part of its requests that each overloaded owner can take.

        A part holds for all VMs alike. Each of many VMs sends too few requests
        to one owner to pace them, but all together admit a part exactly.

        Args:
            capacities_by_id: Requests per second that each owner can process.
            now_s: Current time.
        """
        if now_s - self._totals_at_s >= TOTALS_MAX_AGE_S:
            self._totals_at_s = now_s
            self._totals_by_id = self._totals(now_s)
        admissions_by_id = {}
        for owner_id, total in self._totals_by_id.items():
            capacity = capacities_by_id.get(owner_id)
            if capacity is not None and total > TARGET_UTILIZATION * capacity:
                part = TARGET_UTILIZATION * capacity / total
                admissions_by_id[owner_id] = round(part, 3)
        return admissions_by_id

    def _totals(self, now_s: float) -> dict[str, float]:
        """Returns the total request rate on each owner over all VMs."""
        totals_by_id: dict[str, float] = {}
        for vm_id, rates in self._rates_by_vm_id.items():
            if now_s - self._reported_at_s[vm_id] > REPORT_TTL_S:
                continue
            for owner_id, rate in rates.items():
                totals_by_id[owner_id] = totals_by_id.get(owner_id, 0.0) + rate
        return totals_by_id
