"""Policies that choose by load figures of a given age."""

import abc
import collections

from oriolefold_experiment import policies
from oriolefold_routing import (
    concurrency,
    evenload,
    loadfigures,
    selection,
    topology,
)

APERTURE = 6  # Instances that one VM uses under a deterministic aperture.


class FigurePolicy(policies.Policy):
    """Base class: learned speeds, and figures of the age in the scenario.

    Requests are sent immediately, so that only the choice is compared.
    """

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        self._typical_s = concurrency.INITIAL_SERVICE_TIME_S
        self._states = [
            concurrency.InstanceState(
                topology.Endpoint(
                    str(number),
                    1,
                    policies.SERVICE_ID,
                    policies.ZONE_ID,
                    policies.UNUSED_ADDRESS,
                    scenario.slots,
                ),
                topology.SAME_ZONE,
                float(scenario.slots),
                load=loadfigures.KnownLoad(
                    loadfigures.LoadFigures(0, 0, scenario.slots), 0.0
                ),
            )
            for number in range(scenario.instances)
        ]
        self._sends_s: list[collections.deque[float]] = [
            collections.deque() for _ in range(scenario.instances)
        ]

    def choose(self, now_s):
        """Returns an instance by figures of the given age."""
        return int(self.select(now_s).endpoint.instance_id)

    @abc.abstractmethod
    def select(self, now_s: float) -> concurrency.InstanceState:
        """Returns the state of the chosen instance."""

    def refresh(self, number: int, now_s: float) -> concurrency.InstanceState:
        """Updates the figures of an instance and returns its state."""
        at_s = now_s - self.scenario.figures_age_s
        state = self._states[number]
        state.load.figures = self.instances[number].figures(at_s)
        state.load.read_at_s = at_s
        # A send counts until figures from after its arrival are known.
        sends_s = self._sends_s[number]
        while sends_s and sends_s[0] + self.scenario.transit_s <= at_s:
            sends_s.popleft()
        state.load.sends_since = len(sends_s)
        return state

    def refresh_all(self, now_s: float) -> list[concurrency.InstanceState]:
        """Updates the figures of all instances."""
        return [self.refresh(n, now_s) for n in range(len(self._states))]

    def plain_s(self, state: concurrency.InstanceState) -> float:
        """Returns the expected time by figures that are taken for current."""
        figures = state.load.figures
        queued = max(0, figures.running + figures.waiting + 1 - figures.slots)
        time_s = state.load.usual_time_s(self._typical_s)
        time_s *= figures.time_percent / loadfigures.USUAL_TIME_PERCENT
        return time_s * (1 + queued / figures.slots)

    def on_send(self, instance, now_s):
        """Counts the request."""
        self._states[instance].in_flight += 1
        self._sends_s[instance].append(now_s)

    def on_end(self, instance, result, took_s, now_s):
        """Learns the speed of the instance from an answer."""
        state = self._states[instance]
        state.in_flight -= 1
        if result is concurrency.SendResult.ANSWERED:
            # The figures that come with the answer.
            state.load.figures = self.instances[instance].figures(
                now_s - self.scenario.transit_s
            )
            self._typical_s += 0.05 * (took_s - self._typical_s)
        state.record(result, took_s, now_s)


class UniformRandom(FigurePolicy):
    """Any instance, whatever its load."""

    name = 'random'

    def select(self, now_s):
        """Returns a random instance."""
        return self.random.choice(self._states)


class TwoRandom(FigurePolicy):
    """The better of two random instances, by the plain figures."""

    name = 'two random'

    def select(self, now_s):
        """Returns the one with the shorter expected time."""
        numbers = self.random.sample(range(len(self._states)), 2)
        return min(
            (self.refresh(number, now_s) for number in numbers),
            key=self.plain_s,
        )


class LeastOfAll(FigurePolicy):
    """The best of all instances, by the plain figures."""

    name = 'least of all'

    def select(self, now_s):
        """Returns the one with the shortest expected time."""
        return min(self.refresh_all(now_s), key=self.plain_s)


class FreeCapacity(FigurePolicy):
    """A random instance in proportion to its free capacity."""

    name = 'free capacity'

    def select(self, now_s):
        """Returns a random instance, weighted."""
        states = self.refresh_all(now_s)
        weights = [self._weight(state) for state in states]
        return self.random.choices(states, weights)[0]

    def _weight(self, state: concurrency.InstanceState) -> float:
        figures = state.load.figures
        free = figures.slots - figures.running - figures.waiting
        time_s = state.load.usual_time_s(self._typical_s)
        # Full instances keep a small weight, so that one is always chosen.
        return max(0.05, free) / time_s


class Aperture(FigurePolicy):
    """The better of two instances of a fixed subset of this VM."""

    name = 'aperture'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        count = len(self._states)
        first = generator.randrange(count)
        self._subset = [
            (first + index) % count for index in range(min(APERTURE, count))
        ]

    def select(self, now_s):
        """Returns the one with fewer requests of this VM, then by figures."""
        numbers = self.random.sample(self._subset, min(2, len(self._subset)))
        return min(
            (self.refresh(number, now_s) for number in numbers),
            key=lambda state: (state.in_flight, self.plain_s(state)),
        )


class Even(FigurePolicy):
    """The product's selection."""

    name = 'even load'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        self._even = evenload.EvenLoad(generator)

    def select(self, now_s):
        """Returns the choice of `EvenLoad`."""
        states = self.refresh_all(now_s)
        return self._even.choose(
            states, policies.DEMAND_IN_TIME, self._typical_s, now_s
        )


class ByAnswers(FigurePolicy):
    """Base class: knows only the figures that came with its own answers."""

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        for state in self._states:
            state.load = None

    def refresh(self, number, now_s):
        """Returns the state of an instance as the last answer left it."""
        return self._states[number]

    def on_send(self, instance, now_s):
        """Counts the request."""
        self._states[instance].record_send(now_s)

    def on_end(self, instance, result, took_s, now_s):
        """Takes the figures that came with an answer or a refusal."""
        read_at_s = now_s - self.scenario.transit_s
        figures = self.instances[instance].figures(read_at_s)
        state = self._states[instance]
        if state.load is None:
            state.load = loadfigures.KnownLoad(figures, read_at_s)
        else:
            state.load.record_figures(figures, read_at_s)
        super().on_end(instance, result, took_s, now_s)


class EvenByAnswers(ByAnswers, Even):
    """The product's selection with what a VM has without health checks."""

    name = 'even by answers'


class Nearest(ByAnswers):
    """The selection for services that report no load."""

    name = 'own requests'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        # Each VM has its own order of instances, which breaks ties.
        self._order = list(self._states)
        generator.shuffle(self._order)
        self._selection = selection.NearestCheapest()

    def select(self, now_s):
        """Returns the choice of `NearestCheapest`."""
        return self._selection.choose(
            self._order, policies.DEMAND_IN_TIME, self._typical_s, now_s
        )


class NearestSameOrder(Nearest):
    """The same for VMs that all have the instances in the same order."""

    name = 'same order'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        self._order = self._states


class AllKnowing(FigurePolicy):
    """The best of all instances by what is true at the moment.

    Requests under way are known too, whichever VM sent them.
    """

    name = 'all knowing'

    def select(self, now_s):
        """Returns the instance with the shortest time."""
        number = min(
            range(len(self._states)),
            key=lambda number: self._time_s(number, now_s),
        )
        return self._states[number]

    def _time_s(self, number: int, now_s: float) -> float:
        instance = self.instances[number]
        figures = instance.figures(now_s)
        present = figures.running + figures.waiting + instance.under_way
        queued = max(0, present + 1 - figures.slots)
        factor = figures.time_percent / loadfigures.USUAL_TIME_PERCENT
        return (1 + queued / figures.slots) * factor / instance.capacity


ALL: tuple[type[FigurePolicy], ...] = (
    UniformRandom,
    TwoRandom,
    LeastOfAll,
    FreeCapacity,
    Aperture,
    Even,
    EvenByAnswers,
    Nearest,
    NearestSameOrder,
    AllKnowing,
)
