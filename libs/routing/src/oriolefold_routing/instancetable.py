"""The registered instances, their load state, and which one a request gets."""

import functools
import random
from collections.abc import Collection

from oriolefold_routing import (
    announcements,
    concurrency,
    evenload,
    loadfigures,
    selection,
    topology,
    warmuppermits,
)

MAX_COLD_IDS = 8  # For which a VM asks for permits in one report.


class InstanceTable:
    """Load state of all registered instances, grouped by service.

    Attributes:
        locality: Location of this VM.
        states_by_id: State of each instance.
        updated_at_s: When the set of registered instances last changed.
    """

    def __init__(
        self,
        locality: topology.Locality,
        generator: random.Random | None = None,
    ):
        """Initializes it without instances.

        Args:
            locality: Location of this VM.
            generator: Source of random numbers for `EvenLoad`; without one,
                reported load is recorded and not used to choose.
        """
        self.locality = locality
        self.updated_at_s = float('-inf')
        self._random = generator
        self._selection: selection.Selection = selection.NearestCheapest()
        self._even_by_service_id: dict[str, evenload.EvenLoad] = {}
        # Services whose instances report their load or are silent when full.
        self._short_queue_ids: set[str] = set()
        self._spread = selection.SpreadCheapest(generator)
        self.states_by_id: dict[str, concurrency.InstanceState] = {}
        self._by_service_id: dict[str, list[concurrency.InstanceState]] = {}
        self._announcements = announcements.Announcements()
        self.permits = warmuppermits.WarmUpPermits()

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
                    self.locality.distance_to(endpoint.zone_id),
                    max(1.0, endpoint.slots),
                    warm_up_until_s=now_s + endpoint.warm_up_s,
                    permits=self.permits,
                    may_send_cold=functools.partial(
                        self.permits.may_use, instance_id
                    ),
                    registered_late=(
                        endpoint.service_id in self._even_by_service_id
                    ),
                )
            known.endpoint = endpoint
            known.divides_room = endpoint.service_id in self._short_queue_ids
            known.belief = self._announcements.belief(
                instance_id, endpoint.born_ms
            )
            states[instance_id] = known
            grouped.setdefault(endpoint.service_id, []).append(known)
        self.states_by_id = states
        self.updated_at_s = now_s
        self._by_service_id = grouped
        for service_id in self._even_by_service_id.keys() - grouped.keys():
            del self._even_by_service_id[service_id]

    def needs_short_queues(self, service_id: str) -> bool:
        """Whether instances report their load or are silent when full.

        Only in such services are rooms divided by rank, requests rejected
        early and ties between instances broken in an order of this VM's own.
        """
        return service_id in self._short_queue_ids

    def require_short_queues(self, service_id: str) -> None:
        """Learns that instances of a service need short queues."""
        if service_id in self._short_queue_ids:
            return
        self._short_queue_ids.add(service_id)
        for state in self.of_service(service_id):
            state.divides_room = True

    def record_load(
        self,
        endpoint: topology.Endpoint,
        figures: loadfigures.LoadFigures,
        read_at_s: float,
    ) -> bool:
        """Records the load that an instance reports.

        Args:
            endpoint: The instance.
            figures: Its load.
            read_at_s: When it was read.

        Returns:
            Whether its service is balanced by reported load from now on.
        """
        known = self.states_by_id.get(endpoint.instance_id)
        if known is None or known.endpoint.born_ms != endpoint.born_ms:
            return False
        if known.load is None:
            known.load = loadfigures.KnownLoad(figures, read_at_s)
        elif not known.load.record_figures(figures, read_at_s):
            return False
        if self._random is None:
            return False
        even = self._even_by_service_id.get(endpoint.service_id)
        begins = even is None
        if even is None:
            even = evenload.EvenLoad(self._random)
            self._even_by_service_id[endpoint.service_id] = even
            self.require_short_queues(endpoint.service_id)
        return begins

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

    def any_cold(self, service_id: str, now_s: float) -> bool:
        """Whether an instance of a service is cold."""
        return any(
            state.is_cold(now_s) for state in self.of_service(service_id)
        )

    def wanted_cold_ids(
        self, service_id: str, owner_ids: Collection[str], now_s: float
    ) -> tuple[str, ...]:
        """Returns the cold instances that this VM would send requests to.

        Args:
            service_id: The service.
            owner_ids: Owners of keys in demand, which come first.
            now_s: Current time.

        Returns:
            A bounded number of them, the nearest first.
        """
        cold = [
            state
            for state in self.of_service(service_id)
            if state.is_cold(now_s)
            and not (state.endpoint.evacuated or state.endpoint.unverified)
            and not _leaves(state, now_s)
        ]
        cold.sort(
            key=lambda state: (
                state.endpoint.instance_id not in owner_ids,
                state.distance,
                state.endpoint.instance_id,
            )
        )
        return tuple(s.endpoint.instance_id for s in cold[:MAX_COLD_IDS])

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
            for state in self._within_regions(demand)
            if not _leaves(state, now_s)
        ]
        others = [
            state
            for state in staying
            if state.endpoint.instance_id not in demand.excluded_ids
        ]
        return min(
            (
                max(state.belief.busy_until_s, cold_until_s)
                if (cold_until_s := state.cold_until_s(now_s))
                else state.belief.busy_until_s
                for state in others or staying
            ),
            default=float('-inf'),
        )

    def usable_from_s(self, demand: selection.Demand, now_s: float) -> float:
        """Returns from when an instance may take a request if it has room.

        Unlike `busy_until_s`, it heeds back-offs and is infinite if there are
        no instances or all of them are excluded.
        """
        return min(
            (
                state.usable_from_s
                for state in self._within_regions(demand)
                if not _leaves(state, now_s)
                and state.endpoint.instance_id not in demand.excluded_ids
            ),
            default=float('inf'),
        )

    def _within_regions(
        self, demand: selection.Demand
    ) -> list[concurrency.InstanceState]:
        """Returns the instances of a service in the allowed regions."""
        of_service = self.of_service(demand.service_id)
        if not demand.allowed_region_ids:
            return of_service
        return [
            state
            for state in of_service
            if self.locality.is_within(
                state.endpoint.zone_id, demand.allowed_region_ids
            )
        ]

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
            for state in self._within_regions(demand)
            if not _leaves(state, now_s)
            and state.endpoint.instance_id not in demand.excluded_ids
            and state.has_capacity(now_s, demand.rank)
        ]
        if not eligible:
            return None
        typical_s = self.typical_time_s(demand.service_id)
        service_id = demand.service_id
        chooser = self._even_by_service_id.get(service_id)
        if chooser is None:
            chooser = (
                self._spread
                if service_id in self._short_queue_ids
                else self._selection
            )
        return chooser.choose(eligible, demand, typical_s, now_s)


def _leaves(state: concurrency.InstanceState, now_s: float) -> bool:
    endpoint = state.endpoint
    return (
        endpoint.evacuated
        or endpoint.draining
        or state.belief.is_leaving(now_s)
    )


def _is_new_incarnation(
    known: topology.Endpoint, endpoint: topology.Endpoint
) -> bool:
    return (known.born_ms, known.address) != (
        endpoint.born_ms,
        endpoint.address,
    )
