"""The leader's grants of requests to the cold instances of its service."""

import collections
from collections.abc import Collection

from oriolefold_coordination import warmupallotment
from oriolefold_direct import messages
from oriolefold_routing import topology, warmup
from oriolefold_telemetry import counters, logs

LOG_INTERVAL_S = 1.0  # At 67 VMs, 134 reports a second may ask for permits.
MAX_LOGGED_S = 60.0  # Longest time since the last line that is told.


class WarmUpGrants:
    """Answers the requests for permits in load reports, counts and logs them.

    It belongs to the coordinator of the service, in whose task it runs.
    """

    def __init__(
        self,
        service_id: str,
        bound: warmup.WarmUpLimits,
        recorder: counters.Counters,
    ):
        """Initializes it outside of a term.

        Args:
            service_id: The service.
            bound: Bound on the requests to a cold instance.
            recorder: Metrics of the permits.
        """
        self._service_id = service_id
        self._bound = bound
        self._metrics = recorder
        self._limits = warmupallotment.AllotmentLimits(0.0, bound)
        self._granted_by_id: collections.Counter[str] = collections.Counter()
        self._denied = 0
        self._logged_at_s = float('-inf')
        self._allotment: warmupallotment.WarmUpAllotment | None = None

    def set_rate(self, rate_per_s: float) -> None:
        """Sets the requests per second that a cold instance tolerates."""
        self._limits = warmupallotment.AllotmentLimits(rate_per_s, self._bound)

    def start_term(self, now_s: float) -> None:
        """Begins a term of this VM, which has just been elected."""
        self._allotment = warmupallotment.WarmUpAllotment(now_s)

    def grant(
        self,
        vm_id: str,
        load: messages.ObservedLoad,
        endpoints: Collection[topology.Endpoint],
        is_sole_leader: bool,
        now_s: float,
    ) -> dict[str, int]:
        """Returns the permits for a VM, by instance.

        Args:
            vm_id: The VM.
            load: What it has reported.
            endpoints: Instances of the service.
            is_sole_leader: Whether no other VM can be the leader now.
            now_s: Current time.
        """
        wanted_ids = load.cold_ids
        if not wanted_ids or self._allotment is None:
            return {}
        permits_by_id = {}
        if is_sole_leader:
            permits_by_id = self._allotment.grant(
                vm_id, wanted_ids, endpoints, self._limits, now_s
            )
        denied = sum(1 for i in wanted_ids if i not in permits_by_id)
        self._metrics.count_warm_up('granted', sum(permits_by_id.values()))
        self._metrics.count_warm_up('denied', denied)
        self._granted_by_id.update(permits_by_id)
        self._denied += denied
        if now_s - self._logged_at_s >= LOG_INTERVAL_S:
            self._log(is_sole_leader, now_s)
        return permits_by_id

    def _log(self, is_sole_leader: bool, now_s: float) -> None:
        logs.event(
            'warmup.permits',
            service=self._service_id,
            granted=dict(self._granted_by_id),
            denied=self._denied,
            since_ms=round(min(MAX_LOGGED_S, now_s - self._logged_at_s) * 1000),
            sole_leader=is_sole_leader,
            opens_in_ms=round(self._allotment.opens_in_s(now_s) * 1000),
            rate_per_s=self._limits.rate_per_s,
        )
        self._logged_at_s = now_s
        self._granted_by_id.clear()
        self._denied = 0
