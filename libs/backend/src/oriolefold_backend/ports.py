"""Port to servers that own keys and to plain back ends."""

import abc
import dataclasses
import enum

from oriolefold_core import clock, data


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Proof of ownership that goes with a request to an owner.

    Attributes:
        shard: Shard of the key.
        token: Fencing token of the grant.
    """

    shard: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Right to send one request, checked again right before the write.

    Attributes:
        clock: Clock that the limit is on.
        valid_until_s: Time from which nothing may be written any more.
        fence: Proof of ownership, or None for a service without keys.
    """

    clock: clock.Clock
    valid_until_s: float
    fence: Fence | None = None

    def holds(self) -> bool:
        """Whether the request may be written now."""
        return self.clock.now_s() < self.valid_until_s


@dataclasses.dataclass(frozen=True, slots=True)
class GrantBatch:
    """Grants of several shards to one server.

    Attributes:
        sender_id: Process that grants; a server issues nonces to each.
        service_id: Service of the shards.
        nonce: Nonce that the server issued last; its lease counts from there.
        ttl_ms: Length of the lease in milliseconds.
        fences: Shards granted, with their tokens.
        revoked: Shards whose grants end at once, with their tokens.
    """

    sender_id: str
    service_id: str
    nonce: str
    ttl_ms: int
    fences: tuple[Fence, ...]
    revoked: tuple[Fence, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class GrantReply:
    """Reply of a server to grants.

    Attributes:
        next_nonce: Nonce for the next batch.
        accepted: Whether the nonce was known, so that the batch counts.
        refused: Shards refused, each with the higher token that the server has.
    """

    next_nonce: str
    accepted: bool
    refused: tuple[Fence, ...] = ()


class HealthState(enum.Enum):
    """What an instance reports of itself."""

    OK = 'ok'
    LEAVING = 'leaving'
    COLD = 'cold'


class Backend(abc.ABC):
    """Sends requests and grants to instances."""

    @abc.abstractmethod
    async def send(
        self,
        instance: data.Instance,
        request: data.Request,
        remaining_ms: int,
        permit: Permit,
    ) -> data.Answer:
        """Sends one request and returns the whole answer.

        Raises:
            NotRunError: If the request is known not to have run.
            OutcomeUnknownError: If it was sent and no whole answer came back.
        """

    @abc.abstractmethod
    async def grant(
        self, instance: data.Instance, batch: GrantBatch
    ) -> GrantReply:
        """Grants shards to a server that owns keys.

        Raises:
            NotRunError: If the server cannot be reached.
            OutcomeUnknownError: If no whole answer came back.
        """

    @abc.abstractmethod
    async def health(self, instance: data.Instance) -> HealthState:
        """Asks an instance for its state.

        Raises:
            UnreachableError: If there is no answer in time.
        """

    async def close(self) -> None:
        """Releases the connections."""
