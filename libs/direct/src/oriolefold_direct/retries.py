"""Decides which requests are sent again."""

from oriolefold_core import clock, errors
from oriolefold_direct import pending
from oriolefold_routing import attempts

MAX_SENDS = 3  # Sends of one request, including refused ones.


class Retries:
    """Retries of requests, bounded by the retry budget of each service."""

    def __init__(self, time: clock.Clock, limits: attempts.BudgetLimits):
        self._clock = time
        self._budget_limits = limits
        self._budgets_by_service_id: dict[str, attempts.AttemptBudget] = {}

    def record_request(self, service_id: str, now_s: float) -> None:
        """Counts a new request."""
        self._budget(service_id).record_request(now_s)

    def may_retry(self, request: pending.PendingRequest, error) -> bool:
        """Whether a request may be sent again; if so, charges the retry budget.

        Args:
            request: The request.
            error: Error of the last send, or None if the instance answered
                with a server error.
        """
        if isinstance(error, errors.SilentInstanceError):
            return True  # It is raised only for a retry that was charged.
        if error is None or error.category is errors.Category.OUTCOME_UNKNOWN:
            if not request.route.idempotent:
                return False
            if len(request.tried_ids) >= request.route.max_instances:
                return False
        elif error.category is errors.Category.UNREACHABLE:
            # Nothing was sent, so a retry adds no load and needs no budget.
            return request.sends < 2 * MAX_SENDS
        elif error.category not in (
            errors.Category.OVERLOADED,
            errors.Category.MISDIRECTED,
        ):
            return False
        if request.sends >= MAX_SENDS:
            return False
        return self._budget(request.service_id).take(self._clock.now_s())

    def _budget(self, service_id: str) -> attempts.AttemptBudget:
        budget = self._budgets_by_service_id.get(service_id)
        if budget is None:
            budget = attempts.AttemptBudget(self._budget_limits)
            self._budgets_by_service_id[service_id] = budget
        return budget
