"""Task that dispatches requests to instances until one has answered.

Requests wait in a priority queue per service until an instance has capacity.
"""

import asyncio
import collections
import math
import random
from typing import Any

from oriolefold_core import clock, data, errors, tasks
from oriolefold_direct import (
    admission,
    keyowners,
    messages,
    pending,
    ports,
    retries,
)
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import (
    announcements,
    attempts,
    concurrency,
    draining,
    topology,
    waitqueue,
)
from oriolefold_sending import messages as sending_messages
from oriolefold_telemetry import counters

MISDIRECTED_RETRY_DELAY_S = 0.1  # Before a retry after a misdirected send.
MAX_REPORTED_KEYS = 4096  # Latest keys kept for the next load report.
WAKE_INTERVAL_S = 0.05  # Interval of capacity checks while requests wait.

_RESULTS_BY_CATEGORY = {
    errors.Category.OVERLOADED: concurrency.SendResult.REFUSED,
    errors.Category.UNREACHABLE: concurrency.SendResult.UNREACHABLE,
    errors.Category.OUTCOME_UNKNOWN: concurrency.SendResult.FAILED,
}


class Dispatcher(tasks.Task):
    """Owns this VM's view of routes, instances and key owners."""

    def __init__(
        self,
        locality: topology.Locality,
        key_header: str,
        instances: ports.Instances,
        time: clock.Clock,
        budget_limits: attempts.BudgetLimits,
        recorder: counters.Counters,
        generator: random.Random,
    ):
        """Initializes the task.

        Args:
            locality: Location of this VM.
            key_header: Header with the key of a request.
            instances: Client for the instances.
            time: Clock for deadlines and delays.
            budget_limits: Limits of the retry budget.
            recorder: Metrics of requests and send attempts.
            generator: Source of random numbers.
        """
        super().__init__('dispatcher')
        self._instances = instances
        self._clock = time
        self._retries = retries.Retries(time, budget_limits)
        self._reporter = pending.Reporter(time, recorder)
        self._random = generator
        self._admission = admission.Admission(key_header)
        self._instance_table = concurrency.InstanceTable(locality)
        self._key_owners = keyowners.KeyOwners(self._instance_table)
        self._queues_by_service_id: dict[str, waitqueue.WaitQueue] = {}
        self._keys_by_service_id: dict[str, collections.deque[int]] = {}
        self._wake_scheduled_ids: set[str] = set()
        self._stops_at_s = math.inf
        self._children_by_request: dict[
            pending.PendingRequest, asyncio.Task
        ] = {}

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case gateway_messages.Dispatch():
                self._accept(message)
            case messages.PolicyUpdated():
                self._admission.policy = message.policy
            case messages.EndpointsUpdated():
                self._update_endpoints(message.endpoints_by_id)
            case messages.KeyMapUpdated():
                self._update_key_map(message)
            case messages.GrantedRanges():
                self._apply_granted(message)
            case messages.Wake():
                self._wake_scheduled_ids.discard(message.service_id)
                self._wake(message.service_id)
            case messages.SharesUpdated():
                now_s = self._clock.now_s()
                for instance_id, share in message.shares_by_id.items():
                    known = self._instance_table.states_by_id.get(instance_id)
                    if known is not None:
                        known.set_quota(share, now_s)
            case sending_messages.Drain():
                self._stops_at_s = message.stops_at_s
                for queue in self._queues_by_service_id.values():
                    self._refuse_unfinishable(queue)
            case gateway_messages.EndRequests():
                self._end_requests()
                message.answer(None)
            case messages.CollectLoad():
                message.answer(self._collect_load(message.service_id))
            case messages.DescribeView():
                message.answer(self._describe())

    def _update_endpoints(
        self, endpoints_by_id: dict[str, topology.Endpoint]
    ) -> None:
        now_s = self._clock.now_s()
        for instance_id, endpoint in endpoints_by_id.items():
            known = self._instance_table.states_by_id.get(instance_id)
            self._reporter.listed(endpoint, known, now_s)
        self._instance_table.update(endpoints_by_id, now_s)
        for service_id in self._queues_by_service_id:
            self._refuse_pushed_back(service_id)
        self._wake_all()

    def _update_key_map(self, update: messages.KeyMapUpdated) -> None:
        if self._key_owners.update(update):
            self._wake(update.key_map.service_id)

    def _apply_granted(self, granted: messages.GrantedRanges) -> None:
        if self._key_owners.apply_granted(granted):
            self._wake(granted.service_id)

    def _accept(self, dispatch: gateway_messages.Dispatch) -> None:
        now_s = self._clock.now_s()
        try:
            request = self._admission.admit(dispatch, now_s)
            self._retries.record_request(request.service_id, now_s)
            if request.key is not None:
                self._recent_keys(request.service_id).append(request.key)
            self._check_may_send(request)
        except errors.OriolefoldError as error:
            self._reporter.refused(dispatch, error, self._view())
            dispatch.fail(error)
            return
        serving = self.spawn(self._serve(request), dispatch)
        self._children_by_request[request] = serving
        serving.add_done_callback(
            lambda _: self._children_by_request.pop(request)
        )
        # Cancels the work at the instance when the caller disconnects.
        dispatch.reply.add_done_callback(
            lambda reply: serving.cancel() if reply.cancelled() else None
        )

    def _check_may_send(self, request: pending.PendingRequest) -> None:
        """Checks that a request can end before this VM stops.

        Raises:
            StoppingError: If it may not.
        """
        if not draining.may_send(request.expires_at_s, self._stops_at_s):
            self._reporter.refused_while_draining(request, self._stops_at_s)
            raise errors.StoppingError(
                'this VM stops before the request is sure to end'
            )

    async def _serve(self, request: pending.PendingRequest) -> None:
        try:
            answer = await self._answer_in_time(request)
        except errors.OriolefoldError as error:
            self._fail(request, error)
        except Exception as error:
            # The caller is owed an answer, whatever has failed here.
            self._fail(request, errors.unexpected(error))
            raise
        else:
            self._finish(request, answer)

    def _fail(
        self, request: pending.PendingRequest, error: errors.OriolefoldError
    ) -> None:
        """Ends a request with a server error that it got, or with an error."""
        if request.error_answer is not None:
            self._finish(request, request.error_answer)
            return
        caller_error = self._replace_not_run_error(request, error)
        self._reporter.failed(
            request, caller_error, self._view(request.service_id)
        )
        request.dispatch.fail(caller_error)

    def _end_requests(self) -> None:
        for request, serving in list(self._children_by_request.items()):
            if request.dispatch.reply.done():
                continue
            self._fail(
                request,
                errors.StoppingError('this VM stops before the request ended'),
            )
            serving.cancel()

    def _finish(
        self, request: pending.PendingRequest, answer: data.Answer
    ) -> None:
        view = self._view(request.service_id)
        self._reporter.answered(request, answer, view)
        request.dispatch.answer(answer)

    async def _answer_in_time(
        self, request: pending.PendingRequest
    ) -> data.Answer:
        left_s = request.expires_at_s - self._clock.now_s()
        try:
            async with asyncio.timeout(left_s):
                return await self._send_until_done(request)
        except TimeoutError as error:
            if request.may_have_run:
                raise errors.OutcomeUnknownError(
                    'no answer before the deadline'
                ) from error
            raise self._overloaded_error(
                request, 'no instance had capacity before the deadline'
            ) from error

    async def _send_until_done(
        self, request: pending.PendingRequest
    ) -> data.Answer:
        while True:
            instance = await self._acquire_instance(request)
            try:
                answer = await self._send(request, instance)
            except errors.OriolefoldError as error:
                if not self._retries.may_retry(request, error):
                    raise self._caller_error(request, error) from error
                if error.category is errors.Category.MISDIRECTED:
                    await asyncio.sleep(MISDIRECTED_RETRY_DELAY_S)
                continue
            if (
                answer.status < pending.MIN_FAILURE_STATUS
                or not request.route.idempotent
            ):
                return answer
            request.error_answer = answer
            if not self._retries.may_retry(request, None):
                return answer

    def _caller_error(
        self, request: pending.PendingRequest, error
    ) -> errors.OriolefoldError:
        """Returns the error for the caller when a request is not retried."""
        if isinstance(error, errors.NotRunError):
            return self._overloaded_error(request, error.message)
        return error

    def _replace_not_run_error(
        self, request: pending.PendingRequest, error
    ) -> errors.OriolefoldError:
        """Replaces a not-run error if an earlier attempt may have run.

        The retry of a request whose answer was lost can be refused, which does
        not show that the first attempt did not run.
        """
        if request.may_have_run and isinstance(error, errors.NotRunError):
            return errors.OutcomeUnknownError(error.message)
        return error

    async def _acquire_instance(
        self, request: pending.PendingRequest
    ) -> concurrency.InstanceState:
        """Selects an instance with capacity and counts the request there.

        Waits in the queue if no instance has capacity.

        Raises:
            OverloadedError: If no instance has capacity in time.
            StoppingError: If it cannot end before this VM stops.
        """
        queue = self._queue(request.service_id)
        now_s = self._clock.now_s()
        self._check_may_send(request)
        # Requests for one busy owner must not delay those for other owners,
        # so keyed requests skip the check for queued requests.
        if request.key is not None or not queue.count_ahead(request.route.rank):
            selected = self._choose(request, now_s)
            if selected is not None:
                selected.record_send(now_s)
                return selected
        max_wait_s = waitqueue.max_wait_s(
            request.route.objective_s, self._expected_time_s(request)
        )
        give_up_at_s = request.received_at_s + max_wait_s
        self._check_pushback(request, give_up_at_s)
        assignment = asyncio.get_running_loop().create_future()
        waiter = waitqueue.Waiter(
            (request, assignment), request.route.rank, give_up_at_s
        )
        queue.add(waiter)
        self._schedule_wake(request.service_id)
        try:
            async with asyncio.timeout(max(0.0, give_up_at_s - now_s)):
                return await assignment
        except TimeoutError as error:
            self._release_instance(assignment)
            if request.key is not None:
                self._log_unavailable_owner(request)
            text = f'no instance of {request.service_id} has capacity'
            raise self._overloaded_error(request, text) from error
        except asyncio.CancelledError:
            self._release_instance(assignment)
            raise
        finally:
            queue.discard(waiter)

    def _check_pushback(
        self, request: pending.PendingRequest, give_up_at_s: float
    ) -> None:
        """Checks that an instance wants requests before a wait would end.

        Raises:
            OverloadedError: If none does.
        """
        now_s = self._clock.now_s()
        if request.key is None:
            busy_until_s = self._instance_table.busy_until_s(
                request.service_id, request.tried_ids, now_s
            )
        else:
            owner = self._owner(request)
            if owner is None:
                return
            busy_until_s = owner.belief.busy_until_s
        if busy_until_s <= give_up_at_s:
            return
        error = self._overloaded_error(
            request, f'no instance of {request.service_id} wants requests yet'
        )
        error.retry_after_s = max(
            error.retry_after_s, round(busy_until_s - now_s, 3)
        )
        raise error

    def _expected_time_s(self, request: pending.PendingRequest) -> float:
        """Returns the expected time from sending to the answer."""
        owner = self._owner(request) if request.key is not None else None
        if owner is not None and owner.service_time_s:
            return owner.service_time_s
        return self._instance_table.typical_time_s(request.service_id)

    def _release_instance(self, assignment: asyncio.Future) -> None:
        """Undoes the assignment of an instance to an abandoned request."""
        if not assignment.done() or assignment.cancelled():
            return
        if assignment.exception() is None:
            assignment.result().in_flight -= 1

    def _choose(
        self, request: pending.PendingRequest, now_s: float
    ) -> concurrency.InstanceState | None:
        if request.key is None:
            return self._instance_table.choose(
                request.service_id, request.tried_ids, now_s
            )
        owner = self._owner(request)
        if owner is None or not owner.has_capacity(now_s):
            return None
        return owner

    def _owner(
        self, request: pending.PendingRequest
    ) -> concurrency.InstanceState | None:
        """Returns the owner of the key, or None if it cannot be sent to now."""
        return self._key_owners.find(request.service_id, request.key)[0]

    def _log_unavailable_owner(self, request: pending.PendingRequest) -> None:
        """Logs why the owner of a key got no request."""
        owner, obstacle = self._key_owners.find(request.service_id, request.key)
        self._reporter.owner_unavailable(request, owner, obstacle)

    async def _send(
        self, request: pending.PendingRequest, instance
    ) -> data.Answer:
        started_s = self._clock.now_s()
        endpoint = instance.endpoint
        request.sends += 1
        request.tried_ids.add(endpoint.instance_id)
        request.token = self._key_owners.token(request.service_id, request.key)
        result = concurrency.SendResult.CANCELLED
        withheld = False
        held_up_s = 0.0
        may_have_run_before = request.may_have_run
        request.may_have_run = True

        def may_send() -> bool:
            nonlocal withheld
            withheld = not instance.wants(
                request.key is not None, self._clock.now_s()
            )
            return not withheld

        try:
            answer = await self._instances.send(
                endpoint,
                request.call,
                request.expires_at_s - started_s,
                may_send,
            )
            held_up_s = answer.held_up_s
            self._heed(endpoint, answer)
            failed = answer.status >= pending.MIN_FAILURE_STATUS
            result = (
                concurrency.SendResult.FAILED
                if failed
                else concurrency.SendResult.ANSWERED
            )
        except errors.NotRunError as error:
            request.may_have_run = may_have_run_before
            result = _RESULTS_BY_CATEGORY.get(error.category, result)
            if withheld:
                result = concurrency.SendResult.WITHHELD
            if isinstance(error, errors.AnnouncingError):
                self._heed(endpoint, error)
            self._reporter.send_failed(request, instance, started_s, error)
            raise
        except errors.ResponseDroppedError as error:
            self._reporter.send_failed(request, instance, started_s, error)
            raise
        except errors.OriolefoldError as error:
            result = concurrency.SendResult.FAILED
            if isinstance(error, errors.AnnouncingError):
                self._heed(endpoint, error)
            self._reporter.send_failed(request, instance, started_s, error)
            raise
        finally:
            instance.in_flight -= 1
            now_s = self._clock.now_s()
            took_s = now_s - started_s - held_up_s
            instance.record(result, took_s, now_s)
            self._reporter.sent(instance, result)
            self._wake(request.service_id)
        return answer

    def _heed(
        self,
        endpoint: topology.Endpoint,
        said: data.Answer | errors.AnnouncingError,
    ) -> None:
        """Records what an instance has announced with a response."""
        if not said.leaving and said.pushback_s <= 0:
            return
        now_s = self._clock.now_s()
        news = self._instance_table.record_announcement(
            endpoint,
            announcements.Announcement(said.leaving, said.pushback_s),
            now_s,
        )
        held_up_s = said.held_up_s if isinstance(said, data.Answer) else 0.0
        self._reporter.announced(endpoint, news, held_up_s)
        if news.leaving or said.pushback_s:
            self._refuse_pushed_back(endpoint.service_id)

    def _refuse_pushed_back(self, service_id: str) -> None:
        """Refuses the queued requests that no instance wants in their time."""
        queue = self._queue(service_id)
        if not queue or not self._instance_table.any_pushes_back(
            service_id, self._clock.now_s()
        ):
            return
        for waiter in queue.by_priority():
            request, assignment = waiter.payload
            if assignment.done():
                continue
            try:
                self._check_pushback(request, waiter.give_up_at_s)
            except errors.OverloadedError as error:
                assignment.set_exception(error)
                queue.discard(waiter)

    def _wake_all(self) -> None:
        for service_id in self._queues_by_service_id:
            self._wake(service_id)

    def _wake(self, service_id: str) -> None:
        """Assigns instances to queued requests, most urgent first."""
        queue = self._queues_by_service_id.get(service_id)
        if not queue:
            return
        now_s = self._clock.now_s()
        for waiter in queue.by_priority():
            request, assignment = waiter.payload
            if assignment.done():
                continue
            selected = self._choose(request, now_s)
            if selected is not None:
                selected.record_send(now_s)
                assignment.set_result(selected)
                queue.discard(waiter)
            elif request.key is None and not request.tried_ids:
                break
        if queue:
            self._schedule_wake(service_id)

    def _refuse_unfinishable(self, queue: waitqueue.WaitQueue) -> None:
        """Refuses the queued requests that may no longer be sent."""
        for waiter in queue.by_priority():
            request, assignment = waiter.payload
            if assignment.done():
                continue
            try:
                self._check_may_send(request)
            except errors.StoppingError as error:
                assignment.set_exception(error)
                queue.discard(waiter)

    def _schedule_wake(self, service_id: str) -> None:
        if service_id not in self._wake_scheduled_ids:
            self._wake_scheduled_ids.add(service_id)
            self.post_later(WAKE_INTERVAL_S, messages.Wake(service_id))

    def _overloaded_error(
        self, request: pending.PendingRequest, text: str
    ) -> errors.OverloadedError:
        """Returns an overload error with the time to retry after."""
        error = errors.OverloadedError(text)
        now_s = self._clock.now_s()
        left_s = request.caller_left_s - (now_s - request.received_at_s)
        error.retry_after_s = waitqueue.retry_after_s(
            max(0.0, left_s),
            self._instance_table.typical_time_s(request.service_id),
            self._random.random(),
        )
        return error

    def _view(self, service_id: str | None = None) -> pending.View:
        version = self._admission.policy_version
        if service_id is None:
            return pending.View(version)
        return pending.View(
            version,
            self._key_owners.next_token(service_id),
            len(self._queue(service_id)),
        )

    def _queue(self, service_id: str) -> waitqueue.WaitQueue:
        queue = self._queues_by_service_id.get(service_id)
        if queue is None:
            queue = self._queues_by_service_id[service_id] = (
                waitqueue.WaitQueue()
            )
        return queue

    def _recent_keys(self, service_id: str) -> collections.deque[int]:
        keys = self._keys_by_service_id.get(service_id)
        if keys is None:
            keys = collections.deque(maxlen=MAX_REPORTED_KEYS)
            self._keys_by_service_id[service_id] = keys
        return keys

    def _collect_load(self, service_id: str) -> messages.ObservedLoad:
        keys = self._recent_keys(service_id)
        recent_keys = tuple(keys)
        keys.clear()
        times_by_id = {
            state.endpoint.instance_id: state.baseline_time_s
            for state in self._instance_table.of_service(service_id)
            if state.baseline_time_s
        }
        leaving_by_id = {
            state.endpoint.instance_id: state.endpoint.born_ms
            for state in self._instance_table.leaving(
                service_id, self._clock.now_s()
            )
        }
        return messages.ObservedLoad(recent_keys, times_by_id, leaving_by_id)

    def _describe(self) -> dict:
        return {
            'policy_version': self._admission.policy_version,
            'instances': len(self._instance_table.states_by_id),
            'key_maps': self._key_owners.next_tokens_by_service_id(),
        }
