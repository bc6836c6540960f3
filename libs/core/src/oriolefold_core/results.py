"""Outcomes of requests as reported to callers, and the HTTP headers used."""

import enum

from oriolefold_core import errors

OUTCOME_HEADER = 'Oriolefold-Outcome'
REQUEST_ID_HEADER = 'X-Request-Id'
DEADLINE_HEADER = 'Oriolefold-Deadline-Ms'  # Remaining time in milliseconds.
TOKEN_HEADER = 'Oriolefold-Token'
SHARD_HEADER = 'Oriolefold-Shard'
NOT_RUN_HEADER = 'Oriolefold-Not-Run'
# A request keeps its ID when it is sent again; a call ID is used only once.
CALL_ID_HEADER = 'Oriolefold-Call-Id'


class Outcome(enum.Enum):
    """What a caller is told about its request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


STATUS_BY_CATEGORY = {
    errors.Category.INVALID_REQUEST: 400,
    errors.Category.UNKNOWN_SERVICE: 404,
    errors.Category.MISSING_KEY: 400,
    errors.Category.BODY_TOO_LARGE: 413,
    errors.Category.HEADERS_TOO_LARGE: 431,
    errors.Category.REQUEST_TIMEOUT: 408,
    errors.Category.DEADLINE_EXPIRED: 504,
    errors.Category.OUTCOME_UNKNOWN: 502,
    errors.Category.INTERNAL: 500,
}
DEFAULT_STATUS = 503


def outcome_of(failure: errors.Failure) -> Outcome:
    """Returns the outcome that a caller is told for a failure."""
    return Outcome.NOT_RUN if failure.not_run else Outcome.UNKNOWN


def status_of(failure: errors.Failure) -> int:
    """Returns the HTTP status that a caller gets for a failure."""
    return STATUS_BY_CATEGORY.get(failure.category, DEFAULT_STATUS)
