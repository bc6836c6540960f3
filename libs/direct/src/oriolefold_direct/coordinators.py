"""Supervisor that runs one coordinator for each keyed service."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from oriolefold_coordination import leaderelection
from oriolefold_core import tasks
from oriolefold_direct import coordinator, messages, regionlimits
from oriolefold_routing import policy, topology

_LOGGER = logging.getLogger(__name__)


class Coordinators(tasks.Task):
    """Starts and stops coordinators and routes messages to them."""

    def __init__(
        self,
        make_coordinator: Callable[[str], coordinator.Coordinator],
        vm_id: str,
        incarnation: str,
        locality: topology.Locality | None = None,
    ):
        """Initializes the task.

        Args:
            make_coordinator: Factory for the coordinator of a service.
            vm_id: This VM.
            incarnation: Random identifier of this process.
            locality: Regions of the zones; without it keys are placed anywhere.
        """
        super().__init__('coordinators')
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._make_coordinator = make_coordinator
        self._locality = locality
        self._policy: policy.Policy | None = None
        self._by_service_id: dict[str, coordinator.Coordinator] = {}
        self._endpoints: messages.EndpointsUpdated | None = None
        self._service_ids: frozenset[str] = frozenset()
        self._warm_up_rates_by_id: dict[str, float] = {}
        self._resigning = False

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        if isinstance(message, messages.EndpointsUpdated):
            self._endpoints = message
            self._post_endpoints()
        elif isinstance(message, messages.LoadReport):
            running = self._by_service_id.get(message.service_id)
            if running is None:
                message.answer(messages.LoadReply({}))
            else:
                running.post(message)
        elif isinstance(message, messages.EndTerms):
            running = self._by_service_id.get(message.service_id)
            if running is None:
                # This process has never led the service.
                message.answer(
                    leaderelection.TermsEnded(
                        self._vm_id, self._incarnation, message.version
                    )
                )
            else:
                running.post(message)
        elif isinstance(message, messages.PolicyUpdated):
            self._policy = message.policy
            self._service_ids = frozenset(message.policy.services_by_id)
            self._post_endpoints()
            for profile in message.policy.services_by_id.values():
                if profile.keyed:
                    await self._ensure_running(profile.service_id)
            self._post_warm_up_rates(message.policy)

    async def _ensure_running(self, service_id: str) -> None:
        if self._resigning or service_id in self._by_service_id:
            return
        running = self._make_coordinator(service_id)
        self._by_service_id[service_id] = running
        if self._endpoints is not None:
            running.post(self._known_endpoints(service_id))
        await running.start()

    def _post_warm_up_rates(self, known: policy.Policy) -> None:
        """Tells the coordinators of warm-up rates that have changed."""
        for service_id, running in self._by_service_id.items():
            profile = known.services_by_id.get(service_id)
            rate_per_s = 0.0 if profile is None else profile.warm_up_rate_per_s
            if rate_per_s != self._warm_up_rates_by_id.get(service_id, 0.0):
                self._warm_up_rates_by_id[service_id] = rate_per_s
                running.post(messages.WarmUpRateUpdated(rate_per_s))

    def _post_endpoints(self) -> None:
        if self._endpoints is not None:
            for service_id, running in self._by_service_id.items():
                running.post(self._known_endpoints(service_id))

    def _known_endpoints(self, service_id: str) -> messages.EndpointsUpdated:
        """Returns the instances of configured services.

        An entry of another service may be of any writer, and must not prove
        that the instance at its address has ended.
        """
        return messages.EndpointsUpdated(
            {
                instance_id: endpoint
                for instance_id, endpoint in (
                    self._endpoints.endpoints_by_id.items()
                )
                if endpoint.service_id in self._service_ids
            },
            self._key_zone_ids(service_id),
        )

    def _key_zone_ids(self, service_id: str) -> frozenset[str] | None:
        """Returns where the routes to a service let its keys be placed."""
        if self._policy is None or self._locality is None:
            return None
        return regionlimits.key_zone_ids(
            self._policy, service_id, self._locality
        )

    async def resign(self) -> None:
        """Resigns leadership of all services and starts no coordinator."""
        self._resigning = True
        outcomes = await asyncio.gather(
            *(running.resign() for running in self._by_service_id.values()),
            return_exceptions=True,
        )
        for error in outcomes:
            if isinstance(error, Exception):
                # The stop goes on: other VMs notice that the leader is gone.
                _LOGGER.error('a coordinator did not resign', exc_info=error)

    async def on_stop(self) -> None:
        """Stops the coordinators."""
        for running in self._by_service_id.values():
            await running.stop()
