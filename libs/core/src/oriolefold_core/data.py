"""Data classes of the register, the rules, requests and answers."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone of a region."""

    zone_id: str
    region_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM that runs the daemon.

    Attributes:
        vm_id: Name of the VM in the register.
        zone_id: Availability zone of the VM.
        caller_address: Where callers connect.
        peer_address: Where other daemons connect.
        admin_address: Where operators connect.
    """

    vm_id: str
    zone_id: str
    caller_address: Address
    peer_address: Address
    admin_address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class Instance:
    """One instance of a service.

    Attributes:
        instance_id: Name of the instance in the register.
        service_id: Service that it belongs to.
        zone_id: Availability zone of the instance.
        address: Where it accepts requests.
        slots: Requests that it can run concurrently.
        connections: Connections that it accepts concurrently.
        checks_tokens: Whether it refuses requests with a stale fencing token.
    """

    instance_id: str
    service_id: str
    zone_id: str
    address: Address
    slots: int
    connections: int
    checks_tokens: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its instances.

    Attributes:
        service_id: Name of the service, the first segment of its paths.
        keyed: Whether each key has one owning instance.
        shard_count: Number of shards of the key space; 0 if not keyed.
        instances_by_id: Instances by name.
    """

    service_id: str
    keyed: bool
    shard_count: int
    instances_by_id: dict[str, Instance]


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """The asset register: regions, zones, entry VMs and services."""

    region_ids: tuple[str, ...]
    zones_by_id: dict[str, Zone]
    vms_by_id: dict[str, Vm]
    services_by_id: dict[str, Service]

    def region_of(self, zone_id: str) -> str:
        """Returns the region that a zone belongs to."""
        return self.zones_by_id[zone_id].region_id


class KeySource(enum.Enum):
    """Part of a request that holds the key."""

    SEGMENT = 'segment'
    HEADER = 'header'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRule:
    """How the key is read from a request.

    Attributes:
        source: A path segment or a header.
        segment: Index of the path segment; the service's name is segment 0.
        header: Name of the header in lower case.
    """

    source: KeySource
    segment: int = 0
    header: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """Rules that the operators set for one service.

    Attributes:
        service_id: Service that the rule is for.
        key: Where the key is read from, or None for a service without keys.
        deadline_s: Longest time that a request may take, in seconds.
        idempotent_methods: HTTP methods whose requests may safely run again.
        placement: Name of the placement policy.
        importance: Requests with lower values are shed first.
    """

    service_id: str
    key: KeyRule | None
    deadline_s: float
    idempotent_methods: frozenset[str]
    placement: str
    importance: int


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted register with its rules.

    Attributes:
        version: Version assigned by the store; increases with each change.
        register: The asset register.
        rules_by_service_id: Rules by service.
    """

    version: int
    register: Register
    rules_by_service_id: dict[str, ServiceRule]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request to be sent to a server.

    Attributes:
        request_id: Identifier of the request in logs and on every hop.
        method: HTTP method in upper case.
        target: Path and query as the caller sent them.
        headers: Names and values, without hop-by-hop headers.
        body: The complete body.
        service_id: Service that the request is for.
        key: Key of the request; empty if the service is not keyed.
        idempotent: Whether the request may safely run again.
        importance: Requests with lower values are shed first.
        expires_at_s: Deadline in seconds, on the clock of this process.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    service_id: str
    key: str
    idempotent: bool
    importance: int
    expires_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete response of a server.

    Attributes:
        status: HTTP status code.
        headers: Names and values, without hop-by-hop headers.
        body: The complete body.
        instance_id: Instance that answered.
        held_up_s: Time that the instance had to wait for memory of this VM, in
            seconds.
        leaving: Whether the instance announces that it is about to end.
        pushback_s: For how long it announces that it wants no requests, in
            seconds.
        load: Load figures of the instance, or None if it reports none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    instance_id: str
    held_up_s: float = dataclasses.field(
        default=0.0, compare=False, kw_only=True
    )
    leaving: bool = dataclasses.field(
        default=False, compare=False, kw_only=True
    )
    pushback_s: float = dataclasses.field(
        default=0.0, compare=False, kw_only=True
    )
    load: object = dataclasses.field(default=None, compare=False, kw_only=True)


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedAnswer(Answer):
    """An answer whose memory is counted until the answer is dropped.

    Attributes:
        hold: Counts the memory of the body.
    """

    hold: object = dataclasses.field(compare=False, repr=False)
