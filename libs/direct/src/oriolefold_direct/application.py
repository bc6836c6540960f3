"""Composition root of a direct entry VM: wires, starts and stops its tasks."""

import asyncio
import dataclasses
import logging
import random
import uuid
from collections.abc import Sequence

from oriolefold_core import bytebudget, clock, data, tasks
from oriolefold_direct import (
    availability,
    changefeed,
    coordinator,
    coordinators,
    dispatcher,
    following,
    healthchecks,
    instanceview,
    messages,
    peering,
    ports,
    status,
    verifying,
    watching,
)
from oriolefold_gateway import frontend, stopsteps
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import attempts, policy, topology, warmup
from oriolefold_sending import messages as sending_messages
from oriolefold_store import ports as store_ports
from oriolefold_telemetry import counters, logs

FIRST_BODY_BYTES = 64 * 1024 * 1024  # Limit until a policy has been loaded.
IDLE_MARGIN = 1.2  # Idle timeout, relative to the configured limit.
READY_CHECK_S = 0.05  # Interval of readiness checks.
# Other VMs elect a leader without a resignation, too, only later.
RESIGN_LIMIT_S = 2.0
# Limits of the steps after the drain. All of them together have to end well
# before the grace period, also on a busy core.
END_REQUESTS_LIMIT_S = 0.1
FRONTEND_LIMIT_S = frontend.CLOSE_LIMIT_S + 0.05
CLOSE_LIMIT_S = 0.05
_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class DirectSettings:
    """Startup settings of a direct entry VM.

    Attributes:
        vm_id: Name of this VM.
        locality: Location of this VM.
        caller_address: Address that callers connect to.
        status_address: Address of the status server.
        ready_path: Path for readiness.
        metrics_path: Path for metrics.
        deadline_header: Header with the time that a caller is willing to
            wait, in milliseconds.
        key_header: Header with the key of a request.
        retry_budget: Limits of the retry budget.
        drain_delay_s: Time from reporting not ready until no new callers
            arrive.
        stop_limit_s: Time limit of a graceful stop.
        link_mbps: Bandwidth of the network link of this VM.
        feeds_policies: Whether policies, too, are distributed by the change
            feed; otherwise each VM watches them in the store.
        takeover_delay_s: Extra delay before this VM takes over leadership,
            which gives precedence to other VMs.
        max_contact_age_s: Age of the store contact on which the known objects
            rest from which this VM asks the store itself.
        reads_evacuations: Whether zones can be evacuated.
        warm_up_limits: Bound on the requests of a cold instance.
    """

    vm_id: str
    locality: topology.Locality
    caller_address: data.Address
    status_address: data.Address
    ready_path: str
    metrics_path: str
    deadline_header: str
    key_header: str
    retry_budget: attempts.BudgetLimits
    drain_delay_s: float
    stop_limit_s: float
    link_mbps: float = 0.0
    feeds_policies: bool = False
    takeover_delay_s: float = 0.0
    max_contact_age_s: float = following.DEFAULT_MAX_CONTACT_AGE_S
    reads_evacuations: bool = False
    warm_up_limits: warmup.WarmUpLimits = dataclasses.field(
        default_factory=warmup.WarmUpLimits
    )


class _Limits(tasks.Task):
    """Applies the limits of each new policy to the front end."""

    def __init__(self, server: frontend.Frontend):
        super().__init__('limits')
        self._server = server

    async def handle(self, message) -> None:
        """Handles one message."""
        limits: policy.CallerLimits = message.policy.limits
        self._server.set_limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.idle_timeout_s * IDLE_MARGIN,
            limits.header_timeout_s,
        )
        logs.event(
            'policy.in_force',
            version=message.policy.version,
            hosts=len(message.policy.routes_by_host),
        )


class Application:
    """Creates and connects the tasks, and starts and stops them in order."""

    def __init__(
        self,
        settings: DirectSettings,
        store: store_ports.Store,
        instances: ports.Instances,
        policy_reader: watching.Reader,
        endpoint_reader: watching.Reader,
        recorder: counters.Counters,
        budget: bytebudget.ByteBudget | None = None,
        bodies: bytebudget.BodyBudget | None = None,
        evacuation_reader: watching.Reader | None = None,
    ):
        """Initializes the application.

        Args:
            settings: Startup settings.
            store: Object store.
            instances: Client for the instances.
            policy_reader: Decodes policies.
            endpoint_reader: Decodes registered instances.
            recorder: Metrics.
            budget: Budget of the bytes of all responses; by default the
                responses of peers have their own.
            bodies: Budget of the bodies of all requests; by default the front
                end has its own.
            evacuation_reader: Decodes evacuations of zones; None if none are
                read.
        """
        self._settings = settings
        self._instances = instances
        self._stopping = asyncio.Event()
        self._steps = stopsteps.StopSteps(_LOGGER)
        time = clock.BootClock()
        self._clock = time
        self._peers = peering.HttpPeers(budget)
        regions = settings.locality.region_ids_by_zone_id
        region_id = regions.get(settings.locality.zone_id, '')
        feed = changefeed.ChangeFeed(time)
        recorder.register_gauge(
            'oriolefold_contact_age_seconds',
            'Age of the store contact on which the known objects rest.',
            lambda: feed.contact_age_s,
        )
        store_availability = availability.Availability(time)
        self._store = following.FollowerStore(
            availability.MonitoredStore(store, store_availability),
            self._peers,
            feed,
            time,
            messages.Follower(
                str(settings.status_address), region_id, settings.link_mbps
            ),
            frozenset(
                () if settings.feeds_policies else (policy_reader.prefix,)
            ),
            settings.max_contact_age_s,
        )
        generator = random.Random()
        incarnation = uuid.uuid4().hex
        health_checker = healthchecks.HealthChecker(
            instances, time, recorder, generator
        )
        view = instanceview.InstanceView(
            time, health_checker, recorder, evacuation_reader is not None
        )
        self._dispatcher = dispatcher.Dispatcher(
            settings.locality,
            settings.key_header,
            verifying.VerifyingInstances(instances, view, health_checker, time),
            time,
            settings.retry_budget,
            recorder,
            generator,
        )
        self._frontend = frontend.Frontend(
            settings.caller_address,
            self._dispatcher,
            FIRST_BODY_BYTES,
            settings.deadline_header,
            bodies,
        )

        def make_coordinator(service_id: str) -> coordinator.Coordinator:
            return coordinator.Coordinator(
                service_id,
                settings.vm_id,
                incarnation,
                settings.takeover_delay_s,
                str(settings.status_address),
                self._store,
                feed,
                instances,
                self._peers,
                self._dispatcher,
                time,
                recorder,
                generator,
                settings.warm_up_limits,
            )

        self._coordinators = coordinators.Coordinators(
            make_coordinator, settings.vm_id, incarnation, settings.locality
        )
        view.subscribe(self._dispatcher, self._coordinators)
        health_checker.subscribe(view)
        limits = _Limits(self._frontend)
        key_map_reader = watching.KeyMapReader()
        self._watchers: Sequence[watching.Watcher] = [
            watching.Watcher(
                self._store, reader, subscribers, time, store_availability
            )
            for reader, subscribers in (
                (
                    policy_reader,
                    [view, self._dispatcher, self._coordinators, limits],
                ),
                (endpoint_reader, [view]),
                (key_map_reader, [self._dispatcher]),
                (evacuation_reader, [view]),
            )
            if reader is not None
        ]
        self._tasks: Sequence[tasks.Task] = [
            self._dispatcher,
            self._coordinators,
            limits,
            health_checker,
            view,
            *self._watchers,
        ]
        self._status = status.StatusServer(
            settings.status_address,
            settings.ready_path,
            settings.metrics_path,
            self.is_ready,
            recorder,
            self._coordinators,
            feed,
        )

    def is_ready(self) -> bool:
        """Whether this VM accepts callers."""
        return not self._stopping.is_set() and all(
            watcher.is_synchronized for watcher in self._watchers
        )

    @property
    def is_following(self) -> bool:
        """Whether the change feed of another VM serves this one's watches."""
        return self._store.is_following

    async def run(self) -> None:
        """Runs until a stop is requested, then stops gracefully."""
        await self.start()
        await self._stopping.wait()
        await self.stop()

    async def start(self) -> None:
        """Starts the tasks and opens the listening sockets.

        Raises:
            OSError: If listening on an address fails.
        """
        self._status.start()
        self._frontend.start(reuse_port=False)
        for task in self._tasks:
            await task.start()
        logs.event('daemon.started', vm=self._settings.vm_id)

    def request_stop(self) -> None:
        """Requests a graceful stop."""
        self._stopping.set()

    async def stop(self) -> None:
        """Reports not ready, drains the requests and stops the tasks."""
        logs.event(
            'daemon.stopping',
            vm=self._settings.vm_id,
            in_flight=self._frontend.in_flight,
        )
        self._frontend.draining = True
        now_s = self._clock.now_s()
        stops_at_s = now_s + self._settings.stop_limit_s
        self._dispatcher.post(sending_messages.Drain(stops_at_s))
        if not await self._steps.complete(
            'drain', self._resign_and_drain(), self._settings.stop_limit_s
        ):
            logs.event('daemon.stop_limit', in_flight=self._frontend.in_flight)
            await self._end_requests()
        await self._steps.complete(
            'frontend', self._frontend.stop(), FRONTEND_LIMIT_S
        )
        await asyncio.gather(
            self._steps.complete('status', self._status.stop(), CLOSE_LIMIT_S),
            *(
                self._steps.complete(task.name, task.stop(), CLOSE_LIMIT_S)
                for task in reversed(self._tasks)
            ),
        )
        await asyncio.gather(
            self._steps.complete(
                'instances', self._instances.close(), CLOSE_LIMIT_S
            ),
            self._steps.complete('store', self._store.close(), CLOSE_LIMIT_S),
        )
        self._peers.close()
        logs.event(
            'daemon.stopped',
            vm=self._settings.vm_id,
            steps_ms=self._steps.times_ms,
        )

    async def _resign_and_drain(self) -> None:
        await asyncio.gather(self._resign(), self._drain())

    async def _resign(self) -> None:
        """Resigns leadership, as far as the store answers in time."""
        try:
            async with asyncio.timeout(RESIGN_LIMIT_S):
                await self._coordinators.resign()
        except TimeoutError:
            logs.event('leadership.resign_failed', error='the store is silent')
        except Exception:
            # Callers are owed their answers.
            _LOGGER.exception('the resignation failed')

    async def _drain(self) -> None:
        """Serves callers until none arrive any more, then ends requests."""
        await asyncio.sleep(self._settings.drain_delay_s)
        try:
            await self._frontend.drain()
        except Exception:
            _LOGGER.exception('the drain failed')
            await self._end_requests()

    async def _end_requests(self) -> None:
        """Answers the requests in progress.

        Those that it leaves are answered by the front end when it stops.
        """
        asking = self._dispatcher.ask(gateway_messages.EndRequests())
        await self._steps.complete('requests', asking, END_REQUESTS_LIMIT_S)
