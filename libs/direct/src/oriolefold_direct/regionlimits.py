"""Regions in which requests may be served, by the newest configuration."""

from collections.abc import Sequence

from oriolefold_direct import pending
from oriolefold_routing import policy, topology
from oriolefold_telemetry import logs


class RegionLimits:
    """The limits of the routes of the newest configuration.

    Attributes:
        in_use: Whether any configuration so far had a limited route. Requests
            that it admitted stay limited under a later one without limits.
        changed_at_s: When the newest configuration became known.
    """

    def __init__(self, locality: topology.Locality):
        self._locality = locality
        self._newest: policy.Policy | None = None
        self._limits_by_route_id: dict[str, frozenset[str]] = {}
        self._unknown_ids: frozenset[str] = frozenset()
        self.in_use = False
        self.changed_at_s = float('-inf')

    @property
    def policy_version(self) -> int:
        """Version of the newest configuration, 0 without one."""
        return self._newest.version if self._newest else 0

    def update(self, newest: policy.Policy, now_s: float) -> None:
        """Takes a configuration and logs its unknown regions once."""
        limited = _limited_routes(newest)
        self._newest = newest
        self._limits_by_route_id = {
            route.route_id: route.allowed_regions for route in limited
        }
        self.changed_at_s = now_s
        self.in_use = self.in_use or bool(limited)
        known_ids = frozenset(self._locality.region_ids_by_zone_id.values())
        named_ids = frozenset().union(*self._limits_by_route_id.values())
        unknown_ids = named_ids - known_ids
        for region_id in sorted(unknown_ids - self._unknown_ids):
            logs.event(
                'regions.unknown',
                region=region_id,
                routes=[
                    route.route_id
                    for route in limited
                    if region_id in route.allowed_regions
                ],
                known=sorted(known_ids),
                policy=newest.version,
            )
        self._unknown_ids = unknown_ids

    def allowed_region_ids(
        self, request: pending.PendingRequest
    ) -> frozenset[str]:
        """Returns where a request may be served; empty means everywhere.

        The route by which it was admitted binds it, and in the newest
        configuration the route of the same name and the one that matches it.
        """
        admitted = request.route.allowed_regions
        if (
            not self._limits_by_route_id
            or request.policy_version == self._newest.version
        ):
            return admitted
        dispatch = request.dispatch
        matching = self._newest.find(
            dispatch.headers.get('Host', ''), dispatch.target
        )
        return policy.intersect_regions(
            admitted,
            self._limits_by_route_id.get(request.route.route_id, frozenset()),
            matching.allowed_regions if matching else frozenset(),
        )


def key_zone_ids(
    newest: policy.Policy, service_id: str, locality: topology.Locality
) -> frozenset[str] | None:
    """Returns the zones in which the keys of a service may be placed.

    Routes without a known region are left out, since none of their requests
    are served.

    Returns:
        The zones in the regions that all limited routes to the service have in
        common, or None if the placement is not limited.
    """
    known_ids = frozenset(locality.region_ids_by_zone_id.values())
    limits = [
        route.allowed_regions & known_ids
        for route in _limited_routes(newest)
        if any(s.service_id == service_id and s.weight for s in route.shares)
    ]
    common = policy.intersect_regions(*limits)
    return (
        frozenset(
            zone_id
            for zone_id in locality.region_ids_by_zone_id
            if common and locality.is_within(zone_id, common)
        )
        or None
    )


def _limited_routes(newest: policy.Policy) -> Sequence[policy.PrefixRoute]:
    return [
        route
        for routes in newest.routes_by_host.values()
        for route in routes
        if route.allowed_regions
    ]
