"""Task that sends to instances, with load balancing and admission control.

It owns the connections to the instances and their load state. Each instance has
a concurrency limit and a queue of waiting requests.
"""

import math
from typing import Any

from oriolefold_backend import ports
from oriolefold_core import clock, data, errors, notices, tasks
from oriolefold_routing import admission, balance, deadlines, draining
from oriolefold_sending import messages
from oriolefold_telemetry import metrics


class _Finished:
    """Message: a send has ended."""

    def __init__(self, job: '_Job'):
        self.job = job


class _RequestEnded:
    """Message: a queued request has ended, or its caller has disconnected."""

    def __init__(self, waiter: admission.Waiter, instance_id: str):
        self.waiter = waiter
        self.instance_id = instance_id


class _Job:
    """A request and the instance that was chosen for it.

    Attributes:
        failed: Whether the send failed; true until an answer with a status
            below 500 arrives.
        took_s: Time to the answer in seconds, or None without one.
    """

    def __init__(self, ask, instance_id: str, permit: ports.Permit):
        self.ask = ask
        self.instance_id = instance_id
        self.permit = permit
        self.failed = True
        self.took_s: float | None = None


class Sender(tasks.Task):
    """Balances requests over instances and enforces their limits."""

    def __init__(
        self,
        zone_id: str,
        backend: ports.Backend,
        balancer: balance.Balancer,
        time: clock.Clock,
        recorder: metrics.Metrics,
    ):
        """Initializes the task.

        Args:
            zone_id: Availability zone of this process.
            backend: Port to the instances.
            balancer: Policy that chooses an instance.
            time: Clock that measures deadlines and latencies.
            recorder: Metrics in which the sends are counted.
        """
        super().__init__('sender')
        self._zone_id = zone_id
        self._backend = backend
        self._balancer = balancer
        self._clock = time
        self._metrics = recorder
        self._loads_by_id: dict[str, balance.InstanceLoad] = {}
        self._queues_by_id: dict[str, admission.AdmissionQueue] = {}
        self._ids_by_service_id: dict[str, tuple[str, ...]] = {}
        self._jobs_by_instance_id: dict[str, set[_Job]] = {}
        self._leaving_ids: frozenset[str] = frozenset()
        self._stops_at_s = math.inf

    async def on_stop(self) -> None:
        """Closes the connections."""
        await self._backend.close()

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.SendTo():
                self._admit(message, message.instance_id, message.permit)
            case messages.SendBalanced():
                self._admit_balanced(message)
            case messages.AbandonInstance():
                self._abandon(message.instance_id)
            case messages.Drain():
                self._stops_at_s = message.stops_at_s
                for queue in self._queues_by_id.values():
                    self._refuse_late(queue)
            case messages.RefuseQueued():
                self._refuse_queued()
                message.answer(None)
            case _Finished():
                self._finish(message)
            case _RequestEnded():
                queue = self._queues_by_id.get(message.instance_id)
                if queue is not None:
                    queue.discard(message.waiter)
            case notices.ConfigurationUpdated():
                self._configure(message.configuration)
            case notices.InstancesLeaving():
                self._leaving_ids = message.instance_ids

    def _configure(self, configuration: data.Configuration) -> None:
        register = configuration.register
        sender_count = max(1, len(register.vms_by_id))
        loads_by_id = {}
        queues_by_id = {}
        ids_by_service_id = {}
        for service in register.services_by_id.values():
            for instance_id, instance in service.instances_by_id.items():
                connection_share = max(1, instance.connections // sender_count)
                queue = self._queues_by_id.get(instance_id)
                if queue is None:
                    queue = admission.AdmissionQueue(connection_share)
                    queue.in_flight = self._count_jobs(instance_id)
                queue.limit = min(instance.slots, connection_share)
                queues_by_id[instance_id] = queue
                load = self._loads_by_id.get(instance_id)
                if load is None:
                    load = balance.InstanceLoad(instance, 0)
                    load.in_flight = self._count_jobs(instance_id)
                load.instance = instance
                load.distance = balance.distance(
                    register, self._zone_id, instance.zone_id
                )
                loads_by_id[instance_id] = load
            ids_by_service_id[service.service_id] = tuple(
                service.instances_by_id
            )
        for instance_id in self._queues_by_id.keys() - queues_by_id.keys():
            self._refuse_all_queued(instance_id, 'left the register')
        self._loads_by_id = loads_by_id
        self._queues_by_id = queues_by_id
        self._ids_by_service_id = ids_by_service_id

    def _count_jobs(self, instance_id: str) -> int:
        """Returns the requests that an instance has from an earlier entry."""
        return len(self._jobs_by_instance_id.get(instance_id, ()))

    def _refuse_all_queued(self, instance_id: str, reason: str) -> None:
        queue = self._queues_by_id.get(instance_id)
        for waiter in queue.pop_all() if queue else ():
            waiter.payload.ask.fail(
                errors.NoOwnerError(f'{instance_id} {reason}')
            )

    def _admit_balanced(self, ask: messages.SendBalanced) -> None:
        service_id = ask.request.service_id
        excluded = frozenset(ask.excluded_ids) | self._leaving_ids
        loads = [
            self._loads_by_id[instance_id]
            for instance_id in self._ids_by_service_id.get(service_id, ())
        ]
        try:
            load = self._balancer.choose(loads, excluded)
        except errors.OverloadedError as error:
            ask.fail(error)
            return
        instance_id = load.instance.instance_id
        ask.excluded_ids.add(instance_id)
        permit = ports.Permit(self._clock, ask.request.expires_at_s)
        self._admit(ask, instance_id, permit)

    def _admit(self, ask, instance_id: str, permit: ports.Permit) -> None:
        queue = self._queues_by_id.get(instance_id)
        if queue is None:
            text = f'{instance_id} is not in the register'
            ask.fail(errors.NoOwnerError(text))
            return
        request = ask.request
        if not self._may_send(request):
            ask.fail(_stopping_error())
            return
        job = _Job(ask, instance_id, permit)
        waiter = admission.Waiter(job, request.importance, request.expires_at_s)
        try:
            admitted, shed = queue.admit(waiter, self._clock.now_s())
        except errors.OverloadedError as error:
            error.message = f'{instance_id}: {error.message}'
            ask.fail(error)
            return
        if shed is not None:
            shed.payload.ask.fail(
                errors.OverloadedError('shed for a more important request')
            )
        if admitted:
            self._start_send(job)
        else:
            ask.reply.add_done_callback(
                lambda _: self.post(_RequestEnded(waiter, instance_id))
            )

    def _start_send(self, job: _Job) -> None:
        load = self._loads_by_id[job.instance_id]
        load.in_flight += 1
        self._jobs_by_instance_id.setdefault(job.instance_id, set()).add(job)
        child = self.spawn(self._send(job, load), job.ask)
        # A child that is cancelled before its first step runs none of its code,
        # so the slot is released by a callback and not inside the child.
        child.add_done_callback(lambda _: self.post(_Finished(job)))
        job.ask.reply.add_done_callback(lambda _: child.cancel())

    async def _send(self, job: _Job, load: balance.InstanceLoad) -> None:
        started_s = self._clock.now_s()
        try:
            remaining_ms = deadlines.remaining_ms(
                started_s, job.ask.request.expires_at_s
            )
            answer = await self._backend.send(
                load.instance, job.ask.request, remaining_ms, job.permit
            )
            job.failed = answer.status >= 500
            job.took_s = self._clock.now_s() - started_s
            size = len(job.ask.request.body) + len(answer.body)
            self._metrics.count_hop('server', load.distance, size)
            job.ask.answer(answer)
        except errors.OriolefoldError as error:
            job.ask.fail(error)

    def _abandon(self, instance_id: str) -> None:
        self._refuse_all_queued(instance_id, 'is declared lost')
        for job in self._jobs_by_instance_id.get(instance_id, ()):
            text = f'{instance_id} was declared lost while it had the request'
            job.ask.fail(errors.OutcomeUnknownError(text))

    def _may_send(self, request: data.Request) -> bool:
        """Whether a request can end before this VM stops."""
        return draining.may_send(request.expires_at_s, self._stops_at_s)

    def _refuse_late(self, queue: admission.AdmissionQueue) -> None:
        """Refuses the queued requests that cannot end before the stop."""
        for waiter in queue.pop_where(
            lambda waiter: not self._may_send(waiter.payload.ask.request)
        ):
            waiter.payload.ask.fail(_stopping_error())

    def _refuse_queued(self) -> None:
        for queue in self._queues_by_id.values():
            for waiter in queue.pop_all():
                text = 'this VM stops before the request was sent'
                waiter.payload.ask.fail(errors.StoppingError(text))

    def _finish(self, finished: _Finished) -> None:
        instance_id = finished.job.instance_id
        jobs = self._jobs_by_instance_id[instance_id]
        jobs.discard(finished.job)
        if not jobs:
            del self._jobs_by_instance_id[instance_id]
        load = self._loads_by_id.get(instance_id)
        queue = self._queues_by_id.get(instance_id)
        if load is None or queue is None:
            return
        load.in_flight -= 1
        load.record(finished.job.failed)
        next_waiter, expired = queue.release(
            self._clock.now_s(), finished.job.took_s
        )
        for waiter in expired:
            text = 'the deadline passed while the request was queued'
            waiter.payload.ask.fail(errors.DeadlineExpiredError(text))
        if next_waiter is not None:
            self._start_send(next_waiter.payload)


def _stopping_error() -> errors.StoppingError:
    return errors.StoppingError(
        'this VM stops before the request is sure to end'
    )
