"""Tables and plots of simulation results."""

import collections
import dataclasses
import pathlib
from collections.abc import Mapping, Sequence

import pygal
from hdrh import histogram

from oriolefold_experiment import scenarios, simulation

WINDOW_S = 1.0
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class KindSummary:
    """Results of one kind of request.

    Attributes:
        kind: Name of the kind.
        asked: Number of requests.
        in_time: Requests answered within the objective.
        late: Requests answered after the objective.
        refused: Requests whose last attempt was refused.
        expired: Requests not answered by the deadline.
        worth: Worth of the answers, relative to the largest possible one.
        p50_ms: Median latency of answered requests.
        p99_ms: 99th percentile of the latency of answered requests.
    """

    kind: str
    asked: int
    in_time: int
    late: int
    refused: int
    expired: int
    worth: float
    p50_ms: int
    p99_ms: int


def summarize(
    scenario: scenarios.Scenario,
    requests: Sequence[simulation.CompletedRequest],
) -> list[KindSummary]:
    """Returns the results by kind, in the order of the scenario."""
    summaries = []
    for kind in scenario.kinds:
        completed_of_kind = [item for item in requests if item.kind == kind]
        counts = collections.Counter(item.outcome for item in completed_of_kind)
        latencies = histogram.HdrHistogram(
            1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS
        )
        in_time = 0
        for item in completed_of_kind:
            if item.outcome == 'answered':
                latencies.record_value(max(1, round(item.took_s * 1000)))
                in_time += item.took_s <= kind.objective_s
        possible_worth = kind.worth * len(completed_of_kind)
        summaries.append(
            KindSummary(
                kind.name,
                len(completed_of_kind),
                in_time,
                counts['answered'] - in_time,
                counts['refused'],
                counts['expired'],
                sum(item.worth for item in completed_of_kind) / possible_worth
                if possible_worth
                else 1.0,
                latencies.get_value_at_percentile(50),
                latencies.get_value_at_percentile(99),
            )
        )
    return summaries


def relative_worth(requests: Sequence[simulation.CompletedRequest]) -> float:
    """Returns the worth of all answers, relative to the largest possible."""
    possible_worth = sum(item.kind.worth for item in requests)
    return (
        sum(item.worth for item in requests) / possible_worth
        if possible_worth
        else 1.0
    )


def table(
    scenario: scenarios.Scenario,
    completed_by_policy: Mapping[str, Sequence[simulation.CompletedRequest]],
) -> str:
    """Returns the results of all policies as a text table."""
    head = (
        f'{"policy":<14}{"kind":<16}{"asked":>8}{"in time":>8}{"late":>7}'
        f'{"refused":>8}{"expired":>8}{"worth":>7}{"p50 ms":>8}{"p99 ms":>8}'
    )
    rows = [head]
    for policy, requests in completed_by_policy.items():
        rows += [
            f'{policy:<14}{x.kind:<16}{x.asked:>8}{x.in_time:>8}{x.late:>7}'
            f'{x.refused:>8}{x.expired:>8}{x.worth:>7.3f}{x.p50_ms:>8}'
            f'{x.p99_ms:>8}'
            for x in summarize(scenario, requests)
        ]
        rows.append(f'{policy:<14}{"all":<16}{relative_worth(requests):>46.3f}')
    return '\n'.join(rows)


def plot(
    scenario: scenarios.Scenario,
    completed_by_policy: Mapping[str, Sequence[simulation.CompletedRequest]],
    path: pathlib.Path,
) -> None:
    """Writes an SVG line chart of the worth per second for each policy."""
    windows = max(1, round(scenario.length_s / WINDOW_S))
    chart = pygal.Line(
        title='Worth earned, by the second of the first attempt',
        show_dots=False,
        range=(0, 1),
        x_labels_major_every=max(1, windows // 10),
        show_minor_x_labels=False,
    )
    chart.x_labels = [f'{n * WINDOW_S:g}' for n in range(windows)]
    for policy, requests in completed_by_policy.items():
        requests_by_window = collections.defaultdict(list)
        for item in requests:
            requests_by_window[int(item.started_s / WINDOW_S)].append(item)
        chart.add(
            policy,
            [relative_worth(requests_by_window[n]) for n in range(windows)],
        )
    chart.render_to_file(str(path))
