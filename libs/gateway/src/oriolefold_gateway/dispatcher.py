"""Task that routes each request and retries failed ones.

Requests to a service without keys go to the sender of this VM. Requests to a
keyed service go to the VM that sends for the shard of the key: the shard
manager of this VM, or a peer.
"""

import asyncio
import dataclasses
import math
import random
from typing import Any

from oriolefold_coordination import notices as coordination_notices
from oriolefold_coordination import sharding, shardmap
from oriolefold_core import clock, data, errors, notices, results, tasks
from oriolefold_gateway import messages
from oriolefold_ownership import messages as ownership_messages
from oriolefold_peer import messages as peer_messages
from oriolefold_routing import balance, deadlines, draining, retries, routes
from oriolefold_sending import messages as sending_messages
from oriolefold_telemetry import logs, metrics

DEADLINE_GRACE_S = 0.05  # Lets the next hops report an expired deadline first.
MAX_STANDBY_CHAIN = 3  # A home, its standby and the standby of the standby.


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request in progress.

    Attributes:
        ask: Message of the front end, which holds the reply.
        route: Service and key of the request.
        request: The request as it is sent to an instance.
        started_s: When it was received.
        attempts: Sends that have, or may have, reached a server.
        waits: Sends that failed before they reached a server.
        tried_ids: Instances that the request was sent to.
        failure: Why the last send failed.
        may_have_run: Whether an instance may have begun to run the request.
    """

    ask: messages.Dispatch
    route: routes.Route
    request: data.Request
    started_s: float
    attempts: int = 0
    waits: int = 0
    tried_ids: set[str] = dataclasses.field(default_factory=set)
    failure: errors.Failure | None = None
    may_have_run: bool = False


class Dispatcher(tasks.Task):
    """Owns this VM's view of the configuration, shard maps and guards."""

    def __init__(
        self,
        vm_id: str,
        time: clock.Clock,
        shard_manager: tasks.Task,
        sender: tasks.Task,
        peers: tasks.Task,
        recorder: metrics.Metrics,
        generator: random.Random,
        log_answers: bool,
    ):
        """Initializes the task.

        Args:
            vm_id: This VM.
            time: Clock for deadlines.
            shard_manager: Task that sends requests to keyed services.
            sender: Task that sends requests to services without keys.
            peers: Task that calls other VMs.
            recorder: Metrics of requests and hops.
            generator: Source of random numbers for the backoff.
            log_answers: Whether to log every answered request.
        """
        super().__init__('dispatcher')
        self._vm_id = vm_id
        self._clock = time
        self._shard_manager = shard_manager
        self._sender = sender
        self._peers = peers
        self._metrics = recorder
        self._random = generator
        self._log_answers = log_answers
        self._configuration: data.Configuration | None = None
        self._maps_by_service_id: dict[str, shardmap.ShardMap] = {}
        self._guards_by_vm_id: dict[str, shardmap.Guard] = {}
        # Where to send for each home: to the home itself or to a standby of it.
        self._holders_by_home_id: dict[str, str] = {}
        self._budgets_by_service_id: dict[str, retries.RetryBudget] = {}
        self._stops_at_s = math.inf
        self._children_by_request: dict[_PendingRequest, asyncio.Task] = {}

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case messages.Dispatch():
                self._accept(message)
            case notices.ConfigurationUpdated():
                self._configuration = message.configuration
            case coordination_notices.MapUpdated():
                shard_map = message.shard_map
                self._maps_by_service_id[shard_map.service_id] = shard_map
            case coordination_notices.GuardsUpdated():
                self._guards_by_vm_id = message.guards_by_vm_id
            case messages.Explain():
                self._explain(message)
            case messages.DescribeView():
                message.answer(self._describe())
            case sending_messages.Drain():
                self._stops_at_s = message.stops_at_s
            case messages.EndRequests():
                self._end_requests()
                message.answer(None)

    def _accept(self, ask: messages.Dispatch) -> None:
        try:
            pending = self._create_pending(ask, self._clock.now_s())
        except errors.OriolefoldError as error:
            self._refuse(ask, error)
            return
        child = self.spawn(self._serve(pending), ask)
        self._children_by_request[pending] = child
        child.add_done_callback(
            lambda _: self._children_by_request.pop(pending)
        )
        # If the caller disconnects, the request is cancelled on every hop.
        ask.reply.add_done_callback(
            lambda reply: child.cancel() if reply.cancelled() else None
        )

    def _create_pending(
        self, ask: messages.Dispatch, now_s: float
    ) -> _PendingRequest:
        if self._configuration is None:
            raise errors.NoOwnerError('no configuration is in force yet')
        route = routes.route(
            self._configuration, ask.method, ask.target, ask.headers
        )
        expires_at_s = deadlines.initial_deadline(
            now_s - ask.held_s, route.deadline_s, ask.requested_deadline_ms
        )
        request = data.Request(
            ask.request_id,
            ask.method,
            ask.target,
            ask.header_pairs,
            ask.body,
            route.service.service_id,
            route.key,
            route.idempotent,
            route.importance,
            expires_at_s,
        )
        pending = _PendingRequest(ask, route, request, now_s)
        self._check_may_send(pending)
        return pending

    def _check_may_send(self, pending: _PendingRequest) -> None:
        """Checks that a request can end before this VM stops.

        Raises:
            StoppingError: If it may not.
        """
        request = pending.request
        if not draining.may_send(request.expires_at_s, self._stops_at_s):
            now_s = self._clock.now_s()
            logs.event(
                'drain.refused',
                request=request.request_id,
                service=request.service_id,
                idempotent=request.idempotent,
                sends=pending.attempts,
                left_ms=round((request.expires_at_s - now_s) * 1000),
                stops_in_ms=round((self._stops_at_s - now_s) * 1000),
            )
            raise errors.StoppingError(
                'this VM stops before the request is sure to end'
            )

    def _refuse(self, ask: messages.Dispatch, error) -> None:
        failure = errors.failure_of(error)
        outcome = results.outcome_of(failure).value
        self._metrics.count_request('', outcome, failure.category.value, 0.0)
        ask.fail(error)

    async def _serve(self, pending: _PendingRequest) -> None:
        service_id = pending.request.service_id
        left_s = pending.request.expires_at_s - pending.started_s
        try:
            async with asyncio.timeout(left_s + DEADLINE_GRACE_S):
                answer = await self._send_with_retries(pending)
        except TimeoutError:
            # A send in progress makes this an unknown outcome.
            text = 'no answer came before the deadline'
            self._fail(pending, errors.DeadlineExpiredError(text))
        except errors.OriolefoldError as error:
            self._fail(pending, error)
        except Exception as error:
            # The caller is owed an answer, whatever has failed here.
            self._fail(pending, errors.unexpected(error))
            raise
        else:
            pending.ask.answer(answer)
            took_s = self._clock.now_s() - pending.started_s
            self._metrics.count_request(
                service_id, results.Outcome.ANSWERED.value, '', took_s
            )
            if self._log_answers:
                self._log(
                    pending, 'request.answered', took_s, answer.status, ''
                )

    def _end_requests(self) -> None:
        for pending, child in list(self._children_by_request.items()):
            if pending.ask.reply.done():
                continue
            text = 'this VM stops before the request ended'
            self._fail(pending, errors.StoppingError(text))
            child.cancel()

    def _fail(self, pending: _PendingRequest, error) -> None:
        if pending.may_have_run and isinstance(error, errors.NotRunError):
            # A refused retry does not show that the first send did not run.
            error = errors.OutcomeUnknownError(error.message)
        failure = errors.failure_of(error)
        took_s = self._clock.now_s() - pending.started_s
        self._metrics.count_request(
            pending.request.service_id,
            results.outcome_of(failure).value,
            failure.category.value,
            took_s,
        )
        status = results.status_of(failure)
        self._log(pending, 'request.failed', took_s, status, str(error))
        pending.ask.fail(error)

    def _log(self, pending, name, took_s, status, error) -> None:
        logs.event(
            name,
            request=pending.request.request_id,
            service=pending.request.service_id,
            method=pending.request.method,
            status=status,
            took_ms=round(took_s * 1000, 2),
            attempts=pending.attempts,
            waits=pending.waits,
            error=error,
        )

    async def _send_with_retries(self, pending: _PendingRequest) -> data.Answer:
        service_id = pending.request.service_id
        budget = self._budgets_by_service_id.get(service_id)
        if budget is None:
            budget = self._budgets_by_service_id[service_id] = (
                retries.RetryBudget()
            )
        budget.record_attempt()
        while True:
            self._check_may_send(pending)
            may_have_run_before = pending.may_have_run
            pending.may_have_run = True
            try:
                return await self._send(pending)
            except errors.OriolefoldError as error:
                pending.failure = errors.failure_of(error)
                pending.may_have_run = (
                    may_have_run_before or not pending.failure.not_run
                )
                if not self._may_retry(pending, budget):
                    raise
            failed_sends = pending.attempts + pending.waits
            backoff_s = retries.backoff_s(failed_sends, self._random)
            await asyncio.sleep(backoff_s)

    def _may_retry(self, pending: _PendingRequest, budget) -> bool:
        if self._clock.now_s() >= pending.request.expires_at_s:
            return False
        if pending.route.service.keyed and retries.may_wait_for_owner(
            pending.failure
        ):
            # No server was reached, so a retry adds no load on servers.
            pending.waits += 1
            return True
        pending.attempts += 1
        return (
            retries.may_retry(
                pending.failure, pending.request.idempotent, pending.attempts
            )
            and budget.take()
        )

    async def _send(self, pending: _PendingRequest) -> data.Answer:
        if pending.route.service.keyed:
            return await self._send_keyed(pending)
        return await self._sender.ask(
            sending_messages.SendBalanced(pending.request, pending.tried_ids)
        )

    async def _send_keyed(self, pending: _PendingRequest) -> data.Answer:
        request = pending.request
        shard_map = self._maps_by_service_id.get(request.service_id)
        if shard_map is None:
            raise errors.NoOwnerError(
                f'service {request.service_id} has no shard map yet'
            )
        shard = sharding.shard_of(request.key, shard_map.shard_count)
        home_id = shard_map.rows[shard].home_id
        vm_id = self._holders_by_home_id.get(home_id, home_id)
        try:
            if vm_id == self._vm_id:
                return await self._shard_manager.ask(
                    ownership_messages.SendKeyed(request, shard)
                )
            return await self._forward(vm_id, request, shard)
        except errors.OriolefoldError as error:
            if (
                retries.may_wait_for_owner(errors.failure_of(error))
                or error.category is errors.Category.OUTCOME_UNKNOWN
            ):
                self._switch_holder(home_id, vm_id)
            raise

    def _switch_holder(self, home_id: str, failed_vm_id: str) -> None:
        """Fails over to the next VM in the chain of standbys of a home.

        After the last one it goes back to the home.
        """
        if self._holders_by_home_id.get(home_id, home_id) != failed_vm_id:
            return
        chain = shardmap.standby_chain(
            home_id, self._guards_by_vm_id, MAX_STANDBY_CHAIN
        )
        position = chain.index(failed_vm_id) if failed_vm_id in chain else -1
        next_id = chain[(position + 1) % len(chain)]
        self._holders_by_home_id[home_id] = next_id

    async def _forward(self, vm_id: str, request, shard: int) -> data.Answer:
        remaining_ms = deadlines.remaining_ms(
            self._clock.now_s(), request.expires_at_s
        )
        forward = messages.ForwardRequest(
            request.request_id,
            request.method,
            request.target,
            request.headers,
            request.body,
            request.service_id,
            request.key,
            shard,
            request.idempotent,
            request.importance,
            remaining_ms,
        )
        answer = await self._peers.ask(peer_messages.CallPeer(vm_id, forward))
        size = len(request.body) + len(answer.body)
        self._metrics.count_hop('peer', self._distance_to(vm_id), size)
        return answer

    def _distance_to(self, vm_id: str) -> int:
        register = self._configuration.register
        here = register.vms_by_id.get(self._vm_id)
        there = register.vms_by_id.get(vm_id)
        if here is None or there is None:
            return balance.OTHER_REGION
        return balance.distance(register, here.zone_id, there.zone_id)

    def _explain(self, ask: messages.Explain) -> None:
        try:
            route = routes.route(
                self._configuration, ask.method, ask.target, ask.headers
            )
        except errors.OriolefoldError as error:
            ask.fail(error)
            return
        service = route.service
        explained = {
            'service': service.service_id,
            'keyed': service.keyed,
            'key': route.key,
            'idempotent': route.idempotent,
            'deadline_ms': int(route.deadline_s * 1000),
            'importance': route.importance,
            'configuration_version': self._configuration.version,
        }
        shard_map = self._maps_by_service_id.get(service.service_id)
        if service.keyed and shard_map is not None:
            shard = sharding.shard_of(route.key, shard_map.shard_count)
            row = shard_map.rows[shard]
            explained |= {
                'shard': shard,
                'owner': row.owner_id,
                'standby': row.standby_id,
                'home': row.home_id,
                'home_asked': self._holders_by_home_id.get(
                    row.home_id, row.home_id
                ),
                'map_epoch': shard_map.epoch,
            }
        ask.answer(explained)

    def _describe(self) -> dict:
        version = self._configuration.version if self._configuration else 0
        return {
            'vm': self._vm_id,
            'configuration_version': version,
            'map_epochs': {
                service_id: shard_map.epoch
                for service_id, shard_map in self._maps_by_service_id.items()
            },
            'draining': math.isfinite(self._stops_at_s),
        }
