"""The instances of one service that may own keys."""

import dataclasses
import zlib
from collections.abc import Callable, Mapping

from oriolefold_coordination import assignment, ranges
from oriolefold_routing import announcements, topology

# An unverified instance stays a candidate for so long, since a health check
# mostly takes milliseconds and moved keys would have to move back.
UNVERIFIED_GRACE_S = 1.2
# Instances that become warm together, as after an evacuation, become candidates
# spread over this time, so that keys do not move to all of them at once.
RETURN_SPREAD_S = 3.0


class Candidates:
    """Registered instances, and what they announced to any VM.

    Attributes:
        endpoints: Instances of the service.
        announcements: What instances announced.
        has_changed: Whether the last update changed instances of the service.
    """

    def __init__(self, service_id: str):
        self._service_id = service_id
        self._all_endpoints: tuple[topology.Endpoint, ...] = ()
        self.endpoints: tuple[topology.Endpoint, ...] = ()
        self.announcements = announcements.Announcements()
        self.has_changed = False
        self._unverified_since_s_by_id: dict[str, float] = {}

    def update(self, endpoints_by_id: Mapping[str, topology.Endpoint]) -> bool:
        """Replaces the registered instances; returns whether any changed.

        Also an instance of another service ends the one whose address it has.
        """
        all_endpoints = tuple(endpoints_by_id.values())
        if all_endpoints == self._all_endpoints:
            return False
        self._all_endpoints = all_endpoints
        endpoints = tuple(
            e for e in all_endpoints if e.service_id == self._service_id
        )
        self.has_changed = _registrations(endpoints) != _registrations(
            self.endpoints
        )
        self.endpoints = endpoints
        return True

    def available(
        self, capacity: Callable[[topology.Endpoint], float], now_s: float
    ) -> list[assignment.Candidate]:
        """Returns the instances that may be given keys.

        Args:
            capacity: Returns the requests per second that an instance can run.
            now_s: Current time.
        """
        staying = [
            e
            for e in self.endpoints
            if not e.evacuated
            and not e.draining
            and not self.announcements.belief(
                e.instance_id, e.born_ms
            ).is_leaving(now_s)
        ]
        self._update_unverified(now_s)
        warm = [e for e in staying if self._is_warm(e, now_s)]
        return [
            assignment.Candidate(_holder(e), capacity(e))
            for e in warm or staying
        ]

    def _update_unverified(self, now_s: float) -> None:
        self._unverified_since_s_by_id = {
            e.instance_id: self._unverified_since_s_by_id.get(
                e.instance_id, now_s
            )
            for e in self.endpoints
            if e.unverified
        }

    def _is_warm(self, endpoint: topology.Endpoint, now_s: float) -> bool:
        if endpoint.unverified:
            since_s = self._unverified_since_s_by_id[endpoint.instance_id]
            return now_s < since_s + UNVERIFIED_GRACE_S
        if not endpoint.cold_until_s:
            return True
        digest = zlib.crc32(endpoint.instance_id.encode())
        spread_s = RETURN_SPREAD_S * digest / 2**32
        return now_s >= endpoint.cold_until_s + spread_s

    def registered(self) -> list[ranges.Holder]:
        """Returns the registered instances of all services."""
        return [_holder(e) for e in self._all_endpoints]


def _registrations(
    endpoints: tuple[topology.Endpoint, ...],
) -> tuple[topology.Endpoint, ...]:
    """Returns instances without the state that changes beside the registry."""
    return tuple(
        dataclasses.replace(
            e, evacuated=False, cold_until_s=0.0, unverified=False
        )
        if e.evacuated or e.cold_until_s or e.unverified
        else e
        for e in endpoints
    )


def _holder(endpoint: topology.Endpoint) -> ranges.Holder:
    return ranges.Holder(
        endpoint.instance_id, endpoint.born_ms, str(endpoint.address)
    )
