"""The registered instances, their load state, and which one a request gets."""

from oriolefold_routing import (
    announcements,
    concurrency,
    selection,
    topology,
)


class InstanceTable:
    """Load state of all registered instances, grouped by service."""

    def __init__(self, locality: topology.Locality):
        self._locality = locality
        self._selection: selection.Selection = selection.NearestCheapest()
        self.states_by_id: dict[str, concurrency.InstanceState] = {}
        self._by_service_id: dict[str, list[concurrency.InstanceState]] = {}
        self._announcements = announcements.Announcements()

    def update(
        self, endpoints_by_id: dict[str, topology.Endpoint], now_s: float
    ) -> None:
        """Replaces the set of registered instances.

        The state of an instance is kept until a new incarnation registers.
        """
        states: dict[str, concurrency.InstanceState] = {}
        grouped: dict[str, list[concurrency.InstanceState]] = {}
        for instance_id, endpoint in endpoints_by_id.items():
            known = self.states_by_id.get(instance_id)
            if known is None or _is_new_incarnation(known.endpoint, endpoint):
                known = concurrency.InstanceState(
                    endpoint,
                    self._locality.distance_to(endpoint.zone_id),
                    max(1.0, endpoint.slots),
                    warm_up_until_s=now_s + endpoint.warm_up_s,
                )
            known.endpoint = endpoint
            known.belief = self._announcements.belief(
                instance_id, endpoint.born_ms
            )
            states[instance_id] = known
            grouped.setdefault(endpoint.service_id, []).append(known)
        self.states_by_id = states
        self._by_service_id = grouped

    def record_announcement(
        self,
        endpoint: topology.Endpoint,
        announcement: announcements.Announcement,
        now_s: float,
    ) -> announcements.Announcement:
        """Records what an instance has announced; returns what is new in it."""
        news = self._announcements.record(
            endpoint.instance_id, endpoint.born_ms, announcement, now_s
        )
        known = self.states_by_id.get(endpoint.instance_id)
        if known is not None:
            known.belief = self._announcements.belief(
                endpoint.instance_id, known.endpoint.born_ms
            )
        return news

    def leaving(
        self, service_id: str, now_s: float
    ) -> list[concurrency.InstanceState]:
        """Returns the instances of a service that announced that they leave."""
        return [
            state
            for state in self.of_service(service_id)
            if state.belief.is_leaving(now_s)
        ]

    def any_pushes_back(self, service_id: str, now_s: float) -> bool:
        """Whether an instance of a service wants no requests now."""
        return any(
            now_s < state.belief.busy_until_s
            for state in self.of_service(service_id)
        )

    def busy_until_s(self, demand: selection.Demand, now_s: float) -> float:
        """Returns until when all instances for a request want no requests.

        The result is in the past if one of them may take it now, or if there
        are none. If all are excluded, they count nevertheless.
        """
        staying = [
            state
            for state in self.of_service(demand.service_id)
            if not _leaves(state, now_s)
        ]
        others = [
            state
            for state in staying
            if state.endpoint.instance_id not in demand.excluded_ids
        ]
        return min(
            (state.belief.busy_until_s for state in others or staying),
            default=float('-inf'),
        )

    def of_service(self, service_id: str) -> list[concurrency.InstanceState]:
        """Returns the instances of a service."""
        return self._by_service_id.get(service_id, [])

    def typical_time_s(self, service_id: str) -> float:
        """Returns the average time to an answer of a service, in seconds."""
        times = [
            state.service_time_s
            for state in self.of_service(service_id)
            if state.service_time_s
        ]
        return (
            sum(times) / len(times)
            if times
            else concurrency.INITIAL_SERVICE_TIME_S
        )

    def choose(
        self, demand: selection.Demand, now_s: float
    ) -> concurrency.InstanceState | None:
        """Chooses the instance for a request to a service without keys.

        Returns:
            The instance, or None if none has capacity.
        """
        eligible = [
            state
            for state in self.of_service(demand.service_id)
            if not _leaves(state, now_s)
            and state.endpoint.instance_id not in demand.excluded_ids
            and state.has_capacity(now_s, demand.rank)
        ]
        if not eligible:
            return None
        typical_s = self.typical_time_s(demand.service_id)
        return self._selection.choose(eligible, demand, typical_s, now_s)


def _leaves(state: concurrency.InstanceState, now_s: float) -> bool:
    return state.endpoint.draining or state.belief.is_leaving(now_s)


def _is_new_incarnation(
    known: topology.Endpoint, endpoint: topology.Endpoint
) -> bool:
    return (known.born_ms, known.address) != (
        endpoint.born_ms,
        endpoint.address,
    )
