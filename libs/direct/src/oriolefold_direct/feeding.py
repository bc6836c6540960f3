"""Distribution of stored objects from one VM that reads them to the others.

Every change wakes every watch on the store, and each call is paid for. So only
the holder of an office watches the store; the others ask it for changes, or a
relay in their region that asks it for them. They go back to the store as soon
as whom they ask is silent, or the holder has not heard of the store itself for
a while.
"""

import asyncio
import collections
import contextlib
import dataclasses

from oriolefold_core import clock, errors
from oriolefold_direct import messages, ports, relaying
from oriolefold_store import ports as store_ports
from oriolefold_telemetry import logs

POLL_S = 1.0  # Time that the feeding VM may wait for changes.
CHECK_S = 0.1  # Pause between looks at whether the feed is still fresh.
FRESH_S = 1.4  # Time without contact to the store after which a feed ends.
RETRY_S = 2.0  # Pause before a feed that failed is tried again.
SUSPICION_S = 6.0  # Time for which a lost feed speaks against its VM.
CONTACT_STEP_S = 0.4  # Newer contact to the store that is told without changes.
MAX_LOGGED = 256  # Changes of each prefix that are kept.


class FeedLog:
    """Newest objects and latest changes of one prefix."""

    def __init__(self):
        self.revision = 0
        self._objects_by_name: dict[str, store_ports.StoredObject] = {}
        self._log: collections.deque[tuple[int, store_ports.Changes]] = (
            collections.deque(maxlen=MAX_LOGGED)
        )
        self._since = 0

    def append(self, changes: store_ports.Changes) -> None:
        """Takes what a watch has returned."""
        if changes.complete:
            self._objects_by_name = {o.name: o for o in changes.objects}
            self._log.clear()
            self._since = self.revision = changes.revision
            return
        if changes.objects or changes.removed_names:
            for stored in changes.objects:
                self._objects_by_name[stored.name] = stored
            for name in changes.removed_names:
                self._objects_by_name.pop(name, None)
            if len(self._log) == MAX_LOGGED:
                self._since = self._log[0][1].revision
            self._log.append((self.revision, changes))
        self.revision = max(self.revision, changes.revision)

    def since(self, revision: int) -> store_ports.Changes | None:
        """Returns the changes after a revision, or None if there are none."""
        if not self.revision or (revision and revision >= self.revision):
            return None
        if revision < self._since or not revision:
            objects = tuple(self._objects_by_name.values())
            return store_ports.Changes(self.revision, objects, complete=True)
        newest: dict[str, store_ports.StoredObject | None] = {}
        for _, changes in self._log:
            if changes.revision <= revision:
                continue
            newest |= {stored.name: stored for stored in changes.objects}
            newest |= dict.fromkeys(changes.removed_names)
        if not newest:
            return None
        return store_ports.Changes(
            self.revision,
            tuple(stored for stored in newest.values() if stored is not None),
            tuple(name for name, stored in newest.items() if stored is None),
        )


class Feed:
    """What this VM can tell others, while it holds an office or is a relay."""

    def __init__(self, time: clock.Clock, region_id: str = ''):
        self._clock = time
        self._logs_by_prefix: dict[str, FeedLog] = {}
        self._changed = asyncio.Event()
        self._contact_at_s = float('-inf')
        self._offices: set[str] = set()
        self._relays = relaying.Relays(region_id)
        self._relaying = False

    def append(self, prefix: str, changes: store_ports.Changes) -> None:
        """Takes what a watch of this VM has returned."""
        log = self._logs_by_prefix.setdefault(prefix, FeedLog())
        log.append(changes)
        if changes.objects or changes.removed_names:
            self._signal()

    def contact(self) -> None:
        """Notes that the store has just answered this VM."""
        self._contact_at_s = self._clock.now_s()
        self._signal()

    def hold(self, service_id: str) -> None:
        """Begins to feed others, as holder of an office."""
        self._relaying = False
        self._offices.add(service_id)

    def leave(self, service_id: str) -> None:
        """Notes that an office was lost."""
        self._offices.discard(service_id)
        self._relays.clear()

    def relay(self, contact_at_s: float) -> None:
        """Begins or goes on to pass on what the holder of an office tells.

        Args:
            contact_at_s: Last contact of that holder to the store, by the
                clock of this VM.
        """
        self._relaying = True
        if contact_at_s > self._contact_at_s:
            self._contact_at_s = contact_at_s
            self._signal()

    def end_relaying(self) -> None:
        """Passes nothing on any more."""
        self._relaying = False
        self._signal()

    @property
    def is_fresh(self) -> bool:
        """Whether others may rely on what this VM tells."""
        if not self._offices and not self._relaying:
            return False
        return self._clock.now_s() - self._contact_at_s < FRESH_S

    async def changes(
        self, asker: messages.Asker, revisions_by_prefix: dict[str, int]
    ) -> messages.Told | None:
        """Waits for changes after revisions.

        Returns:
            Changes by prefix, empty after a while without any, or None if this
            VM must not be relied on.
        """
        ends_at_s = self._clock.now_s() + POLL_S
        while self.is_fresh:
            now_s = self._clock.now_s()
            if self._offices:
                address = self._relays.relay_for(asker, now_s)
                if address:
                    return messages.Told({}, relay_address=address)
            found = self._newer(revisions_by_prefix)
            # A relay may only pass on what is fresh, so it is told of that.
            is_newer = self._contact_at_s > asker.contact_at_s + CONTACT_STEP_S
            if found or is_newer or now_s >= ends_at_s:
                return messages.Told(found, now_s, self._contact_at_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_S):
                    await self._changed.wait()
        return None

    def _newer(
        self, revisions_by_prefix: dict[str, int]
    ) -> dict[str, store_ports.Changes]:
        found = {}
        for prefix, revision in revisions_by_prefix.items():
            log = self._logs_by_prefix.get(prefix)
            newer = log.since(revision) if log is not None else None
            if newer is not None:
                found[prefix] = newer
        return found

    def _signal(self) -> None:
        """Lets everybody who waits look again."""
        self._changed.set()
        self._changed = asyncio.Event()


class _ClockOffset:
    """How far the clock of this VM is ahead of another VM's clock.

    The way of an answer only adds to the difference of the clocks, so the
    least difference that was seen is the best one.
    """

    def __init__(self):
        self._least_s = float('inf')

    def own_time_s(
        self, their_time_s: float, told_at_s: float, heard_at_s: float
    ) -> float:
        """Returns a time of the other VM by the clock of this VM.

        Args:
            their_time_s: Time by the other VM's clock.
            told_at_s: When it told, by its clock.
            heard_at_s: When this VM heard it, by its own clock.
        """
        self._least_s = min(self._least_s, heard_at_s - told_at_s)
        return their_time_s + self._least_s


@dataclasses.dataclass(slots=True)
class _Inbox:
    """Changes of one prefix that were fed and not taken yet."""

    revision: int = 0
    changes: collections.deque[store_ports.Changes] = dataclasses.field(
        default_factory=collections.deque
    )


class FedStore(store_ports.Store):
    """Store whose watches are answered by another VM while that is fresh."""

    def __init__(
        self,
        store: store_ports.Store,
        peers: ports.Peers,
        feed: Feed,
        time: clock.Clock,
        asker: messages.Asker,
        unfed_prefixes: frozenset[str] = frozenset(),
    ):
        """Makes the store.

        Args:
            store: The store itself.
            peers: Asks the feeding VM.
            feed: What this VM tells others.
            time: Clock for pauses after failures.
            asker: How this VM presents itself to the feeding one.
            unfed_prefixes: Prefixes that are always watched in the store.
        """
        self._unfed_prefixes = unfed_prefixes
        self._store = store
        self._peers = peers
        self._feed = feed
        self._clock = time
        self._asker = asker
        self._address = ''
        self._polling: asyncio.Task | None = None
        self._failed_at_s = float('-inf')
        self._suspect_at_s = float('-inf')
        self._avoided_address = ''
        self._inboxes_by_prefix: dict[str, _Inbox] = {}
        self._turn = asyncio.Event()

    @property
    def is_fed(self) -> bool:
        """Whether another VM answers the watches."""
        return self._polling is not None

    @property
    def has_failed(self) -> bool:
        """Whether the holder that fed this VM has lately fallen silent."""
        return self._clock.now_s() - self._suspect_at_s < SUSPICION_S

    def follow(self, address: str) -> None:
        """Lets the VM at an address answer the watches."""
        if address == self._address and self.is_fed:
            return
        pause_s = self._clock.now_s() - self._failed_at_s
        if address == self._address and pause_s < RETRY_S:
            return
        if not all(i.revision for i in self._inboxes_by_prefix.values()):
            # The first lists come from the store itself.
            return
        self.lead()
        self._address = address
        self._polling = asyncio.create_task(self._poll(address))
        self._signal()

    def lead(self) -> None:
        """Lets the store itself answer the watches."""
        if self._polling is not None:
            self._polling.cancel()
            self._polling = None
            self._feed.end_relaying()
            self._signal()

    async def read(self, name: str) -> store_ports.StoredObject:
        """Reads an object."""
        return await self._store.read(name)

    async def read_stale(self, name: str) -> store_ports.StoredObject:
        """Reads an object that may be seconds old."""
        return await self._store.read_stale(name)

    async def write(
        self, name: str, content: bytes, expected_version: int
    ) -> int:
        """Writes an object if its version is the expected one."""
        return await self._store.write(name, content, expected_version)

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> store_ports.Changes:
        """Waits for changes, told by another VM or by the store."""
        if prefix in self._unfed_prefixes:
            return await self._store.watch(prefix, after_revision, timeout_s)
        inbox = self._inboxes_by_prefix.setdefault(prefix, _Inbox())
        inbox.revision = max(inbox.revision, after_revision)
        if after_revision and self.is_fed:
            changes = await self._fed(inbox, after_revision)
        else:
            changes = await self._unfed(prefix, after_revision, timeout_s)
        inbox.revision = max(inbox.revision, changes.revision)
        self._feed.append(prefix, changes)
        return changes

    async def _fed(self, inbox: _Inbox, revision: int) -> store_ports.Changes:
        while not inbox.changes:
            if not self.is_fed:
                # What was fed and not taken is read again from the store.
                inbox.revision = revision
                return store_ports.Changes(revision, ())
            await self._turn.wait()
        return inbox.changes.popleft()

    async def _unfed(
        self, prefix: str, revision: int, timeout_s: float
    ) -> store_ports.Changes:
        watching = asyncio.ensure_future(
            self._store.watch(prefix, revision, timeout_s)
        )
        turning = asyncio.ensure_future(self._turn.wait())
        try:
            await asyncio.wait(
                (watching, turning), return_when=asyncio.FIRST_COMPLETED
            )
            if not watching.done() and revision and self.is_fed:
                return store_ports.Changes(revision, ())
            changes = await watching
            self._feed.contact()
            return changes
        finally:
            turning.cancel()
            watching.cancel()

    async def _poll(self, address: str) -> None:
        """Asks the holder at an address, or the relay that it names."""
        asked = address
        try:
            while True:
                asked = await self._poll_one(asked, asked == address)
        except errors.OriolefoldError as error:
            logs.event('feed.lost', address=asked, error=str(error))
            self._failed_at_s = self._clock.now_s()
            if asked == address:
                self._suspect_at_s = self._failed_at_s
            else:
                self._avoided_address = asked
            self._polling = None
            self._feed.end_relaying()
            self._signal()

    async def _poll_one(self, address: str, is_holder: bool) -> str:
        """Asks one VM until it names another one to ask."""
        offset = _ClockOffset()
        asker = self._present(0.0)
        while True:
            revisions = {
                prefix: inbox.revision
                for prefix, inbox in self._inboxes_by_prefix.items()
            }
            told = await self._peers.changes(address, asker, revisions)
            if told.relay_address:
                self._feed.end_relaying()
                if not is_holder or told.relay_address == asker.address:
                    raise errors.ProtocolError('a relay named another relay')
                logs.event('feed.relayed', relay=told.relay_address)
                return told.relay_address
            now_s = self._clock.now_s()
            contact_at_s = offset.own_time_s(
                told.contact_at_s, told.told_at_s, now_s
            )
            self._take(told.changes_by_prefix)
            if is_holder:
                self._feed.relay(contact_at_s)
            asker = self._present(told.contact_at_s)

    def _present(self, contact_at_s: float) -> messages.Asker:
        """Returns how this VM presents itself."""
        pause_s = self._clock.now_s() - self._failed_at_s
        if pause_s > SUSPICION_S:
            self._avoided_address = ''
        return dataclasses.replace(
            self._asker,
            avoided_address=self._avoided_address,
            contact_at_s=contact_at_s,
        )

    def _take(self, found: dict[str, store_ports.Changes]) -> None:
        for prefix, changes in found.items():
            inbox = self._inboxes_by_prefix[prefix]
            inbox.revision = max(inbox.revision, changes.revision)
            inbox.changes.append(changes)
        if found:
            self._signal()

    def _signal(self) -> None:
        """Lets everybody who waits look again."""
        self._turn.set()
        self._turn = asyncio.Event()

    async def close(self) -> None:
        """Releases the connections."""
        self.lead()
        await self._store.close()
