"""Checks the history of a run: who ran what, when, and what callers saw."""

import dataclasses
import json
import pathlib
from collections.abc import Iterable

from oriolefold_core import results


@dataclasses.dataclass(frozen=True, slots=True)
class Ran:
    """One execution at a server.

    Attributes:
        request_id: Identity of the request.
        instance_id: Server that ran it.
        method: HTTP method.
        shard: Shard of the key, or -1.
        token: Fencing token that came with it, or -1.
        begun_s: When it began.
        ended_s: When it ended.
    """

    request_id: str
    instance_id: str
    method: str
    shard: int
    token: int
    begun_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that the history breaks, with the steps that show it."""

    promise: str
    steps: tuple

    def __str__(self) -> str:
        lines = [self.promise, *(f'  {step}' for step in self.steps)]
        return '\n'.join(lines)


def read_journals(folder: pathlib.Path) -> list[Ran]:
    """Reads the journals that the servers of a deployment have written."""
    history = []
    for path in sorted(folder.glob('journal-*.jsonl')):
        for line in path.read_text('utf-8').splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                # The last line of a server that was killed may be cut off.
                continue
            history.append(
                Ran(
                    entry['request'],
                    entry['instance'],
                    entry['method'],
                    entry['shard'],
                    entry['token'],
                    entry['begun_s'],
                    entry['ended_s'],
                )
            )
    return history


def check_one_owner(history: Iterable[Ran]) -> list[Violation]:
    """Checks that no two servers ran requests of one shard at the same time.

    Also the order of ownership must follow the tokens: once a server has run
    under a token, none may begin under a lower one.
    """
    violations = []
    by_shard: dict[int, list[Ran]] = {}
    for ran in history:
        if ran.shard >= 0:
            by_shard.setdefault(ran.shard, []).append(ran)
    for entries in by_shard.values():
        entries.sort(key=lambda ran: ran.begun_s)
        violations += _check_shard(entries)
    return violations


def _check_shard(entries: list[Ran]) -> list[Violation]:
    violations = []
    latest_end: Ran | None = None
    highest: Ran | None = None
    for ran in entries:
        if (
            latest_end is not None
            and latest_end.instance_id != ran.instance_id
            and ran.begun_s < latest_end.ended_s
        ):
            violations.append(
                Violation('two owners at one moment', (latest_end, ran))
            )
        if highest is not None and ran.token < highest.token:
            violations.append(
                Violation('a lower token after a higher one', (highest, ran))
            )
        if latest_end is None or ran.ended_s > latest_end.ended_s:
            latest_end = ran
        if highest is None or ran.token > highest.token:
            highest = ran
    return violations


def check_at_most_once(history: Iterable[Ran]) -> list[Violation]:
    """Checks that no request that is not idempotent ran more than once."""
    first_by_id: dict[str, Ran] = {}
    violations = []
    for ran in history:
        if ran.method != 'POST':
            continue
        if ran.request_id in first_by_id:
            steps = (first_by_id[ran.request_id], ran)
            violations.append(Violation('run more than once', steps))
        first_by_id.setdefault(ran.request_id, ran)
    return violations


def check_not_run(history: Iterable[Ran], samples: Iterable) -> list[Violation]:
    """Checks that what callers were told was not run did not run."""
    ran_by_id = {ran.request_id: ran for ran in history}
    return [
        Violation(
            'told as not run, but it ran',
            (sample, ran_by_id[sample.request_id]),
        )
        for sample in samples
        if sample.outcome == results.Outcome.NOT_RUN.value
        and sample.request_id in ran_by_id
    ]


def check_answered(
    history: Iterable[Ran], samples: Iterable
) -> list[Violation]:
    """Checks that what callers were told was answered did run."""
    ran_ids = {ran.request_id for ran in history}
    return [
        Violation('told as answered, but it never ran', (sample,))
        for sample in samples
        if sample.outcome == results.Outcome.ANSWERED.value
        and sample.request_id not in ran_ids
    ]


def check_all(history: list[Ran], samples: list) -> list[Violation]:
    """Runs every check."""
    return [
        *check_one_owner(history),
        *check_at_most_once(history),
        *check_not_run(history, samples),
        *check_answered(history, samples),
    ]
