"""Messages of the connection protocol, and messages to the peer tasks."""

import dataclasses
from typing import Any

from oriolefold_core import data, tasks

PROTOCOL_VERSION = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """First message on a connection, sent by both sides.

    Attributes:
        vm_id: VM of the sender.
        incarnation: Identity of the process, new at each start.
        protocol_version: Version of this protocol.
    """

    vm_id: str
    incarnation: str
    protocol_version: int = PROTOCOL_VERSION


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks for a `Pong`, so that a dead connection is detected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Pong:
    """Answers a `Ping`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller no longer waits for the call with the same number."""


@dataclasses.dataclass(frozen=True, slots=True)
class Closing:
    """Last message of the listening side, which reads no more calls.

    All calls that it has read have their replies before this message, so the
    others were not run.
    """


CONNECTION_MESSAGES = (Hello, Ping, Pong, Cancel, Closing)


@dataclasses.dataclass(slots=True, eq=False)
class CallPeer(tasks.Ask):
    """Sends a message to a VM; the reply is the message that answers it.

    Attributes:
        vm_id: VM to call.
        body: Message of a registered class.
    """

    vm_id: str
    body: Any


@dataclasses.dataclass(slots=True, eq=False)
class DrainCalls(tasks.Ask):
    """Asks the peer server to end its calls before it is stopped.

    New calls are refused as not run. The reply is None; it comes when all
    calls have ended and the peers have taken their replies and closed their
    connections.
    """


@dataclasses.dataclass(slots=True, eq=False)
class EndCalls(tasks.Ask):
    """Tells the peer server to answer all calls in progress now.

    They get an unknown outcome; new calls are refused as not run. The reply is
    None.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class PeersUpdated:
    """The set of VMs that can be called has changed.

    Attributes:
        addresses_by_vm_id: Peer address of each VM.
    """

    addresses_by_vm_id: dict[str, data.Address]
