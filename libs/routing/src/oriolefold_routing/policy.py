"""Routing by host and path prefix, and weighted traffic splitting."""

import dataclasses
from collections.abc import Sequence

# Limit that no zone satisfies: regions have names.
NO_REGION = frozenset({''})


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight in the traffic split of a route.

    Attributes:
        service_id: The service.
        weight: Share relative to the other weights of the route.
    """

    service_id: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixRoute:
    """Route of the requests to one host below one path prefix.

    Attributes:
        route_id: Name of the route.
        host: Host name in lower case, without a port.
        prefix: Path prefix; starts and ends with a slash.
        shares: Traffic split over one or more services.
        idempotent: Whether a request may safely run more than once.
        timeout_s: Upper bound of the deadline of a request, in seconds.
        objective_s: Latency objective, in seconds.
        max_instances: Largest number of instances that one request is sent to.
        rank: Priority; 0 is the most urgent.
        allowed_regions: Regions whose instances may be sent a request; empty
            if there is no such limit.
    """

    route_id: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_instances: int
    rank: int
    allowed_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Properties of a service.

    Attributes:
        service_id: Name of the service.
        keyed: Whether each key has one owning instance.
        connections: Connections that an instance accepts from all VMs together.
        warm_up_rate_per_s: Requests per second that a cold instance tolerates;
            0 if its instances have no such limit.
        warm_up_s: How long an instance is cold after its start, in seconds.
        health_path: Path of the health check of its instances.
    """

    service_id: str
    keyed: bool
    connections: int
    warm_up_rate_per_s: float = 0.0
    warm_up_s: float = 0.0
    health_path: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on connections and requests of callers.

    Attributes:
        header_bytes: Largest size of the headers of a request.
        body_bytes: Largest size of the body of a request.
        header_timeout_s: Time in which the headers have to arrive, in seconds.
        idle_timeout_s: Time that a connection may stay idle, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """An accepted configuration of routes, services and limits.

    Attributes:
        version: Increases with each change.
        routes_by_host: Routes of each host, the longest prefix first.
        services_by_id: Services by name.
        limits: Limits on connections and requests of callers.
    """

    version: int
    routes_by_host: dict[str, tuple[PrefixRoute, ...]]
    services_by_id: dict[str, ServiceProfile]
    limits: CallerLimits

    def find(self, host: str, target: str) -> PrefixRoute | None:
        """Returns the route with the longest matching prefix, if any.

        Args:
            host: Host header as received.
            target: Path and query as the caller sent them.
        """
        path = target.partition('?')[0]
        for route in self.routes_by_host.get(normalize_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def intersect_regions(*limits: frozenset[str]) -> frozenset[str]:
    """Returns the regions that all limits allow; an empty one is no limit.

    Limits without a common region result in `NO_REGION`, since an empty result
    would allow all regions.
    """
    binding = [limit for limit in limits if limit]
    if not binding:
        return frozenset()
    return frozenset.intersection(*binding) or NO_REGION


def normalize_host(host: str) -> str:
    """Returns the host of a Host header in lower case, without the port."""
    name, colon, port = host.strip().lower().rpartition(':')
    return name if colon and port.isdigit() else host.strip().lower()


def group_by_host(
    routes: Sequence[PrefixRoute],
) -> dict[str, tuple[PrefixRoute, ...]]:
    """Groups routes by host, the longest prefix first."""
    grouped: dict[str, list[PrefixRoute]] = {}
    for route in routes:
        grouped.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(of_host, key=lambda r: -len(r.prefix)))
        for host, of_host in grouped.items()
    }


class TrafficSplitter:
    """Distributes the requests of each route over its services by weight.

    Uses smooth weighted round robin: after any number of requests no service
    is more than one request away from its share.
    """

    def __init__(self):
        self._credits_by_route_id: dict[str, tuple[tuple, list[float]]] = {}

    def choose(self, route: PrefixRoute) -> str:
        """Returns the service for the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service_id
        shares, credit = self._credits_by_route_id.get(
            route.route_id, (None, [])
        )
        if shares != route.shares:
            credit = [0.0] * len(route.shares)
            self._credits_by_route_id[route.route_id] = (route.shares, credit)
        total = 0.0
        for index, share in enumerate(route.shares):
            credit[index] += share.weight
            total += share.weight
        best = max(range(len(credit)), key=credit.__getitem__)
        credit[best] -= total
        return route.shares[best].service_id
