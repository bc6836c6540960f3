"""Change feed that distributes stored objects from the leader to other VMs.

Every change completes every watch on the store, and each store call is billed.
So only the leader of a service watches the store; the other VMs long-poll the
relay of their region, which polls the leader for them. A feed ends its polls
when the leader has been without contact with the store for a while. A relay
that has lost its leader watches the store until it follows the next one.
"""

import asyncio
import collections
import contextlib

from oriolefold_core import clock
from oriolefold_direct import messages, relaying
from oriolefold_store import ports as store_ports

POLL_S = 1.0  # Longest time that a poll waits for changes.
FRESHNESS_CHECK_S = 0.1  # Interval of freshness checks during a poll.
MAX_CONTACT_AGE_S = 1.4  # A feed with an older store contact is stale.
# Advance of the store contact time that is sent even without changes.
MIN_CONTACT_ADVANCE_S = 0.4
MAX_LOG_ENTRIES = 256  # Changes kept for each prefix.


class ChangeLog:
    """Current objects and recent changes of one prefix."""

    def __init__(self):
        self.revision = 0
        self._objects_by_name: dict[str, store_ports.StoredObject] = {}
        self._log: collections.deque[tuple[int, store_ports.Changes]] = (
            collections.deque(maxlen=MAX_LOG_ENTRIES)
        )
        self._oldest_revision = 0

    @property
    def era(self) -> int:
        """Era of the store in which it had these objects."""
        return store_ports.era_of(self.revision)

    def append(self, changes: store_ports.Changes) -> None:
        """Appends the result of a watch, unless it is of an earlier era."""
        if store_ports.era_of(changes.revision) < self.era:
            return
        if changes.complete:
            self._objects_by_name = {o.name: o for o in changes.objects}
            self._log.clear()
            self._oldest_revision = self.revision = changes.revision
            return
        if changes.objects or changes.removed_names:
            for stored in changes.objects:
                self._objects_by_name[stored.name] = stored
            for name in changes.removed_names:
                self._objects_by_name.pop(name, None)
            if len(self._log) == MAX_LOG_ENTRIES:
                self._oldest_revision = self._log[0][1].revision
            self._log.append((self.revision, changes))
        self.revision = max(self.revision, changes.revision)

    def changes_since(self, revision: int) -> store_ports.Changes | None:
        """Returns the changes after a revision, or None if there are none.

        If the log does not reach back to the revision, as if that is of an
        earlier era, the result is the complete list of objects. A follower
        that is ahead of the log gets no changes.

        Args:
            revision: Latest revision that is known to the follower, or 0.
        """
        if not self.revision or (revision and revision >= self.revision):
            return None
        if revision < self._oldest_revision or not revision:
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


class ChangeFeed:
    """Changes that this VM serves to others while it is leader or relay."""

    def __init__(self, time: clock.Clock):
        self._clock = time
        self._logs_by_prefix: dict[str, ChangeLog] = {}
        self._update_event = asyncio.Event()
        self._contact_at_s = float('-inf')
        self._era = 0
        self._led_service_ids: set[str] = set()
        self._relays = relaying.Relays()
        self._relaying = False

    def append(self, prefix: str, changes: store_ports.Changes) -> None:
        """Appends the result of a watch of this VM."""
        log = self._logs_by_prefix.setdefault(prefix, ChangeLog())
        log.append(changes)
        self._era = max(self._era, log.era)
        if changes.objects or changes.removed_names or changes.complete:
            self._notify_waiters()

    def observe_era(self, era: int) -> None:
        """Records the era in which the store has answered this VM."""
        self._era = max(self._era, era)

    @property
    def contact_age_s(self) -> float:
        """Age of the store contact on which this VM's objects rest."""
        return self._clock.now_s() - self._contact_at_s

    def advance_contact(self, contact_at_s: float) -> None:
        """Records a contact with the store, by this VM or by the polled one.

        Args:
            contact_at_s: Time by this VM's clock at which the store knew of
                no change that is not known here. It is not later than when the
                store answered, whenever the answer arrived.
        """
        if contact_at_s > self._contact_at_s:
            self._contact_at_s = contact_at_s
            self._notify_waiters()

    @property
    def is_leading(self) -> bool:
        """Whether this VM leads a service."""
        return bool(self._led_service_ids)

    def start_leading(self, service_id: str) -> None:
        """Starts serving other VMs as leader of a service."""
        self._relaying = False
        self._led_service_ids.add(service_id)

    def stop_leading(self, service_id: str) -> None:
        """Records the end of the leadership of a service."""
        self._led_service_ids.discard(service_id)
        self._relays.clear()

    def renew_relaying(self, contact_at_s: float) -> None:
        """Starts or continues relaying the changes of a leader.

        Args:
            contact_at_s: Last contact of that leader with the store, by the
                clock of this VM.
        """
        self._relaying = True
        self.advance_contact(contact_at_s)

    def stop_relaying(self) -> None:
        """Stops relaying changes."""
        self._relaying = False
        self._notify_waiters()

    @property
    def is_source(self) -> bool:
        """Whether this VM serves its changes to others, as leader or relay."""
        return self.is_leading or self._relaying

    @property
    def needs_contact(self) -> bool:
        """Whether others rely on this feed and it is about to become stale."""
        if not self.is_source:
            return False
        return self.contact_age_s > MAX_CONTACT_AGE_S / 2

    @property
    def is_fresh(self) -> bool:
        """Whether other VMs may rely on this feed."""
        return self._has_contact and self._is_of_one_era

    @property
    def _has_contact(self) -> bool:
        if not self.is_source:
            return False
        return self.contact_age_s < MAX_CONTACT_AGE_S

    @property
    def _is_of_one_era(self) -> bool:
        """Whether all logs are of the era in which the store answers.

        After a restore of the store, other calls are answered before the
        watches have listed the objects again.
        """
        return all(
            log.era == self._era for log in self._logs_by_prefix.values()
        )

    async def changes(
        self, follower: messages.Follower, revisions_by_prefix: dict[str, int]
    ) -> messages.ChangesReply | None:
        """Waits for changes after the given revisions.

        Args:
            follower: The VM that polls this one.
            revisions_by_prefix: Latest revision that it has for each prefix.

        Returns:
            Changes by prefix (empty after a timeout) or the address of a relay,
            or None if this feed is not fresh.
        """
        begun_at_s = self._clock.now_s()
        ends_at_s = begun_at_s + POLL_S
        if follower.waits_for_contact:
            await self._wait_for_contact(ends_at_s)
        while self._has_contact:
            now_s = self._clock.now_s()
            if not self._is_of_one_era:
                if now_s >= ends_at_s:
                    return None
                await self._wait_for_update()
                continue
            if self.is_leading:
                address = self._relays.relay_for(follower, now_s)
                if address:
                    return messages.ChangesReply({}, relay_address=address)
            changes_by_prefix = self._newer_changes(revisions_by_prefix)
            # A relay serves others only while its contact time is recent, so a
            # later contact is sent even without changes.
            is_newer = (
                self._contact_at_s
                > follower.contact_at_s + MIN_CONTACT_ADVANCE_S
            )
            if changes_by_prefix or is_newer or now_s >= ends_at_s:
                return messages.ChangesReply(
                    changes_by_prefix,
                    now_s,
                    self._contact_at_s,
                    era=self._era,
                    held_s=now_s - begun_at_s if follower.reads_hold else 0.0,
                )
            await self._wait_for_update()
        return None

    async def _wait_for_contact(self, until_s: float) -> None:
        while (
            self.is_source
            and not self._has_contact
            and self._clock.now_s() < until_s
        ):
            await self._wait_for_update()

    async def _wait_for_update(self) -> None:
        """Waits until something changes or freshness is to be checked."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FRESHNESS_CHECK_S):
                await self._update_event.wait()

    def _newer_changes(
        self, revisions_by_prefix: dict[str, int]
    ) -> dict[str, store_ports.Changes]:
        changes_by_prefix = {}
        for prefix, revision in revisions_by_prefix.items():
            log = self._logs_by_prefix.get(prefix)
            changes = log.changes_since(revision) if log is not None else None
            if changes is not None:
                changes_by_prefix[prefix] = changes
        return changes_by_prefix

    def _notify_waiters(self) -> None:
        """Wakes all waiters; later waits need a new event."""
        self._update_event.set()
        self._update_event = asyncio.Event()
