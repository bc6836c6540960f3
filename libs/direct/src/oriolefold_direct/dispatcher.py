"""Task that places each request on an instance and decides on repeats."""

import asyncio
import collections
import random
from typing import Any

from oriolefold_coordination import ranges
from oriolefold_core import clock, data, errors, tasks
from oriolefold_direct import flights, messages, ports
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import (
    attempts,
    deadlines,
    fleet,
    outlook,
    policy,
    waiting,
)
from oriolefold_telemetry import counters

MAX_SENDS = 3  # Sends of one request, refused ones included.
MISDIRECTED_PAUSE_S = 0.1  # Before a request goes to an owner that refused it.
MAX_SEEN_KEYS = 4096  # Requests whose keys are kept for the next report.
WAKE_S = 0.05  # Pause after which paused instances are looked at again.

_RESULTS_BY_CATEGORY = {
    errors.Category.OVERLOADED: outlook.Result.REFUSED,
    errors.Category.UNREACHABLE: outlook.Result.UNREACHABLE,
    errors.Category.OUTCOME_UNKNOWN: outlook.Result.FAILED,
}


class Dispatcher(tasks.Task):
    """Owns this VM's view of routes, instances and owners of keys."""

    def __init__(
        self,
        vicinity: fleet.Vicinity,
        key_header: str,
        instances: ports.Instances,
        time: clock.Clock,
        terms: attempts.BudgetTerms,
        recorder: counters.Counters,
        generator: random.Random,
    ):
        """Makes the task.

        Args:
            vicinity: Where this VM stands.
            key_header: Header that holds the key of a request.
            instances: Port to the instances.
            time: Clock for deadlines and pauses.
            terms: Bounds on repeats.
            recorder: Counts requests and sends.
            generator: Source of random numbers.
        """
        super().__init__('dispatcher')
        self._key_header = key_header
        self._instances = instances
        self._clock = time
        self._terms = terms
        self._reporter = flights.Reporter(time, recorder)
        self._random = generator
        self._policy: policy.Policy | None = None
        self._splitter = policy.Splitter()
        self._fleet = outlook.Fleet(vicinity)
        self._maps_by_service_id: dict[str, ranges.KeyMap] = {}
        self._map_versions_by_service_id: dict[str, int] = {}
        self._lines_by_service_id: dict[str, waiting.Line] = {}
        self._budgets_by_service_id: dict[str, attempts.AttemptBudget] = {}
        self._keys_by_service_id: dict[str, collections.deque[int]] = {}
        self._waking_ids: set[str] = set()

    async def handle(self, message: Any) -> None:
        """Handles one message."""
        match message:
            case gateway_messages.Dispatch():
                self._take(message)
            case messages.PolicyInForce():
                self._policy = message.policy
            case messages.EndpointsKnown():
                now_s = self._clock.now_s()
                self._fleet.update(message.endpoints_by_id, now_s)
                self._wake_all()
            case messages.KeyMapKnown():
                self._take_key_map(message)
            case messages.Wake():
                self._waking_ids.discard(message.service_id)
                self._wake(message.service_id)
            case messages.SharesKnown():
                now_s = self._clock.now_s()
                for instance_id, share in message.shares_by_id.items():
                    known = self._fleet.outlooks_by_id.get(instance_id)
                    if known is not None:
                        known.divide(share, now_s)
            case messages.ReadLoad():
                message.answer(self._seen_load(message.service_id))
            case messages.DescribeView():
                message.answer(self._describe())

    def _take_key_map(self, known: messages.KeyMapKnown) -> None:
        service_id = known.key_map.service_id
        if known.version <= self._map_versions_by_service_id.get(service_id, 0):
            return
        self._map_versions_by_service_id[service_id] = known.version
        self._maps_by_service_id[service_id] = known.key_map
        self._wake(service_id)

    def _take(self, ask: gateway_messages.Dispatch) -> None:
        now_s = self._clock.now_s()
        try:
            flight = self._start(ask, now_s)
        except errors.OriolefoldError as error:
            self._reporter.refused(ask, error, self._view())
            ask.fail(error)
            return
        child = self.spawn(self._serve(flight))
        # A caller that goes away ends the work at the instance.
        ask.reply.add_done_callback(
            lambda reply: child.cancel() if reply.cancelled() else None
        )

    def _start(
        self, ask: gateway_messages.Dispatch, now_s: float
    ) -> flights.Flight:
        if self._policy is None:
            raise errors.NoOwnerError('no configuration is known yet')
        host = ask.headers.get('Host', '')
        route = self._policy.find(host, ask.target)
        if route is None:
            raise errors.UnknownServiceError(
                f'no route of host {host[:64]!r} begins the path'
            )
        caller_left_s = (
            deadlines.starting(
                now_s, deadlines.MAX_DEADLINE_S, ask.asked_deadline_ms
            )
            - now_s
        )
        service_id = self._splitter.choose(route)
        profile = self._policy.services_by_id.get(service_id)
        if profile is None:
            raise errors.NoOwnerError(f'service {service_id} is not known')
        key = self._key(ask) if profile.keyed else None
        call = ports.Call(
            ask.request_id, ask.method, ask.target, ask.header_pairs, ask.body
        )
        self._budget(service_id).record_request(now_s)
        if key is not None:
            self._seen_keys(service_id).append(key)
        return flights.Flight(
            ask,
            route,
            service_id,
            key,
            call,
            now_s,
            now_s + min(caller_left_s, route.timeout_s),
            caller_left_s,
        )

    def _key(self, ask: gateway_messages.Dispatch) -> int:
        text = ask.headers.get(self._key_header, '').strip()
        if not text:
            raise errors.MissingKeyError(f'header {self._key_header}: no key')
        if not text.isascii() or not text.isdigit():
            raise errors.RequestError(
                f'header {self._key_header}: {text[:16]!r} is no key'
            )
        key = int(text)
        if key >= ranges.KEY_COUNT:
            raise errors.RequestError(
                f'header {self._key_header}: {key} is out of range'
            )
        return key

    async def _serve(self, flight: flights.Flight) -> None:
        try:
            answer = await self._answer(flight)
        except errors.OriolefoldError as error:
            if flight.answer is not None:
                self._finish(flight, flight.answer)
                return
            told = self._honest(flight, error)
            self._reporter.failed(flight, told, self._view(flight.service_id))
            flight.ask.fail(told)
        else:
            self._finish(flight, answer)

    def _finish(self, flight: flights.Flight, answer: data.Answer) -> None:
        view = self._view(flight.service_id)
        self._reporter.answered(flight, answer.status, view)
        flight.ask.answer(answer)

    async def _answer(self, flight: flights.Flight) -> data.Answer:
        left_s = flight.expires_at_s - self._clock.now_s()
        try:
            async with asyncio.timeout(left_s):
                return await self._send_until_done(flight)
        except TimeoutError as error:
            if flight.may_have_run:
                raise errors.OutcomeUnknownError(
                    'no answer came in time'
                ) from error
            raise self._refusal(
                flight, 'no instance had room in time'
            ) from error

    async def _send_until_done(self, flight: flights.Flight) -> data.Answer:
        while True:
            place = await self._place(flight)
            try:
                answer = await self._send(flight, place)
            except errors.OriolefoldError as error:
                if not self._may_repeat(flight, error):
                    raise self._told(flight, error) from error
                if error.category is errors.Category.MISDIRECTED:
                    await asyncio.sleep(MISDIRECTED_PAUSE_S)
                continue
            if (
                answer.status < flights.FAILED_STATUS
                or not flight.route.idempotent
            ):
                return answer
            flight.answer = answer
            if not self._may_repeat(flight, None):
                return answer

    def _told(self, flight: flights.Flight, error) -> errors.OriolefoldError:
        """Returns what the caller gets when its request is given up."""
        if isinstance(error, errors.NotRunError):
            return self._refusal(flight, error.message)
        return error

    def _honest(self, flight: flights.Flight, error) -> errors.OriolefoldError:
        """Returns an error that promises nothing if the request may have run.

        The repeat of a request that was lost on its way can be refused, which
        says nothing of the first send.
        """
        if flight.may_have_run and isinstance(error, errors.NotRunError):
            return errors.OutcomeUnknownError(error.message)
        return error

    def _may_repeat(self, flight: flights.Flight, error) -> bool:
        """Whether a request may be sent once more."""
        if error is None or error.category is errors.Category.OUTCOME_UNKNOWN:
            if not flight.route.idempotent:
                return False
            if len(flight.tried_ids) >= flight.route.max_instances:
                return False
        elif error.category is errors.Category.UNREACHABLE:
            # Nothing arrived anywhere, so nothing is multiplied.
            return flight.sends < 2 * MAX_SENDS
        elif error.category not in (
            errors.Category.OVERLOADED,
            errors.Category.MISDIRECTED,
        ):
            return False
        if flight.sends >= MAX_SENDS:
            return False
        return self._budget(flight.service_id).take(self._clock.now_s())

    async def _place(self, flight: flights.Flight) -> outlook.Outlook:
        """Finds an instance with room, and takes a place there.

        Raises:
            OverloadedError: If none will have room in time.
        """
        line = self._line(flight.service_id)
        now_s = self._clock.now_s()
        # The keys of one crowded owner must not hold up those of others.
        if flight.key is not None or not line.ahead_of(flight.route.rank):
            chosen = self._choose(flight, now_s)
            if chosen is not None:
                chosen.begin(now_s)
                return chosen
        patience_s = waiting.patience_s(
            flight.route.objective_s, self._expected_time_s(flight)
        )
        give_up_at_s = flight.received_s + patience_s
        turn = asyncio.get_running_loop().create_future()
        waiter = waiting.Waiter((flight, turn), flight.route.rank, give_up_at_s)
        line.add(waiter)
        self._wake_later(flight.service_id)
        try:
            async with asyncio.timeout(max(0.0, give_up_at_s - now_s)):
                return await turn
        except TimeoutError as error:
            self._return_place(turn)
            text = f'no instance of {flight.service_id} has room'
            raise self._refusal(flight, text) from error
        except asyncio.CancelledError:
            self._return_place(turn)
            raise
        finally:
            line.discard(waiter)

    def _expected_time_s(self, flight: flights.Flight) -> float:
        """Returns the time that an answer takes once it is sent."""
        owner = self._owner(flight) if flight.key is not None else None
        if owner is not None and owner.service_time_s:
            return owner.service_time_s
        return self._fleet.typical_time_s(flight.service_id)

    def _return_place(self, turn: asyncio.Future) -> None:
        """Frees a place that was given to a request that had gone."""
        if turn.done() and not turn.cancelled():
            turn.result().in_flight -= 1

    def _choose(
        self, flight: flights.Flight, now_s: float
    ) -> outlook.Outlook | None:
        if flight.key is None:
            return self._fleet.choose(
                flight.service_id, flight.tried_ids, now_s
            )
        owner = self._owner(flight)
        if owner is None or not owner.has_room(now_s):
            return None
        return owner

    def _owner(self, flight: flights.Flight) -> outlook.Outlook | None:
        """Returns the instance that holds the key, if one may be sent to."""
        key_map = self._maps_by_service_id.get(flight.service_id)
        key_range = key_map.range_of(flight.key) if key_map else None
        if key_range is None or key_range.priors:
            return None
        holder = key_range.owner
        known = self._fleet.outlooks_by_id.get(holder.instance_id)
        if (
            known is None
            or known.endpoint.born_ms != holder.born_ms
            or known.endpoint.draining
        ):
            return None
        return known

    async def _send(self, flight: flights.Flight, place) -> data.Answer:
        started_s = self._clock.now_s()
        endpoint = place.endpoint
        flight.sends += 1
        flight.tried_ids.add(endpoint.instance_id)
        result = outlook.Result.CANCELLED
        before = flight.may_have_run
        flight.may_have_run = True
        try:
            answer = await self._instances.send(
                endpoint, flight.call, flight.expires_at_s - started_s
            )
            failed = answer.status >= flights.FAILED_STATUS
            result = (
                outlook.Result.FAILED if failed else outlook.Result.ANSWERED
            )
        except errors.NotRunError as error:
            flight.may_have_run = before
            result = _RESULTS_BY_CATEGORY.get(error.category, result)
            self._reporter.send_failed(flight, place, started_s, error)
            raise
        except errors.OriolefoldError as error:
            result = outlook.Result.FAILED
            self._reporter.send_failed(flight, place, started_s, error)
            raise
        finally:
            place.in_flight -= 1
            now_s = self._clock.now_s()
            place.record(result, now_s - started_s, now_s)
            self._reporter.sent(place, result)
            self._wake(flight.service_id)
        return answer

    def _wake_all(self) -> None:
        for service_id in self._lines_by_service_id:
            self._wake(service_id)

    def _wake(self, service_id: str) -> None:
        """Gives free places to waiting requests, the most urgent first."""
        line = self._lines_by_service_id.get(service_id)
        if not line:
            return
        now_s = self._clock.now_s()
        for waiter in line.in_order():
            flight, turn = waiter.owner
            if turn.done():
                continue
            chosen = self._choose(flight, now_s)
            if chosen is not None:
                chosen.begin(now_s)
                turn.set_result(chosen)
                line.discard(waiter)
            elif flight.key is None and not flight.tried_ids:
                break
        if line:
            self._wake_later(service_id)

    def _wake_later(self, service_id: str) -> None:
        if service_id not in self._waking_ids:
            self._waking_ids.add(service_id)
            self.post_later(WAKE_S, messages.Wake(service_id))

    def _refusal(
        self, flight: flights.Flight, text: str
    ) -> errors.OverloadedError:
        """Returns the error that tells a caller when to come back."""
        error = errors.OverloadedError(text)
        now_s = self._clock.now_s()
        left_s = flight.caller_left_s - (now_s - flight.received_s)
        error.retry_after_s = waiting.retry_after_s(
            max(0.0, left_s),
            self._fleet.typical_time_s(flight.service_id),
            self._random.random(),
        )
        return error

    def _view(self, service_id: str | None = None) -> flights.View:
        version = self._policy.version if self._policy else 0
        if service_id is None:
            return flights.View(version)
        key_map = self._maps_by_service_id.get(service_id)
        return flights.View(
            version,
            key_map.next_token if key_map else 0,
            len(self._line(service_id)),
        )

    def _line(self, service_id: str) -> waiting.Line:
        line = self._lines_by_service_id.get(service_id)
        if line is None:
            line = self._lines_by_service_id[service_id] = waiting.Line()
        return line

    def _budget(self, service_id: str) -> attempts.AttemptBudget:
        budget = self._budgets_by_service_id.get(service_id)
        if budget is None:
            budget = attempts.AttemptBudget(self._terms)
            self._budgets_by_service_id[service_id] = budget
        return budget

    def _seen_keys(self, service_id: str) -> collections.deque[int]:
        keys = self._keys_by_service_id.get(service_id)
        if keys is None:
            keys = collections.deque(maxlen=MAX_SEEN_KEYS)
            self._keys_by_service_id[service_id] = keys
        return keys

    def _seen_load(self, service_id: str) -> messages.SeenLoad:
        keys = self._seen_keys(service_id)
        seen = tuple(keys)
        keys.clear()
        times_by_id = {
            o.endpoint.instance_id: o.calm_time_s
            for o in self._fleet.of_service(service_id)
            if o.calm_time_s
        }
        return messages.SeenLoad(seen, times_by_id)

    def _describe(self) -> dict:
        return {
            'policy_version': self._policy.version if self._policy else 0,
            'instances': len(self._fleet.outlooks_by_id),
            'key_maps': {
                service_id: key_map.next_token
                for service_id, key_map in self._maps_by_service_id.items()
            },
        }
