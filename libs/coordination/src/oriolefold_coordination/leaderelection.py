"""Leader election among the VMs, one leader per service.

The leader proves that it is alive by writing heartbeats to an object in the
store. Each one is a conditional update, so at most one VM can renew the
leadership. A VM that sees no new heartbeat for too long takes over.

The store may be restored from an older copy, which begins a new era. A record
from an earlier era is a copy: it proves nothing about who has led since. The
leader itself replaces it and goes on. If it is lost, other VMs wait until no
lease that it or an unknown successor has granted can be left.
"""

import dataclasses

from oriolefold_coordination import rangeleases

HEARTBEAT_S = 1.0  # Interval between heartbeats of the leader.
TAKEOVER_S = 2.6  # Time without a heartbeat after which others take over.
SUSPECTED_TAKEOVER_S = 1.5  # The same if it does not answer this VM either.
# Heartbeats of each era are counted from a multiple of it, so that a record
# tells in which era it was written. One can never be reached from the last.
BEATS_PER_ERA = 2**40


@dataclasses.dataclass(frozen=True, slots=True)
class LeaderRecord:
    """Leadership record in the store.

    Attributes:
        vm_id: The leader, or an empty string after a resignation.
        incarnation: Random identifier of its process.
        beat: Heartbeat counter; see `next_beat`.
        address: Where the leader receives load reports, as `host:port`.
        inherited_s: How long leases granted by earlier leaders may last,
            in seconds from this heartbeat.
    """

    vm_id: str
    incarnation: str
    beat: int
    address: str = ''
    inherited_s: float = 0.0

    @property
    def era(self) -> int:
        """Era of the store in which the record was written, if known."""
        return self.beat // BEATS_PER_ERA


def next_beat(beat: int, era: int) -> int:
    """Returns the heartbeat counter of the next record.

    Args:
        beat: Counter of the last one, or 0.
        era: Era of the store in which the next one is written.
    """
    return max(beat, era * BEATS_PER_ERA) + 1


@dataclasses.dataclass(frozen=True, slots=True)
class TermsEnded:
    """Statement of a process about the terms in which it led.

    A term begins with a version of the leadership record. The process does not
    act, and will not act, in any term that began before `version`, and none of
    the grants that it sent in them is in flight.

    Attributes:
        vm_id: The VM of the process.
        incarnation: Random identifier of the process.
        version: Version of the leadership record, as named by the asker.
    """

    vm_id: str
    incarnation: str
    version: int


def has_ended(
    previous: LeaderRecord, version: int, statement: TermsEnded
) -> bool:
    """Whether a statement proves that the previous leader's terms have ended.

    Args:
        previous: The record of the previous leader.
        version: Version of the record that replaced it.
        statement: Statement made after that.
    """
    if statement.vm_id != previous.vm_id:
        return False
    if statement.incarnation != previous.incarnation:
        # A VM runs one process at a time.
        return True
    return statement.version >= version


class LeaderMonitor:
    """Failure detector that a follower runs on the leadership record."""

    def __init__(
        self, vm_id: str, incarnation: str, takeover_delay_s: float = 0.0
    ):
        """Initializes the detector.

        Args:
            vm_id: This VM.
            incarnation: Random identifier of its process.
            takeover_delay_s: Extra delay before this VM takes over leadership,
                which gives precedence to other VMs.
        """
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._takeover_delay_s = takeover_delay_s
        self._version = -1
        self._seen_at_s = 0.0
        self._era = -1
        self._first_version_in_era = -1

    def observe(
        self,
        version: int,
        record: LeaderRecord,
        now_s: float,
        suspected: bool = False,
        era: int = 0,
    ) -> bool:
        """Evaluates one read of the leadership record.

        Args:
            version: Version of the object.
            record: Its content.
            now_s: Current time.
            suspected: Whether the leader does not answer this VM either.
            era: Era of the store in which the record was read.

        Returns:
            Whether this VM may take over.
        """
        if era > self._era:
            self._era = era
            self._first_version_in_era = version
        if version > self._version:
            self._version = version
            self._seen_at_s = now_s
        elif version < self._version:
            # A stale read says nothing about the current leader.
            return False
        unchanged_s = now_s - self._seen_at_s
        if self.is_copy(record):
            # No leader before the restore acts or has leases any more.
            limit_s = rangeleases.inherited_until_s(0.0, True, 0.0)
            return unchanged_s > limit_s + self._takeover_delay_s
        if not record.vm_id:
            return unchanged_s >= self._takeover_delay_s
        if (
            record.vm_id == self._vm_id
            and record.incarnation != self._incarnation
        ):
            # The leader was an earlier process of this VM.
            return True
        limit_s = SUSPECTED_TAKEOVER_S if suspected else TAKEOVER_S
        return unchanged_s > limit_s + self._takeover_delay_s

    def is_copy(self, record: LeaderRecord) -> bool:
        """Whether the observed record may be from before a restore.

        One that has changed since it was first seen in this era is not.
        """
        return (
            record.era < self._era
            and self._version == self._first_version_in_era
        )
