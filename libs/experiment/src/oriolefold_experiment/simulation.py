"""Discrete events: callers, VMs that place requests, and instances."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Callable

from oriolefold_experiment import policies, scenarios
from oriolefold_routing import outlook, waiting


@dataclasses.dataclass(slots=True)
class Ask:
    """One request of a caller, with all its returns.

    Attributes:
        kind: What it is.
        started_s: When its first attempt was sent.
        returns: How often it has come back after a refusal.
        sent_at_s: When its present attempt went to an instance.
        begun: Whether an instance works on it.
    """

    kind: scenarios.Kind
    started_s: float
    returns: int = 0
    sent_at_s: float = 0.0
    begun: bool = False

    @property
    def expires_at_s(self) -> float:
        """When its caller leaves."""
        return self.started_s + self.kind.deadline_s


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How a request ended.

    Attributes:
        kind: What it was.
        started_s: When its first attempt was sent.
        took_s: Time to its end.
        outcome: `answered`, `refused` or `expired`.
    """

    kind: scenarios.Kind
    started_s: float
    took_s: float
    outcome: str

    @property
    def worth(self) -> float:
        """What it earned."""
        if self.outcome != 'answered':
            return 0.0
        if self.took_s <= self.kind.objective_s:
            return self.kind.worth
        return self.kind.late_worth


class _Clock:
    """Events in the order of their times."""

    def __init__(self):
        self.now_s = 0.0
        self._events: list = []
        self._order = itertools.count()

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Lets something happen later."""
        event = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self) -> None:
        """Plays until nothing is left."""
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()


class _Instance:
    """Slots and a queue; refuses what does not fit."""

    def __init__(self, number: int, world: 'World'):
        self._world = world
        self._speed = world.scenario.speeds[number % len(world.scenario.speeds)]
        self._slow = [
            event
            for event in world.scenario.slow
            if number < math.ceil(event.share * world.scenario.instances)
        ]
        self._running = 0
        self._queue: collections.deque = collections.deque()

    def arrive(self, ask: Ask, done: Callable[[outlook.Result], None]) -> None:
        """Takes a request, or refuses it."""
        if self._running < self._world.scenario.slots:
            self._begin(ask, done)
        elif len(self._queue) < self._world.scenario.queue:
            self._queue.append((ask, done))
        else:
            done(outlook.Result.REFUSED)

    def _begin(self, ask: Ask, done) -> None:
        self._running += 1
        clock = self._world.clock
        work_s = self._world.work_s(ask.kind) * self._speed
        for event in self._slow:
            if event.is_on(clock.now_s):
                work_s *= event.times
        left_s = ask.expires_at_s - clock.now_s
        if work_s > left_s:
            # It stops at the deadline.
            clock.after(left_s, lambda: self._end(done, outlook.Result.FAILED))
        else:
            result = outlook.Result.ANSWERED
            clock.after(work_s, lambda: self._end(done, result))

    def _end(self, done, result: outlook.Result) -> None:
        self._running -= 1
        done(result)
        while self._queue and self._running < self._world.scenario.slots:
            ask, waiting_done = self._queue.popleft()
            if ask.expires_at_s <= self._world.clock.now_s:
                waiting_done(outlook.Result.REFUSED)
            else:
                self._begin(ask, waiting_done)


class _Vm:
    """Places requests as its policy decides."""

    def __init__(self, policy: policies.Policy, world: 'World'):
        self._policy = policy
        self._world = world
        self._line = waiting.Line()

    def take(self, ask: Ask) -> None:
        """Takes a request of a caller."""
        now_s = self._world.clock.now_s
        if not self._line.ahead_of(ask.kind.rank):
            instance = self._policy.choose(now_s)
            if instance is not None:
                self._send(ask, instance)
                return
        patience_s = self._policy.patience_s(ask.kind)
        waiter = waiting.Waiter(ask, ask.kind.rank, now_s + patience_s)
        self._line.add(waiter)
        self._world.clock.after(patience_s, lambda: self._give_up(waiter))

    def _give_up(self, waiter: waiting.Waiter) -> None:
        if waiter in self._line.in_order():
            self._line.discard(waiter)
            self._refuse(waiter.owner)

    def _refuse(self, ask: Ask) -> None:
        left_s = max(0.0, ask.expires_at_s - self._world.clock.now_s)
        self._world.refused(ask, self._policy.retry_after_s(left_s))

    def _send(self, ask: Ask, instance: int) -> None:
        clock = self._world.clock
        started_s = clock.now_s
        self._policy.begin(instance, started_s)
        transit_s = self._world.scenario.transit_s

        def done(result: outlook.Result) -> None:
            clock.after(transit_s, lambda: back(result))

        def back(result: outlook.Result) -> None:
            took_s = clock.now_s - started_s
            self._policy.end(instance, result, took_s, clock.now_s)
            if result is outlook.Result.REFUSED:
                self._refuse(ask)
            else:
                self._world.ended(ask, result)
            self._wake()

        clock.after(
            transit_s,
            lambda: self._world.instances[instance].arrive(ask, done),
        )

    def _wake(self) -> None:
        for waiter in self._line.in_order():
            instance = self._policy.choose(self._world.clock.now_s)
            if instance is None:
                return
            self._line.discard(waiter)
            self._send(waiter.owner, instance)


class World:
    """One play of a scenario.

    Attributes:
        clock: Its time.
        scenario: What is played.
        instances: Those that run requests.
        ended_asks: How each request ended.
    """

    def __init__(
        self, scenario: scenarios.Scenario, policy: type[policies.Policy]
    ):
        self.clock = _Clock()
        self.scenario = scenario
        # Arrivals and work do not depend on what the policy draws.
        self._arrivals = random.Random(scenario.seed)
        self._work = random.Random(scenario.seed + 1)
        chance = random.Random(scenario.seed + 2)
        self._routes = random.Random(scenario.seed + 3)
        self.instances = [
            _Instance(number, self) for number in range(scenario.instances)
        ]
        self._vms = [
            _Vm(policy(scenario, chance), self) for _ in range(scenario.vms)
        ]
        self.ended_asks: list[Ended] = []

    def work_s(self, kind: scenarios.Kind) -> float:
        """Returns the time that a request takes at an instance of speed 1."""
        # The mean of a log-normal variable is above its median.
        middle = math.log(kind.work_s) - kind.spread**2 / 2
        return self._work.lognormvariate(middle, kind.spread)

    def play(self) -> list[Ended]:
        """Plays the scenario and returns how each request ended."""
        for kind in self.scenario.kinds:
            self._arrive_next(kind, 0.0)
        self.clock.run()
        return self.ended_asks

    def _arrive_next(self, kind: scenarios.Kind, at_s: float) -> None:
        rate_per_s = kind.rate_per_s
        for event in self.scenario.bursts:
            if event.is_on(at_s):
                rate_per_s *= event.times
        at_s += self._arrivals.expovariate(rate_per_s)
        if at_s >= self.scenario.length_s:
            return

        def arrive() -> None:
            self._ask(Ask(kind, at_s))
            self._arrive_next(kind, at_s)

        self.clock.after(at_s - self.clock.now_s, arrive)

    def _ask(self, ask: Ask) -> None:
        self._routes.choice(self._vms).take(ask)

    def refused(self, ask: Ask, retry_after_s: float) -> None:
        """Tells a caller that its request did not run; it may come back."""
        left_s = ask.expires_at_s - self.clock.now_s
        # Callers wait for as long as they are told, a third of their time at
        # most.
        pause_s = min(retry_after_s, max(0.0, left_s) / 3)
        if ask.returns < ask.kind.retries and pause_s < left_s:
            ask.returns += 1
            self.clock.after(pause_s, lambda: self._ask(ask))
            return
        self._note(ask, 'refused')

    def ended(self, ask: Ask, result: outlook.Result) -> None:
        """Tells a caller how its request ended."""
        answered = result is outlook.Result.ANSWERED
        self._note(ask, 'answered' if answered else 'expired')

    def _note(self, ask: Ask, outcome: str) -> None:
        took_s = self.clock.now_s - ask.started_s
        self.ended_asks.append(Ended(ask.kind, ask.started_s, took_s, outcome))
