"""Aggregates the load of a keyed service that all VMs report."""

from collections.abc import Sequence

from oriolefold_coordination import keyload, quotas, ranges
from oriolefold_direct import messages
from oriolefold_routing import topology
from oriolefold_telemetry import logs

DEFAULT_SERVICE_TIME_S = 0.2  # Assumed until the first reported answer.
CAPACITY_INTERVAL_S = 0.5  # Interval between updates of the capacities.
# For how long a report that instances need short queues holds.
SHORT_QUEUES_TTL_S = 60.0
PROFILE_INTERVAL_S = 0.2  # The same for key rates, whose half-life is 1 s.


class LoadTracker:
    """Key rates, instance capacities and the VMs' shares of busy owners."""

    def __init__(self, now_s: float, service_id: str = ''):
        """Initializes it without load.

        Args:
            now_s: Current time.
            service_id: The service, for the log.
        """
        self._service_id = service_id
        self._load = keyload.KeyLoad(now_s)
        self._quotas = quotas.Quotas()
        self._times_by_vm_id: dict[str, dict[str, float]] = {}
        self._mean_times_by_id: dict[str, float] = {}
        self._typical_time_s = 0.0
        self._capacities_updated_at_s = float('-inf')
        self._profile = keyload.Profile({})
        self._profile_updated_at_s = float('-inf')
        self._short_queues_until_s = float('-inf')

    def needs_short_queues(self, now_s: float) -> bool:
        """Whether a VM has reported lately that instances need them."""
        return now_s < self._short_queues_until_s

    def record(
        self,
        vm_id: str,
        load: messages.ObservedLoad,
        key_map: ranges.KeyMap,
        endpoints: Sequence[topology.Endpoint],
        now_s: float,
    ) -> dict[str, float]:
        """Records the load that a VM observed since its last report.

        Args:
            vm_id: The reporting VM.
            load: The observed load.
            key_map: Current owners.
            endpoints: Instances of the service.
            now_s: Current time.

        Returns:
            The VM's share of the slots of busy owners, by instance.
        """
        if load.needs_short_queues:
            if not self.needs_short_queues(now_s):
                logs.event(
                    'load.short_queues', service=self._service_id, told=vm_id
                )
            self._short_queues_until_s = now_s + SHORT_QUEUES_TTL_S
        self._load.record(load.keys, now_s)
        if load.times_by_id:
            self._times_by_vm_id[vm_id] = load.times_by_id
        self._quotas.report(vm_id, load.keys, key_map, now_s)
        if now_s - self._capacities_updated_at_s >= CAPACITY_INTERVAL_S:
            self._capacities_updated_at_s = now_s
            self._update_mean_times()
        capacities_by_id = {e.instance_id: self.capacity(e) for e in endpoints}
        return self._quotas.shares(vm_id, capacities_by_id, now_s)

    def admissions(
        self, endpoints: Sequence[topology.Endpoint], now_s: float
    ) -> tuple[bool, dict[str, float]]:
        """Returns whether instances need short queues, and what they can take.

        The part of the requests that each overloaded owner can take is only
        given if they do.
        """
        if not self.needs_short_queues(now_s):
            return False, {}
        capacities_by_id = {e.instance_id: self.capacity(e) for e in endpoints}
        return True, self._quotas.admissions(capacities_by_id, now_s)

    def profile(self, now_s: float) -> keyload.Profile:
        """Returns the request rates of the keys, cached for a short time."""
        if now_s - self._profile_updated_at_s >= PROFILE_INTERVAL_S:
            self._profile_updated_at_s = now_s
            self._profile = self._load.profile(now_s)
        return self._profile

    def capacity(self, endpoint: topology.Endpoint) -> float:
        """Returns the requests per second that an instance can run."""
        typical_s = self._typical_time_s or DEFAULT_SERVICE_TIME_S
        mean_s = self._mean_times_by_id.get(endpoint.instance_id, typical_s)
        return endpoint.slots / mean_s

    def _update_mean_times(self) -> None:
        """Averages the reported service times by instance and over all."""
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
