"""Compares policies that choose by load figures of different ages."""

import collections
import dataclasses
import itertools
import pathlib
from collections.abc import Sequence

import pygal
from hdrh import histogram

from oriolefold_experiment import (
    figurepolicies,
    reports,
    scenarios,
    simulation,
)

START_S = 3.0  # Arrivals before it are not counted: speeds are unknown.
WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AgeResult:
    """Result of one policy with one number of choosers and one age.

    Attributes:
        policy: Name of the policy.
        choosers: Number of VMs.
        age_s: Age of the figures.
        p50_ms: Median latency of answered requests.
        p99_ms: 99th percentile of the same.
        refused: Fraction of the requests whose last attempt was refused.
        late: Fraction of the requests answered after the objective.
        busiest: Arrivals by capacity at the busiest instance, relative to the
            mean, over the whole run.
        busiest_second: The same by the second, averaged over the seconds.
    """

    policy: str
    choosers: int
    age_s: float
    p50_ms: int
    p99_ms: int
    refused: float
    late: float
    busiest: float
    busiest_second: float


def run(
    scenario: scenarios.Scenario,
    choosers: Sequence[int],
    ages_s: Sequence[float],
    selected: Sequence[type[figurepolicies.FigurePolicy]] = figurepolicies.ALL,
) -> list[AgeResult]:
    """Simulates each policy with each number of choosers and each age."""
    return [
        run_one(
            dataclasses.replace(scenario, vms=count, figures_age_s=age_s),
            policy,
        )
        for count, age_s, policy in itertools.product(
            choosers, ages_s, selected
        )
    ]


def run_one(
    scenario: scenarios.Scenario,
    policy: type[figurepolicies.FigurePolicy],
) -> AgeResult:
    """Simulates a scenario with one policy."""
    simulated = simulation.Simulation(scenario, policy)
    completed = [item for item in simulated.run() if item.started_s >= START_S]
    latencies = histogram.HdrHistogram(
        1, reports.MAX_LATENCY_MS, reports.SIGNIFICANT_DIGITS
    )
    outcomes: collections.Counter[str] = collections.Counter()
    for item in completed:
        outcomes[item.outcome] += 1
        if item.outcome == 'answered':
            latencies.record_value(max(1, round(item.took_s * 1000)))
            outcomes['late'] += item.took_s > item.kind.objective_s
    total = max(1, len(completed))
    windows = [
        _busiest(simulated.instances, START_S + index, WINDOW_S)
        for index in range(max(1, int(scenario.length_s - START_S)))
    ]
    return AgeResult(
        policy.name,
        scenario.vms,
        scenario.figures_age_s,
        latencies.get_value_at_percentile(50),
        latencies.get_value_at_percentile(99),
        outcomes['refused'] / total,
        outcomes['late'] / total,
        _busiest(simulated.instances, START_S, scenario.length_s),
        sum(windows) / len(windows),
    )


def _busiest(instances, start_s: float, length_s: float) -> float:
    """Returns the largest ratio of arrivals to capacity over the mean one."""
    counts = [
        sum(start_s <= at_s < start_s + length_s for at_s in one.arrivals_s)
        for one in instances
    ]
    mean = sum(counts) / sum(one.capacity for one in instances)
    if not mean:
        return 1.0
    return max(
        count / one.capacity / mean
        for count, one in zip(counts, instances, strict=True)
    )


def table(results: Sequence[AgeResult]) -> str:
    """Returns the results as a text table."""
    rows = [
        f'{"choosers":>8}{"age s":>7}  {"policy":<15}{"p50 ms":>7}{"p99 ms":>8}'
        f'{"late":>7}{"refused":>9}{"busiest":>9}{"by second":>11}'
    ]
    rows += [
        f'{x.choosers:>8}{x.age_s:>7.2f}  {x.policy:<15}{x.p50_ms:>7}'
        f'{x.p99_ms:>8}{x.late:>7.3f}{x.refused:>9.3f}{x.busiest:>9.2f}'
        f'{x.busiest_second:>11.2f}'
        for x in results
    ]
    return '\n'.join(rows)


def plot(results: Sequence[AgeResult], path: pathlib.Path) -> None:
    """Writes an SVG of the 99th percentile by choosers and age."""
    labels = list(dict.fromkeys((x.choosers, x.age_s) for x in results))
    chart = pygal.Line(
        title='99th percentile in ms, by choosers and age of the figures',
        x_label_rotation=45,
        logarithmic=True,
    )
    chart.x_labels = [f'{count}, {age_s:g} s' for count, age_s in labels]
    for name in dict.fromkeys(x.policy for x in results):
        values = {
            (x.choosers, x.age_s): x.p99_ms for x in results if x.policy == name
        }
        chart.add(name, [values.get(label) for label in labels])
    chart.render_to_file(str(path))
