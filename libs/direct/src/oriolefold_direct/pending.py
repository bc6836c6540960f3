"""State of requests in progress, and their logs and metrics."""

import dataclasses

from oriolefold_core import clock, data
from oriolefold_direct import messages, ports
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import (
    announcements,
    concurrency,
    loadfigures,
    policy,
    silence,
    topology,
    waitqueue,
)
from oriolefold_telemetry import counters, logs

MIN_FAILURE_STATUS = 500  # Lowest status that reports a server error.
MAX_LOGGED_CHARS = 64  # Limit for text from callers.


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request in progress.

    Attributes:
        dispatch: Message to reply to.
        route: Route of the request.
        service_id: Service selected for it.
        key: Its key, or None if the service is not keyed.
        call: The request as it is sent to instances.
        received_at_s: When it was received.
        expires_at_s: Deadline, the earlier of the caller's and the route's.
        caller_left_s: Time until the caller's deadline when it was received.
        tried_ids: Instances that it was sent to.
        sends: Number of sends.
        may_have_run: Whether an instance may have begun to run it.
        error_answer: Server error from an instance, returned if no retry
            succeeds.
        token: Fencing token of its key in the map by which it was sent last.
        policy_version: Version of the configuration that admitted it.
    """

    dispatch: gateway_messages.Dispatch
    route: policy.PrefixRoute
    service_id: str
    key: int | None
    call: ports.Call
    received_at_s: float
    expires_at_s: float
    caller_left_s: float
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    sends: int = 0
    may_have_run: bool = False
    error_answer: data.Answer | None = None
    token: int | None = None
    policy_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """Snapshot of the state that a decision was based on, for logs.

    Attributes:
        policy_version: Version of the active configuration, 0 without one.
        next_token: First unused token of the key map, 0 without a map.
        waiting: Queued requests of the service.
    """

    policy_version: int
    next_token: int = 0
    waiting: int = 0


class Reporter:
    """Counts requests and send attempts, and logs failures."""

    def __init__(self, time: clock.Clock, recorder: counters.Counters):
        self._clock = time
        self._metrics = recorder

    def refused(
        self, dispatch: gateway_messages.Dispatch, error, view: View
    ) -> None:
        """Reports a request that was refused before it was queued."""
        self._metrics.count_request('', 'refused', error.category.value, 0.0)
        logs.event(
            'request.refused',
            request=dispatch.request_id,
            host=dispatch.headers.get('Host', '')[:MAX_LOGGED_CHARS],
            target=dispatch.target[:MAX_LOGGED_CHARS],
            policy=view.policy_version,
            error=str(error),
        )

    def refused_while_draining(
        self, request: PendingRequest, stops_at_s: float
    ) -> None:
        """Logs why a request may not be sent before this VM stops."""
        now_s = self._clock.now_s()
        logs.event(
            'drain.refused',
            request=request.call.request_id,
            service=request.service_id,
            idempotent=request.route.idempotent,
            sends=request.sends,
            left_ms=round((request.expires_at_s - now_s) * 1000),
            stops_in_ms=round((stops_at_s - now_s) * 1000),
        )

    def owner_unavailable(
        self,
        request: PendingRequest,
        owner: concurrency.InstanceState | None,
        obstacle: str,
    ) -> None:
        """Logs why the owner of a key had no capacity for a request.

        Args:
            request: The request.
            owner: The owner, or None if the key has none.
            obstacle: Why it has none.
        """
        fields = {}
        if owner is not None:
            now_s = self._clock.now_s()
            found = owner.obstacle(now_s, request.route.rank)
            obstacle = '' if found is None else found.value
            fields = {
                'instance': owner.endpoint.instance_id,
                'in_flight': owner.in_flight,
                'limit': round(owner.limit, 1),
                'rank': request.route.rank,
                'quota': (
                    round(owner.quota, 2)
                    if now_s < owner.quota_until_s
                    else None
                ),
                'admitted': (
                    owner.admitted if now_s < owner.admitted_until_s else 1.0
                ),
                'service_ms': round(owner.service_time_s * 1000),
                'baseline_ms': round(owner.baseline_time_s * 1000),
            }
        logs.event(
            'owner.unavailable',
            request=request.call.request_id,
            service=request.service_id,
            key=request.key,
            obstacle=obstacle,
            **fields,
        )

    def shed(
        self,
        request: PendingRequest,
        owner: concurrency.InstanceState,
        probability: float,
    ) -> None:
        """Counts and logs a request that its owner has no room for.

        Args:
            request: The request.
            owner: The owner of its key.
            probability: Probability with which it would have been admitted.
        """
        self._metrics.count_overload(request.service_id, 'shed')
        logs.event(
            'admission.shed',
            request=request.call.request_id,
            service=request.service_id,
            route=request.route.route_id,
            key=request.key,
            rank=request.route.rank,
            instance=owner.endpoint.instance_id,
            admitted=owner.admitted,
            expires_in_ms=round(
                (owner.admitted_until_s - self._clock.now_s()) * 1000
            ),
            probability=round(probability, 2),
        )

    def region_refused(
        self,
        request: PendingRequest,
        reason: str,
        allowed_region_ids: frozenset[str],
        **inputs,
    ) -> None:
        """Counts and logs a request that its regions keep from instances.

        Args:
            request: The request.
            reason: Why no instance may be sent it, or not the chosen one.
            allowed_region_ids: Regions in which it may be served.
            **inputs: What else the decision rests on, and its age.
        """
        self._metrics.count_region_refusal(request.service_id, reason)
        logs.event(
            'regions.refused',
            request=request.call.request_id,
            service=request.service_id,
            route=request.route.route_id,
            key=request.key,
            reason=reason,
            allowed=sorted(allowed_region_ids),
            admitted_by=request.policy_version,
            tried=sorted(request.tried_ids),
            **inputs,
        )

    def announced(
        self,
        endpoint: topology.Endpoint,
        news: announcements.Announcement,
        age_s: float,
    ) -> None:
        """Logs what an instance has newly announced with an answer.

        Args:
            endpoint: The instance.
            news: What is new.
            age_s: Time since the head of the answer arrived, in seconds.
        """
        fields = {
            'instance': endpoint.instance_id,
            'born_ms': endpoint.born_ms,
            'source': 'answer',
            'age_ms': round(age_s * 1000),
        }
        if news.leaving:
            logs.event('instance.leaving', **fields)
        if news.pushback_s:
            logs.event(
                'instance.pushback', **fields, pushback_s=news.pushback_s
            )

    def load_read(
        self,
        endpoint: topology.Endpoint,
        figures: loadfigures.LoadFigures,
        age_s: float,
        is_first: bool,
    ) -> None:
        """Counts load figures and logs the first ones of a service.

        Args:
            endpoint: The instance that reported them.
            figures: Its load.
            age_s: Time since the head of the answer arrived, in seconds.
            is_first: Whether they are the first of the service.
        """
        self._metrics.count_load_report(endpoint.service_id)
        if not is_first:
            return
        logs.event(
            'load.reported',
            service=endpoint.service_id,
            instance=endpoint.instance_id,
            running=figures.running,
            waiting=figures.waiting,
            slots=figures.slots,
            time_percent=figures.time_percent,
            age_ms=round(age_s * 1000),
        )

    def listed(
        self,
        endpoint: topology.Endpoint,
        known: concurrency.InstanceState | None,
        now_s: float,
    ) -> None:
        """Logs what the registry newly says about whether to use an instance.

        Args:
            endpoint: The instance as it is registered now.
            known: What was known under its name, if anything.
            now_s: Current time.
        """
        fields = {
            'instance': endpoint.instance_id,
            'born_ms': endpoint.born_ms,
            'source': 'listing',
        }
        if endpoint.draining and not (known and known.endpoint.draining):
            logs.event('instance.draining', **fields)
        if known is None or known.endpoint.born_ms >= endpoint.born_ms:
            return
        if known.belief.is_leaving(now_s) or now_s < known.belief.busy_until_s:
            logs.event(
                'instance.replaced',
                former_born_ms=known.endpoint.born_ms,
                **fields,
            )

    def permits_granted(self, granted: messages.PermitsGranted) -> None:
        """Counts and logs permits for requests to cold instances."""
        age_s = self._clock.now_s() - granted.sent_at_s
        self._metrics.count_warm_up(
            'received', sum(granted.permits_by_id.values())
        )
        logs.event(
            'warmup.received',
            permits=granted.permits_by_id,
            age_ms=round(age_s * 1000),
        )

    def sent(
        self,
        instance: concurrency.InstanceState,
        result: concurrency.SendResult,
    ) -> None:
        """Counts a completed send attempt."""
        self._metrics.count_send(instance.distance, result.value)

    def send_failed(
        self,
        request: PendingRequest,
        instance: concurrency.InstanceState,
        started_s: float,
        error,
    ) -> None:
        """Logs a send attempt that got no answer."""
        logs.event(
            'send.failed',
            request=request.call.request_id,
            service=request.service_id,
            instance=instance.endpoint.instance_id,
            key=request.key,
            token=request.token,
            took_ms=round((self._clock.now_s() - started_s) * 1000),
            in_flight=instance.in_flight,
            limit=round(instance.limit, 1),
            error=str(error),
        )

    def rejected_early(
        self,
        request: PendingRequest,
        waiter: waitqueue.Waiter,
        ahead: int,
        wait_s: float,
    ) -> None:
        """Counts and logs a request that would wait beyond its limit.

        Args:
            request: The request.
            waiter: Its place in the queue.
            ahead: Requests that go before it.
            wait_s: Expected wait, in seconds.
        """
        self._metrics.count_overload(request.service_id, 'rejected-early')
        left_s = waiter.give_up_at_s - self._clock.now_s()
        logs.event(
            'admission.rejected',
            request=request.call.request_id,
            service=request.service_id,
            route=request.route.route_id,
            rank=request.route.rank,
            served_as=waiter.rank,
            returning=waiter.returning,
            owner=waiter.owner_id,
            ahead=ahead,
            expected_wait_ms=round(wait_s * 1000),
            limit_ms=round(left_s * 1000),
        )

    def silence_seen(
        self, request: PendingRequest, send: silence.OpenSend
    ) -> None:
        """Logs that instances of a service are silent when they are full."""
        logs.event(
            'silence.seen',
            request=request.call.request_id,
            service=request.service_id,
            **self._silence_fields(send),
        )

    def silent(
        self,
        request: PendingRequest,
        instance: concurrency.InstanceState,
        send: silence.OpenSend,
        elsewhere: bool,
    ) -> None:
        """Counts and logs a send that gets no answer.

        Args:
            request: The request.
            instance: The instance, with its limit lowered already.
            send: The send.
            elsewhere: Whether it is ended and the request sent elsewhere.
        """
        decision = 'silent-elsewhere' if elsewhere else 'silent-kept'
        self._metrics.count_overload(request.service_id, decision)
        logs.event(
            'instance.silent',
            request=request.call.request_id,
            service=request.service_id,
            elsewhere=elsewhere,
            limit=round(instance.limit, 1),
            in_flight=instance.in_flight,
            left_ms=round((request.expires_at_s - self._clock.now_s()) * 1000),
            **self._silence_fields(send),
        )

    def _silence_fields(self, send: silence.OpenSend) -> dict:
        return {
            'instance': send.instance_id,
            'waited_ms': round((self._clock.now_s() - send.started_s) * 1000),
            'usual_ms': round(send.usual_s * 1000),
            'overtaken': send.overtaken,
        }

    def answered(
        self, request: PendingRequest, answer: data.Answer, view: View
    ) -> None:
        """Reports a request that an instance answered.

        Which instance ran a request that may run once only has a line, so that
        it can be found later.
        """
        status = answer.status
        failed = status >= MIN_FAILURE_STATUS
        self._count(request, 'failed' if failed else 'answered', str(status))
        if failed:
            self._log_end(request, status, 'answered by the instance', view)
        elif not request.route.idempotent:
            logs.event(
                'request.answered',
                request=request.call.request_id,
                service=request.service_id,
                route=request.route.route_id,
                instance=answer.instance_id,
                key=request.key,
                token=request.token,
                status=status,
                took_ms=self._took_ms(request),
                sends=request.sends,
                policy=view.policy_version,
                key_map=view.next_token,
            )

    def failed(self, request: PendingRequest, error, view: View) -> None:
        """Reports a request that ended without an answer from an instance."""
        self._count(request, 'failed', error.category.value)
        self._log_end(request, 0, str(error), view)

    def _count(
        self, request: PendingRequest, outcome: str, category: str
    ) -> None:
        took_s = self._clock.now_s() - request.received_at_s
        self._metrics.count_request(
            request.service_id, outcome, category, took_s
        )

    def _took_ms(self, request: PendingRequest) -> int:
        return round((self._clock.now_s() - request.received_at_s) * 1000)

    def _log_end(
        self, request: PendingRequest, status: int, reason: str, view: View
    ) -> None:
        now_s = self._clock.now_s()
        logs.event(
            'request.failed',
            request=request.call.request_id,
            service=request.service_id,
            route=request.route.route_id,
            key=request.key,
            status=status,
            token=request.token,
            took_ms=self._took_ms(request),
            left_ms=round((request.expires_at_s - now_s) * 1000),
            sends=request.sends,
            tried=sorted(request.tried_ids),
            waiting=view.waiting,
            policy=view.policy_version,
            key_map=view.next_token,
            reason=reason,
        )
