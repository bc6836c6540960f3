"""Task that polls the platform's list of VMs and instances."""

import asyncio
import json
from collections.abc import Sequence
from typing import Any

from oriolefold_core import data, errors, notices, tasks
from oriolefold_http import client
from oriolefold_ownership import messages
from oriolefold_telemetry import logs

POLL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0


class VmListPoller(tasks.Task):
    """Publishes which VMs and instances are listed and which are leaving."""

    def __init__(
        self,
        address: data.Address,
        planner: tasks.Task,
        leaving_subscribers: Sequence[tasks.Task],
    ):
        super().__init__('vm list')
        self._url = f'http://{address}/vms'
        self._planner = planner
        self._leaving_subscribers = leaving_subscribers
        self._client = client.HttpClient(max_clients=1)
        self._latest: messages.VmListUpdated | None = None

    async def on_start(self) -> None:
        """Starts polling."""
        self.spawn_loop(self._poll)

    async def on_stop(self) -> None:
        """Closes the connection."""
        self._client.close()

    async def handle(self, message: Any) -> None:
        """Publishes the list if it has changed."""
        if message == self._latest:
            return
        self._latest = message
        self._planner.post(message)
        leaving = notices.InstancesLeaving(message.leaving_ids)
        for subscriber in self._leaving_subscribers:
            subscriber.post(leaving)

    async def _poll(self) -> None:
        while True:
            try:
                response = await self._client.call(
                    'GET',
                    self._url,
                    timeout_s=CALL_TIMEOUT_S,
                    connect_timeout_s=CALL_TIMEOUT_S,
                )
                if response.code == 200:
                    self._read(response.body)
            except errors.OriolefoldError as error:
                logs.event('vm_list.unavailable', error=str(error))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _read(self, body: bytes) -> None:
        try:
            states_by_id = {
                str(item['id']): str(item['state'])
                for item in json.loads(body)['vms']
            }
        except (ValueError, KeyError, TypeError) as error:
            logs.event('vm_list.unreadable', error=str(error))
            return
        self.post(
            messages.VmListUpdated(
                frozenset(states_by_id),
                frozenset(
                    vm_id
                    for vm_id, state in states_by_id.items()
                    if state == 'leaving'
                ),
            )
        )
