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
    acquisition,
    admission,
    keyowners,
    messages,
    pending,
    ports,
    retries,
    silentsends,
)
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import (
    announcements,
    attempts,
    concurrency,
    draining,
    instancetable,
    topology,
)
from oriolefold_sending import messages as sending_messages
from oriolefold_telemetry import counters

MISDIRECTED_RETRY_DELAY_S = 0.1  # Before a retry after a misdirected send.
MAX_REPORTED_KEYS = 4096  # Latest keys kept for the next load report.

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
        self._admission = admission.Admission(key_header)
        self._instance_table = instancetable.InstanceTable(locality, generator)
        self._key_owners = keyowners.KeyOwners(self._instance_table)
        self._acquisition = acquisition.Acquisition(
            self._instance_table,
            self._key_owners,
            time,
            self._reporter,
            generator,
            self._check_may_send,
            lambda delay_s, service_id: self.post_later(
                delay_s, messages.Wake(service_id)
            ),
        )
        self._silent_sends = silentsends.SilentSends(
            time,
            self._retries,
            self._reporter,
            self._instance_table,
        )
        self._keys_by_service_id: dict[str, collections.deque[int]] = {}
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
                self._acquisition.update_policy(message.policy)
            case messages.EndpointsUpdated():
                self._update_endpoints(message.endpoints_by_id)
            case messages.KeyMapUpdated():
                self._update_key_map(message)
            case messages.GrantedRanges():
                self._apply_granted(message)
            case messages.Wake():
                self._acquisition.wake_on_schedule(message.service_id)
            case messages.SharesUpdated():
                self._update_shares(message)
            case messages.PermitsGranted():
                self._reporter.permits_granted(message)
                permits = self._instance_table.permits
                permits.add(message.permits_by_id, message.sent_at_s)
                self._acquisition.wake_all()
            case sending_messages.Drain():
                self._stops_at_s = message.stops_at_s
                self._acquisition.refuse_all_unfinishable()
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
        self._acquisition.refuse_all_pushed_back()
        self._acquisition.wake_all()

    def _update_shares(self, update: messages.SharesUpdated) -> None:
        if update.short_queues:
            self._instance_table.require_short_queues(update.service_id)
        now_s = self._clock.now_s()
        for instance_id, share in update.shares_by_id.items():
            known = self._instance_table.states_by_id.get(instance_id)
            if known is not None:
                known.set_quota(share, now_s)
        for instance_id, part in update.admitted_by_id.items():
            known = self._instance_table.states_by_id.get(instance_id)
            if known is not None:
                known.set_admitted(part, now_s)

    def _update_key_map(self, update: messages.KeyMapUpdated) -> None:
        if self._key_owners.update(update):
            self._acquisition.wake(update.key_map.service_id)

    def _apply_granted(self, granted: messages.GrantedRanges) -> None:
        if self._key_owners.apply_granted(granted):
            self._acquisition.wake(granted.service_id)

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
            raise self._acquisition.overloaded_error(
                request, 'no instance had capacity before the deadline'
            ) from error

    async def _send_until_done(
        self, request: pending.PendingRequest
    ) -> data.Answer:
        while True:
            instance = await self._acquisition.acquire(request)
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
            return self._acquisition.overloaded_error(request, error.message)
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
            now_s = self._clock.now_s()
            withheld = not (
                instance.wants(request.key is not None, now_s)
                and self._acquisition.may_send_to(request, instance)
                and instance.take_permit(now_s)
            )
            return not withheld

        try:
            sending = self._instances.send(
                endpoint,
                request.call,
                request.expires_at_s - started_s,
                may_send,
            )
            answer = await self._silent_sends.watch(request, instance, sending)
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
            if withheld or isinstance(error, errors.UnverifiedError):
                result = concurrency.SendResult.WITHHELD
            if isinstance(error, errors.AnnouncingError):
                self._heed(endpoint, error)
            self._reporter.send_failed(request, instance, started_s, error)
            raise
        except errors.ResponseDroppedError as error:
            self._reporter.send_failed(request, instance, started_s, error)
            raise
        except errors.OriolefoldError as error:
            result = (
                concurrency.SendResult.SILENT
                if isinstance(error, errors.SilentInstanceError)
                else concurrency.SendResult.FAILED
            )
            if isinstance(error, errors.AnnouncingError):
                self._heed(endpoint, error)
            self._reporter.send_failed(request, instance, started_s, error)
            raise
        finally:
            instance.record_end(request.route.rank)
            now_s = self._clock.now_s()
            took_s = now_s - started_s - held_up_s
            instance.record(result, took_s, now_s, request.route.rank)
            self._reporter.sent(instance, result)
            self._acquisition.wake(request.service_id)
        return answer

    def _heed(
        self,
        endpoint: topology.Endpoint,
        said: data.Answer | errors.AnnouncingError,
    ) -> None:
        """Records what an instance has announced with a response."""
        now_s = self._clock.now_s()
        held_up_s = said.held_up_s if isinstance(said, data.Answer) else 0.0
        if said.load is not None:
            is_first = self._instance_table.record_load(
                endpoint, said.load, now_s - held_up_s
            )
            self._reporter.load_read(endpoint, said.load, held_up_s, is_first)
        if not said.leaving and said.pushback_s <= 0:
            return
        news = self._instance_table.record_announcement(
            endpoint,
            announcements.Announcement(said.leaving, said.pushback_s),
            now_s,
        )
        self._reporter.announced(endpoint, news, held_up_s)
        if news.leaving or said.pushback_s:
            self._acquisition.refuse_pushed_back(endpoint.service_id)

    def _view(self, service_id: str | None = None) -> pending.View:
        version = self._admission.policy_version
        if service_id is None:
            return pending.View(version)
        return pending.View(
            version,
            self._key_owners.next_token(service_id),
            self._acquisition.waiting(service_id),
        )

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
        now_s = self._clock.now_s()
        waiting = self._acquisition.waiting(service_id)
        cold_ids = self._key_owners.wanted_cold_ids(
            service_id, recent_keys, waiting, now_s
        )
        needs_short_queues = self._instance_table.needs_short_queues(service_id)
        return messages.ObservedLoad(
            recent_keys,
            times_by_id,
            leaving_by_id,
            cold_ids,
            needs_short_queues,
            now_s,
        )

    def _describe(self) -> dict:
        return {
            'policy_version': self._admission.policy_version,
            'instances': len(self._instance_table.states_by_id),
            'key_maps': self._key_owners.next_tokens_by_service_id(),
        }
