"""Requests under way, and what is told of them in logs and metrics."""

import dataclasses

from oriolefold_core import clock, data
from oriolefold_direct import ports
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import outlook, policy
from oriolefold_telemetry import counters, logs

FAILED_STATUS = 500  # From here on an instance reports a failure of its own.
SHOWN_TEXT = 64  # Characters of a caller's text that a log line has.


@dataclasses.dataclass(slots=True, eq=False)
class Flight:
    """A request under way.

    Attributes:
        ask: What the caller waits for.
        route: Route of the request.
        service_id: Service that was chosen for it.
        key: Its key, or None for a service without keys.
        call: The request as it is sent.
        received_s: When it was received.
        expires_at_s: When the caller or the route stops waiting.
        caller_left_s: Time that the caller waits from the receipt on.
        tried_ids: Instances that it was sent to.
        sends: Number of sends.
        may_have_run: Whether an instance may have begun to run it.
        answer: Failure that an instance answered, to be used if a repeat
            brings nothing better.
    """

    ask: gateway_messages.Dispatch
    route: policy.PrefixRoute
    service_id: str
    key: int | None
    call: ports.Call
    received_s: float
    expires_at_s: float
    caller_left_s: float
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    answer: data.Answer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a decision was based on.

    Attributes:
        policy_version: Version of the configuration in force, 0 without one.
        next_token: First unused token of the key map, 0 without a map.
        waiting: Requests that wait for the service.
    """

    policy_version: int
    next_token: int = 0
    waiting: int = 0


class Reporter:
    """Counts requests and sends, and logs those that fail."""

    def __init__(self, time: clock.Clock, recorder: counters.Counters):
        self._clock = time
        self._metrics = recorder

    def refused(
        self, ask: gateway_messages.Dispatch, error, view: View
    ) -> None:
        """Tells of a request that no service was found for."""
        self._metrics.count_request('', 'refused', error.category.value, 0.0)
        logs.event(
            'request.refused',
            request=ask.request_id,
            host=ask.headers.get('Host', '')[:SHOWN_TEXT],
            target=ask.target[:SHOWN_TEXT],
            policy=view.policy_version,
            error=str(error),
        )

    def sent(self, place: outlook.Outlook, result: outlook.Result) -> None:
        """Counts a send that has ended."""
        self._metrics.count_send(place.distance, result.value)

    def send_failed(
        self, flight: Flight, place: outlook.Outlook, started_s: float, error
    ) -> None:
        """Tells of a send that brought no answer."""
        logs.event(
            'send.failed',
            request=flight.call.request_id,
            service=flight.service_id,
            instance=place.endpoint.instance_id,
            key=flight.key,
            took_ms=round((self._clock.now_s() - started_s) * 1000),
            in_flight=place.in_flight,
            limit=round(place.limit, 1),
            error=str(error),
        )

    def answered(self, flight: Flight, status: int, view: View) -> None:
        """Tells of a request that an instance has answered."""
        failed = status >= FAILED_STATUS
        self._count(flight, 'failed' if failed else 'answered', str(status))
        if failed:
            self._log_end(flight, status, 'answered by the instance', view)

    def failed(self, flight: Flight, error, view: View) -> None:
        """Tells of a request that ended without an answer of an instance."""
        self._count(flight, 'failed', error.category.value)
        self._log_end(flight, 0, str(error), view)

    def _count(self, flight: Flight, outcome: str, category: str) -> None:
        took_s = self._clock.now_s() - flight.received_s
        self._metrics.count_request(
            flight.service_id, outcome, category, took_s
        )

    def _log_end(
        self, flight: Flight, status: int, reason: str, view: View
    ) -> None:
        now_s = self._clock.now_s()
        logs.event(
            'request.failed',
            request=flight.call.request_id,
            service=flight.service_id,
            route=flight.route.route_id,
            key=flight.key,
            status=status,
            took_ms=round((now_s - flight.received_s) * 1000),
            left_ms=round((flight.expires_at_s - now_s) * 1000),
            sends=flight.sends,
            tried=sorted(flight.tried_ids),
            waiting=view.waiting,
            policy=view.policy_version,
            key_map=view.next_token,
            reason=reason,
        )
