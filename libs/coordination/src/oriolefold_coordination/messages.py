"""Messages of the lease protocol between daemons."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Knowledge:
    """State of a home that must survive its process.

    The home replicates it to its guards with each heartbeat. It is in force
    once a guard has accepted it. A takeover or a restart resumes from the
    newest version that the guards have.

    Attributes:
        version: Incremented with each change by the home.
        lost_epochs_by_id: Instances marked as lost, each with the highest
            epoch of the rows that this applies to.
        map_epochs_by_service_id: Epochs of the shard maps acted on; shards may
            have been released under them.
        acted_epochs_by_home_id: Homes that this home acts for, each with the
            guard epoch in which it was taken over.
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
        """Returns the newer of two versions of one home's knowledge."""
        return other if other.version > self.version else self

    def with_facts_of(self, other: 'Knowledge') -> 'Knowledge':
        """Returns this knowledge merged with the facts of another home.

        The facts are lost instances and map epochs. Their epochs only grow, so
        the higher one is kept. The homes that the other one acts for are not
        merged.
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
    """Request from a home to one of its guards to renew its lease.

    Attributes:
        home_id: The home.
        incarnation: Identity of its process.
        guard_epoch: Epoch of the guard that it acts under.
        standby_id: VM that may take over.
        witness_id: VM that votes on a takeover.
        established: Whether the home holds the lease or has itself begun this
            epoch, so that a restarted guard may accept it.
        active: Whether it sends, so that a takeover is useful.
        ended: Whether it has stopped permanently, so a takeover need not wait.
        sequence: Incremented with each heartbeat of the incarnation.
        nonce: Last nonce received from the guard, or empty.
        knowledge: State that the guards have to keep.
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
    """Decision of a guard on a heartbeat.

    Attributes:
        ACCEPTED: The lease is renewed.
        WAIT: An earlier promise may still be in force; retry later.
        NO_MEMORY: The guard has no state of the epoch, such as after a restart.
        TAKEN_OVER: The home can no longer renew its lease in this epoch.
        OUTDATED: The guard has accepted a newer epoch, process or heartbeat.
    """

    ACCEPTED = 'accepted'
    WAIT = 'wait'
    NO_MEMORY = 'no-memory'
    TAKEN_OVER = 'taken-over'
    OUTDATED = 'outdated'


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """Reply of a guard to a heartbeat.

    Attributes:
        verdict: Whether the lease is renewed, and if not, why.
        nonce: Nonce that the next heartbeat to a restarted guard must quote,
            or empty.
        active: Whether the guard knows that the home was active in this epoch.
        knowledge: State that the guard keeps of the home.
    """

    verdict: Verdict
    nonce: str = ''
    active: bool = False
    knowledge: Knowledge = Knowledge()


@dataclasses.dataclass(frozen=True, slots=True)
class VoteRequest:
    """Request from a standby to the witness to agree to a takeover.

    Attributes:
        home_id: Home to take over.
        guard_epoch: Epoch of its guard.
        standby_id: The standby.
    """

    home_id: str
    guard_epoch: int
    standby_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class VoteReply:
    """Reply of the witness to a vote request.

    Attributes:
        granted: Whether the standby may take over.
        knowledge: State that the witness keeps of the home.
    """

    granted: bool
    knowledge: Knowledge = Knowledge()


@dataclasses.dataclass(frozen=True, slots=True)
class HandBackRequest:
    """Request from a home in a new epoch for its rows of an old epoch.

    Attributes:
        home_id: The home.
        guard_epoch: The old epoch.
    """

    home_id: str
    guard_epoch: int


class HandBackStatus(enum.Enum):
    """Whether a VM holds the rows of another home.

    Attributes:
        HANDED_BACK: It held them and no longer sends for them.
        DRAINING: It may still hold them; ask again.
        NOT_HELD: It does not hold them.
        NO_MEMORY: It has lost its state and cannot tell.
    """

    HANDED_BACK = 'handed-back'
    DRAINING = 'draining'
    NOT_HELD = 'not-held'
    NO_MEMORY = 'no-memory'


@dataclasses.dataclass(frozen=True, slots=True)
class HandBackReply:
    """Reply to a hand-back request.

    Attributes:
        custody: State of the rows at the VM that answers.
        knowledge: Knowledge gained while it held them.
    """

    custody: HandBackStatus
    knowledge: Knowledge = Knowledge()


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Request from a new home for shards that a prior home may still send for.

    Attributes:
        service_id: Service of the shards.
        epoch: Epoch of the map that names the new home.
        prior_home_id: The prior home.
        shards: The shards.
    """

    service_id: str
    epoch: int
    prior_home_id: str
    shards: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseReply:
    """Reply to a release request.

    Attributes:
        authoritative: Whether the VM holds the lease of the prior home and so
            can answer for it.
        released: Shards that the prior home no longer sends for.
    """

    authoritative: bool
    released: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadRequest:
    """Request from a planner to a home for the load of its shards."""

    service_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReply:
    """Reply to a load request.

    Attributes:
        rates_by_shard: Requests per second of the shards that the home sends
            for.
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
