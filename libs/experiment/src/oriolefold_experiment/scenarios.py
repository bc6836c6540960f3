"""Model of scenario files: a service, its load, bursts and slowdowns."""

import dataclasses
import pathlib

import pydantic

from oriolefold_config import documents, locations, models
from oriolefold_core import errors, findings

MAX_REQUESTS = 2_000_000  # Bounds the run time of a simulation.


class RequestKindModel(models.DocumentModel):
    """One kind of request."""

    name: models.Name
    rate_per_s: float = pydantic.Field(gt=0, le=100_000)
    work_s: float = pydantic.Field(gt=0, le=60)
    spread: float = pydantic.Field(default=0.4, ge=0, le=2)
    objective_s: float = pydantic.Field(gt=0, le=60)
    deadline_s: float = pydantic.Field(gt=0, le=600)
    rank: int = pydantic.Field(default=1, ge=0, le=100)
    worth: float = pydantic.Field(default=1.0, gt=0)
    late_worth: float = pydantic.Field(default=0.0, ge=0)
    retries: int = pydantic.Field(default=1, ge=0, le=10)


class EventModel(models.DocumentModel):
    """A burst of requests or a slowdown of instances."""

    at_s: float = pydantic.Field(ge=0)
    for_s: float = pydantic.Field(gt=0)
    share: float = pydantic.Field(default=1.0, gt=0, le=1)
    times: float = pydantic.Field(gt=0, le=1000)


class NoiseModel(models.DocumentModel):
    """Short slowdowns of a random share of the instances."""

    for_s: float = pydantic.Field(gt=0)
    share: float = pydantic.Field(gt=0, le=1)
    times: float = pydantic.Field(gt=0, le=1000)


class ScenarioModel(models.DocumentModel):
    """A scenario file."""

    seed: int = 1
    length_s: float = pydantic.Field(gt=0, le=3600)
    vms: int = pydantic.Field(ge=1, le=2000)
    instances: int = pydantic.Field(ge=1, le=1000)
    slots: int = pydantic.Field(ge=1, le=1000)
    queue: int = pydantic.Field(default=24, ge=0, le=10_000)
    transit_s: float = pydantic.Field(default=0.001, ge=0, le=1)
    speeds: list[float] = [1.0]
    kinds: list[RequestKindModel] = pydantic.Field(min_length=1)
    bursts: list[EventModel] = []
    slow: list[EventModel] = []
    noise: NoiseModel | None = None
    figures_age_s: float = pydantic.Field(default=0.0, ge=0, le=60)


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request.

    Attributes:
        name: Name of the kind.
        rate_per_s: Requests per second of all callers.
        work_s: Mean service time at an instance of speed 1.
        spread: Standard deviation of the logarithm of the service time.
        objective_s: Latency target, up to which an answer has its full worth.
        deadline_s: Time that a caller waits, retries included.
        rank: Priority; 0 is the highest.
        worth: Utility of an answer within the objective, relative to other
            kinds.
        late_worth: Utility of an answer after the objective, but within the
            deadline.
        retries: How often a caller retries after refusals.
    """

    name: str
    rate_per_s: float
    work_s: float
    spread: float
    objective_s: float
    deadline_s: float
    rank: int
    worth: float
    late_worth: float
    retries: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A burst of requests or a slowdown of instances.

    Attributes:
        at_s: Start time.
        for_s: Duration.
        share: Fraction of the instances that a slowdown affects.
        times: Factor applied to the request rate or to the service time.
    """

    at_s: float
    for_s: float
    share: float
    times: float

    def is_active(self, now_s: float) -> bool:
        """Returns whether it is active at a time."""
        return self.at_s <= now_s < self.at_s + self.for_s


@dataclasses.dataclass(frozen=True, slots=True)
class Noise:
    """Slowdowns of instances that are drawn anew for each period.

    Attributes:
        for_s: Length of a period.
        share: Fraction of the instances that are slow.
        times: Factor on their service time.
    """

    for_s: float
    share: float
    times: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A validated scenario; the fields are those of the file.

    Attributes:
        seed: Seed of the random generators.
        length_s: Time during which requests arrive.
        vms: Number of entry VMs.
        instances: Number of instances.
        slots: Concurrent requests per instance.
        queue: Requests that an instance queues in addition.
        transit_s: One-way network delay between a VM and an instance.
        speeds: Factors on the service time, assigned to the instances in turn;
            an instance of speed 2 takes twice as long.
        kinds: Kinds of requests.
        bursts: Periods with a higher request rate.
        slow: Periods with longer service times.
        noise: Short slowdowns, or None.
        figures_age_s: Age of the load figures that policies may use.
    """

    seed: int
    length_s: float
    vms: int
    instances: int
    slots: int
    queue: int
    transit_s: float
    speeds: tuple[float, ...]
    kinds: tuple[RequestKind, ...]
    bursts: tuple[Event, ...]
    slow: tuple[Event, ...]
    noise: Noise | None = None
    figures_age_s: float = 0.0

    @property
    def load(self) -> float:
        """Mean offered load, relative to the capacity of all instances."""
        offered_work = sum(kind.rate_per_s * kind.work_s for kind in self.kinds)
        relative_capacity = sum(
            1 / self.speeds[n % len(self.speeds)] for n in range(self.instances)
        )
        return offered_work / (relative_capacity * self.slots)


def read(path: str) -> Scenario:
    """Reads a scenario file.

    Raises:
        ConfigurationError: With all findings.
    """
    try:
        text = pathlib.Path(path).read_text('utf-8')
    except (OSError, UnicodeDecodeError) as error:
        finding = findings.Finding(
            findings.Location(path), f'cannot be read: {error}'
        )
        raise errors.ConfigurationError((finding,)) from error
    return parse(text, path)


def parse(text: str, source: str) -> Scenario:
    """Parses and validates a scenario in YAML.

    Raises:
        ConfigurationError: With all findings.
    """
    document = locations.parse(text, source)
    reported = findings.Findings()
    model = documents.validate_model(ScenarioModel, document, reported)
    reported.raise_if_any()
    for index, speed in enumerate(model.speeds):
        if not 0.01 <= speed <= 100:
            location = document.location_of(('speeds', index))
            reported.add(location, 'a speed must be between 0.01 and 100')
    if not model.speeds:
        reported.add(
            document.location_of(('speeds',)), 'at least one speed is required'
        )
    seen_names = set()
    for index, kind in enumerate(model.kinds):
        path = ('kinds', index)
        if kind.name in seen_names:
            reported.add(
                document.location_of((*path, 'name')), 'duplicate name'
            )
        seen_names.add(kind.name)
        if kind.deadline_s < kind.objective_s:
            location = document.location_of((*path, 'deadline_s'))
            reported.add(location, 'the deadline is shorter than the objective')
    max_burst_factor = max((event.times for event in model.bursts), default=1.0)
    rate_per_s = sum(kind.rate_per_s for kind in model.kinds)
    if rate_per_s * model.length_s * max(1.0, max_burst_factor) > MAX_REQUESTS:
        location = document.location_of(('length_s',))
        reported.add(location, f'the scenario exceeds {MAX_REQUESTS} requests')
    reported.raise_if_any()
    values = dict(model)
    for name, item_class in (
        ('kinds', RequestKind),
        ('bursts', Event),
        ('slow', Event),
    ):
        values[name] = tuple(item_class(**dict(item)) for item in values[name])
    if model.noise is not None:
        values['noise'] = Noise(**dict(model.noise))
    return Scenario(**values | {'speeds': tuple(model.speeds)})
