"""Data classes of the register, the rules and a request."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

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
        zone_id: Availability zone that it stands in.
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
        zone_id: Availability zone that it stands in.
        address: Where it takes requests.
        slots: Requests that it runs at a time.
        connections: Connections that it accepts.
        checks_tokens: Whether it refuses a request with an old token.
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
        shard_count: Shards that the keys are divided into; 0 if not keyed.
        instances_by_id: Instances by their names.
    """

    service_id: str
    keyed: bool
    shard_count: int
    instances_by_id: dict[str, Instance]


@dataclasses.dataclass(frozen=True, slots=True)
class Register:
    """The asset register: what there is."""

    region_ids: tuple[str, ...]
    zones_by_id: dict[str, Zone]
    vms_by_id: dict[str, Vm]
    services_by_id: dict[str, Service]

    def region_of(self, zone_id: str) -> str:
        """Returns the region that a zone belongs to."""
        return self.zones_by_id[zone_id].region_id


class KeySource(enum.Enum):
    """Where a rule finds the key of a request."""

    SEGMENT = 'segment'
    HEADER = 'header'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRule:
    """How the key of a request is found.

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
    """Rules of the operators for one service.

    Attributes:
        service_id: Service that the rule is for.
        key: How to find the key, or None for a service without keys.
        deadline_s: Time that a request may take, in seconds.
        idempotent_methods: Methods whose work may safely run again.
        placement: Name of the placement policy.
        importance: Higher values are shed later.
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
        version: Version that the store gave to it; rises with each change.
        register: The asset register.
        rules_by_service_id: Rules by the service that they are for.
    """

    version: int
    register: Register
    rules_by_service_id: dict[str, ServiceRule]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request on its way to a server.

    Attributes:
        request_id: Identity of the request in logs and on every hop.
        method: HTTP method in upper case.
        target: Path and query as the caller sent them.
        headers: Names and values, hop-by-hop headers left out.
        body: The whole body.
        service_id: Service that the request is for.
        key: Key of the request, or an empty string.
        idempotent: Whether the work may safely run again.
        importance: Higher values are shed later.
        expires_at_s: Deadline on the clock of this process.
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
    """A whole answer of a server.

    Attributes:
        status: HTTP status code.
        headers: Names and values, hop-by-hop headers left out.
        body: The whole body.
        instance_id: Instance that answered.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    instance_id: str
