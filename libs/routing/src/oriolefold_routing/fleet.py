"""Instances as they register themselves."""

import dataclasses

from oriolefold_core import data

SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One life of an instance.

    Attributes:
        instance_id: Name of the instance.
        born_ms: Start of this life, Unix time in milliseconds; an instance may
            start again under the name that it had.
        service_id: Service that it belongs to.
        zone_id: Availability zone that it stands in.
        address: Where it takes requests and grants.
        slots: Requests that it runs at a time.
        draining: Whether it is about to leave.
        warm_up_s: Time for which it stays slow after its start, in seconds.
    """

    instance_id: str
    born_ms: int
    service_id: str
    zone_id: str
    address: data.Address
    slots: int
    draining: bool = False
    warm_up_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Vicinity:
    """Where this VM stands.

    Attributes:
        zone_id: Availability zone of this VM.
        region_ids_by_zone_id: Region of each availability zone.
    """

    zone_id: str
    region_ids_by_zone_id: dict[str, str]

    def distance_to(self, zone_id: str) -> int:
        """Returns 0 for the same zone, 1 for the same region, 2 otherwise."""
        if zone_id == self.zone_id:
            return SAME_ZONE
        regions = self.region_ids_by_zone_id
        here = regions.get(self.zone_id)
        if here is not None and regions.get(zone_id) == here:
            return SAME_REGION
        return OTHER_REGION
