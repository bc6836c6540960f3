"""Traces one request through the logs of VMs, and says whether it has run."""

import dataclasses
import enum

from oriolefold_core import errors
from oriolefold_tool import logfiles

POLICY_EVENT = 'policy.in_force'
# Beginnings of the reasons of sends that show that the instance ran nothing.
NOT_RUN_REASONS = tuple(
    f'{category.value}:' for category in errors.NOT_RUN_CATEGORIES
)
MIN_FAILURE_STATUS = 500
MAX_NAMED_VMS = 5


class Verdict(enum.Enum):
    """Whether a request has run."""

    RAN_ONCE = 'ran once'
    RAN = 'ran, and may have run elsewhere too'
    NOT_RUN = 'not run'
    MAY_HAVE_RUN = 'may have run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One line about the request.

    Attributes:
        line: The line.
        policy: Version of the configuration that was in force at that VM, or
            None if its log does not tell.
    """

    line: logfiles.LogLine
    policy: int | None

    def __str__(self) -> str:
        shown = {
            name: value
            for name, value in self.line.fields.items()
            if name not in _HIDDEN_FIELDS and value not in (None, [], '')
        }
        if self.policy is not None:
            shown.setdefault('policy', self.policy)
        text = ' '.join(f'{name}={value}' for name, value in shown.items())
        time = f'{self.line.time_s:.4f}'
        return f'{time} {self.line.vm_id} {self.line.event} {text}'


_HIDDEN_FIELDS = frozenset(
    {
        'request',
        'timestamp',
        'boot_s',
        'task_uuid',
        'task_level',
        'message_type',
        'program',
        'identity',
        'omitted_before',
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """What the logs tell about one request.

    Attributes:
        request_id: The request.
        steps: Lines about it, in the order of time.
        verdict: Whether it has run.
        reason: What the verdict was concluded from.
        caveats: What the logs cannot show.
    """

    request_id: str
    steps: tuple[Step, ...]
    verdict: Verdict
    reason: str
    caveats: tuple[str, ...]

    def __str__(self) -> str:
        lines = [str(step) for step in self.steps]
        lines.append(f'{self.verdict.value}: {self.reason}')
        lines += [f'note: {caveat}' for caveat in self.caveats]
        return '\n'.join(lines)


def trace(logs: logfiles.Logs, request_id: str) -> Trace:
    """Collects the lines about a request and concludes whether it has run."""
    lines = [
        line for line in logs.lines if line.fields.get('request') == request_id
    ]
    # Clocks of VMs differ and jump, so lines of one VM keep their own order.
    first_at_s = {}
    for line in lines:
        known_s = first_at_s.get(line.vm_id, line.time_s)
        first_at_s[line.vm_id] = min(known_s, line.time_s)
    lines.sort(key=lambda line: (first_at_s[line.vm_id], line.boot_s))
    verdict, reason = _conclude(lines)
    return Trace(
        request_id,
        tuple(Step(line, _policy_at(logs, line)) for line in lines),
        verdict,
        reason,
        _caveats(logs, lines),
    )


def _conclude(lines: list[logfiles.LogLine]) -> tuple[Verdict, str]:
    if not lines:
        return (
            Verdict.UNKNOWN,
            'no line names this request. One that may be repeated leaves none '
            'when it succeeds, and the log of its VM may be missing',
        )
    ran_at = [place for line in lines if (place := _place_of_run(line))]
    doubts = [
        str(line.fields.get('instance', '?'))
        for line in lines
        if line.event == 'send.failed' and not _is_not_run(line)
    ]
    if ran_at and not doubts and len(ran_at) == 1:
        return Verdict.RAN_ONCE, f'instance {ran_at[0]} answered'
    if ran_at:
        others = ', '.join(sorted(set(doubts) | set(ran_at[1:])))
        return (
            Verdict.RAN,
            f'instance {ran_at[0]} answered; the outcome at {others} is open',
        )
    if doubts:
        places = ', '.join(sorted(set(doubts)))
        return Verdict.MAY_HAVE_RUN, f'no answer after a send to {places}'
    for line in lines:
        if line.event == 'request.failed' and not _is_not_run(line):
            return (
                Verdict.MAY_HAVE_RUN,
                f'no answer from {_tried(line)}: {line.fields.get("reason")}',
            )
    last = lines[-1]
    if last.event == 'request.cut' and last.fields.get('stage') == 'waiting':
        return Verdict.MAY_HAVE_RUN, 'its VM stopped while it was in progress'
    if any(line.event in _FINAL_EVENTS for line in lines):
        return Verdict.NOT_RUN, 'no send may have reached an instance'
    return (
        Verdict.UNKNOWN,
        f'the last line is {last.event}; its end is in none of the logs',
    )


_FINAL_EVENTS = frozenset(
    {
        'request.failed',
        'request.refused',
        'request.cut',
        'request.unreadable',
        'body.refused',
    }
)


def _place_of_run(line: logfiles.LogLine) -> str | None:
    """Returns the instance that a line shows to have run the request."""
    if line.event == 'request.answered':
        return str(line.fields.get('instance', '?'))
    status = line.fields.get('status')
    if line.event == 'request.failed' and isinstance(status, int):
        if status >= MIN_FAILURE_STATUS:
            return _tried(line)
    return None


def _tried(line: logfiles.LogLine) -> str:
    tried = line.fields.get('tried')
    names = tried if isinstance(tried, list) else []
    return ' or '.join(str(name) for name in names) or '?'


def _is_not_run(line: logfiles.LogLine) -> bool:
    """Whether the error of a send, or the end of a request, shows no run."""
    fields = line.fields
    reason = str(fields.get('error') or fields.get('reason') or '')
    return reason.startswith(NOT_RUN_REASONS)


def _policy_at(logs: logfiles.Logs, line: logfiles.LogLine) -> int | None:
    version = None
    for other in logs.lines:
        if (
            other.vm_id == line.vm_id
            and other.event == POLICY_EVENT
            and other.boot_s <= line.boot_s
            and (other.boot_s or other.time_s <= line.time_s)
        ):
            version = other.fields.get('version', version)
    return version if isinstance(version, int) else None


def _caveats(
    logs: logfiles.Logs, lines: list[logfiles.LogLine]
) -> tuple[str, ...]:
    caveats = [
        f'{path}: {count} lines are no JSON objects and were skipped'
        for path, count in sorted(logs.unreadable_by_file.items())
    ]
    vm_ids = {line.vm_id for line in lines}
    caveats += [
        f'{vm_id} left out {count} lines at its rate limit'
        for vm_id, count in sorted(logs.omitted_by_vm_id.items())
        if not vm_ids or vm_id in vm_ids
    ]
    read = logs.vm_ids
    names = ', '.join(read[:MAX_NAMED_VMS]) or 'none'
    if len(read) > MAX_NAMED_VMS:
        names += f' and {len(read) - MAX_NAMED_VMS} more'
    caveats.append(f'logs were read of these VMs, and of no others: {names}')
    caveats.append('calls that an instance made for it have ids of their own')
    return tuple(caveats)
