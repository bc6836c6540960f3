"""Registered instances and their distance from this VM."""

import dataclasses

from oriolefold_core import data

SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of a registered instance.

    Attributes:
        instance_id: Name of the instance.
        born_ms: Start of this incarnation, Unix time in milliseconds; an
            instance may restart under the same name.
        service_id: Service that it belongs to.
        zone_id: Availability zone of the instance.
        address: Where it accepts requests and grants.
        slots: Requests that it can run concurrently.
        draining: Whether it accepts no new work before it stops.
        warm_up_s: Time after its start during which it is slow, in seconds.
        evacuated: Whether its zone is being evacuated, so that it is sent
            nothing.
        cold_until_s: Until when it is cold, by the clock of this VM; 0 if it is
            not, or if its service has no warm-up rate.
        unverified: Whether it may have restarted since it registered, so that
            it is sent nothing until a health check has succeeded.
        health_path: Path of its health check; empty if its service has no
            warm-up rate.
        needs_proof: Whether a health check has to prove that it is warm before
            the first connection. An instance of a keyed service holds no keys
            after a restart, and rejects requests until it is granted some.
    """

    instance_id: str
    born_ms: int
    service_id: str
    zone_id: str
    address: data.Address
    slots: int
    draining: bool = False
    warm_up_s: float = 0.0
    evacuated: bool = False
    cold_until_s: float = 0.0
    unverified: bool = False
    health_path: str = ''
    needs_proof: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Locality:
    """Availability zone of this VM and the regions of all zones.

    Attributes:
        zone_id: Availability zone of this VM.
        region_ids_by_zone_id: Region of each availability zone.
    """

    zone_id: str
    region_ids_by_zone_id: dict[str, str]

    def region_of(self, zone_id: str) -> str | None:
        """Returns the region of a zone, or None if the zone is unknown."""
        return self.region_ids_by_zone_id.get(zone_id) or None

    def is_within(self, zone_id: str, region_ids: frozenset[str]) -> bool:
        """Whether a zone is in one of some regions; none means everywhere."""
        return not region_ids or self.region_of(zone_id) in region_ids

    def distance_to(self, zone_id: str) -> int:
        """Returns 0 for the same zone, 1 for the same region, 2 otherwise."""
        if zone_id == self.zone_id:
            return SAME_ZONE
        regions = self.region_ids_by_zone_id
        here = regions.get(self.zone_id)
        if here is not None and regions.get(zone_id) == here:
            return SAME_REGION
        return OTHER_REGION
