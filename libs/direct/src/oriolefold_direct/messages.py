"""Messages between the tasks of a direct entry VM."""

import dataclasses

from oriolefold_coordination import ranges
from oriolefold_core import tasks
from oriolefold_routing import policy, topology
from oriolefold_store import ports as store_ports


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyUpdated:
    """A newer policy has become active."""

    policy: policy.Policy


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointsUpdated:
    """The set of registered instances has changed.

    Attributes:
        endpoints_by_id: All of them.
        key_zone_ids: For the coordinator of a service: zones in which its keys
            may be placed, or None for all.
    """

    endpoints_by_id: dict[str, topology.Endpoint]
    key_zone_ids: frozenset[str] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsUpdated:
    """The set of evacuated availability zones has changed."""

    zone_ids: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """A connection to an instance could not be opened, or was reset."""

    endpoint: topology.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class UnverifiedInstances:
    """The instances whose health is to be checked until it is known."""

    endpoints_by_id: dict[str, topology.Endpoint]


@dataclasses.dataclass(slots=True, eq=False)
class CheckHealth(tasks.Ask):
    """Checks an instance once, or waits for the check in progress.

    The reply is whether it is healthy and warm.
    """

    endpoint: topology.Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChecked:
    """A health check has ended.

    Attributes:
        endpoint: The instance.
        started_at_s: When the check began.
        warm_up_left_s: For how long the instance is still cold, or None if the
            check failed.
    """

    endpoint: topology.Endpoint
    started_at_s: float
    warm_up_left_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMapUpdated:
    """A newer key map of a service is known.

    Attributes:
        key_map: Owners of the keys.
        version: Version of the stored object.
    """

    key_map: ranges.KeyMap
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Wake:
    """Timer: assign instances to the queued requests of a service."""

    service_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Timer: run the next periodic step."""


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLoad:
    """Load of a keyed service that a VM observed since it was last read.

    Attributes:
        keys: Key of each request.
        times_by_id: Service time of each instance in seconds, without
            queueing; instances that have not answered are left out.
        leaving_by_id: Start time of each instance that announced in an answer
            that it leaves, in Unix milliseconds.
        cold_ids: Cold instances that the VM would send requests to.
        needs_short_queues: Whether instances of the service report their load,
            or are known not to answer what they cannot queue.
        read_at_s: When it was read, by the clock of the VM.
    """

    keys: tuple[int, ...]
    times_by_id: dict[str, float]
    leaving_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    cold_ids: tuple[str, ...] = ()
    needs_short_queues: bool = False
    read_at_s: float = dataclasses.field(default=0.0, compare=False)


@dataclasses.dataclass(slots=True, eq=False)
class CollectLoad(tasks.Ask):
    """Reads and resets the load of a service; the reply is `ObservedLoad`."""

    service_id: str


@dataclasses.dataclass(slots=True, eq=False)
class LoadReport(tasks.Ask):
    """Load of another VM; the reply is `LoadReply`.

    Attributes:
        vm_id: The reporting VM.
        service_id: The service.
        load: Load since its last report.
        reads_admissions: Whether the VM understands `admitted_by_id`.
    """

    vm_id: str
    service_id: str
    load: ObservedLoad
    reads_admissions: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedRanges:
    """Moving ranges of one version of a key map that their owners hold already.

    Attributes:
        service_id: The service.
        map_version: Version of the stored key map.
        bounds: First key, last key and token of each range, as in that map.
    """

    service_id: str
    map_version: int
    bounds: frozenset[tuple[int, int, int]]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReply:
    """Reply of the leader to a load report.

    Attributes:
        shares_by_id: The VM's shares of the slots of busy owners, by instance.
        granted: Moving ranges that may be sent to, or None.
        permits_by_id: Requests that may be sent to each cold instance.
        short_queues: Whether instances of the service need short queues.
        admitted_by_id: Part of its requests that each overloaded owner can
            take.
    """

    shares_by_id: dict[str, float]
    granted: GrantedRanges | None = None
    permits_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    short_queues: bool = False
    admitted_by_id: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, eq=False)
class EndTerms(tasks.Ask):
    """Ends the terms in which a VM led before another one was elected.

    The reply is `leaderelection.TermsEnded`. It is given when the grants of
    these terms are no longer in flight.

    Attributes:
        service_id: The service.
        version: Version of the leader record by which the other VM was elected.
    """

    service_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SharesUpdated:
    """This VM's share of the slots of busy owners.

    Attributes:
        shares_by_id: Fraction from 0 to 1 by instance.
        service_id: The service.
        short_queues: Whether its instances need short queues.
        admitted_by_id: Part of its requests that each overloaded owner can
            take.
    """

    shares_by_id: dict[str, float]
    service_id: str = ''
    short_queues: bool = False
    admitted_by_id: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class WarmUpRateUpdated:
    """The warm-up rate of a service has changed.

    Attributes:
        rate_per_s: Requests per second that a cold instance tolerates, or 0.
    """

    rate_per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PermitsGranted:
    """This VM may send requests to cold instances.

    Attributes:
        permits_by_id: Number of requests by instance.
        sent_at_s: A time at or before the one at which the report that asked
            for them was sent, by the clock of this VM.
    """

    permits_by_id: dict[str, int]
    sent_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Follower:
    """A VM that polls another VM for changes in the store.

    Attributes:
        address: Address of its status server.
        region_id: Its region.
        link_mbps: Bandwidth of its network link.
        avoided_address: Relay that it recently failed to reach, or empty.
        contact_at_s: Latest store contact in the replies that it received, by
            the clock of the VM that it polls.
        waits_for_contact: Whether it waits until the feed is fresh instead of
            being told that it is not.
        reads_hold: Whether it reads how long a poll was held. VMs of earlier
            versions reject a reply that tells it.
    """

    address: str
    region_id: str
    link_mbps: float
    avoided_address: str = ''
    contact_at_s: float = 0.0
    waits_for_contact: bool = False
    reads_hold: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesReply:
    """Reply of a VM to a follower's poll.

    Attributes:
        changes_by_prefix: Changes after the revisions in the poll.
        sent_at_s: Time of the reply, by the clock of the replying VM.
        contact_at_s: Its last contact with the store, by the same clock.
        relay_address: VM to poll instead, or empty.
        era: Era of the store in which the replying VM is up to date.
        held_s: How long the poll was held before the reply; 0 if not told.
    """

    changes_by_prefix: dict[str, store_ports.Changes]
    sent_at_s: float = 0.0
    contact_at_s: float = 0.0
    relay_address: str = ''
    era: int = 0
    held_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class DescribeView(tasks.Ask):
    """Asks for configuration and map versions; the reply is a dict for JSON."""
