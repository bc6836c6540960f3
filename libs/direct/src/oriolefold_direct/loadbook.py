"""What all VMs have seen of a keyed service, kept by its coordinator."""

from collections.abc import Sequence

from oriolefold_coordination import keyload, quotas, ranges
from oriolefold_direct import messages
from oriolefold_routing import fleet

FIRST_TIME_S = 0.2  # Time for a request until answers have shown it.


class LoadBook:
    """Load of the keys, speeds of the instances and shares of the VMs."""

    def __init__(self, now_s: float):
        self._load = keyload.KeyLoad(now_s)
        self._quotas = quotas.Quotas()
        self._times_by_vm_id: dict[str, dict[str, float]] = {}

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
        capacities_by_id = {e.instance_id: self.capacity(e) for e in endpoints}
        return self._quotas.shares(vm_id, capacities_by_id, now_s)

    def profile(self, now_s: float) -> keyload.Profile:
        """Returns the rates of the keys."""
        return self._load.profile(now_s)

    def capacity(self, endpoint: fleet.Endpoint) -> float:
        """Returns the requests a second that an instance can run."""
        typical_s = self._mean_time_s(None) or FIRST_TIME_S
        own_s = self._mean_time_s(endpoint.instance_id) or typical_s
        return endpoint.slots / own_s

    def _mean_time_s(self, instance_id: str | None) -> float:
        """Returns the mean of the VMs' times of one instance, or of all."""
        times = [
            time_s
            for times_by_id in self._times_by_vm_id.values()
            for known_id, time_s in times_by_id.items()
            if instance_id is None or known_id == instance_id
        ]
        return sum(times) / len(times) if times else 0.0
