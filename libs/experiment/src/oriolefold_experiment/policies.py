"""Load-balancing and admission-control policies of one simulated VM."""

import abc
import itertools
import random
from collections.abc import Sequence
from typing import Protocol

from oriolefold_core import data
from oriolefold_experiment import scenarios
from oriolefold_routing import (
    concurrency,
    instancetable,
    loadfigures,
    selection,
    topology,
    waitqueue,
)

SERVICE_ID = 'service'
DEMAND = selection.Demand(SERVICE_ID)
DEMAND_IN_TIME = selection.Demand(SERVICE_ID, left_s=60.0)
ZONE_ID = 'zone'
UNUSED_ADDRESS = data.Address('0.0.0.0', 0)


class ReportingInstance(Protocol):
    """What policies may read of a simulated instance."""

    capacity: float
    under_way: int

    def figures(self, at_s: float) -> loadfigures.LoadFigures:
        """Returns the load that it reported at a time."""


class Policy(abc.ABC):
    """Decisions of one VM, which only observes its own requests."""

    name: str
    # Set by the simulation: the instances with their history.
    instances: Sequence['ReportingInstance'] = ()

    def __init__(self, scenario: scenarios.Scenario, generator: random.Random):
        self.scenario = scenario
        self.random = generator

    @abc.abstractmethod
    def choose(self, now_s: float) -> int | None:
        """Returns the instance for a request, or None if it has to wait."""

    def max_wait_s(self, kind: scenarios.RequestKind) -> float:
        """Returns how long a request may wait until an instance has room."""
        return 0.0

    def retry_after_s(self, left_s: float) -> float:
        """Returns the time after which a refused caller may retry."""
        return 0.0

    @abc.abstractmethod
    def on_send(self, instance: int, now_s: float) -> None:
        """Records that a request was sent to an instance."""

    @abc.abstractmethod
    def on_end(
        self,
        instance: int,
        result: concurrency.SendResult,
        took_s: float,
        now_s: float,
    ) -> None:
        """Records the result of a send."""


class LearntLimits(Policy):
    """Adaptive concurrency limits and a priority queue, as in the router."""

    name = 'learnt'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        self._instance_table = instancetable.InstanceTable(
            topology.Locality(ZONE_ID, {ZONE_ID: 'r'})
        )
        # Each VM has its own order of instances, which breaks ties in `choose`.
        instance_numbers = list(range(scenario.instances))
        generator.shuffle(instance_numbers)
        self._instance_table.update(
            {
                str(n): topology.Endpoint(
                    str(n),
                    1,
                    SERVICE_ID,
                    ZONE_ID,
                    UNUSED_ADDRESS,
                    scenario.slots,
                )
                for n in instance_numbers
            },
            0.0,
        )

    def choose(self, now_s):
        """Returns the instance with room and the least expected latency."""
        chosen = self._instance_table.choose(DEMAND, now_s)
        return int(chosen.endpoint.instance_id) if chosen else None

    def max_wait_s(self, kind):
        """Returns how long a request may wait and still meet its objective."""
        return waitqueue.max_wait_s(
            kind.objective_s, self._instance_table.typical_time_s(SERVICE_ID)
        )

    def retry_after_s(self, left_s):
        """Returns the time until room is expected, with random jitter."""
        return waitqueue.retry_after_s(
            left_s,
            self._instance_table.typical_time_s(SERVICE_ID),
            self.random.random(),
        )

    def on_send(self, instance, now_s):
        """Counts the request against the limit of the instance."""
        self._instance_table.states_by_id[str(instance)].record_send(now_s)

    def on_end(self, instance, result, took_s, now_s):
        """Adapts the limit of the instance to the result."""
        instance_state = self._instance_table.states_by_id[str(instance)]
        instance_state.record_end()
        instance_state.record(result, took_s, now_s)


class LeastOutstanding(Policy):
    """Sends requests immediately to the instance with the fewest in flight."""

    name = 'no admission'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        self._in_flight = [0] * scenario.instances

    def choose(self, now_s):
        """Returns a random instance among those with the fewest in flight."""
        fewest = min(self._in_flight)
        candidates = [
            n for n, count in enumerate(self._in_flight) if count == fewest
        ]
        return self.random.choice(candidates)

    def on_send(self, instance, now_s):
        """Increments the requests in flight."""
        self._in_flight[instance] += 1

    def on_end(self, instance, result, took_s, now_s):
        """Decrements the requests in flight."""
        self._in_flight[instance] -= 1


class RoundRobin(Policy):
    """Sends requests immediately to each instance in turn."""

    name = 'round robin'

    def __init__(self, scenario, generator):
        super().__init__(scenario, generator)
        start = generator.randrange(scenario.instances)
        self._turns = itertools.count(start)

    def choose(self, now_s):
        """Returns the next instance."""
        return next(self._turns) % self.scenario.instances

    def on_send(self, instance, now_s):
        """Does nothing."""

    def on_end(self, instance, result, took_s, now_s):
        """Does nothing."""


class FixedShare(LeastOutstanding):
    """Gives each VM a fixed share of the slots of each instance."""

    name = 'fixed share'

    def choose(self, now_s):
        """Returns the least loaded instance if the VM's share has room."""
        share = max(1, round(self.scenario.slots / self.scenario.vms))
        chosen = super().choose(now_s)
        return chosen if self._in_flight[chosen] < share else None

    def max_wait_s(self, kind):
        """Returns half of the objective."""
        return kind.objective_s / 2


ALL: Sequence[type[Policy]] = (
    LearntLimits,
    FixedShare,
    LeastOutstanding,
    RoundRobin,
)
