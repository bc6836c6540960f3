"""Task that keeps a coordinator for each keyed service."""

from collections.abc import Callable
from typing import Any

from oriolefold_core import tasks
from oriolefold_direct import coordinator, messages


class Coordinators(tasks.Task):
    """Owns the coordinators of all keyed services."""

    def __init__(self, make: Callable[[str], coordinator.Coordinator]):
        """Makes the task.

        Args:
            make: Makes the coordinator of a service.
        """
        super().__init__('coordinators')
        self._make = make
        self._by_service_id: dict[str, coordinator.Coordinator] = {}
        self._endpoints: messages.EndpointsKnown | None = None

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        if isinstance(message, messages.EndpointsKnown):
            self._endpoints = message
            for made in self._by_service_id.values():
                made.post(message)
        elif isinstance(message, messages.LoadReported):
            found = self._by_service_id.get(message.service_id)
            if found is None:
                message.answer({})
            else:
                found.post(message)
        elif isinstance(message, messages.PolicyInForce):
            for profile in message.policy.services_by_id.values():
                if profile.keyed:
                    await self._ensure(profile.service_id)

    async def _ensure(self, service_id: str) -> None:
        if service_id in self._by_service_id:
            return
        made = self._make(service_id)
        self._by_service_id[service_id] = made
        if self._endpoints is not None:
            made.post(self._endpoints)
        await made.start()

    async def resign(self) -> None:
        """Gives up all offices."""
        for made in self._by_service_id.values():
            await made.resign()

    async def on_stop(self) -> None:
        """Ends the coordinators."""
        for made in self._by_service_id.values():
            await made.stop()
