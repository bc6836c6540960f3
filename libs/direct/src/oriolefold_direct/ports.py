"""Ports to instances that check keys and fencing tokens."""

import abc
import dataclasses
import enum
from collections.abc import Callable

from oriolefold_coordination import ranges
from oriolefold_core import data
from oriolefold_direct import messages
from oriolefold_routing import fleet


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request as it goes to an instance.

    Attributes:
        request_id: Identity of the request in logs.
        method: HTTP method.
        target: Path and query as the caller sent them.
        headers: End-to-end headers of the caller.
        body: The whole body.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class GrantResult(enum.Enum):
    """What an instance did with a grant."""

    TAKEN = 'taken'
    STALE = 'stale'
    REFUSED = 'refused'
    OTHER_INSTANCE = 'other-instance'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseResult:
    """What came of a release.

    Attributes:
        released: Whether the holder has given the keys up.
        handover: State that it hands over, or an empty string.
    """

    released: bool
    handover: str = ''


class Peers(abc.ABC):
    """Tells other entry VMs what this one has seen."""

    @abc.abstractmethod
    async def report(
        self, address: str, report: messages.LoadReported
    ) -> dict[str, float]:
        """Reports load to the VM at an address.

        Returns:
            This VM's part of the slots of busy owners, by the instance.

        Raises:
            OriolefoldError: If the report did not arrive, or may not have.
        """

    @abc.abstractmethod
    async def changes(
        self,
        address: str,
        asker: messages.Asker,
        revisions_by_prefix: dict[str, int],
    ) -> messages.Told:
        """Waits for changes of stored objects that another VM has read.

        Args:
            address: The other VM.
            asker: This VM.
            revisions_by_prefix: What this VM knows of each prefix.

        Raises:
            OriolefoldError: If the VM is silent, or must not be relied on.
        """


class Instances(abc.ABC):
    """Sends requests and grants to instances."""

    @abc.abstractmethod
    async def send(
        self, endpoint: fleet.Endpoint, call: Call, remaining_s: float
    ) -> data.Answer:
        """Sends a request once and returns the whole answer.

        Raises:
            OverloadedError: If the instance refused it without running it.
            MisdirectedError: If another instance has the address, or the
                instance does not hold the key; it was not run.
            UnreachableError: If nothing was sent.
            OutcomeUnknownError: If it was sent and no whole answer came back.
        """

    @abc.abstractmethod
    async def grant(
        self,
        key_range: ranges.KeyRange,
        hold_s: float,
        handover: str,
        may_send: Callable[[], bool],
    ) -> GrantResult:
        """Grants a range to its owner or renews it.

        Args:
            key_range: Range, owner and token.
            hold_s: Length of the hold from its arrival, in seconds.
            handover: State of the last holder, or an empty string.
            may_send: Asked right before the call is written.
        """

    @abc.abstractmethod
    async def release(
        self, key_range: ranges.KeyRange, holder: ranges.Holder
    ) -> ReleaseResult:
        """Asks a former holder to give a range up and waits until it has."""

    async def close(self) -> None:
        """Releases the connections."""
