"""Discrete-event simulation of callers, entry VMs and instances."""

import bisect
import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable

from oriolefold_experiment import policies, scenarios
from oriolefold_routing import concurrency, loadfigures, waitqueue


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a caller, with all its attempts.

    Attributes:
        kind: Kind of the request.
        started_s: When its first attempt was sent.
        retry_count: How often it was retried after a refusal.
        sent_at_s: When its current attempt was sent to an instance.
        begun: Whether an instance is running it.
    """

    kind: scenarios.RequestKind
    started_s: float
    retry_count: int = 0
    sent_at_s: float = 0.0
    begun: bool = False

    @property
    def expires_at_s(self) -> float:
        """When its caller stops waiting for a response."""
        return self.started_s + self.kind.deadline_s


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedRequest:
    """Outcome of a request.

    Attributes:
        kind: Kind of the request.
        started_s: When its first attempt was sent.
        took_s: Time from the first attempt to the outcome.
        outcome: `answered`, `refused` or `expired`.
    """

    kind: scenarios.RequestKind
    started_s: float
    took_s: float
    outcome: str

    @property
    def worth(self) -> float:
        """Worth of the outcome, which depends on the latency."""
        if self.outcome != 'answered':
            return 0.0
        if self.took_s <= self.kind.objective_s:
            return self.kind.worth
        return self.kind.late_worth


class _EventQueue:
    """Priority queue of events, and the simulated time."""

    def __init__(self):
        self.now_s = 0.0
        self._events: list = []
        self._sequence_numbers = itertools.count()

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay."""
        event = (self.now_s + delay_s, next(self._sequence_numbers), action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Runs the events in the order of their times until none is left."""
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()


class _Instance:
    """An instance with slots and a bounded queue; refuses what exceeds both."""

    def __init__(self, number: int, simulation: 'Simulation'):
        self._simulation = simulation
        self._service_time_factor = simulation.scenario.speeds[
            number % len(simulation.scenario.speeds)
        ]
        self._slow = [
            event
            for event in simulation.scenario.slow
            if number < math.ceil(event.share * simulation.scenario.instances)
        ]
        self._number = number
        self.under_way = 0  # Requests that were sent and have not arrived.
        self.arrivals_s: list[float] = []
        # Times of changes and the requests that ran and waited from then on.
        self._changed_at_s: list[float] = [0.0]
        self._loads: list[tuple[int, int]] = [(0, 0)]
        self._running = 0
        self._queue: collections.deque = collections.deque()

    def arrive(
        self,
        request: Request,
        respond: Callable[[concurrency.SendResult], None],
    ) -> None:
        """Runs, queues or refuses a request."""
        self.under_way -= 1
        self.arrivals_s.append(self._simulation.clock.now_s)
        if self._running < self._simulation.scenario.slots:
            self._begin(request, respond)
            self._record_load()
        elif len(self._queue) < self._simulation.scenario.queue:
            self._queue.append((request, respond))
            self._record_load()
        else:
            respond(concurrency.SendResult.REFUSED)

    @property
    def capacity(self) -> float:
        """Requests of one second of work that it serves each second."""
        return self._simulation.scenario.slots / self._service_time_factor

    def figures(self, at_s: float) -> loadfigures.LoadFigures:
        """Returns the load that it reported at a time."""
        index = bisect.bisect_right(self._changed_at_s, at_s) - 1
        running, waiting = self._loads[max(0, index)]
        return loadfigures.LoadFigures(
            running,
            waiting,
            self._simulation.scenario.slots,
            round(100 * self._simulation.noise_factor(self._number, at_s)),
        )

    def _record_load(self) -> None:
        self._changed_at_s.append(self._simulation.clock.now_s)
        self._loads.append((self._running, len(self._queue)))

    def _begin(self, request: Request, respond) -> None:
        self._running += 1
        clock = self._simulation.clock
        work_s = (
            self._simulation.draw_work_s(request.kind)
            * self._service_time_factor
            * self._simulation.noise_factor(self._number, clock.now_s)
        )
        for event in self._slow:
            if event.is_active(clock.now_s):
                work_s *= event.times
        left_s = request.expires_at_s - clock.now_s
        if work_s > left_s:
            # The instance aborts the request at its deadline.
            clock.schedule(
                left_s,
                lambda: self._end(respond, concurrency.SendResult.FAILED),
            )
        else:
            result = concurrency.SendResult.ANSWERED
            clock.schedule(work_s, lambda: self._end(respond, result))

    def _end(self, respond, result: concurrency.SendResult) -> None:
        self._running -= 1
        respond(result)
        while self._queue and self._running < self._simulation.scenario.slots:
            request, respond_to_queued = self._queue.popleft()
            if request.expires_at_s <= self._simulation.clock.now_s:
                respond_to_queued(concurrency.SendResult.REFUSED)
            else:
                self._begin(request, respond_to_queued)
        self._record_load()


class _Vm:
    """An entry VM that routes requests by its policy."""

    def __init__(self, policy: policies.Policy, simulation: 'Simulation'):
        self._policy = policy
        policy.instances = simulation.instances
        self._simulation = simulation
        self._wait_queue = waitqueue.WaitQueue()

    def accept(self, request: Request) -> None:
        """Sends a request, or queues it until an instance has room."""
        now_s = self._simulation.clock.now_s
        if not self._wait_queue.count_ahead(request.kind.rank):
            instance = self._policy.choose(now_s)
            if instance is not None:
                self._send(request, instance)
                return
        max_wait_s = self._policy.max_wait_s(request.kind)
        waiter = waitqueue.Waiter(
            request, request.kind.rank, now_s + max_wait_s
        )
        self._wait_queue.add(waiter)
        self._simulation.clock.schedule(
            max_wait_s, lambda: self._on_wait_timeout(waiter)
        )

    def _on_wait_timeout(self, waiter: waitqueue.Waiter) -> None:
        if waiter in self._wait_queue.by_priority():
            self._wait_queue.discard(waiter)
            self._refuse(waiter.payload)

    def _refuse(self, request: Request) -> None:
        left_s = max(0.0, request.expires_at_s - self._simulation.clock.now_s)
        self._simulation.refuse(request, self._policy.retry_after_s(left_s))

    def _send(self, request: Request, instance: int) -> None:
        clock = self._simulation.clock
        started_s = clock.now_s
        self._policy.on_send(instance, started_s)
        transit_s = self._simulation.scenario.transit_s
        self._simulation.instances[instance].under_way += 1

        def respond(result: concurrency.SendResult) -> None:
            clock.schedule(transit_s, lambda: on_response(result))

        def on_response(result: concurrency.SendResult) -> None:
            took_s = clock.now_s - started_s
            self._policy.on_end(instance, result, took_s, clock.now_s)
            if result is concurrency.SendResult.REFUSED:
                self._refuse(request)
            else:
                self._simulation.complete(request, result)
            self._dispatch_waiting()

        clock.schedule(
            transit_s,
            lambda: self._simulation.instances[instance].arrive(
                request, respond
            ),
        )

    def _dispatch_waiting(self) -> None:
        for waiter in self._wait_queue.by_priority():
            instance = self._policy.choose(self._simulation.clock.now_s)
            if instance is None:
                return
            self._wait_queue.discard(waiter)
            self._send(waiter.payload, instance)


class Simulation:
    """One simulation run of a scenario with one policy.

    Attributes:
        clock: Event queue with the simulated time.
        scenario: The scenario.
        instances: The simulated instances.
        completed: Outcomes of the requests.
    """

    def __init__(
        self, scenario: scenarios.Scenario, policy: type[policies.Policy]
    ):
        self.clock = _EventQueue()
        self.scenario = scenario
        # Separate generators, so that arrivals and service times are the same
        # whatever the policy draws.
        self._arrival_random = random.Random(scenario.seed)
        self._work_random = random.Random(scenario.seed + 1)
        policy_random = random.Random(scenario.seed + 2)
        self._vm_random = random.Random(scenario.seed + 3)
        self.instances = [
            _Instance(number, self) for number in range(scenario.instances)
        ]
        self._vms = [
            _Vm(policy(scenario, policy_random), self)
            for _ in range(scenario.vms)
        ]
        self.completed: list[CompletedRequest] = []
        self._noisy_by_period: dict[int, frozenset[int]] = {}

    def noise_factor(self, instance: int, at_s: float) -> float:
        """Returns the factor on the service time of an instance at a time."""
        noise = self.scenario.noise
        if noise is None or at_s < 0:
            return 1.0
        period = int(at_s / noise.for_s)
        noisy = self._noisy_by_period.get(period)
        if noisy is None:
            count = self.scenario.instances
            drawn = random.Random(f'{self.scenario.seed}-{period}').sample(
                range(count), math.ceil(noise.share * count)
            )
            noisy = self._noisy_by_period[period] = frozenset(drawn)
        return noise.times if instance in noisy else 1.0

    def draw_work_s(self, kind: scenarios.RequestKind) -> float:
        """Returns a random service time at an instance of speed 1."""
        # The mean of a log-normal variable is exp(log_mean + spread**2 / 2).
        log_mean = math.log(kind.work_s) - kind.spread**2 / 2
        return self._work_random.lognormvariate(log_mean, kind.spread)

    def run(self) -> list[CompletedRequest]:
        """Runs the simulation and returns the outcomes of all requests."""
        for kind in self.scenario.kinds:
            self._arrive_next(kind, 0.0)
        self.clock.run()
        return self.completed

    def _arrive_next(self, kind: scenarios.RequestKind, at_s: float) -> None:
        rate_per_s = kind.rate_per_s
        for event in self.scenario.bursts:
            if event.is_active(at_s):
                rate_per_s *= event.times
        at_s += self._arrival_random.expovariate(rate_per_s)
        if at_s >= self.scenario.length_s:
            return

        def arrive() -> None:
            self._send_to_random_vm(Request(kind, at_s))
            self._arrive_next(kind, at_s)

        self.clock.schedule(at_s - self.clock.now_s, arrive)

    def _send_to_random_vm(self, request: Request) -> None:
        self._vm_random.choice(self._vms).accept(request)

    def refuse(self, request: Request, retry_after_s: float) -> None:
        """Reports a refusal to the caller, which retries if it still can."""
        left_s = request.expires_at_s - self.clock.now_s
        # Callers wait for the Retry-After time, but for at most a third of the
        # time until their deadline.
        pause_s = min(retry_after_s, max(0.0, left_s) / 3)
        if request.retry_count < request.kind.retries and pause_s < left_s:
            request.retry_count += 1
            self.clock.schedule(
                pause_s, lambda: self._send_to_random_vm(request)
            )
            return
        self._record(request, 'refused')

    def complete(
        self, request: Request, result: concurrency.SendResult
    ) -> None:
        """Reports the end of a request to its caller."""
        answered = result is concurrency.SendResult.ANSWERED
        self._record(request, 'answered' if answered else 'expired')

    def _record(self, request: Request, outcome: str) -> None:
        took_s = self.clock.now_s - request.started_s
        self.completed.append(
            CompletedRequest(request.kind, request.started_s, took_s, outcome)
        )
