"""What all VMs have seen of a keyed service, kept by its coordinator."""

from collections.abc import Sequence

from oriolefold_coordination import keyload, quotas, ranges
from oriolefold_direct import messages
from oriolefold_routing import fleet

FIRST_TIME_S = 0.2  # Time for a request until answers have shown it.
CAPACITIES_S = 0.5  # Age at which capacities are reckoned anew.
PROFILE_S = 0.2  # The same for the rates of the keys; a moving mean of 1 s.


class LoadBook:
    """Load of the keys, speeds of the instances and shares of the VMs."""

    def __init__(self, now_s: float):
        self._load = keyload.KeyLoad(now_s)
        self._quotas = quotas.Quotas()
        self._times_by_vm_id: dict[str, dict[str, float]] = {}
        self._mean_times_by_id: dict[str, float] = {}
        self._typical_time_s = 0.0
        self._reckoned_at_s = float('-inf')
        self._profile = keyload.Profile({})
        self._profiled_at_s = float('-inf')

    def take(
        self,
        vm_id: str,
        seen: messages.SeenLoad,
        key_map: ranges.KeyMap,
        endpoints: Sequence[fleet.Endpoint],
        now_s: float,
    ) -> dict[str, float]:
        """Takes what a VM has seen since its last report.

        Args:
            vm_id: The VM.
            seen: What it has seen.
            key_map: Present owners.
            endpoints: Instances of the service.
            now_s: Present time.

        Returns:
            The VM's part of the slots of busy owners, by the instance.
        """
        self._load.record(seen.keys, now_s)
        if seen.times_by_id:
            self._times_by_vm_id[vm_id] = seen.times_by_id
        self._quotas.report(vm_id, seen.keys, key_map, now_s)
        if now_s - self._reckoned_at_s >= CAPACITIES_S:
            self._reckoned_at_s = now_s
            self._reckon()
        capacities_by_id = {e.instance_id: self.capacity(e) for e in endpoints}
        return self._quotas.shares(vm_id, capacities_by_id, now_s)

    def profile(self, now_s: float) -> keyload.Profile:
        """Returns the rates of the keys, as they were a moment ago."""
        if now_s - self._profiled_at_s >= PROFILE_S:
            self._profiled_at_s = now_s
            self._profile = self._load.profile(now_s)
        return self._profile

    def capacity(self, endpoint: fleet.Endpoint) -> float:
        """Returns the requests a second that an instance can run."""
        typical_s = self._typical_time_s or FIRST_TIME_S
        own_s = self._mean_times_by_id.get(endpoint.instance_id, typical_s)
        return endpoint.slots / own_s

    def _reckon(self) -> None:
        """Reckons the mean of the VMs' times of each instance, and of all."""
        sums_by_id: dict[str, float] = {}
        counts_by_id: dict[str, int] = {}
        for times_by_id in self._times_by_vm_id.values():
            for instance_id, time_s in times_by_id.items():
                sums_by_id[instance_id] = (
                    sums_by_id.get(instance_id, 0.0) + time_s
                )
                counts_by_id[instance_id] = counts_by_id.get(instance_id, 0) + 1
        self._mean_times_by_id = {
            instance_id: total_s / counts_by_id[instance_id]
            for instance_id, total_s in sums_by_id.items()
        }
        count = sum(counts_by_id.values())
        self._typical_time_s = sum(sums_by_id.values()) / max(1, count)
