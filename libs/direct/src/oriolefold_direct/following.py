"""Store whose changes come from another VM's feed.

A VM follows the leader, or the relay that the leader names. It falls back to
the store as soon as the polled VM does not answer, or its feed is not fresh.
"""

import asyncio
import collections
import contextlib
import dataclasses
import logging

from oriolefold_core import clock, errors
from oriolefold_direct import changefeed, messages, ports
from oriolefold_store import ports as store_ports
from oriolefold_telemetry import logs

FEED_RETRY_S = 2.0  # Delay before a failed feed is tried again.
SUSPICION_S = 6.0  # How long a VM stays suspected after its feed failed.

_LOGGER = logging.getLogger(__name__)


class _ClockOffset:
    """Estimate of how far this VM's clock is ahead of another VM's clock.

    Transit time only adds to the observed difference, so the smallest
    observed difference is the best estimate.
    """

    def __init__(self):
        self._min_difference_s = float('inf')

    def to_local_time_s(
        self, remote_time_s: float, sent_at_s: float, received_at_s: float
    ) -> float:
        """Converts a time of the other VM to the clock of this VM.

        Args:
            remote_time_s: Time to convert, by the other VM's clock.
            sent_at_s: When the reply was sent, by the other VM's clock.
            received_at_s: When it was received, by this VM's clock.
        """
        self._min_difference_s = min(
            self._min_difference_s, received_at_s - sent_at_s
        )
        return remote_time_s + self._min_difference_s


@dataclasses.dataclass(slots=True)
class _Inbox:
    """Changes of one prefix that were received and not yet returned.

    Attributes:
        revision: Revision up to which changes were received; the next poll asks
            for later ones.
        changes: The received changes.
    """

    revision: int = 0
    changes: collections.deque[store_ports.Changes] = dataclasses.field(
        default_factory=collections.deque
    )

    def receive(self, changes: store_ports.Changes) -> None:
        """Adds changes from a feed.

        Raises:
            ProtocolError: If they do not follow from what was received before.
        """
        if changes.revision <= self.revision:
            return  # The store has answered since the poll was sent.
        era = store_ports.era_of(changes.revision)
        if not changes.complete and era != store_ports.era_of(self.revision):
            raise errors.ProtocolError(
                f'changes of era {era} without the complete list of objects'
            )
        self.revision = changes.revision
        self.changes.append(changes)

    def discard_until(self, revision: int) -> None:
        """Discards changes up to a revision that the watch has reached."""
        while self.changes and self.changes[0].revision <= revision:
            self.changes.popleft()

    def replace(self, listing: store_ports.Changes) -> None:
        """Replaces all by a list from the store, whatever its revision."""
        later = [c for c in self.changes if c.revision > listing.revision]
        self.changes = collections.deque(later)
        last = later[-1] if later else listing
        self.revision = last.revision


class FollowerStore(store_ports.Store):
    """Store whose watches are served by another VM's feed while it is fresh."""

    def __init__(
        self,
        store: store_ports.Store,
        peers: ports.Peers,
        feed: changefeed.ChangeFeed,
        time: clock.Clock,
        follower: messages.Follower,
        store_only_prefixes: frozenset[str] = frozenset(),
    ):
        """Initializes the store.

        Args:
            store: The underlying store.
            peers: Client that polls other VMs.
            feed: Change feed that this VM serves to others.
            time: Clock for delays after failures.
            follower: Description of this VM for the polled one.
            store_only_prefixes: Prefixes that are always watched in the
                underlying store.
        """
        self._store_only_prefixes = store_only_prefixes
        self._store = store
        self._peers = peers
        self._feed = feed
        self._clock = time
        self._follower = follower
        self._feed_address = ''
        self._poll_task: asyncio.Task | None = None
        self._failed_at_s = float('-inf')
        self._leader_failed_at_s = float('-inf')
        self._avoided_address = ''
        self._inboxes_by_prefix: dict[str, _Inbox] = {}
        self._source_event = asyncio.Event()

    @property
    def is_following(self) -> bool:
        """Whether another VM's feed serves the watches."""
        return self._poll_task is not None

    @property
    def is_leader_suspected(self) -> bool:
        """Whether polling the leader has recently failed."""
        return self._clock.now_s() - self._leader_failed_at_s < SUSPICION_S

    def follow(self, address: str) -> None:
        """Serves the watches from the feed of the VM at an address.

        A VM that leads a service watches the store itself: its followers rely
        on that, among them perhaps the VM at the address.
        """
        if self._feed.is_leading:
            return
        if address == self._feed_address and self.is_following:
            return
        since_failure_s = self._clock.now_s() - self._failed_at_s
        if address == self._feed_address and since_failure_s < FEED_RETRY_S:
            return
        if not all(i.revision for i in self._inboxes_by_prefix.values()):
            # The initial lists are read from the store.
            return
        self.stop_following()
        self._feed_address = address
        self._poll_task = asyncio.create_task(self._poll(address))
        self._notify_waiters()

    def stop_following(self) -> None:
        """Serves the watches from the underlying store."""
        if self._poll_task is not None:
            self._poll_task.cancel()
            self._poll_task = None
            self._feed.stop_relaying()
            self._notify_waiters()

    @property
    def era(self) -> int:
        """Latest era in the answers of the underlying store."""
        return self._store.era

    async def read(self, name: str) -> store_ports.StoredObject:
        """Reads an object."""
        with self._observing_era():
            return await self._store.read(name)

    async def read_stale(self, name: str) -> store_ports.StoredObject:
        """Reads an object that may be seconds old."""
        with self._observing_era():
            return await self._store.read_stale(name)

    async def write(
        self, name: str, content: bytes, expected_version: int
    ) -> int:
        """Writes an object if its version is the expected one."""
        with self._observing_era():
            return await self._store.write(name, content, expected_version)

    @contextlib.contextmanager
    def _observing_era(self):
        """Tells the feed the era after a call, whether or not it succeeds."""
        try:
            yield
        finally:
            self._feed.observe_era(self._store.era)

    async def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> store_ports.Changes:
        """Waits for changes from another VM's feed or from the store."""
        if prefix in self._store_only_prefixes:
            with self._observing_era():
                return await self._store.watch(
                    prefix, after_revision, timeout_s
                )
        inbox = self._inboxes_by_prefix.setdefault(prefix, _Inbox())
        inbox.revision = max(inbox.revision, after_revision)
        # A feed may fail with unread changes, which the store then returns.
        inbox.discard_until(after_revision)
        if after_revision and self.is_following:
            changes = await self._watch_feed(inbox, after_revision)
        else:
            with self._observing_era():
                changes = await self._watch_store(
                    prefix, after_revision, timeout_s
                )
            if changes.complete:
                inbox.replace(changes)
        inbox.revision = max(inbox.revision, changes.revision)
        self._feed.append(prefix, changes)
        return changes

    async def _watch_feed(
        self, inbox: _Inbox, revision: int
    ) -> store_ports.Changes:
        while not inbox.changes:
            if not self.is_following:
                # Changes that were received and not yet returned are read
                # again from the store.
                inbox.revision = revision
                return store_ports.Changes(revision, ())
            await self._source_event.wait()
        return inbox.changes.popleft()

    async def _watch_store(
        self, prefix: str, revision: int, timeout_s: float
    ) -> store_ports.Changes:
        watch = asyncio.ensure_future(
            self._store.watch(prefix, revision, timeout_s)
        )
        source_change = asyncio.ensure_future(self._source_event.wait())
        try:
            await asyncio.wait(
                (watch, source_change), return_when=asyncio.FIRST_COMPLETED
            )
            if not watch.done() and revision and self.is_following:
                return store_ports.Changes(revision, ())
            changes = await watch
            self._feed.record_contact()
            return changes
        finally:
            source_change.cancel()
            watch.cancel()

    async def _poll(self, address: str) -> None:
        """Polls the leader at an address, or the relay that it names."""
        polled_address = address
        try:
            while True:
                polled_address = await self._poll_one(
                    polled_address, polled_address == address
                )
        except Exception as error:  # pylint: disable=broad-except
            # The watches rely on this loop, so they have to learn of its end.
            if not isinstance(error, errors.OriolefoldError):
                _LOGGER.exception('the poll of %s failed', polled_address)
            logs.event('feed.failed', address=polled_address, error=str(error))
            self._failed_at_s = self._clock.now_s()
            if polled_address == address:
                self._leader_failed_at_s = self._failed_at_s
            else:
                self._avoided_address = polled_address
            self._poll_task = None
            self._feed.stop_relaying()
            self._notify_waiters()

    async def _poll_one(self, address: str, is_leader: bool) -> str:
        """Polls one VM until it redirects; returns the address of the relay."""
        offset = _ClockOffset()
        follower = self._self_description(0.0)
        while True:
            revisions = {
                prefix: inbox.revision
                for prefix, inbox in self._inboxes_by_prefix.items()
            }
            reply = await self._peers.changes(address, follower, revisions)
            if reply.relay_address:
                self._feed.stop_relaying()
                if not is_leader or reply.relay_address == follower.address:
                    raise errors.ProtocolError(
                        'redirected by a relay, or by the leader to this VM'
                    )
                logs.event('feed.redirected', relay=reply.relay_address)
                return reply.relay_address
            self._check_era(reply.era)
            now_s = self._clock.now_s()
            contact_at_s = offset.to_local_time_s(
                reply.contact_at_s, reply.sent_at_s, now_s
            )
            self._deliver(reply.changes_by_prefix)
            if is_leader:
                self._feed.renew_relaying(contact_at_s)
            follower = self._self_description(reply.contact_at_s)

    def _check_era(self, era: int) -> None:
        """Checks that a feed tells eras, if the store does.

        VMs of earlier versions would never see this one's revisions as older.

        Raises:
            ProtocolError: If it does not.
        """
        revisions = [i.revision for i in self._inboxes_by_prefix.values()]
        if not era and store_ports.era_of(max(revisions, default=0)):
            raise errors.ProtocolError('the feed tells no era')
        self._feed.observe_era(era)
        self._store.observe_era(era)

    def _self_description(self, contact_at_s: float) -> messages.Follower:
        """Returns the description of this VM for the next poll."""
        since_failure_s = self._clock.now_s() - self._failed_at_s
        if since_failure_s > SUSPICION_S:
            self._avoided_address = ''
        return dataclasses.replace(
            self._follower,
            avoided_address=self._avoided_address,
            contact_at_s=contact_at_s,
        )

    def _deliver(
        self, changes_by_prefix: dict[str, store_ports.Changes]
    ) -> None:
        for prefix, changes in changes_by_prefix.items():
            self._inboxes_by_prefix[prefix].receive(changes)
        if changes_by_prefix:
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wakes all waiters; later waits need a new event."""
        self._source_event.set()
        self._source_event = asyncio.Event()

    async def close(self) -> None:
        """Stops following and closes the connections."""
        self.stop_following()
        await self._store.close()
