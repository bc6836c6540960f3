"""Decides whether a failed request is sent again."""

import dataclasses
import random

from oriolefold_core import errors

RETRY_SHARE = 0.1  # Retries that each first attempt pays for.
MAX_SAVED_RETRIES = 10.0
MAX_ATTEMPTS = 3
FIRST_PAUSE_S = 0.01
LONGEST_PAUSE_S = 0.1

_WORTH_RETRYING = frozenset(
    {
        errors.Category.NO_OWNER,
        errors.Category.NOT_HOME,
        errors.Category.OVERLOADED,
        errors.Category.UNREACHABLE,
        errors.Category.STALE_TOKEN,
        errors.Category.STOPPING,
    }
)

_WORTH_WAITING = frozenset(
    {
        errors.Category.NO_OWNER,
        errors.Category.NOT_HOME,
        errors.Category.UNREACHABLE,
        errors.Category.STALE_TOKEN,
        errors.Category.STOPPING,
    }
)


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Bounds retries to a share of the first attempts.

    A count per request multiplies the load of a brown-out; a share does not.

    Attributes:
        saved: Retries that may be made now.
    """

    saved: float = MAX_SAVED_RETRIES

    def record_attempt(self) -> None:
        """Counts a first attempt."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + RETRY_SHARE)

    def take(self) -> bool:
        """Spends one retry and returns whether there was one to spend."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


def may_retry(failure: errors.Failure, idempotent: bool, attempts: int) -> bool:
    """Returns whether a request may be sent again, the budget aside.

    Work that may have run is sent again only if it is idempotent.

    Args:
        failure: Why the last attempt failed.
        idempotent: Whether the work may safely run again.
        attempts: Attempts made so far.
    """
    if attempts >= MAX_ATTEMPTS:
        return False
    if failure.category in _WORTH_RETRYING:
        return True
    outcome_unknown = failure.category is errors.Category.OUTCOME_UNKNOWN
    return outcome_unknown and idempotent


def may_wait(failure: errors.Failure) -> bool:
    """Returns whether a key may soon have an owner that can be reached.

    Such a failure comes before any server has taken the work, so a new try
    within the deadline multiplies nothing.
    """
    return failure.category in _WORTH_WAITING


def pause_s(tries: int, generator: random.Random) -> float:
    """Returns a jittered pause before the next try, in seconds."""
    longest = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2 ** min(tries, 8))
    return longest * (0.5 + generator.random() / 2)
