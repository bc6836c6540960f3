"""Tables and plots of plays."""

import collections
import dataclasses
import pathlib
from collections.abc import Mapping, Sequence

import pygal
from hdrh import histogram

from oriolefold_experiment import model, scenarios

WINDOW_S = 1.0
LONGEST_MS = 3_600_000
DIGITS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """What one kind of request got.

    Attributes:
        kind: Its name.
        asked: Requests.
        in_time: Answered within the objective.
        late: Answered later.
        refused: Refused at last.
        expired: Not answered by the deadline.
        worth: Earned, relative to what was owed.
        p50_ms: Median time to an answer.
        p99_ms: Time within which 99 in 100 answers came.
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


def lines(
    scenario: scenarios.Scenario, ended: Sequence[model.Ended]
) -> list[Line]:
    """Returns a line for each kind of request, in the scenario's order."""
    found = []
    for kind in scenario.kinds:
        of_kind = [item for item in ended if item.kind == kind]
        counts = collections.Counter(item.outcome for item in of_kind)
        times = histogram.HdrHistogram(1, LONGEST_MS, DIGITS)
        in_time = 0
        for item in of_kind:
            if item.outcome == 'answered':
                times.record_value(max(1, round(item.took_s * 1000)))
                in_time += item.took_s <= kind.objective_s
        owed = kind.worth * len(of_kind)
        found.append(
            Line(
                kind.name,
                len(of_kind),
                in_time,
                counts['answered'] - in_time,
                counts['refused'],
                counts['expired'],
                sum(item.worth for item in of_kind) / owed if owed else 1.0,
                times.get_value_at_percentile(50),
                times.get_value_at_percentile(99),
            )
        )
    return found


def worth(ended: Sequence[model.Ended]) -> float:
    """Returns what all requests earned, relative to what was owed."""
    owed = sum(item.kind.worth for item in ended)
    return sum(item.worth for item in ended) / owed if owed else 1.0


def table(
    scenario: scenarios.Scenario,
    ended_by_policy: Mapping[str, Sequence[model.Ended]],
) -> str:
    """Returns the lines of all policies as text."""
    head = (
        f'{"policy":<14}{"kind":<16}{"asked":>8}{"in time":>8}{"late":>7}'
        f'{"refused":>8}{"expired":>8}{"worth":>7}{"p50 ms":>8}{"p99 ms":>8}'
    )
    rows = [head]
    for policy, ended in ended_by_policy.items():
        rows += [
            f'{policy:<14}{x.kind:<16}{x.asked:>8}{x.in_time:>8}{x.late:>7}'
            f'{x.refused:>8}{x.expired:>8}{x.worth:>7.3f}{x.p50_ms:>8}'
            f'{x.p99_ms:>8}'
            for x in lines(scenario, ended)
        ]
        rows.append(f'{policy:<14}{"all":<16}{worth(ended):>46.3f}')
    return '\n'.join(rows)


def plot(
    scenario: scenarios.Scenario,
    ended_by_policy: Mapping[str, Sequence[model.Ended]],
    path: pathlib.Path,
) -> None:
    """Writes an SVG of the worth in each second, a line a policy."""
    windows = max(1, round(scenario.length_s / WINDOW_S))
    chart = pygal.Line(
        title='Worth earned, by the second of the first attempt',
        show_dots=False,
        range=(0, 1),
        x_labels_major_every=max(1, windows // 10),
        show_minor_x_labels=False,
    )
    chart.x_labels = [f'{n * WINDOW_S:g}' for n in range(windows)]
    for policy, ended in ended_by_policy.items():
        by_window = collections.defaultdict(list)
        for item in ended:
            by_window[int(item.started_s / WINDOW_S)].append(item)
        chart.add(policy, [worth(by_window[n]) for n in range(windows)])
    chart.render_to_file(str(path))
