"""Messages between the tasks of ownership."""

import dataclasses

from oriolefold_backend import ports
from oriolefold_coordination import messages, protocol, shardmap
from oriolefold_core import data, tasks


@dataclasses.dataclass(slots=True, eq=False)
class SendKeyed(tasks.Ask):
    """Asks the keeper to send to the owner of a shard.

    The reply is an `Answer`.
    """

    request: data.Request
    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class RightRenewed:
    """The right to send was renewed or changed."""

    right: protocol.Right


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLost:
    """A server is given up for the rows of maps up to an epoch."""

    instance_id: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MapActedOn:
    """The keeper acts on a map of this epoch."""

    service_id: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantWanted:
    """Asks the granter to grant a shard and to keep the grant alive."""

    instance_id: str
    service_id: str
    fence: ports.Fence


@dataclasses.dataclass(frozen=True, slots=True)
class GrantDropped:
    """Tells the granter to end a grant, by revoking it or by waiting."""

    instance_id: str
    service_id: str
    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class Granted:
    """A server has accepted a grant."""

    instance_id: str
    service_id: str
    fence: ports.Fence


@dataclasses.dataclass(frozen=True, slots=True)
class GrantEnded:
    """A grant was revoked, or its lease has lapsed at the server."""

    instance_id: str
    service_id: str
    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceQuiet:
    """A server has not answered grants for too long."""

    instance_id: str


@dataclasses.dataclass(slots=True, eq=False)
class ReleaseShards(tasks.Ask):
    """A peer asks for shards that now have another home.

    The reply is a `ReleaseReply`.
    """

    request: messages.ReleaseRequest


@dataclasses.dataclass(slots=True, eq=False)
class DrainHome(tasks.Ask):
    """Asks the keeper to end all sends for the rows of a home.

    The reply is whether nothing is under way any more.
    """

    home_id: str


@dataclasses.dataclass(slots=True, eq=False)
class DrainAll(tasks.Ask):
    """Asks the keeper to end all sends.

    The reply is whether nothing is under way any more.
    """


@dataclasses.dataclass(slots=True, eq=False)
class StepDown(tasks.Ask):
    """Asks the guardian to hand over what this VM holds, before a stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsAcquired:
    """All prior homes of some shards have released them."""

    service_id: str
    epochs_by_shard: dict[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class GuardRecorded:
    """The guard record of this VM was read from or written to the store.

    Attributes:
        guard: The guard.
        begun_here: Whether this process made the first record of the VM.
    """

    guard: shardmap.Guard
    begun_here: bool


@dataclasses.dataclass(slots=True, eq=False)
class RecordGuard(tasks.Ask):
    """Asks for a new guard record; the reply is the `Guard` as stored.

    Attributes:
        epoch_before: Epoch that the new record has to follow.
    """

    epoch_before: int


@dataclasses.dataclass(slots=True, eq=False)
class PeerCall(tasks.Ask):
    """A message of the lease protocol from a peer; the reply answers it."""

    body: object


@dataclasses.dataclass(slots=True, eq=False)
class DescribeLoads(tasks.Ask):
    """Asks the keeper for loads of shards; the reply is a `LoadReply`."""

    service_id: str


@dataclasses.dataclass(slots=True, eq=False)
class DescribeRight(tasks.Ask):
    """Asks the guardian for its state; the reply is a dict for JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class MapStored:
    """A shard map was found in the store.

    Attributes:
        version: Version of the stored object.
        shard_map: The map in it.
    """

    version: int
    shard_map: shardmap.ShardMap


@dataclasses.dataclass(frozen=True, slots=True)
class VmsKnown:
    """What the list of live and leaving VMs says.

    Attributes:
        live_ids: VMs and instances that live.
        leaving_ids: VMs and instances that are about to leave.
    """

    live_ids: frozenset[str]
    leaving_ids: frozenset[str]
