"""Ways of one VM to place, hold back and refuse requests."""

import abc
import itertools
import random
from collections.abc import Sequence

from oriolefold_core import data
from oriolefold_experiment import scenarios
from oriolefold_routing import fleet, outlook, waiting

SERVICE_ID = 'service'
ZONE_ID = 'zone'
NOBODY = data.Address('0.0.0.0', 0)


class Policy(abc.ABC):
    """What one VM decides; it knows only what its own requests show."""

    name: str

    def __init__(self, scenario: scenarios.Scenario, generator: random.Random):
        self.scenario = scenario
        self.random = generator

    @abc.abstractmethod
    def choose(self, now_s: float) -> int | None:
        """Returns the instance for a request, or None if it has to wait."""

    def patience_s(self, kind: scenarios.Kind) -> float:
        """Returns how long a request may wait for room."""
        return 0.0

    def retry_after_s(self, left_s: float) -> float:
        """Returns when a refused caller may come back."""
        return 0.0

    @abc.abstractmethod
    def begin(self, instance: int, now_s: float) -> None:
        """Notes that a request was sent."""

    @abc.abstractmethod
    def end(
        self, instance: int, result: outlook.Result, took_s: float, now_s: float
    ) -> None:
        """Notes how a send ended."""


class Learnt(Policy):
    """Limits learnt from answers, and a line by urgency: the product's way."""

    name = 'learnt'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        self._fleet = outlook.Fleet(fleet.Vicinity(ZONE_ID, {ZONE_ID: 'r'}))
        # A VM meets instances in an order of its own.
        numbers = list(range(scenario.instances))
        generator.shuffle(numbers)
        self._fleet.update(
            {
                str(n): fleet.Endpoint(
                    str(n), 1, SERVICE_ID, ZONE_ID, NOBODY, scenario.slots
                )
                for n in numbers
            },
            0.0,
        )

    def choose(self, now_s):
        """Returns the instance with room and the least expected time."""
        chosen = self._fleet.choose(SERVICE_ID, (), now_s)
        return int(chosen.endpoint.instance_id) if chosen else None

    def patience_s(self, kind):
        """Returns how long an answer can still meet the objective."""
        return waiting.patience_s(
            kind.objective_s, self._fleet.typical_time_s(SERVICE_ID)
        )

    def retry_after_s(self, left_s):
        """Returns a spread time in which room is expected."""
        return waiting.retry_after_s(
            left_s,
            self._fleet.typical_time_s(SERVICE_ID),
            self.random.random(),
        )

    def begin(self, instance, now_s):
        """Takes a place."""
        self._fleet.outlooks_by_id[str(instance)].begin(now_s)

    def end(self, instance, result, took_s, now_s):
        """Learns from the end of a send."""
        known = self._fleet.outlooks_by_id[str(instance)]
        known.in_flight -= 1
        known.record(result, took_s, now_s)


class FewestInFlight(Policy):
    """Sends everything at once, to where the VM has the least under way."""

    name = 'no admission'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        self._in_flight = [0] * scenario.instances

    def choose(self, now_s):
        """Returns an instance with the least under way."""
        least = min(self._in_flight)
        among = [n for n, count in enumerate(self._in_flight) if count == least]
        return self.random.choice(among)

    def begin(self, instance, now_s):
        """Counts a request."""
        self._in_flight[instance] += 1

    def end(self, instance, result, took_s, now_s):
        """Counts its end."""
        self._in_flight[instance] -= 1


class RoundRobin(Policy):
    """Sends everything at once, to one instance after the other."""

    name = 'round robin'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        start = generator.randrange(scenario.instances)
        self._turns = itertools.count(start)

    def choose(self, now_s):
        """Returns the next instance."""
        return next(self._turns) % self.scenario.instances

    def begin(self, instance, now_s):
        """Notes nothing."""

    def end(self, instance, result, took_s, now_s):
        """Notes nothing."""


class FixedShare(FewestInFlight):
    """A fixed part of each instance's slots for each VM, first come first."""

    name = 'fixed share'

    def choose(self, now_s):
        """Returns the emptiest instance if the VM's part of it has room."""
        share = max(1, round(self.scenario.slots / self.scenario.vms))
        chosen = super().choose(now_s)
        return chosen if self._in_flight[chosen] < share else None

    def patience_s(self, kind):
        """Returns half of the objective."""
        return kind.objective_s / 2


ALL: Sequence[type[Policy]] = (Learnt, FixedShare, FewestInFlight, RoundRobin)
