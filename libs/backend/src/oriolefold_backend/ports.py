"""Port to servers that own keys and to backend servers without keys.

Requests to servers that own keys carry a fencing token; shards are granted to
these servers by leases.
"""

import abc
import dataclasses
import enum

from oriolefold_core import clock, data


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Shard and fencing token sent with a request to the owner of the shard.

    Attributes:
        shard: Shard of the key.
        token: Fencing token of the grant.
    """

    shard: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request, checked right before it is written.

    Attributes:
        clock: Clock that measures `valid_until_s`.
        valid_until_s: Time from which the request must not be written.
        fence: Shard and fencing token to send, or None for a service without
            keys.
    """

    clock: clock.Clock
    valid_until_s: float
    fence: Fence | None = None

    def is_valid(self) -> bool:
        """Whether the permit is still valid."""
        return self.clock.now_s() < self.valid_until_s


@dataclasses.dataclass(frozen=True, slots=True)
class GrantBatch:
    """Grants of several shards to one server.

    Attributes:
        sender_id: Process that grants; a server issues nonces to each.
        service_id: Service of the shards.
        nonce: Nonce that the server issued last; the lease counts from its
            issue.
        ttl_ms: Duration of the lease in milliseconds.
        fences: Granted shards with their tokens.
        revoked: Shards whose grants end immediately, with their tokens.
    """

    sender_id: str
    service_id: str
    nonce: str
    ttl_ms: int
    fences: tuple[Fence, ...]
    revoked: tuple[Fence, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Reply of a server to a grant batch.

    Attributes:
        next_nonce: Nonce for the next batch.
        accepted: Whether the nonce was known; if not, the batch has no effect.
        refused: Refused shards, each with the higher token that the server has.
    """

    next_nonce: str
    accepted: bool
    refused: tuple[Fence, ...] = ()


class HealthState(enum.Enum):
    """Health state that an instance reports."""

    OK = 'ok'
    LEAVING = 'leaving'
    COLD = 'cold'


class Backend(abc.ABC):
    """Sends requests, grants and health checks to instances."""

    @abc.abstractmethod
    async def send(
        self,
        instance: data.Instance,
        request: data.Request,
        remaining_ms: int,
        permit: Permit,
    ) -> data.Answer:
        """Sends one request and returns the complete answer.

        Args:
            instance: Instance to send to.
            request: The request.
            remaining_ms: Time left until the deadline, in milliseconds.
            permit: Permission to send, checked right before the write.

        Raises:
            NotRunError: If the request is known not to have run.
            OutcomeUnknownError: If it was sent and no complete answer came.
        """

    @abc.abstractmethod
    async def grant(
        self, instance: data.Instance, batch: GrantBatch
    ) -> GrantReply:
        """Grants shards to a server that owns keys.

        Raises:
            NotRunError: If the server cannot be reached.
            OutcomeUnknownError: If no complete answer came.
        """

    @abc.abstractmethod
    async def health(self, instance: data.Instance) -> HealthState:
        """Asks an instance for its state.

        Raises:
            UnreachableError: If there is no valid answer in time.
        """

    async def close(self) -> None:
        """Releases the connections."""
