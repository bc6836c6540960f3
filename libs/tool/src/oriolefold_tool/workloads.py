"""Workload files: which requests to send, and how fast."""

import bisect
import dataclasses
import itertools
import random
from typing import Annotated

import pydantic

from oriolefold_config import models, places
from oriolefold_core import findings

KEY_FIELD = '{key}'


class KeysModel(models.DocumentModel):
    """Keys of a request: a number of names whose use follows a Zipf law."""

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
    """A time with one rate of requests."""

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
    """A request to send.

    Attributes:
        at_s: When to send it, in seconds from the start.
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
    """Reads a workload file.

    Raises:
        ConfigurationError: With everything that was found wrong.
    """
    document = places.parse(text, source)
    found = findings.Findings()
    try:
        return WorkloadModel.model_validate(document.value or {})
    except pydantic.ValidationError as error:
        for item in error.errors():
            found.add(document.place_of(tuple(item['loc'])), item['msg'])
    found.raise_if_any()
    raise AssertionError('a validation error has at least one finding')


def plan(workload: WorkloadModel, scale: float = 1.0):
    """Yields the requests of a workload in the order of their times.

    The same file and scale give the same requests every time.

    Args:
        workload: The workload.
        scale: Factor on all rates.
    """
    generator = random.Random(workload.seed)
    start_s = 0.0
    for phase in workload.phases:
        yield from _plan_phase(phase, start_s, scale, generator)
        start_s += phase.duration_s


def _plan_phase(phase, start_s, scale, generator):
    rate = phase.rate_per_s * scale
    weights = [request.weight for request in phase.requests]
    pickers = [_key_picker(request, generator) for request in phase.requests]
    at_s = generator.expovariate(rate)
    while at_s < phase.duration_s:
        (index,) = generator.choices(range(len(weights)), weights)
        request = phase.requests[index]
        key = pickers[index]()
        headers = {
            name: value.replace(KEY_FIELD, key)
            for name, value in request.headers.items()
        }
        yield PlannedRequest(
            start_s + at_s,
            request.name,
            request.method,
            request.target.replace(KEY_FIELD, key),
            headers,
            request.body_bytes,
        )
        at_s += generator.expovariate(rate)


def _key_picker(request, generator):
    keys = request.keys
    if keys is None:
        return lambda: ''
    totals = list(
        itertools.accumulate(
            1 / (rank + 1) ** keys.exponent for rank in range(keys.count)
        )
    )

    def pick() -> str:
        position = bisect.bisect(totals, generator.random() * totals[-1])
        return f'{keys.prefix}{min(position, keys.count - 1)}'

    return pick
