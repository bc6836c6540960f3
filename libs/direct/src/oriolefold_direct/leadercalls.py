"""Results of the calls that a leader makes, which its task handles."""

import dataclasses

from oriolefold_coordination import leaderelection, rangeleases, ranges
from oriolefold_direct import ports
from oriolefold_store import updates


@dataclasses.dataclass(frozen=True, slots=True)
class CallEnded:
    """Result of a call.

    Attributes:
        lease_manager: That of the term in which the call began. The result is
            of no use to a later term, which has other calls in flight.
    """

    lease_manager: rangeleases.RangeLeaseManager


@dataclasses.dataclass(frozen=True, slots=True)
class GrantEnded(CallEnded):
    """Outcome of a grant."""

    grant: rangeleases.Grant
    outcome: ports.GrantOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseEnded(CallEnded):
    """Result of a release."""

    release: rangeleases.Release
    result: ports.ReleaseResult
    took_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PublishEnded(CallEnded):
    """Result of a write of the key map."""

    document: updates.Document | None
    key_map: ranges.KeyMap
    error: Exception | None
    era: int


@dataclasses.dataclass(frozen=True, slots=True)
class FormerLeaderAnswered(CallEnded):
    """A former leader has said that its terms have ended."""

    former: leaderelection.LeaderRecord
    statement: leaderelection.TermsEnded
