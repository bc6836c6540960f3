"""Retry policy: retryable failures, retry budget and backoff."""

import dataclasses
import random

from oriolefold_core import errors

RETRY_RATIO = 0.1  # Retries that each first attempt adds to the budget.
MAX_RETRY_TOKENS = 10.0
MAX_ATTEMPTS = 3
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.1

_RETRYABLE = frozenset(
    {
        errors.Category.NO_OWNER,
        errors.Category.NOT_HOME,
        errors.Category.OVERLOADED,
        errors.Category.UNREACHABLE,
        errors.Category.STALE_TOKEN,
        errors.Category.STOPPING,
    }
)

_OWNER_MAY_RETURN = frozenset(
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
    """Token bucket that limits retries to a fraction of the first attempts.

    A limit per request alone would multiply the load on an overloaded service;
    a limit on the fraction does not.

    Attributes:
        tokens: Number of retries that may be made now.
    """

    tokens: float = MAX_RETRY_TOKENS

    def record_attempt(self) -> None:
        """Adds the share of one first attempt to the budget."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + RETRY_RATIO)

    def take(self) -> bool:
        """Takes one retry from the budget and returns whether one was left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def may_retry(failure: errors.Failure, idempotent: bool, attempts: int) -> bool:
    """Returns whether a request may be retried, regardless of the budget.

    A request that may have run is retried only if it is idempotent.

    Args:
        failure: Why the last attempt failed.
        idempotent: Whether the request may safely run again.
        attempts: Attempts made so far.
    """
    if attempts >= MAX_ATTEMPTS:
        return False
    if failure.category in _RETRYABLE:
        return True
    outcome_unknown = failure.category is errors.Category.OUTCOME_UNKNOWN
    return outcome_unknown and idempotent


def may_wait_for_owner(failure: errors.Failure) -> bool:
    """Returns whether the owner of the key may become reachable soon.

    Such a failure occurs before any server has accepted the request, so a
    retry within the deadline adds no load on the servers.
    """
    return failure.category in _OWNER_MAY_RETURN


def backoff_s(failed_sends: int, generator: random.Random) -> float:
    """Returns an exponential backoff with jitter, in seconds."""
    ceiling_s = min(
        MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(failed_sends, 8)
    )
    return ceiling_s * (0.5 + generator.random() / 2)
