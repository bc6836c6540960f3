"""Finds the route, the service and the key of each request."""

from oriolefold_coordination import ranges
from oriolefold_core import errors
from oriolefold_direct import pending, ports
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import deadlines, policy

MAX_KEY_DIGITS = 100  # Python converts no number of thousands of digits.


class Admission:
    """Admits requests by the active configuration.

    Attributes:
        policy: The active configuration, or None before the first one.
    """

    def __init__(self, key_header: str):
        self._key_header = key_header
        self._splitter = policy.TrafficSplitter()
        self.policy: policy.Policy | None = None

    @property
    def policy_version(self) -> int:
        """Version of the active configuration, 0 without one."""
        return self.policy.version if self.policy else 0

    def admit(
        self, dispatch: gateway_messages.Dispatch, now_s: float
    ) -> pending.PendingRequest:
        """Returns the state of a request that may be queued.

        Raises:
            OriolefoldError: If it may not.
        """
        if self.policy is None:
            raise errors.NoOwnerError('no configuration has been loaded yet')
        host = dispatch.headers.get('Host', '')
        route = self.policy.find(host, dispatch.target)
        if route is None:
            raise errors.UnknownServiceError(
                f'no route of host {host[:64]!r} matches the path'
            )
        arrived_at_s = now_s - dispatch.held_s
        caller_left_s = (
            deadlines.initial_deadline(
                arrived_at_s,
                deadlines.MAX_DEADLINE_S,
                dispatch.requested_deadline_ms,
            )
            - arrived_at_s
        )
        service_id = self._splitter.choose(route)
        profile = self.policy.services_by_id.get(service_id)
        if profile is None:
            raise errors.NoOwnerError(f'service {service_id} is not configured')
        key = self._key(dispatch) if profile.keyed else None
        call = ports.Call(
            dispatch.request_id,
            dispatch.method,
            dispatch.target,
            dispatch.header_pairs,
            dispatch.body,
        )
        return pending.PendingRequest(
            dispatch,
            route,
            service_id,
            key,
            call,
            arrived_at_s,
            arrived_at_s + min(caller_left_s, route.timeout_s),
            caller_left_s,
            policy_version=self.policy.version,
        )

    def _key(self, dispatch: gateway_messages.Dispatch) -> int:
        text = dispatch.headers.get(self._key_header, '').strip()
        if not text:
            raise errors.MissingKeyError(
                f'header {self._key_header}: missing or empty'
            )
        if not text.isascii() or not text.isdigit():
            raise errors.RequestError(
                f'header {self._key_header}: {text[:16]!r} is not a number'
            )
        if len(text) > MAX_KEY_DIGITS or int(text) >= ranges.KEY_COUNT:
            raise errors.RequestError(
                f'header {self._key_header}: {text[:16]} is too large'
            )
        return int(text)
