"""Store whose changes come from another VM's feed.

A VM follows the leader, or the relay that the leader names. It falls back to
the store when the polled VM does not answer, or its feed is not fresh. Every
call to the store is billed, so it does that only once a cheap call has shown
that the store answers this VM, and not while a leader is about to serve it.
"""

import asyncio
import collections
import contextlib
import dataclasses

from oriolefold_core import clock, errors
from oriolefold_direct import (
    changefeed,
    documents,
    feedpolling,
    messages,
    ports,
)
from oriolefold_store import ports as store_ports
from oriolefold_telemetry import logs

# How long a VM that has just listed the objects waits for a leader to follow
# before it watches the store.
START_HOLD_S = 1.5
# The same after an outage of the store, for a leader that it polls already.
RETURN_HOLD_S = 0.8
# Age of the store contact on which the known objects rest from which this VM
# asks the store itself, whatever its feed is waiting for. Limits of the links
# of a feed add up, so only this one bounds what a VM acts on.
DEFAULT_MAX_CONTACT_AGE_S = 1.6
# By how much a relay asks the store before its followers have to.
RELAY_LEAD_S = 0.3
# Shortest wait of a watch on which the freshness of the own feed depends.
CONTACT_WATCH_S = 0.1
# Age of the contact at which a relay has the store answer its watches. It is
# less than the age from which other VMs do not rely on its feed.
CONTACT_RENEWAL_S = 1.2
_FAILURES = (
    errors.StoreUnavailableError,
    errors.StoreAnswerLostError,
    errors.StoreBudgetError,
)


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
        max_contact_age_s: float = DEFAULT_MAX_CONTACT_AGE_S,
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
            max_contact_age_s: Age of the store contact on which the known
                objects rest from which this VM asks the store itself.
        """
        self._store_only_prefixes = store_only_prefixes
        self._max_contact_age_s = max_contact_age_s
        self._store = store
        self._feed = feed
        self._clock = time
        self._inboxes_by_prefix: dict[str, _Inbox] = {}
        self._sources_by_prefix: dict[str, str] = {}
        self._source_event = asyncio.Event()
        self._poller = feedpolling.FeedPoller(
            peers,
            feed,
            time,
            follower,
            self._revisions,
            self._receive,
            self._notify_waiters,
        )
        self._hold_until_s: float | None = None
        self._return_hold_until_s = float('-inf')
        self._failing_since_s: float | None = None
        self._probe: asyncio.Task | None = None

    @property
    def is_following(self) -> bool:
        """Whether another VM's feed serves the watches."""
        return self._poller.is_fresh and self._contact_left_s > 0

    @property
    def _contact_left_s(self) -> float:
        """Time until the known objects rest on too old a store contact."""
        limit_s = self._max_contact_age_s
        if self._feed.is_source:
            # Others rely on this VM, so it renews its contact before they do.
            limit_s = min(limit_s - RELAY_LEAD_S, changefeed.MAX_CONTACT_AGE_S)
        return limit_s - self._feed.contact_age_s

    def is_fed(self, prefix: str) -> bool:
        """Returns whether watches are answered without calls to the store."""
        return self.is_following and prefix not in self._store_only_prefixes

    @property
    def is_waiting_for_leader(self) -> bool:
        """Whether the watches wait for a leader to follow."""
        return not self._poller.is_attached and self._hold_left_s > 0

    @property
    def _hold_left_s(self) -> float:
        """How long the watches may still wait for a leader's feed."""
        now_s = self._clock.now_s()
        hold_s = min((self._hold_until_s or 0.0) - now_s, self._contact_left_s)
        # After an outage the objects are too old anyway, and calls of all VMs
        # at once would delay the store.
        return max(hold_s, self._return_hold_until_s - now_s)

    @property
    def is_leader_suspected(self) -> bool:
        """Whether polling the leader has recently failed."""
        return self._poller.is_leader_suspected

    def expect_leader(self) -> None:
        """Lets the watches wait for a leader, whose election begins now."""
        if not self._poller.is_attached and not self._feed.is_leading:
            self._hold_until_s = self._clock.now_s() + START_HOLD_S

    def follow(self, address: str) -> None:
        """Serves the watches from the feed of the VM at an address.

        A VM that leads a service watches the store itself: its followers rely
        on that, among them perhaps the VM at the address.
        """
        if self._feed.is_leading:
            return
        if not all(i.revision for i in self._inboxes_by_prefix.values()):
            # The initial lists are read from the store.
            return
        self._poller.attach(address)

    def stop_following(self) -> None:
        """Serves the watches from the underlying store."""
        self._hold_until_s = self._return_hold_until_s = self._clock.now_s()
        self._poller.detach()
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
        except _FAILURES:
            if self._failing_since_s is None:
                self._failing_since_s = self._clock.now_s()
            raise
        except errors.StoreError:
            self._note_answer()
            raise
        else:
            self._note_answer()
        finally:
            self._feed.observe_era(self._store.era)

    def _note_answer(self) -> None:
        """Ends an outage; a VM that was not in one must not wait for a feed."""
        if self._failing_since_s is None:
            return
        now_s = self._clock.now_s()
        outage_s = now_s - self._failing_since_s
        self._failing_since_s = None
        if outage_s >= RETURN_HOLD_S and self._poller.is_attached:
            self._return_hold_until_s = now_s + RETURN_HOLD_S

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
        if after_revision:
            await self._wait_for_feed()
            if not self.is_following and self._poller.is_attached:
                await self._check_store()
        if after_revision and self.is_following:
            self._note_source(prefix, 'feed')
            changes = await self._watch_feed(inbox, after_revision)
        else:
            with self._observing_era():
                changes = await self._watch_store(
                    prefix, after_revision, timeout_s
                )
            if changes.complete:
                inbox.replace(changes)
                if self._hold_until_s is None:
                    self._hold_until_s = self._clock.now_s() + START_HOLD_S
        inbox.revision = max(inbox.revision, changes.revision)
        self._feed.append(prefix, changes)
        return changes

    async def _wait_for_feed(self) -> None:
        """Waits while a leader is about to serve the watches."""
        while not self.is_following and not self._feed.is_leading:
            left_s = self._hold_left_s
            if left_s <= 0 or self._feed.needs_contact:
                return
            await self._wait_for_source_change(left_s)

    async def _wait_for_source_change(self, limit_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._source_event.wait()

    async def _check_store(self) -> None:
        """Checks by a cheap call that the store answers, once for all watches.

        Raises:
            StoreError: If it does not.
        """
        if self._probe is None or self._probe.done():
            self._probe = asyncio.create_task(
                self.read_stale(documents.PROBE_NAME)
            )
            # All that waited for it may have been cancelled.
            self._probe.add_done_callback(
                lambda probe: probe.cancelled() or probe.exception()
            )
        with contextlib.suppress(errors.ObjectNotFoundError):
            await asyncio.shield(self._probe)

    async def _watch_feed(
        self, inbox: _Inbox, revision: int
    ) -> store_ports.Changes:
        while not inbox.changes:
            if not self.is_following:
                # Changes that were received and not yet returned are read
                # again from the store.
                inbox.revision = revision
                return store_ports.Changes(revision, ())
            await self._wait_for_source_change(self._contact_left_s)
        return inbox.changes.popleft()

    def _note_source(self, prefix: str, source: str) -> None:
        """Logs a change of the source of a prefix.

        A watch that begins to wait for a feed counts, and one that the store
        has answered; the age is that of what was known before the answer.
        """
        if self._sources_by_prefix.get(prefix) == source:
            return
        self._sources_by_prefix[prefix] = source
        age_s = round(self._feed.contact_age_s, 3)
        logs.event(
            'watch.source', prefix=prefix, source=source, contact_age_s=age_s
        )

    async def _watch_store(
        self, prefix: str, revision: int, timeout_s: float
    ) -> store_ports.Changes:
        if self._feed.is_source and not self._feed.is_leading:
            # A relay whose leader is lost has no heartbeats to be answered.
            left_s = CONTACT_RENEWAL_S - self._feed.contact_age_s
            timeout_s = min(timeout_s, max(CONTACT_WATCH_S, left_s))
        sent_at_s = self._clock.now_s()
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
            self._note_source(prefix, 'store')
            self._feed.advance_contact(sent_at_s + changes.waited_s)
            return changes
        finally:
            source_change.cancel()
            watch.cancel()

    def _revisions(self) -> dict[str, int]:
        return {
            prefix: inbox.revision
            for prefix, inbox in self._inboxes_by_prefix.items()
        }

    def _receive(
        self, reply: messages.ChangesReply, contact_at_s: float
    ) -> None:
        """Checks the era of a reply and delivers its changes.

        VMs of earlier versions tell no era, and would never see this one's
        revisions as older.

        Args:
            reply: The reply.
            contact_at_s: Its store contact, by this VM's clock.

        Raises:
            ProtocolError: If the store tells eras and the reply does not.
        """
        era = store_ports.era_of(max(self._revisions().values(), default=0))
        if not reply.era and era:
            raise errors.ProtocolError('the feed tells no era')
        self._feed.observe_era(reply.era)
        self._store.observe_era(reply.era)
        for prefix, changes in reply.changes_by_prefix.items():
            self._inboxes_by_prefix[prefix].receive(changes)
        was_following = self.is_following
        self._feed.advance_contact(contact_at_s)
        if reply.changes_by_prefix or self.is_following != was_following:
            self._notify_waiters()

    def _notify_waiters(self) -> None:
        """Wakes all waiters; later waits need a new event."""
        self._source_event.set()
        self._source_event = asyncio.Event()

    async def close(self) -> None:
        """Stops following and closes the connections."""
        self.stop_following()
        await self._store.close()
