"""Leader, relay and followers of a change feed on virtual time, for tests.

All VMs run in one event loop whose clock jumps to the next timer, so that a
test can place each loss at its worst moment.
"""

import asyncio
import contextlib
import dataclasses
import selectors
from collections.abc import Coroutine, Iterator

import fakes

from oriolefold_core import clock, errors, tasks
from oriolefold_direct import (
    availability,
    changefeed,
    following,
    messages,
    peering,
    watching,
)
from oriolefold_store import ports

PREFIXES = ('a/', 'b/')
TRANSIT_S = 0.012  # Between two VMs and to the store, one way.
TURN_S = 1e-6  # Taken by each turn of the event loop.
CALL_LIMIT_S = 1.0  # Time limits of the platform's store client.
WATCH_MARGIN_S = 0.6
HEARTBEAT_S = 1.0
FOLLOW_INTERVAL_S = 0.4  # Between reads of the leader record.
SETTLED_S = 6.0  # When the graph has settled after its start.
BATCH_DELAY_S = 0.2
LEADER, RELAY, FIRST, SECOND = (
    '10.0.0.1:1',
    '10.0.0.2:1',
    '10.0.0.3:1',
    '10.0.0.4:1',
)


class _JumpingSelector(selectors.SelectSelector):
    """Selector that advances a clock instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        """Returns what is ready now, or advances the clock."""
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError('no timer is left to wait for')
        self.now_s += TURN_S if ready else max(TURN_S, timeout)
        return ready


class _VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock of its selector."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Returns the virtual time."""
        return self._jumping_selector.now_s


def run(main: Coroutine):
    """Runs a coroutine on virtual time and returns its result."""
    with asyncio.Runner(loop_factory=_VirtualTimeLoop) as runner:
        return runner.run(main)


class _LoopClock(clock.Clock):
    """Clock of one VM: the loop's, by an offset."""

    def __init__(self, offset_s: float):
        self._offset_s = offset_s

    def now_s(self) -> float:
        """Returns the time of this VM."""
        return asyncio.get_running_loop().time() + self._offset_s


@dataclasses.dataclass(frozen=True)
class Fault:
    """Something that happens to one VM.

    Attributes:
        at_s: When, relative to `SETTLED_S`.
        address: The VM.
        kind: `store` (the store is silent to it), `watches` (the same, for
            watches only), `refused` (the store turns it away), `cut` (no
            connection of it works) or `frozen`.
        for_s: How long.
    """

    at_s: float
    address: str
    kind: str
    for_s: float


class _Store:
    """The store, and when each object was written."""

    def __init__(self):
        self.revision = 1
        self.written_at_s: dict[str, float] = {}
        self._log: list[tuple[int, ports.StoredObject]] = []
        self._changed = asyncio.Event()

    def put(self, name: str) -> None:
        """Writes a new object."""
        self.revision += 1
        stored = ports.StoredObject(name, self.revision, b'{}')
        self._log.append((self.revision, stored))
        self.written_at_s[name] = asyncio.get_running_loop().time()
        self._changed.set()
        self._changed = asyncio.Event()

    async def watch(
        self, prefix: str, after_revision: int, wait_s: float
    ) -> ports.Changes:
        """Waits for changes; 0 lists all objects."""
        if not after_revision:
            listed = self._newer(prefix, 0)
            return ports.Changes(self.revision, listed, complete=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while not self._newer(prefix, after_revision):
                    await self._changed.wait()
        found = self._newer(prefix, after_revision)
        waited_s = 0.0 if found else wait_s
        return ports.Changes(self.revision, found, waited_s=waited_s)

    def _newer(self, prefix, after) -> tuple[ports.StoredObject, ...]:
        return tuple(
            stored
            for revision, stored in self._log
            if revision > after and stored.name.startswith(prefix)
        )


class _StoreLink(ports.Store):
    """The store as one VM reaches it, with the limits of the real client."""

    def __init__(self, store: _Store, vm: 'Vm'):
        self._store = store
        self._vm = vm
        self.calls = 0

    async def read(self, name):
        raise NotImplementedError

    async def read_stale(self, name):
        await self._call(CALL_LIMIT_S, asyncio.sleep(0))
        raise errors.ObjectNotFoundError(name)

    async def write(self, name, content, expected_version):
        await self._call(CALL_LIMIT_S, asyncio.sleep(0))
        return expected_version + 1

    async def watch(self, prefix, after_revision, timeout_s):
        async def answer():
            if self._vm.has('watches'):
                await asyncio.Event().wait()
            return await self._store.watch(prefix, after_revision, timeout_s)

        return await self._call(timeout_s + WATCH_MARGIN_S, answer())

    async def _call(self, limit_s, answering: Coroutine):
        self.calls += 1
        try:
            async with asyncio.timeout(limit_s):
                await self._cross()
                answer = await answering
                await self._cross()
                return answer
        except TimeoutError as error:
            raise errors.StoreUnavailableError('no response') from error
        finally:
            answering.close()

    async def _cross(self) -> None:
        await asyncio.sleep(TRANSIT_S)
        if self._vm.has('refused'):
            raise errors.StoreUnavailableError('turned away')
        if self._vm.has('store') or self._vm.has('cut'):
            await asyncio.Event().wait()
        await self._vm.wait_while_frozen()


class _Peers(fakes.FakePeers):
    """The other VMs as one VM reaches them."""

    def __init__(self, vm: 'Vm', vms_by_address: dict[str, 'Vm']):
        super().__init__()
        self._vm = vm
        self._vms_by_address = vms_by_address

    async def changes(self, address, follower, revisions_by_prefix):
        target = self._vms_by_address[address]
        try:
            async with asyncio.timeout(peering.CHANGES_TIMEOUT_S):
                await self._cross(target)
                reply = await target.feed.changes(follower, revisions_by_prefix)
                is_source = target.feed.is_source
                await self._cross(target)
        except TimeoutError as error:
            raise errors.OutcomeUnknownError('no response') from error
        if reply is not None:
            return reply
        if is_source:
            raise errors.StaleFeedError('no contact')
        raise errors.ProtocolError('no feed')

    async def _cross(self, target: 'Vm') -> None:
        await asyncio.sleep(TRANSIT_S)
        if self._vm.has('cut') or target.has('cut'):
            await asyncio.Event().wait()
        await self._vm.wait_while_frozen()
        await target.wait_while_frozen()


class _Reader(watching.Reader):
    batch_delay_s = BATCH_DELAY_S

    def __init__(self, prefix: str):
        self.prefix = prefix

    def read(self, stored):
        return stored.version

    def build_message(self, values_by_name):
        return values_by_name


class _Subscriber(tasks.Task):
    """Notes when each object became known."""

    def __init__(self):
        super().__init__('subscriber')
        self.known_at_s: dict[str, float] = {}

    def post(self, message) -> None:
        """Notes the names in a message of a watcher."""
        for name in message:
            now_s = asyncio.get_running_loop().time()
            self.known_at_s.setdefault(name, now_s)

    async def handle(self, message) -> None:
        """Does nothing: `post` handles the messages."""


class Vm:
    """One VM of the graph.

    Attributes:
        known_at_s: When this VM learned of each object.
        feed: The feed that it serves.
        link: Its connection to the store.
    """

    def __init__(
        self,
        address: str,
        store: _Store,
        vms_by_address: dict[str, 'Vm'],
        clock_offset_s: float,
        **options,
    ):
        self.address = address
        self._faults: list[str] = []
        self._thawed = asyncio.Event()
        self._thawed.set()
        self._clock = _LoopClock(clock_offset_s)
        health = availability.Availability(self._clock)
        self.feed = changefeed.ChangeFeed(self._clock)
        self.link = _StoreLink(store, self)
        self.store = following.FollowerStore(
            availability.MonitoredStore(self.link, health),
            _Peers(self, vms_by_address),
            self.feed,
            self._clock,
            messages.Follower(address, 'r1', 100.0),
            **options,
        )
        subscriber = _Subscriber()
        self.known_at_s = subscriber.known_at_s
        self._watchers = [
            watching.Watcher(
                self.store, _Reader(prefix), [subscriber], self._clock, health
            )
            for prefix in PREFIXES
        ]
        self._electing: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the watches, and to lead or to look for the leader."""
        for watcher in self._watchers:
            await watcher.start()
        role = self._lead if self.address == LEADER else self._follow
        self._electing = asyncio.create_task(role())

    async def stop(self) -> None:
        """Stops all tasks."""
        self._electing.cancel()
        for watcher in self._watchers:
            await watcher.stop()
        await self.store.close()

    async def _lead(self) -> None:
        await asyncio.sleep(0.1)
        self.store.stop_following()
        self.feed.start_leading('svc')
        version = 0
        while True:
            with contextlib.suppress(errors.StoreError):
                version = await self.store.write('l/svc', b'{}', version)
                self.feed.advance_contact(self.clock.now_s())
            await asyncio.sleep(HEARTBEAT_S)

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(FOLLOW_INTERVAL_S)
            await self.wait_while_frozen()
            self.store.follow(LEADER)

    def has(self, kind: str) -> bool:
        """Whether a fault of a kind lasts."""
        return kind in self._faults

    async def wait_while_frozen(self) -> None:
        """Waits until the VM is not frozen."""
        await self._thawed.wait()

    async def suffer(self, fault: Fault) -> None:
        """Suffers a fault from its begin to its end."""
        await asyncio.sleep(fault.at_s)
        self._faults.append(fault.kind)
        if fault.kind == 'frozen':
            self._thawed.clear()
        await asyncio.sleep(fault.for_s)
        self._faults.remove(fault.kind)
        if not self.has('frozen'):
            self._thawed.set()


class Graph:
    """Leader, relay and two followers, in one region."""

    def __init__(self, **options):
        """Initializes the VMs.

        Args:
            **options: Passed to each `FollowerStore`.
        """
        self.store = _Store()
        self.vms_by_address: dict[str, Vm] = {}
        for number, address in enumerate((LEADER, RELAY, FIRST, SECOND)):
            self.vms_by_address[address] = Vm(
                address,
                self.store,
                self.vms_by_address,
                100.0 * number,
                **options,
            )

    @contextlib.asynccontextmanager
    async def running(self) -> Iterator[None]:
        """Runs the VMs; they have settled when the context is entered."""
        for vm in self.vms_by_address.values():
            await vm.start()
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLED_S)
        try:
            yield
        finally:
            for vm in self.vms_by_address.values():
                await vm.stop()

    def delays_s(self, address: str) -> dict[str, float]:
        """Returns how long after its write a VM knew of each object.

        It is infinite for one that the VM does not know.
        """
        known_at_s = self.vms_by_address[address].known_at_s
        return {
            name: known_at_s.get(name, float('inf')) - written_at_s
            for name, written_at_s in self.store.written_at_s.items()
        }


async def play(
    faults: tuple[Fault, ...],
    changes_at_s: tuple[float, ...],
    until_s: float,
    **options,
) -> Graph:
    """Plays faults beside changes of the first prefix.

    Args:
        faults: The faults.
        changes_at_s: When objects are written, relative to `SETTLED_S`.
        until_s: When the play ends, relative to the same.
        **options: Passed to each `FollowerStore`.
    """
    graph = Graph(**options)

    async def write(at_s: float) -> None:
        await asyncio.sleep(at_s)
        graph.store.put(f'{PREFIXES[0]}at-{at_s:.3f}')

    async with graph.running():
        playing = [
            asyncio.create_task(graph.vms_by_address[f.address].suffer(f))
            for f in faults
        ]
        playing += [asyncio.create_task(write(at_s)) for at_s in changes_at_s]
        await asyncio.sleep(until_s)
        for task in playing:
            task.cancel()
    return graph
