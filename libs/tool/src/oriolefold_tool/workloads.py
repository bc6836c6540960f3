"""Model of workload files and the requests that follow from them."""

import bisect
import dataclasses
import itertools
import random
from typing import Annotated

import pydantic

from oriolefold_config import locations, models
from oriolefold_core import findings

KEY_PLACEHOLDER = '{key}'


class KeysModel(models.DocumentModel):
    """Keys of a request, drawn from a Zipf distribution over `count` keys.

    An `exponent` of 0 gives a uniform distribution.
    """

    prefix: str = 'key-'
    count: int = pydantic.Field(ge=1, le=1_000_000)
    exponent: float = pydantic.Field(default=1.0, ge=0, le=5)


class RequestModel(models.DocumentModel):
    """One kind of request."""

    name: models.Name
    weight: float = pydantic.Field(gt=0)
    method: models.Method
    target: Annotated[str, pydantic.Field(pattern=r'^/[!-~]*$')]
    keys: KeysModel | None = None
    headers: dict[str, str] = {}
    body_bytes: int = pydantic.Field(default=0, ge=0, le=64 * 1024 * 1024)


class PhaseModel(models.DocumentModel):
    """A period with a constant request rate."""

    name: models.Name
    duration_s: float = pydantic.Field(gt=0, le=86_400)
    rate_per_s: float = pydantic.Field(gt=0, le=100_000)
    requests: list[RequestModel] = pydantic.Field(min_length=1)


class WorkloadModel(models.DocumentModel):
    """A workload file."""

    seed: int = 1
    phases: list[PhaseModel] = pydantic.Field(min_length=1)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request with the time to send it.

    Attributes:
        at_s: Time to send it, in seconds from the start.
        name: Kind of the request.
        method: HTTP method.
        target: Path and query.
        headers: Headers by name.
        body_bytes: Size of the body.
    """

    at_s: float
    name: str
    method: str
    target: str
    headers: dict[str, str]
    body_bytes: int


def read(text: str, source: str) -> WorkloadModel:
    """Parses the content of a workload file.

    Raises:
        ConfigurationError: With all findings.
    """
    document = locations.parse(text, source)
    all_findings = findings.Findings()
    try:
        return WorkloadModel.model_validate(document.value or {})
    except pydantic.ValidationError as error:
        for item in error.errors():
            all_findings.add(
                document.location_of(tuple(item['loc'])), item['msg']
            )
    all_findings.raise_if_any()
    raise AssertionError('a validation error has at least one finding')


def plan(workload: WorkloadModel, scale: float = 1.0):
    """Yields the requests of a workload, ordered by their times.

    Arrivals are a Poisson process. The same file and scale always give the same
    requests.

    Args:
        workload: The workload.
        scale: Factor applied to all request rates.
    """
    generator = random.Random(workload.seed)
    start_s = 0.0
    for phase in workload.phases:
        yield from _plan_phase(phase, start_s, scale, generator)
        start_s += phase.duration_s


def _plan_phase(phase, start_s, scale, generator):
    rate = phase.rate_per_s * scale
    weights = [request.weight for request in phase.requests]
    key_samplers = [
        _key_sampler(request, generator) for request in phase.requests
    ]
    at_s = generator.expovariate(rate)
    while at_s < phase.duration_s:
        (index,) = generator.choices(range(len(weights)), weights)
        request = phase.requests[index]
        key = key_samplers[index]()
        headers = {
            name: value.replace(KEY_PLACEHOLDER, key)
            for name, value in request.headers.items()
        }
        yield PlannedRequest(
            start_s + at_s,
            request.name,
            request.method,
            request.target.replace(KEY_PLACEHOLDER, key),
            headers,
            request.body_bytes,
        )
        at_s += generator.expovariate(rate)


def _key_sampler(request, generator):
    keys = request.keys
    if keys is None:
        return lambda: ''
    cumulative_weights = list(
        itertools.accumulate(
            1 / (rank + 1) ** keys.exponent for rank in range(keys.count)
        )
    )

    def sample_key() -> str:
        position = bisect.bisect(
            cumulative_weights, generator.random() * cumulative_weights[-1]
        )
        return f'{keys.prefix}{min(position, keys.count - 1)}'

    return sample_key
