"""Checks the history of a run against the guarantees of the router.

The history is what the servers executed, from their journals; it is compared
with the outcomes that the callers saw.
"""

import dataclasses
import json
import pathlib
from collections.abc import Iterable, Iterator

from oriolefold_core import results


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """One execution of a request by a server.

    Attributes:
        request_id: ID of the request.
        instance_id: Instance that executed it.
        method: HTTP method.
        shard: Shard of the key, or -1 if there is none.
        token: Fencing token of the request, or -1 if there is none.
        begun_s: Start time, on the clock of `servers.now_s`.
        ended_s: End time, on the same clock.
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
    """A violated invariant, with the executions and samples that prove it."""

    invariant: str
    evidence: tuple

    def __str__(self) -> str:
        lines = [self.invariant, *(f'  {item}' for item in self.evidence)]
        return '\n'.join(lines)


def read_journals(folder: pathlib.Path) -> list[Execution]:
    """Reads the executions that the servers of a deployment wrote."""
    return [
        Execution(
            entry['request'],
            entry['instance'],
            entry['method'],
            entry['shard'],
            entry['token'],
            entry['begun_s'],
            entry['ended_s'],
        )
        for entry in _read_entries(folder)
        if 'request' in entry
    ]


def read_begun_ids(folder: pathlib.Path) -> set[str]:
    """Returns the requests that servers began to execute, also in vain."""
    return {
        entry['begun'] for entry in _read_entries(folder) if 'begun' in entry
    }


def _read_entries(folder: pathlib.Path) -> Iterator[dict]:
    for path in sorted(folder.glob('journal-*.jsonl')):
        for line in path.read_text('utf-8').splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                # The last line of a killed server may be truncated.
                continue


def check_single_owner(history: Iterable[Execution]) -> list[Violation]:
    """Checks that each shard has at most one owner at any time.

    No two servers may execute requests for one shard at the same time, and
    fencing tokens must not decrease: once a request was executed with a token,
    none may start with a lower one.
    """
    violations = []
    executions_by_shard: dict[int, list[Execution]] = {}
    for execution in history:
        if execution.shard >= 0:
            executions_by_shard.setdefault(execution.shard, []).append(
                execution
            )
    for executions in executions_by_shard.values():
        executions.sort(key=lambda execution: execution.begun_s)
        violations += _check_shard(executions)
    return violations


def _check_shard(executions: list[Execution]) -> list[Violation]:
    violations = []
    latest_end: Execution | None = None
    highest: Execution | None = None
    for execution in executions:
        if (
            latest_end is not None
            and latest_end.instance_id != execution.instance_id
            and execution.begun_s < latest_end.ended_s
        ):
            violations.append(
                Violation(
                    'two owners at the same time', (latest_end, execution)
                )
            )
        if highest is not None and execution.token < highest.token:
            violations.append(
                Violation(
                    'lower token after a higher one', (highest, execution)
                )
            )
        if latest_end is None or execution.ended_s > latest_end.ended_s:
            latest_end = execution
        if highest is None or execution.token > highest.token:
            highest = execution
    return violations


def check_at_most_once(history: Iterable[Execution]) -> list[Violation]:
    """Checks that no non-idempotent request was executed more than once."""
    first_execution_by_id: dict[str, Execution] = {}
    violations = []
    for execution in history:
        if execution.method != 'POST':
            continue
        if execution.request_id in first_execution_by_id:
            evidence = (first_execution_by_id[execution.request_id], execution)
            violations.append(
                Violation(
                    'non-idempotent request executed more than once', evidence
                )
            )
        first_execution_by_id.setdefault(execution.request_id, execution)
    return violations


def check_not_run(
    history: Iterable[Execution], samples: Iterable
) -> list[Violation]:
    """Checks that requests with the outcome `not-run` were not executed."""
    execution_by_id = {execution.request_id: execution for execution in history}
    return [
        Violation(
            'reported as not run, but was executed',
            (sample, execution_by_id[sample.request_id]),
        )
        for sample in samples
        if sample.outcome == results.Outcome.NOT_RUN.value
        and sample.request_id in execution_by_id
    ]


def check_answered(
    history: Iterable[Execution], samples: Iterable
) -> list[Violation]:
    """Checks that requests with the outcome `answered` were executed."""
    executed_ids = {execution.request_id for execution in history}
    return [
        Violation('reported as answered, but was never executed', (sample,))
        for sample in samples
        if sample.outcome == results.Outcome.ANSWERED.value
        and sample.request_id not in executed_ids
    ]


def check_all(history: list[Execution], samples: list) -> list[Violation]:
    """Runs all checks."""
    return [
        *check_single_owner(history),
        *check_at_most_once(history),
        *check_not_run(history, samples),
        *check_answered(history, samples),
    ]
