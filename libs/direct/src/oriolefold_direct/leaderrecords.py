"""The leadership record of one service, as one VM reads and writes it."""

import asyncio
import dataclasses

from oriolefold_coordination import leaderelection
from oriolefold_core import errors
from oriolefold_direct import documents
from oriolefold_store import ports as store_ports
from oriolefold_store import updates

# Stands for a record that a restore of the store has removed.
_REMOVED = leaderelection.LeaderRecord('', '', 0)


@dataclasses.dataclass(frozen=True, slots=True)
class Vacancy:
    """A record that this VM may replace with its own.

    Attributes:
        document: The stored document.
        previous: Its record, or None before the first election.
        all_leases_ended: Whether no lease of an earlier leader can be left.
    """

    document: updates.Document
    previous: leaderelection.LeaderRecord | None
    all_leases_ended: bool = False


class LeaderRecords:
    """Reads and writes the leadership record of one service.

    Attributes:
        lock: Held while the record is written.
        leader_address: Address of the leader's status server, or empty.
        feed_address: Address of the change feed to follow, or empty.
        beat: Heartbeat counter of the last record that this VM has written.
    """

    def __init__(
        self,
        store: store_ports.Store,
        service_id: str,
        own: leaderelection.LeaderRecord,
        takeover_delay_s: float,
    ):
        """Initializes the records.

        Args:
            store: The store.
            service_id: The service.
            own: Record of this VM as the leader; its heartbeat counter and
                times are not used.
            takeover_delay_s: Extra delay before this VM takes over leadership,
                which gives precedence to other VMs.
        """
        self.lock = asyncio.Lock()
        self.leader_address = ''
        self.feed_address = ''
        self.beat = 0
        self._store = store
        self._name = documents.LEADER_PREFIX + service_id
        self._own = own
        self._document: updates.Document | None = None
        self._leader_monitor = leaderelection.LeaderMonitor(
            own.vm_id, own.incarnation, takeover_delay_s
        )
        self._has_seen_record = False

    @property
    def version(self) -> int:
        """Version of the record that this VM has written last."""
        return self._document.version

    @property
    def era(self) -> int:
        """Era of the store in which this VM has written its last record."""
        return store_ports.era_of(self._document.version)

    def own_record(
        self, beat: int, inherited_s: float = 0.0
    ) -> leaderelection.LeaderRecord:
        """Returns a record of this VM as the leader."""
        return dataclasses.replace(
            self._own, beat=beat, inherited_s=inherited_s
        )

    async def find_vacancy(
        self, now_s: float, suspected: bool
    ) -> Vacancy | None:
        """Reads the record; returns it if this VM may replace it.

        Args:
            now_s: Current time.
            suspected: Whether the leader does not answer this VM.

        Raises:
            ConfigurationError: If the record cannot be decoded.
        """
        try:
            stored = await self._store.read_stale(self._name)
        except errors.ObjectNotFoundError:
            document = updates.Document(
                self._name, store_ports.NEW_OBJECT, (), b''
            )
            if not self._has_seen_record or not self._store.era:
                return Vacancy(document, None)
            record = _REMOVED
            version = self._store.era * store_ports.VERSIONS_PER_ERA
        else:
            document = updates.to_document(stored)
            record = documents.decode_leader_record(document.body, self._name)
            version = document.version
        is_vacant = self._leader_monitor.observe(
            version, record, now_s, suspected, store_ports.era_of(version)
        )
        is_copy = self._leader_monitor.is_copy(record)
        if not is_copy or not self._has_seen_record:
            # The leader before a restore is known better than by the copy.
            self._has_seen_record = True
            self.leader_address = record.address if record.vm_id else ''
            self.feed_address = ''
            if record.incarnation != self._own.incarnation:
                self.feed_address = self.leader_address
        return Vacancy(document, record, is_copy) if is_vacant else None

    async def claim(self, vacancy: Vacancy, inherited_s: float) -> None:
        """Replaces a record with that of this VM as the leader.

        Raises:
            VersionConflictError: If another VM came first.
        """
        previous_beat = vacancy.previous.beat if vacancy.previous else 0
        era = self._store.era
        if vacancy.document.version != store_ports.NEW_OBJECT:
            era = store_ports.era_of(vacancy.document.version)
        self.beat = leaderelection.next_beat(previous_beat, era)
        self._document = await self._replace(
            vacancy.document, self.own_record(self.beat, inherited_s)
        )
        self._has_seen_record = True

    async def renew(self, inherited_s: float) -> None:
        """Writes the next heartbeat.

        Raises:
            VersionConflictError: If the stored record is not the last one that
                this VM has written.
        """
        async with self.lock:
            # A write whose answer was lost may have taken effect in a later
            # era than that of its record.
            beat = leaderelection.next_beat(self.beat, self.era)
            self._document = await self._replace(
                self._document, self.own_record(beat, inherited_s)
            )
            self.beat = beat

    async def renew_in_restored_store(self, inherited_s: float) -> bool:
        """Writes the next heartbeat after the store has been restored.

        Returns:
            Whether this VM is still the leader: the stored record is an older
            copy, not one of a later leader.

        Raises:
            VersionConflictError: If another VM came first.
        """
        async with self.lock:
            document = await updates.read(self._store, self._name)
            era, record = self._store.era, _REMOVED
            if document.version != store_ports.NEW_OBJECT:
                era = store_ports.era_of(document.version)
                record = documents.decode_leader_record(
                    document.body, self._name
                )
            is_own = record.incarnation == self._own.incarnation
            if era <= self.era or (record.beat > self.beat and not is_own):
                return False
            beat = leaderelection.next_beat(max(self.beat, record.beat), era)
            self._document = await self._replace(
                document, self.own_record(beat, inherited_s)
            )
            self.beat = beat
            return True

    async def resign(self, inherited_s: float) -> None:
        """Replaces the record that this VM has written with a resignation.

        The caller holds the lock.
        """
        record = self.own_record(self.beat + 1, inherited_s)
        record = dataclasses.replace(record, vm_id='', address='')
        await updates.replace(
            self._store,
            self._document,
            documents.encode_leader_record(record),
        )

    async def _replace(
        self, before: updates.Document, record: leaderelection.LeaderRecord
    ) -> updates.Document:
        return await updates.replace(
            self._store,
            before,
            documents.encode_leader_record(record),
            accept_later=False,
        )
