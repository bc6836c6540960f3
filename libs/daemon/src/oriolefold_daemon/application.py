"""Application object of the daemon: construction, start and graceful stop."""

import asyncio
import logging
import random
import uuid

from oriolefold_backend import http as backend_http
from oriolefold_coordination import lease
from oriolefold_coordination import messages as lease_messages
from oriolefold_core import bytebudget, clock, data, errors, tasks
from oriolefold_daemon import (
    admin,
    configuration,
    memory,
    settings,
    vmlist,
)
from oriolefold_gateway import dispatcher, frontend, peering, stopsteps
from oriolefold_gateway import messages as gateway_messages
from oriolefold_ownership import (
    acquisition,
    granter,
    guardrecorder,
    leasemanager,
    planner,
    shardmanager,
    watcher,
)
from oriolefold_ownership import messages as ownership_messages
from oriolefold_peer import codec, connection, link, server
from oriolefold_peer import messages as peer_messages
from oriolefold_routing import balance
from oriolefold_sending import messages as sending_messages
from oriolefold_sending import sender
from oriolefold_store import http as store_http
from oriolefold_telemetry import logs, metrics

# Limits of the steps after the drain.
END_REQUESTS_LIMIT_S = 0.1  # Of each task that ends requests.
WRITE_LIMIT_S = 0.2  # Time in which the last answers are written.
FRONTEND_LIMIT_S = frontend.CLOSE_LIMIT_S + 0.05
# Time in which the lease is handed over. Without that, other VMs wait until it
# has run out.
HAND_OVER_LIMIT_S = 2.0
CLOSE_LIMIT_S = 0.05
PEER_SERVER_LIMIT_S = connection.LINGER_S + CLOSE_LIMIT_S
_LOGGER = logging.getLogger(__name__)
WIRE_MESSAGES = (
    *peer_messages.CONNECTION_MESSAGES,
    *lease_messages.WIRE_MESSAGES,
    gateway_messages.ForwardRequest,
    data.Answer,
    errors.Failure,
)


class Application:
    """Creates and connects the tasks, and starts and stops them in order."""

    def __init__(self, values: settings.DaemonSettings):
        self._values = values
        self._stopping = asyncio.Event()
        self._steps = stopsteps.StopSteps(_LOGGER)
        boot_clock = clock.BootClock()
        self._clock = boot_clock
        generator = random.Random(values.random_seed)
        incarnation = uuid.uuid4().hex
        hello = peer_messages.Hello(values.vm_id, incarnation)
        frame_codec = codec.Codec(WIRE_MESSAGES)
        metrics_recorder = metrics.Metrics()
        budget = bytebudget.ByteBudget(values.max_buffer_bytes)
        self._backend = backend_http.HttpBackend(budget)
        self._store = store_http.HttpStore(values.store_address, budget)
        self._peers = link.Peers(hello, frame_codec, budget)
        self._shard_manager = shardmanager.ShardManager(
            values.vm_id, boot_clock
        )
        self._lease_manager = leasemanager.LeaseManager(
            values.vm_id,
            incarnation,
            lease.DEFAULT_TERMS,
            boot_clock,
            self._peers,
            self._shard_manager,
        )
        self._granter = granter.Granter(
            f'{values.vm_id}/{incarnation}',
            self._backend,
            boot_clock,
            self._shard_manager,
        )
        self._sender = sender.Sender(
            values.zone,
            self._backend,
            balance.NearestFirst(generator),
            boot_clock,
            metrics_recorder,
        )
        self._guard_recorder = guardrecorder.GuardRecorder(
            values.vm_id, self._store, self._lease_manager
        )
        self._dispatcher = dispatcher.Dispatcher(
            values.vm_id,
            boot_clock,
            self._shard_manager,
            self._sender,
            self._peers,
            metrics_recorder,
            generator,
            values.access_log == 'all',
        )
        self._watcher = self._make_watcher()
        self._connect()
        self._peer_server = server.PeerServer(
            values.peer_address,
            hello,
            frame_codec,
            peering.PeerRequestHandler(
                boot_clock,
                self._shard_manager,
                self._lease_manager,
                values.access_log == 'all',
            ),
            budget,
        )
        self._frontend = frontend.Frontend(
            values.caller_address,
            self._dispatcher,
            values.max_body_bytes,
            bodies=bytebudget.BodyBudget(values.max_bodies_bytes),
        )
        self._admin = admin.AdminServer(
            values.admin_address,
            self._dispatcher,
            self._lease_manager,
            metrics_recorder,
        )
        self._vm_list = None
        if values.vm_list_address is not None:
            self._vm_list = vmlist.VmListPoller(
                values.vm_list_address, self._planner, [self._sender]
            )

    def _make_watcher(self) -> watcher.Watcher:
        # The planner and the watcher refer to each other: the planner notifies
        # the watcher of the shard maps that it has written.
        reader_subscribers = []
        reader = configuration.ConfigurationPublisher(
            self._values.vm_id,
            self._values.zone,
            reader_subscribers,
            self._peers,
        )
        store_watcher = watcher.Watcher(
            self._store, reader, [self._shard_manager, self._dispatcher]
        )
        self._planner = planner.Planner(
            self._values.vm_id,
            self._store,
            self._backend,
            store_watcher,
            self._peers,
        )
        store_watcher.connect(
            self._planner,
            [self._shard_manager, self._dispatcher, self._lease_manager],
        )
        reader_subscribers.extend(
            [
                self._dispatcher,
                self._sender,
                self._granter,
                self._shard_manager,
                self._guard_recorder,
                self._planner,
            ]
        )
        return store_watcher

    def _connect(self) -> None:
        self._lease_manager.connect(self._guard_recorder)
        self._shard_manager.connect(
            self._sender,
            self._granter,
            self._lease_manager,
            self._planner,
            acquisition.Acquirer(self._values.vm_id, self._peers),
        )

    async def start(self) -> None:
        """Starts the tasks and opens the listening sockets.

        Raises:
            OSError: If a listening socket cannot be opened.
        """
        for task in self._tasks():
            await task.start()
        self._admin.start()
        self._frontend.start(reuse_port=False)
        loop = asyncio.get_running_loop()
        loop.call_later(memory.FREEZE_DELAY_S, memory.freeze_startup_objects)
        logs.event('daemon.started', vm=self._values.vm_id)

    async def run(self) -> None:
        """Runs until a stop is requested, then stops gracefully."""
        await self.start()
        await self._stopping.wait()
        await self.stop()

    def request_stop(self) -> None:
        """Requests a graceful stop and returns at once."""
        self._stopping.set()

    async def stop(self) -> None:
        """Drains requests within the time limit, then stops the tasks.

        The lease is handed over once all requests have ended or are given up.
        """
        logs.event('daemon.stopping', vm=self._values.vm_id)
        now_s = self._clock.now_s()
        drain = sending_messages.Drain(now_s + self._values.stop_limit_s)
        for task in (self._dispatcher, self._shard_manager, self._sender):
            task.post(drain)
        requests_ended = asyncio.Event()
        handing_over = asyncio.create_task(self._hand_over(requests_ended))
        if not await self._steps.complete(
            'drain',
            self._drain(requests_ended, handing_over),
            self._values.stop_limit_s,
        ):
            logs.event('daemon.stop_limit', in_flight=self._frontend.in_flight)
            await self._end_requests()
        await self._steps.complete(
            'frontend', self._frontend.stop(), FRONTEND_LIMIT_S
        )
        requests_ended.set()
        if not await self._steps.complete(
            'hand-over', _end_of(handing_over), HAND_OVER_LIMIT_S
        ):
            logs.event('daemon.hand_over_limit', vm=self._values.vm_id)
        await self._stop_tasks()
        await self._steps.complete('store', self._store.close(), CLOSE_LIMIT_S)
        logs.event(
            'daemon.stopped',
            vm=self._values.vm_id,
            steps_ms=self._steps.times_ms,
        )

    async def _drain(
        self, requests_ended: asyncio.Event, handing_over: asyncio.Task
    ) -> None:
        """Serves the requests in progress, then waits for the hand-over."""
        try:
            await self._frontend.drain()
        except Exception:
            # Callers are owed their answers, and other VMs the keys.
            _LOGGER.exception('the drain failed')
            await self._end_requests()
            return
        requests_ended.set()
        await asyncio.shield(handing_over)

    async def _end_requests(self) -> None:
        """Answers the requests in progress and waits until that is written."""
        for task, ask in (
            (self._sender, sending_messages.RefuseQueued()),
            (self._shard_manager, ownership_messages.RefuseWaiting()),
            (self._dispatcher, gateway_messages.EndRequests()),
            (self._peer_server, peer_messages.EndCalls()),
        ):
            await self._steps.complete(
                f'requests of {task.name}', task.ask(ask), END_REQUESTS_LIMIT_S
            )
        await self._steps.complete(
            'answers', self._frontend.drain(), WRITE_LIMIT_S
        )

    async def _stop_tasks(self) -> None:
        limits_s_by_task = dict.fromkeys(self._tasks(), CLOSE_LIMIT_S)
        limits_s_by_task[self._peer_server] = PEER_SERVER_LIMIT_S
        await asyncio.gather(
            self._steps.complete('admin', self._admin.stop(), CLOSE_LIMIT_S),
            *(
                self._steps.complete(task.name, task.stop(), limit_s)
                for task, limit_s in reversed(limits_s_by_task.items())
            ),
        )

    async def _hand_over(self, requests_ended: asyncio.Event) -> None:
        """Hands over the lease, then ends the calls of peers."""
        await requests_ended.wait()
        await self._ask(self._lease_manager, ownership_messages.StepDown())
        await self._ask(self._peer_server, peer_messages.DrainCalls())

    async def _ask(self, task: tasks.Task, ask: tasks.Ask) -> None:
        """Asks a task; the stop goes on if that fails."""
        try:
            await task.ask(ask)
        except Exception:
            _LOGGER.exception('%s failed at the stop', task.name)

    def _tasks(self) -> list:
        running = [
            self._peers,
            self._sender,
            self._granter,
            self._shard_manager,
            self._lease_manager,
            self._guard_recorder,
            self._planner,
            self._dispatcher,
            self._peer_server,
            self._watcher,
        ]
        if self._vm_list is not None:
            running.append(self._vm_list)
        return running


async def _end_of(running: asyncio.Task) -> None:
    await running
