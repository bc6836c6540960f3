"""Messages between the ownership tasks."""

import dataclasses

from oriolefold_backend import ports
from oriolefold_coordination import messages, protocol, shardmap
from oriolefold_core import data, tasks


@dataclasses.dataclass(slots=True, eq=False)
class SendKeyed(tasks.Ask):
    """Asks the shard manager to send a request to the owner of its shard.

    The reply is an `Answer`.
    """

    request: data.Request
    shard: int


@dataclasses.dataclass(slots=True, eq=False)
class RefuseWaiting(tasks.Ask):
    """Refuses the requests that wait for an owner as not run, before a stop.

    The reply is None.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseUpdated:
    """The send lease of this VM was renewed, or what it covers has changed."""

    lease: protocol.SendLease


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceLost:
    """A server is lost; map rows of `epoch` and earlier must not use it."""

    instance_id: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class MapAdopted:
    """The shard manager has started to use the shard map with this epoch."""

    service_id: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestGrant:
    """Tells the granter to grant a shard and to keep renewing the grant."""

    instance_id: str
    service_id: str
    fence: ports.Fence


@dataclasses.dataclass(frozen=True, slots=True)
class EndGrant:
    """Tells the granter to revoke a grant or to wait until it expires."""

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
    """A grant was revoked, or its lease at the server has expired."""

    instance_id: str
    service_id: str
    shard: int


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceUnresponsive:
    """A server has not accepted a grant batch within the time limit."""

    instance_id: str


@dataclasses.dataclass(slots=True, eq=False)
class ReleaseShards(tasks.Ask):
    """Asks the shard manager to release shards that now have another home.

    The reply is a `ReleaseReply`.
    """

    request: messages.ReleaseRequest


@dataclasses.dataclass(slots=True, eq=False)
class CheckHomeDrained(tasks.Ask):
    """Asks the shard manager whether the sends for a home have ended.

    The reply is true once no request is in flight and no grant is held.
    """

    home_id: str


@dataclasses.dataclass(slots=True, eq=False)
class CheckAllDrained(tasks.Ask):
    """Asks the shard manager whether all sends have ended.

    The reply is true once no request is in flight and no grant is held.
    """


@dataclasses.dataclass(slots=True, eq=False)
class StepDown(tasks.Ask):
    """Asks the lease manager to relinquish the lease before a shutdown.

    The reply is None. It comes after the last request has ended and the guards
    were notified.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ShardsAcquired:
    """Every prior home has released these shards.

    Attributes:
        service_id: Service of the shards.
        epochs_by_shard: Epoch of the map row under which each was acquired.
    """

    service_id: str
    epochs_by_shard: dict[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class GuardRecorded:
    """The guard record of this VM was read from or written to the store.

    Attributes:
        guard: The recorded guard.
        created_here: Whether this process created the first record of the VM.
    """

    guard: shardmap.Guard
    created_here: bool


@dataclasses.dataclass(slots=True, eq=False)
class RecordGuard(tasks.Ask):
    """Asks for a new guard record; the reply is the `Guard` as stored.

    Attributes:
        epoch_before: The new record gets a higher epoch than this one.
    """

    epoch_before: int


@dataclasses.dataclass(slots=True, eq=False)
class HandleLeaseMessage(tasks.Ask):
    """Asks the lease manager to handle a lease protocol message of a peer.

    The reply is the message that answers it.

    Attributes:
        body: Message of the lease protocol.
    """

    body: object


@dataclasses.dataclass(slots=True, eq=False)
class DescribeLoads(tasks.Ask):
    """Asks the shard manager for shard loads; the reply is a `LoadReply`."""

    service_id: str


@dataclasses.dataclass(slots=True, eq=False)
class DescribeLease(tasks.Ask):
    """Asks for the state of the lease; the reply is a JSON-compatible dict."""


@dataclasses.dataclass(frozen=True, slots=True)
class MapStored:
    """A version of a shard map was read from or written to the store.

    Attributes:
        version: Version of the stored object.
        shard_map: The map in that version.
    """

    version: int
    shard_map: shardmap.ShardMap


@dataclasses.dataclass(frozen=True, slots=True)
class VmListUpdated:
    """The external list of VMs and instances was read.

    Attributes:
        live_ids: VMs and instances in the list, including leaving ones.
        leaving_ids: VMs and instances that are about to stop.
    """

    live_ids: frozenset[str]
    leaving_ids: frozenset[str]
