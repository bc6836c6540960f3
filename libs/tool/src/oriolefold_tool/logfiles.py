"""Reads the JSON lines that VMs have logged."""

import dataclasses
import json
import lzma
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any

from oriolefold_core import errors, findings

XZ_SUFFIX = '.xz'


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a VM's log.

    Attributes:
        vm_id: The VM, or the name of the file if the line names none.
        time_s: Unix time of the VM; it may jump.
        boot_s: Time since that VM was booted, which orders its own lines, or 0
            if the line has none.
        event: Name of the event.
        fields: All fields.
    """

    vm_id: str
    time_s: float
    boot_s: float
    event: str
    fields: dict[str, Any]


@dataclasses.dataclass(slots=True)
class Logs:
    """Lines of several files.

    Attributes:
        lines: The lines, in the order of the files.
        unreadable_by_file: Number of lines that are no JSON objects.
        omitted_by_vm_id: Number of lines that VMs left out at their rate limit.
    """

    lines: list[LogLine] = dataclasses.field(default_factory=list)
    unreadable_by_file: dict[str, int] = dataclasses.field(default_factory=dict)
    omitted_by_vm_id: dict[str, int] = dataclasses.field(default_factory=dict)

    @property
    def vm_ids(self) -> list[str]:
        """The VMs that have lines, in order."""
        return sorted({line.vm_id for line in self.lines})


def read(paths: Iterable[str]) -> Logs:
    """Reads log files, which may be compressed by xz.

    Text before the first brace of a line is skipped, such as a time stamp that
    a collector has added.

    Raises:
        ConfigurationError: With a finding for each file that cannot be read.
    """
    logs = Logs()
    found = findings.Findings()
    for path in paths:
        try:
            for text in _texts(path):
                _add(logs, path, text)
        except (OSError, EOFError, lzma.LZMAError) as error:
            found.add(findings.Location(path), f'cannot be read: {error}')
    if list(found):
        raise errors.ConfigurationError(list(found))
    return logs


def _texts(path: str) -> Iterator[str]:
    file_path = pathlib.Path(path)
    opener = lzma.open if file_path.suffix == XZ_SUFFIX else open
    with opener(file_path, 'rt', encoding='utf-8', errors='replace') as file:
        yield from file


def _add(logs: Logs, path: str, text: str) -> None:
    _, brace, rest = text.partition('{')
    try:
        fields = json.loads(brace + rest)
    except (ValueError, RecursionError):
        fields = None
    if not isinstance(fields, dict):
        if text.strip():
            count = logs.unreadable_by_file.get(path, 0)
            logs.unreadable_by_file[path] = count + 1
        return
    vm_id = str(fields.get('identity', path))
    omitted = _number(fields.get('omitted_before'))
    if omitted:
        count = logs.omitted_by_vm_id.get(vm_id, 0)
        logs.omitted_by_vm_id[vm_id] = count + int(omitted)
    logs.lines.append(
        LogLine(
            vm_id,
            _number(fields.get('timestamp')),
            _number(fields.get('boot_s')),
            str(fields.get('message_type', '')),
            fields,
        )
    )


def _number(value: object) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number else 0.0
