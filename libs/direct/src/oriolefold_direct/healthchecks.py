"""Task that checks the health of instances that may have restarted."""

import random
from typing import Any

from oriolefold_core import clock, errors, tasks
from oriolefold_direct import messages, ports
from oriolefold_routing import topology
from oriolefold_telemetry import counters, logs

CHECK_TIMEOUT_S = 0.5  # The transit time to another region is 24 ms.
CHECK_INTERVAL_S = 1.0  # Mean time from a failed check to the next one.
JITTER = 0.25  # Largest deviation from the interval, so that VMs spread out.


class HealthChecker(tasks.Task):
    """Checks each instance at most once at a time."""

    def __init__(
        self,
        instances: ports.Instances,
        time: clock.Clock,
        recorder: counters.Counters,
        generator: random.Random,
    ):
        """Initializes the task.

        Args:
            instances: Client for the instances.
            time: Clock of the checks.
            recorder: Metrics of checks.
            generator: Source of the jitter.
        """
        super().__init__('health checker')
        self._instances = instances
        self._clock = time
        self._metrics = recorder
        self._random = generator
        self._subscribers: tuple[tasks.Task, ...] = ()
        self._wanted_by_id: dict[str, topology.Endpoint] = {}
        # Asks that wait for the check in progress of each instance.
        self._asks_by_id: dict[str, list[messages.CheckHealth]] = {}
        self._next_at_s_by_id: dict[str, float] = {}

    def subscribe(self, *subscribers: tasks.Task) -> None:
        """Adds tasks that receive `HealthChecked`."""
        self._subscribers += subscribers

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.UnverifiedInstances():
                self._wanted_by_id = message.endpoints_by_id
                for instance_id in (
                    self._next_at_s_by_id.keys() - self._wanted_by_id.keys()
                ):
                    del self._next_at_s_by_id[instance_id]
                for endpoint in self._wanted_by_id.values():
                    self._check_when_due(endpoint)
            case messages.CheckHealth():
                self._start(message.endpoint).append(message)
            case messages.HealthChecked():
                self._finish(message)
            case messages.Tick():
                for endpoint in self._wanted_by_id.values():
                    self._check_when_due(endpoint)

    def _check_when_due(self, endpoint: topology.Endpoint) -> None:
        instance_id = endpoint.instance_id
        if self._clock.now_s() >= self._next_at_s_by_id.get(instance_id, 0.0):
            self._start(endpoint)

    def _start(self, endpoint: topology.Endpoint) -> list[messages.CheckHealth]:
        """Starts a check, unless one is in progress; returns who waits."""
        waiting = self._asks_by_id.get(endpoint.instance_id)
        if waiting is None:
            waiting = self._asks_by_id[endpoint.instance_id] = []
            self.spawn(self._check(endpoint))
        return waiting

    async def _check(self, endpoint: topology.Endpoint) -> None:
        started_at_s = self._clock.now_s()
        left_s = None
        try:
            report = await self._instances.check_health(
                endpoint, endpoint.health_path, CHECK_TIMEOUT_S
            )
            left_s = report.warm_up_left_s
        except errors.OriolefoldError as error:
            logs.event(
                'health.failed',
                instance=endpoint.instance_id,
                service=endpoint.service_id,
                took_ms=round((self._clock.now_s() - started_at_s) * 1000),
                error=str(error),
            )
        finally:
            self.post(messages.HealthChecked(endpoint, started_at_s, left_s))

    def _finish(self, checked: messages.HealthChecked) -> None:
        endpoint, left_s = checked.endpoint, checked.warm_up_left_s
        result = 'failed'
        if left_s is not None:
            result = 'cold' if left_s > 0 else 'warm'
        self._metrics.count_health_check(endpoint.service_id, result)
        # A warm instance is still wanted if a connection failed meanwhile, or
        # until the view has learned of the result.
        if left_s is None or endpoint.instance_id in self._wanted_by_id:
            delay_s = CHECK_INTERVAL_S * (
                1 + JITTER * (2 * self._random.random() - 1)
            )
            now_s = self._clock.now_s()
            self._next_at_s_by_id[endpoint.instance_id] = now_s + delay_s
            self.post_later(delay_s + 0.01, messages.Tick())
        else:
            self._next_at_s_by_id.pop(endpoint.instance_id, None)
        for subscriber in self._subscribers:
            subscriber.post(checked)
        for ask in self._asks_by_id.pop(endpoint.instance_id):
            ask.answer(result == 'warm')
