"""Checks of a policy before it comes into force, and of its changes."""

import dataclasses
from collections.abc import Iterator

from oriolefold_core import issues
from oriolefold_routing import policy

ROUTES = 'routes'
SERVICES = 'services'
LIMITS = 'limits'
VERSION = 'version'


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """What is known of the deployment; None for what is not.

    Attributes:
        region_ids: Regions that have a zone.
        region_ids_by_service_id: Region of each instance, by service.
        bodies_bytes: Memory for bodies of requests on the smallest VM.
    """

    region_ids: frozenset[str] | None = None
    region_ids_by_service_id: dict[str, tuple[str, ...]] | None = None
    bodies_bytes: int | None = None


UNKNOWN_DEPLOYMENT = Deployment()


def check(
    checked: policy.Policy, deployment: Deployment = UNKNOWN_DEPLOYMENT
) -> list[issues.Issue]:
    """Returns the entries that never match and the contradictory limits."""
    found = []
    for routes in checked.routes_by_host.values():
        found += _shadowed(routes)
        for route in routes:
            found += _unmatched_address(route)
            found += _unmatched_shares(route, checked)
            found += _unmatched_regions(route, checked, deployment)
            found += _contradictory_route(route, checked, deployment)
    for service in checked.services_by_id.values():
        found += _contradictory_service(service)
    found += _contradictory_limits(checked.limits, deployment)
    return found


def compare(before: policy.Policy, after: policy.Policy) -> list[issues.Issue]:
    """Returns the differences by route, service and field.

    A version that is not above the previous one is a contradiction if there are
    other differences, because VMs ignore the configuration then.
    """
    found = [
        *issues.compare_entries(
            (ROUTES,), _routes_by_id(before), _routes_by_id(after)
        ),
        *issues.compare_entries(
            (SERVICES,), before.services_by_id, after.services_by_id
        ),
        *issues.compare_fields((LIMITS,), before.limits, after.limits),
    ]
    if found and after.version <= before.version:
        found.append(
            _contradiction(
                (VERSION,),
                f'{after.version} is not above {before.version}, so VMs that '
                f'have {before.version} ignore these changes',
            )
        )
    return found


def _routes_by_id(of: policy.Policy) -> dict[str, policy.PrefixRoute]:
    return {
        route.route_id: route
        for routes in of.routes_by_host.values()
        for route in routes
    }


def _shadowed(routes) -> Iterator[issues.Issue]:
    first_by_prefix: dict[str, policy.PrefixRoute] = {}
    for route in routes:
        first = first_by_prefix.setdefault(route.prefix, route)
        if first is not route:
            yield _never_matches(
                (ROUTES, route.route_id, 'prefix'),
                f'route {first.route_id!r} comes first with the same host '
                f'{route.host!r} and prefix {route.prefix!r}',
            )


def _unmatched_address(route) -> Iterator[issues.Issue]:
    path = (ROUTES, route.route_id)
    normalized = policy.normalize_host(route.host)
    if normalized != route.host:
        yield _never_matches(
            path + ('host',),
            f'requests are compared without port and spaces: {route.host!r} '
            f'has to be {normalized!r}',
        )
    if route.prefix and not route.prefix.startswith('/'):
        yield _never_matches(
            path + ('prefix',), f'{route.prefix!r} does not start with a slash'
        )
    if '?' in route.prefix:
        yield _never_matches(
            path + ('prefix',),
            f'{route.prefix!r} has a query; only paths are compared',
        )


def _unmatched_shares(route, checked) -> Iterator[issues.Issue]:
    # A single share receives all requests, whatever its weight.
    split = len(route.shares) > 1
    all_zero = not any(share.weight for share in route.shares)
    for index, share in enumerate(route.shares):
        path = (ROUTES, route.route_id, 'shares', index)
        if split and not share.weight and not (all_zero and index == 0):
            reason = 'the weight is 0'
            if all_zero:
                reason = 'all weights are 0, so the first service gets all'
            yield _never_matches(
                path + ('weight',),
                f'service {share.service_id!r} gets no requests: {reason}',
            )
        if share.service_id not in checked.services_by_id:
            yield _never_matches(
                path + ('service_id',),
                f'there is no service {share.service_id!r}; the services are '
                f'{issues.describe(frozenset(checked.services_by_id))}',
            )


def _unmatched_regions(route, checked, deployment) -> Iterator[issues.Issue]:
    path = (ROUTES, route.route_id, 'allowed_regions')
    for region_id in sorted(route.allowed_regions):
        if (
            deployment.region_ids is not None
            and region_id not in deployment.region_ids
        ):
            yield _never_matches(
                path,
                f'no zone is in region {region_id!r}; the regions are '
                f'{issues.describe(deployment.region_ids)}',
            )
        elif deployment.region_ids_by_service_id is not None:
            for share in _used_shares(route, checked):
                if region_id not in deployment.region_ids_by_service_id.get(
                    share.service_id, ()
                ):
                    yield _never_matches(
                        path,
                        f'service {share.service_id!r} has no instance in '
                        f'region {region_id!r}',
                    )


def _contradictory_route(route, checked, deployment) -> Iterator[issues.Issue]:
    path = (ROUTES, route.route_id)
    if route.objective_s > route.timeout_s:
        yield _contradiction(
            path + ('objective_s',),
            f'the objective of {route.objective_s} s is above the time-out of '
            f'{route.timeout_s} s',
        )
    if route.objective_s <= 0:
        yield _contradiction(
            path + ('objective_s',),
            f'no request meets an objective of {route.objective_s} s',
        )
    if route.max_instances < 1:
        yield _contradiction(
            path + ('max_instances',),
            f'{route.max_instances} is below 1; each request is sent once',
        )
    if deployment.region_ids_by_service_id is None:
        return
    for share in _used_shares(route, checked):
        regions = deployment.region_ids_by_service_id.get(share.service_id, ())
        usable = sum(
            not route.allowed_regions or region_id in route.allowed_regions
            for region_id in regions
        )
        if route.max_instances > usable:
            yield _contradiction(
                path + ('max_instances',),
                f'{route.max_instances} is above the {usable} instances of '
                f'service {share.service_id!r} that the route may use',
            )


def _contradictory_service(service) -> Iterator[issues.Issue]:
    path = (SERVICES, service.service_id)
    if service.warm_up_s > 0 and service.warm_up_rate_per_s == 0:
        yield _contradiction(
            path + ('warm_up_rate_per_s',),
            f'a rate of 0 is no limit, so the {service.warm_up_s} s of warm-up '
            f'have no effect',
        )
    if service.warm_up_rate_per_s > 0 and service.warm_up_s == 0:
        yield _contradiction(
            path + ('warm_up_s',),
            f'instances are cold for 0 s, so the rate of '
            f'{service.warm_up_rate_per_s} has no effect',
        )
    if service.connections < 1:
        yield _contradiction(
            path + ('connections',),
            f'{service.connections} is below 1; nothing can be sent',
        )


def _contradictory_limits(limits, deployment) -> Iterator[issues.Issue]:
    for name in ('header_bytes', 'header_timeout_s', 'idle_timeout_s'):
        value = getattr(limits, name)
        if value <= 0:
            yield _contradiction(
                (LIMITS, name), f'{value} is not above 0; no request is read'
            )
    path = (LIMITS, 'body_bytes')
    if limits.body_bytes < 0:
        yield _contradiction(path, f'{limits.body_bytes} is below 0')
    memory_bytes = deployment.bodies_bytes
    if memory_bytes is not None and limits.body_bytes > memory_bytes:
        yield _contradiction(
            path,
            f'{limits.body_bytes} is above the {memory_bytes} bytes that the '
            f'smallest VM has for bodies',
        )


def _used_shares(route, checked) -> tuple[policy.Share, ...]:
    """Returns the shares of configured services that get requests."""
    used = tuple(share for share in route.shares if share.weight)
    return tuple(
        share
        for share in used or route.shares[:1]
        if share.service_id in checked.services_by_id
    )


def _never_matches(path: issues.Path, message: str) -> issues.Issue:
    return issues.Issue(issues.Kind.NEVER_MATCHES, path, message)


def _contradiction(path: issues.Path, message: str) -> issues.Issue:
    return issues.Issue(issues.Kind.CONTRADICTION, path, message)
