"""Messages between the tasks of a direct entry VM."""

import dataclasses

from oriolefold_coordination import ranges
from oriolefold_core import tasks
from oriolefold_routing import fleet, policy
from oriolefold_store import ports as store_ports


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyInForce:
    """A newer policy is to be acted on."""

    policy: policy.Policy


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsKnown:
    """The instances that are registered now."""

    endpoints_by_id: dict[str, fleet.Endpoint]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMapKnown:
    """Who owns the keys of a service.

    Attributes:
        key_map: The owners.
        version: Version of the stored map.
    """

    key_map: ranges.KeyMap
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Time to look again at the requests that wait for a service."""

    service_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time for the next periodic step."""


@dataclasses.dataclass(frozen=True, slots=True)
class SeenLoad:
    """What a dispatcher has seen of a keyed service since it was last asked.

    Attributes:
        keys: Key of each request.
        times_by_id: Time that each instance takes for a request, in seconds,
            without waiting; instances without answers are left out.
    """

    keys: tuple[int, ...]
    times_by_id: dict[str, float]


@dataclasses.dataclass(slots=True, eq=False)
class ReadLoad(tasks.Ask):
    """Asks the dispatcher for the load of a service; replied by `SeenLoad`."""

    service_id: str


@dataclasses.dataclass(slots=True, eq=False)
class LoadReported(tasks.Ask):
    """Another VM tells its load; the reply is its share of busy owners by id.

    Attributes:
        vm_id: The VM that tells it.
        service_id: The service.
        seen: What it has seen since its last report.
    """

    vm_id: str
    service_id: str
    seen: SeenLoad


@dataclasses.dataclass(frozen=True, slots=True)
class SharesKnown:
    """This VM's part of the slots of busy owners.

    Attributes:
        shares_by_id: Part from 0 to 1 by the instance.
    """

    shares_by_id: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Asker:
    """A VM that asks another one for changes in the store.

    Attributes:
        address: Where it can be asked itself.
        region_id: Region that it stands in.
        link_mbps: Bandwidth of its link.
        avoided_address: A VM that it has lately asked in vain, or empty.
        contact_at_s: Last contact to the store that it was told of, by the
            clock of the VM that it asks.
    """

    address: str
    region_id: str
    link_mbps: float
    avoided_address: str = ''
    contact_at_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a VM tells of the store.

    Attributes:
        changes_by_prefix: Changes that the asker does not know yet.
        told_at_s: Time of telling, by the clock of the VM that tells.
        contact_at_s: Its last contact to the store, by the same clock.
        relay_address: VM to ask instead, or empty.
    """

    changes_by_prefix: dict[str, store_ports.Changes]
    told_at_s: float = 0.0
    contact_at_s: float = 0.0
    relay_address: str = ''


@dataclasses.dataclass(slots=True, eq=False)
class DescribeView(tasks.Ask):
    """Asks what is in force here; the reply is a dict for JSON."""
