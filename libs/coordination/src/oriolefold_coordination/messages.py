"""Messages of the lease protocol between daemons."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """What must outlive the process of a home.

    The guards keep it with the lease; it is in force once a guard has accepted
    it. A takeover or a restart takes the newest version that the guards have.

    Attributes:
        version: Rises with each change that the home makes.
        lost_epochs_by_id: Instances that were given up, each with the highest
            epoch of the rows that this counts for.
        map_epochs_by_service_id: Epochs of the shard maps acted on; shards may
            have been released under them.
        acted_epochs_by_home_id: Homes that are acted for, each with the epoch
            of the guard under which it was taken over.
    """

    version: int = 0
    lost_epochs_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    map_epochs_by_service_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    acted_epochs_by_home_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )

    def latest(self, other: 'Knowledge') -> 'Knowledge':
        """Returns the newer of two versions of what one home knows."""
        return other if other.version > self.version else self

    def with_facts_of(self, other: 'Knowledge') -> 'Knowledge':
        """Returns this with what another home learned about the world.

        Lost instances and map epochs are facts that only grow; whom the other
        one acts for is not taken along.
        """
        return dataclasses.replace(
            self,
            lost_epochs_by_id=_highest(
                self.lost_epochs_by_id, other.lost_epochs_by_id
            ),
            map_epochs_by_service_id=_highest(
                self.map_epochs_by_service_id, other.map_epochs_by_service_id
            ),
        )


def _highest(first: dict[str, int], second: dict[str, int]) -> dict[str, int]:
    merged = dict(first)
    for name, epoch in second.items():
        merged[name] = max(epoch, merged.get(name, 0))
    return merged


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A home asks one of its guards to prolong its lease.

    Attributes:
        home_id: The home.
        incarnation: Identity of its process.
        guard_epoch: Epoch of the guard that it acts under.
        standby_id: VM that may take over.
        witness_id: VM that votes on that.
        established: Whether the home already holds the lease, or has itself
            begun this epoch, so that a guard without memory may believe it.
        active: Whether it sends, so that a takeover would make sense.
        ended: Whether it has stopped for good, so a takeover need not wait.
        sequence: Rises with each heartbeat of the incarnation.
        nonce: What the guard gave out last, or empty.
        knowledge: What the guards have to keep.
    """

    home_id: str
    incarnation: str
    guard_epoch: int
    standby_id: str
    witness_id: str
    established: bool
    active: bool
    ended: bool
    sequence: int
    nonce: str
    knowledge: Knowledge = Knowledge()


class Verdict(enum.Enum):
    """What a guard says to a heartbeat."""

    ACCEPTED = 'accepted'
    WAIT = 'wait'
    NO_MEMORY = 'no-memory'
    TAKEN_OVER = 'taken-over'
    OUTDATED = 'outdated'


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Answer of a guard to a heartbeat.

    Attributes:
        verdict: Whether the lease is prolonged, and if not, why.
        nonce: What a guard without memory wants to see quoted, or empty.
        active: Whether the home was active in this epoch, as the guard knows.
        knowledge: What the guard keeps of the home.
    """

    verdict: Verdict
    nonce: str = ''
    active: bool = False
    knowledge: Knowledge = Knowledge()


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """A standby asks the witness to agree to a takeover."""

    home_id: str
    guard_epoch: int
    standby_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Answer of the witness.

    Attributes:
        granted: Whether the standby may take over.
        knowledge: What the witness keeps of the home.
    """

    granted: bool
    knowledge: Knowledge = Knowledge()


@dataclasses.dataclass(frozen=True, slots=True)
class HandBackRequest:
    """A home that has begun a new epoch asks who holds its rows of an old one.

    Attributes:
        home_id: The home.
        guard_epoch: The old epoch.
    """

    home_id: str
    guard_epoch: int


class Custody(enum.Enum):
    """What a VM says about the rows of a home."""

    HANDED_BACK = 'handed-back'
    DRAINING = 'draining'
    NOT_HELD = 'not-held'
    NO_MEMORY = 'no-memory'


@dataclasses.dataclass(frozen=True, slots=True)
class HandBackReply:
    """Answer to a request to hand back.

    Attributes:
        custody: What became of the rows.
        knowledge: What was learned while they were held.
    """

    custody: Custody
    knowledge: Knowledge = Knowledge()


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """A new home asks for shards that a prior home may still send for.

    Attributes:
        service_id: Service of the shards.
        epoch: Epoch of the map that names the new home.
        prior_home_id: Home whose right is in question.
        shards: The shards.
    """

    service_id: str
    epoch: int
    prior_home_id: str
    shards: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseReply:
    """Answer to a request to release.

    Attributes:
        authoritative: Whether the VM holds the right of the prior home, and so
            can speak for it.
        released: Shards that are sent for no more.
    """

    authoritative: bool
    released: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """A planner asks a home for the load of its shards."""

    service_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReply:
    """Answer to a request for loads.

    Attributes:
        rates_by_shard: Requests a second of the shards that the home sends for.
    """

    rates_by_shard: dict[int, float]


WIRE_MESSAGES = (
    LoadRequest,
    LoadReply,
    Heartbeat,
    HeartbeatReply,
    VoteRequest,
    VoteReply,
    HandBackRequest,
    HandBackReply,
    ReleaseRequest,
    ReleaseReply,
)
