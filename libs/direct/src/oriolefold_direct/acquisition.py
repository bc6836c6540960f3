"""Finds an instance with capacity for each request, and queues what waits.

The object belongs to the dispatcher, in whose task all of it runs.
"""

import asyncio
import math
import random
from collections.abc import Callable

from oriolefold_core import clock, errors
from oriolefold_direct import keyowners, pending, regionlimits
from oriolefold_routing import (
    concurrency,
    instancetable,
    loadshedding,
    policy,
    scarcity,
    selection,
    waitqueue,
)

WAKE_INTERVAL_S = 0.05  # Interval of capacity checks while requests wait.


class Acquisition:
    """Queues of the services, and the choice of instances for requests."""

    def __init__(
        self,
        instance_table: instancetable.InstanceTable,
        key_owners: keyowners.KeyOwners,
        time: clock.Clock,
        reporter: pending.Reporter,
        generator: random.Random,
        check_may_send: Callable[[pending.PendingRequest], None],
        schedule_wake: Callable[[float, str], None],
    ):
        """Initializes it without queued requests.

        Args:
            instance_table: The known instances.
            key_owners: The known owners of keys.
            time: Clock for deadlines.
            reporter: Logs of decisions.
            generator: Source of random numbers.
            check_may_send: Raises `StoppingError` if a request cannot end
                before this VM stops.
            schedule_wake: Arranges a call of `wake` for a service after some
                seconds.
        """
        self._instance_table = instance_table
        self._key_owners = key_owners
        self._clock = time
        self._reporter = reporter
        self._random = generator
        self._check_may_send = check_may_send
        self._post_wake = schedule_wake
        self._regions = regionlimits.RegionLimits(instance_table.locality)
        self._queues_by_service_id: dict[str, waitqueue.WaitQueue] = {}
        self._wake_scheduled_ids: set[str] = set()
        self._scarcity_by_service_id: dict[str, scarcity.Scarcity] = {}
        self._shedding_by_service_id: dict[str, loadshedding.LoadShedding] = {}

    async def acquire(
        self, request: pending.PendingRequest
    ) -> concurrency.InstanceState:
        """Selects an instance with capacity and counts the request there.

        Waits in the queue if no instance has capacity.

        Raises:
            OverloadedError: If no instance has capacity in time, or none is in
                its allowed regions.
            StoppingError: If it cannot end before this VM stops.
        """
        queue = self._queue(request.service_id)
        now_s = self._clock.now_s()
        self._check_may_send(request)
        kind_id = request.route.route_id
        admission = self._scarcity(request.service_id)
        if not request.sends:
            admission.record_arrival(kind_id, request.caller_left_s, now_s)
        standing = admission.standing(
            kind_id, request.route.rank, request.caller_left_s, now_s
        )
        if request.key is not None and not request.sends:
            self._shed(request, standing.rank, now_s)
        if not queue:
            selected = self._take(request, standing.rank, now_s)
            if selected is not None:
                return selected
        waiter = waitqueue.Waiter(
            None,
            standing.rank,
            self._give_up_at_s(request),
            returning=standing.returning,
            since_s=now_s,
        )
        self._update_owner(waiter, request, now_s)
        if queue and not self._is_any_ahead(queue, waiter, request):
            selected = self._take(request, waiter.rank, now_s)
            if selected is not None:
                return selected
        self._check_regions(request, waiter.give_up_at_s)
        self._check_wait(queue, waiter, request, now_s)
        self._check_pushback(request, waiter.give_up_at_s)
        return await self._wait_for_instance(queue, waiter, request, now_s)

    def _give_up_at_s(self, request: pending.PendingRequest) -> float:
        """Returns until when a request may wait for an instance."""
        return request.received_at_s + waitqueue.max_wait_s(
            request.route.objective_s, self._expected_time_s(request)
        )

    async def _wait_for_instance(
        self,
        queue: waitqueue.WaitQueue,
        waiter: waitqueue.Waiter,
        request: pending.PendingRequest,
        now_s: float,
    ) -> concurrency.InstanceState:
        """Queues a request until an instance is assigned to it.

        Raises:
            OverloadedError: If none is in time.
        """
        assignment = asyncio.get_running_loop().create_future()
        waiter.payload = (request, assignment)
        queue.add(waiter)
        if self._regions.in_use:
            # Requests ahead may wait for regions that this one does not need.
            self.wake(request.service_id)
        self._schedule_wake(request.service_id)
        if queue.has_other_rank(waiter.rank):
            self._record_overload(request.service_id)
        if request.key is not None and self._choose(
            request, now_s, waiter.rank
        ):
            self.wake(request.service_id)  # What waited longer gets this turn.
        left_s = max(0.0, waiter.give_up_at_s - now_s)
        try:
            async with asyncio.timeout(left_s):
                return await assignment
        except TimeoutError as error:
            self._record_overload(request.service_id)
            self._release_instance(request, assignment)
            if request.key is not None:
                self._log_unavailable_owner(request)
            text = f'no instance of {request.service_id} has capacity'
            raise self.overloaded_error(request, text) from error
        except asyncio.CancelledError:
            self._release_instance(request, assignment)
            raise
        finally:
            queue.discard(waiter)

    def _shed(
        self, request: pending.PendingRequest, rank: int, now_s: float
    ) -> None:
        """Checks that the owner of a key can take one more request.

        Raises:
            OverloadedError: If it is among those that its owner cannot take.
        """
        if not self._instance_table.needs_short_queues(request.service_id):
            return
        owner = self._owner(request)
        if owner is None:
            return
        shedding = self._shedding_by_service_id.setdefault(
            request.service_id, loadshedding.LoadShedding()
        )
        shedding.record(rank, owner.reserved.time_s(request.route.rank))
        if now_s >= owner.admitted_until_s or shedding.admits(
            rank, owner.admitted, self._random.random()
        ):
            return
        self._reporter.shed(
            request, owner, shedding.probability(rank, owner.admitted)
        )
        raise self.overloaded_error(
            request, f'{owner.endpoint.instance_id} has too many requests'
        )

    def _record_overload(self, service_id: str) -> None:
        """Lets admission control act, if it may in the service."""
        if self._instance_table.needs_short_queues(service_id):
            self._scarcity(service_id).record_overload(self._clock.now_s())

    def _is_any_ahead(
        self,
        queue: waitqueue.WaitQueue,
        waiter: waitqueue.Waiter,
        request: pending.PendingRequest,
    ) -> bool:
        """Whether a queued request has to be served before a new one.

        Requests for one busy owner must not delay those for other owners.
        """
        if request.key is None:
            return queue.count_ahead(waiter.rank) > 0
        return waiter.owner_is_shared and queue.any_ahead(waiter)

    def _update_owner(
        self,
        waiter: waitqueue.Waiter,
        request: pending.PendingRequest,
        now_s: float,
    ) -> None:
        """Notes the owner that a request waits for, and its rank there."""
        if request.key is None:
            return
        owner = self._owner(request)
        waiter.owner_id = '' if owner is None else owner.endpoint.instance_id
        waiter.owner_is_shared = False
        if owner is not None:
            owner.reserved.record_seen(request.route.rank, now_s)
            waiter.owner_is_shared = (
                owner.divides_room and owner.reserved.is_shared(now_s)
            )

    def _take(
        self, request: pending.PendingRequest, rank: int, now_s: float
    ) -> concurrency.InstanceState | None:
        """Chooses an instance, if one has capacity, and counts the request."""
        selected = self._choose(request, now_s, rank)
        if selected is None:
            return None
        selected.record_send(now_s, request.route.rank)
        if not request.sends:
            admission = self._scarcity(request.service_id)
            admission.record_send(request.route.route_id)
        return selected

    def _check_wait(
        self,
        queue: waitqueue.WaitQueue,
        waiter: waitqueue.Waiter,
        request: pending.PendingRequest,
        now_s: float,
    ) -> None:
        """Checks that a new request can be expected to be sent in time.

        Raises:
            OverloadedError: If it cannot.
        """
        if not queue or not self._scarcity(request.service_id).is_active(now_s):
            return
        ahead = queue.count_before(waiter)
        error = self._early_rejection(waiter, request, ahead, now_s)
        if error is not None:
            raise error

    def _early_rejection(
        self,
        waiter: waitqueue.Waiter,
        request: pending.PendingRequest,
        ahead: int,
        now_s: float,
    ) -> errors.OverloadedError | None:
        """Returns the error if a request would not be sent in time."""
        admission = self._scarcity(request.service_id)
        left_s = waiter.give_up_at_s - now_s
        if not admission.exceeds_limit(waiter.owner_id, ahead, left_s, now_s):
            return None
        self._record_overload(request.service_id)
        self._reporter.rejected_early(
            request,
            waiter,
            ahead,
            admission.expected_wait_s(waiter.owner_id, ahead, now_s),
        )
        return self.overloaded_error(
            request, f'the wait for {request.service_id} would be too long'
        )

    def waiting(self, service_id: str) -> int:
        """Returns the number of queued requests of a service."""
        return len(self._queue(service_id))

    def update_policy(self, newest: policy.Policy) -> None:
        """Binds the queued requests by a newer configuration, too."""
        self._regions.update(newest, self._clock.now_s())
        self.wake_all()

    def may_send_to(
        self,
        request: pending.PendingRequest,
        instance: concurrency.InstanceState,
    ) -> bool:
        """Whether the regions of a request still allow its instance."""
        if self._is_within_regions(request, instance):
            return True
        self._report_regions(request, 'instance-outside')
        return False

    def _is_within_regions(
        self,
        request: pending.PendingRequest,
        instance: concurrency.InstanceState,
    ) -> bool:
        return self._instance_table.locality.is_within(
            instance.endpoint.zone_id, self._regions.allowed_region_ids(request)
        )

    def _check_regions(
        self, request: pending.PendingRequest, give_up_at_s: float
    ) -> None:
        """Checks that a request may wait for an instance in its regions.

        Raises:
            OverloadedError: If none of them can take it in time.
        """
        now_s = self._clock.now_s()
        demand = self._demand(request, now_s)
        if not demand.allowed_region_ids:
            return
        owner = self._owner(request) if request.key is not None else None
        if owner is None:
            usable_from_s = self._instance_table.usable_from_s(demand, now_s)
            reason = 'no-instance'
        elif self._is_within_regions(request, owner):
            usable_from_s, reason = owner.usable_from_s, ''
        else:
            usable_from_s, reason = math.inf, 'owner-outside'
        if usable_from_s <= give_up_at_s:
            return
        is_usable_later = math.isfinite(usable_from_s)
        if is_usable_later:
            reason = 'none-in-time'
        self._report_regions(request, reason)
        error = self.overloaded_error(
            request,
            f'no instance of {request.service_id} can be sent it in its allowed'
            f' regions: {reason}',
        )
        if is_usable_later:
            error.retry_after_s = max(
                error.retry_after_s, round(usable_from_s - now_s, 3)
            )
        raise error

    def _report_regions(
        self, request: pending.PendingRequest, reason: str
    ) -> None:
        now_s = self._clock.now_s()
        table = self._instance_table
        self._reporter.region_refused(
            request,
            reason,
            self._regions.allowed_region_ids(request),
            policy=self._regions.policy_version,
            policy_age_ms=_age_ms(now_s, self._regions.changed_at_s),
            instances=len(table.of_service(request.service_id)),
            instances_age_ms=_age_ms(now_s, table.updated_at_s),
        )

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
                self._demand(request, now_s), now_s
            )
        else:
            owner = self._owner(request)
            if owner is None:
                return
            busy_until_s = owner.belief.busy_until_s
        if busy_until_s <= give_up_at_s:
            return
        error = self.overloaded_error(
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

    def _release_instance(
        self, request: pending.PendingRequest, assignment: asyncio.Future
    ) -> None:
        """Undoes the assignment of an instance to an abandoned request."""
        if not assignment.done() or assignment.cancelled():
            return
        if assignment.exception() is None:
            assignment.result().record_end(request.route.rank)

    def _choose(
        self, request: pending.PendingRequest, now_s: float, rank: int
    ) -> concurrency.InstanceState | None:
        if request.key is None:
            return self._instance_table.choose(
                self._demand(request, now_s, rank), now_s
            )
        owner = self._owner(request)
        if (
            owner is None
            or not owner.has_capacity(now_s, rank)
            or not self._is_within_regions(request, owner)
        ):
            return None
        return owner

    def _demand(
        self,
        request: pending.PendingRequest,
        now_s: float,
        rank: int | None = None,
    ) -> selection.Demand:
        route = request.route
        return selection.Demand(
            request.service_id,
            # The owner of a key may be sent a request again.
            () if request.key is not None else request.tried_ids,
            self._regions.allowed_region_ids(request),
            body_bytes=len(request.call.body),
            left_s=request.received_at_s + route.objective_s - now_s,
            rank=route.rank if rank is None else rank,
        )

    def _owner(
        self, request: pending.PendingRequest
    ) -> concurrency.InstanceState | None:
        """Returns the owner of the key, or None if it cannot be sent to now."""
        return self._key_owners.find(request.service_id, request.key)[0]

    def _log_unavailable_owner(self, request: pending.PendingRequest) -> None:
        """Logs why the owner of a key got no request."""
        owner, obstacle = self._key_owners.find(request.service_id, request.key)
        self._reporter.owner_unavailable(request, owner, obstacle)

    def refuse_pushed_back(self, service_id: str) -> None:
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

    def refuse_all_unfinishable(self) -> None:
        """Refuses the queued requests that may no longer be sent."""
        for queue in self._queues_by_service_id.values():
            self._refuse_unfinishable(queue)

    def refuse_all_pushed_back(self) -> None:
        """Refuses the queued requests that no instance wants in their time."""
        for service_id in self._queues_by_service_id:
            self.refuse_pushed_back(service_id)

    def wake_all(self) -> None:
        """Assigns instances to the queued requests of all services."""
        for service_id in self._queues_by_service_id:
            self.wake(service_id)

    def wake_on_schedule(self, service_id: str) -> None:
        """Assigns instances when the time that was arranged has come."""
        self._wake_scheduled_ids.discard(service_id)
        self._reject_unservable(service_id)
        self.wake(service_id)

    def wake(self, service_id: str) -> None:
        """Assigns instances to queued requests, most urgent first."""
        queue = self._queues_by_service_id.get(service_id)
        if not queue:
            return
        now_s = self._clock.now_s()
        full_region_ids: set[frozenset[str]] = set()
        full_owner_ids = set()
        admission = self._scarcity(service_id)
        for waiter in queue.by_priority():
            request, assignment = waiter.payload
            if assignment.done():
                continue
            self._update_owner(waiter, request, now_s)
            # What waits for the same owner stays in order of priority.
            if waiter.owner_id in full_owner_ids:
                continue
            region_ids = self._regions.allowed_region_ids(request)
            is_first_send = request.key is None and not request.tried_ids
            selected = None
            if not (is_first_send and region_ids in full_region_ids):
                selected = self._take(request, waiter.rank, now_s)
            if selected is not None:
                admission.record_start(waiter.owner_id, waiter.since_s, now_s)
                assignment.set_result(selected)
                queue.discard(waiter)
                continue
            if waiter.owner_id:
                full_owner_ids.add(waiter.owner_id)
            if is_first_send:
                if not self._regions.in_use:
                    break
                full_region_ids.add(region_ids)
            if region_ids:
                self._refuse_outside_regions(queue, waiter)
        if queue:
            self._schedule_wake(service_id)

    def _refuse_outside_regions(
        self, queue: waitqueue.WaitQueue, waiter: waitqueue.Waiter
    ) -> None:
        """Refuses a request that no instance in its regions can take."""
        request, assignment = waiter.payload
        try:
            self._check_regions(request, waiter.give_up_at_s)
        except errors.OverloadedError as error:
            assignment.set_exception(error)
            queue.discard(waiter)

    def _reject_unservable(self, service_id: str) -> None:
        """Rejects queued requests that more urgent ones have pushed back."""
        queue = self._queues_by_service_id.get(service_id)
        now_s = self._clock.now_s()
        if not queue or not self._scarcity(service_id).is_active(now_s):
            return
        ahead_by_owner_id: dict[str, int] = {}
        for waiter in queue.by_priority():
            request, assignment = waiter.payload
            if assignment.done():
                continue
            ahead = ahead_by_owner_id.get(waiter.owner_id, 0)
            error = self._early_rejection(waiter, request, ahead, now_s)
            if error is None:
                ahead_by_owner_id[waiter.owner_id] = ahead + 1
                continue
            assignment.set_exception(error)
            queue.discard(waiter)

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
            self._post_wake(WAKE_INTERVAL_S, service_id)

    def overloaded_error(
        self, request: pending.PendingRequest, text: str
    ) -> errors.OverloadedError:
        """Returns an overload error with the time to retry after."""
        error = errors.OverloadedError(text)
        now_s = self._clock.now_s()
        left_s = request.caller_left_s - (now_s - request.received_at_s)
        owner = self._owner(request) if request.key is not None else None
        line_id = '' if owner is None else owner.endpoint.instance_id
        spread_s = self._scarcity(request.service_id).retry_after_s(
            line_id,
            self._queue(request.service_id).line_length(line_id),
            max(0.0, left_s),
            now_s,
        )
        if spread_s is not None:
            error.retry_after_s = spread_s
            return error
        error.retry_after_s = waitqueue.retry_after_s(
            max(0.0, left_s),
            self._instance_table.typical_time_s(request.service_id),
            self._random.random(),
        )
        return error

    def _scarcity(self, service_id: str) -> scarcity.Scarcity:
        known = self._scarcity_by_service_id.get(service_id)
        if known is None:
            known = scarcity.Scarcity()
            self._scarcity_by_service_id[service_id] = known
        return known

    def _queue(self, service_id: str) -> waitqueue.WaitQueue:
        queue = self._queues_by_service_id.get(service_id)
        if queue is None:
            queue = self._queues_by_service_id[service_id] = (
                waitqueue.WaitQueue()
            )
        return queue


def _age_ms(now_s: float, since_s: float) -> int | None:
    age_s = now_s - since_s
    return round(age_s * 1000) if math.isfinite(age_s) else None
