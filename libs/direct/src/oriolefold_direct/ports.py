"""Interfaces to instances that check fencing tokens, and to peer VMs."""

import abc
import dataclasses
import enum
from collections.abc import Callable

from oriolefold_coordination import leaderelection, ranges
from oriolefold_core import data
from oriolefold_direct import messages
from oriolefold_routing import topology


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request as it is sent to an instance.

    Attributes:
        request_id: Identifier of the request in logs.
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: End-to-end headers from the caller.
        body: The complete body.
        carriers: Numbers of the connections that have carried it. The client
            adds to them and sends it over none of them again: an instance may
            repeat its answer to the earlier send there.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    carriers: set[int] = dataclasses.field(default_factory=set, compare=False)


class GrantResult(enum.Enum):
    """How an instance responded to a grant.

    Attributes:
        ACCEPTED: It holds the keys until the lease expires.
        STALE: It has seen a higher fencing token.
        REFUSED: It refused the grant for another reason.
        OTHER_INSTANCE: Another instance has the address.
        UNKNOWN: Nothing was sent, or no answer came back.
        BUSY: Nothing was sent; the permitted connections are in use.
        NO_CONNECTION: Nothing was sent; no permitted connection is open.
    """

    ACCEPTED = 'taken'
    STALE = 'stale'
    REFUSED = 'refused'
    OTHER_INSTANCE = 'other-instance'
    UNKNOWN = 'unknown'
    BUSY = 'busy'
    NO_CONNECTION = 'no-connection'


@dataclasses.dataclass(frozen=True, slots=True)
class GrantOutcome:
    """Outcome of a grant.

    Attributes:
        result: How the instance responded.
        newest_connection: Number of the newest connection when the grant was
            written, or None if nothing was written.
        in_transit_s: How long the grant may still be on its way, in seconds,
            since the answer may be one to an earlier call.
        leaving: Whether the instance announces that it is about to end.
    """

    result: GrantResult
    newest_connection: int | None = None
    in_transit_s: float = dataclasses.field(default=0.0, compare=False)
    leaving: bool = dataclasses.field(default=False, compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseResult:
    """Outcome of a release.

    Attributes:
        released: Whether the holder has released the keys.
        handover: State for the next owner, or an empty string.
        evidence: What it is concluded from, for the log.
    """

    released: bool
    handover: str = ''
    evidence: str = dataclasses.field(default='', compare=False)


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """Response of an instance to a health check.

    Attributes:
        warm_up_left_s: For how long it is still cold, in seconds.
    """

    warm_up_left_s: float = 0.0


class Peers(abc.ABC):
    """Client for the other entry VMs."""

    @abc.abstractmethod
    async def report(
        self, address: str, report: messages.LoadReport
    ) -> messages.LoadReply:
        """Sends a load report to the leader at an address.

        Raises:
            OriolefoldError: If the report may not have arrived.
        """

    @abc.abstractmethod
    async def end_terms(
        self, address: str, service_id: str, version: int
    ) -> leaderelection.TermsEnded:
        """Asks a former leader at an address to end its terms.

        Args:
            address: Address of the VM to ask.
            service_id: The service.
            version: Version of the leader record by which this VM was elected.

        Raises:
            OriolefoldError: If there is no answer.
        """

    @abc.abstractmethod
    async def changes(
        self,
        address: str,
        follower: messages.Follower,
        revisions_by_prefix: dict[str, int],
    ) -> messages.ChangesReply:
        """Polls another VM for changes of stored objects.

        Args:
            address: Address of the VM to poll.
            follower: Description of this VM.
            revisions_by_prefix: Latest revision known here for each prefix.

        Raises:
            OriolefoldError: If the VM does not answer or its feed is stale.
        """


class Instances(abc.ABC):
    """Sends requests and grants to instances."""

    @abc.abstractmethod
    async def send(
        self,
        endpoint: topology.Endpoint,
        call: Call,
        remaining_s: float,
        may_send: Callable[[], bool] | None = None,
    ) -> data.Answer:
        """Sends a request once and returns the complete answer.

        Args:
            endpoint: The instance.
            call: The request.
            remaining_s: Time until the deadline, in seconds.
            may_send: Called right before the request is written to the socket;
                if it returns false, nothing is sent.

        Raises:
            OverloadedError: If the instance refused it without running it.
            MisdirectedError: If another instance has the address, or the
                instance does not hold the key; the request was not run.
            UnreachableError: If nothing was sent.
            UnverifiedError: If nothing was sent, since the endpoint has a
                health path and no open connection shows that the instance has
                not restarted since its last health check.
            OutcomeUnknownError: If the request was sent and no complete
                answer came back.
        """

    @abc.abstractmethod
    async def grant(
        self,
        key_range: ranges.KeyRange,
        lease_s: float,
        handover: str,
        may_send: Callable[[], bool],
        newest_connection: int | None = None,
    ) -> GrantOutcome:
        """Grants a key range to its owner or renews the grant.

        Args:
            key_range: The range with its owner and the token to send.
            lease_s: Duration of the lease from its arrival, in seconds.
            handover: State from the previous holder, or an empty string.
            may_send: Called right before the grant is written to the socket;
                if it returns false, nothing is sent.
            newest_connection: If given, the grant may go only over connections
                up to this number. They lead to no incarnation that started
                after this one was opened.
        """

    @abc.abstractmethod
    async def release(
        self, key_range: ranges.KeyRange, holder: ranges.Holder
    ) -> ReleaseResult:
        """Asks a former holder to release a range and waits for its answer."""

    @abc.abstractmethod
    async def check_health(
        self, endpoint: topology.Endpoint, path: str, timeout_s: float
    ) -> HealthReport:
        """Asks an instance over a new connection how cold it is.

        Args:
            endpoint: The instance.
            path: Path of the health check.
            timeout_s: Timeout of the whole call, in seconds.

        Raises:
            OriolefoldError: If the instance did not respond as healthy, or
                another instance has the address.
        """

    async def close(self) -> None:
        """Closes the connections."""
