"""Checks of configurations in any format, before they are sent.

A format reads one kind of configuration. The adapter of a platform adds its own
with a subclass of `Format`, found by `formats`, and may have a command that
calls `run` and `finish`.
"""

import abc
import dataclasses
import json
import sys
from typing import Any, Generic, TypeVar

from oriolefold_core import findings, issues

EXIT_FINDINGS = 1

Document = TypeVar('Document')


class Format(abc.ABC, Generic[Document]):
    """A format of configurations."""

    @abc.abstractmethod
    def recognizes(self, path: str) -> bool:
        """Whether a path looks like a configuration of this format."""

    @abc.abstractmethod
    def read(self, path: str) -> Document:
        """Reads a configuration without validating it.

        Raises:
            ConfigurationError: If it cannot be read or parsed.
        """

    @abc.abstractmethod
    def validate(self, document: Document) -> tuple[Any, findings.Findings]:
        """Decodes a document as the programs do.

        Returns:
            The configuration, or None if the programs refuse it, and all
            errors.
        """

    @abc.abstractmethod
    def check(self, configuration: Any) -> list[issues.Issue]:
        """Returns the issues of a valid configuration."""

    @abc.abstractmethod
    def compare(self, before: Any, after: Any) -> list[issues.Issue]:
        """Returns the differences of two valid configurations."""

    @abc.abstractmethod
    def locate(
        self, document: Document, path: issues.Path
    ) -> findings.Location:
        """Returns the place of a value, with the names of the format."""

    @abc.abstractmethod
    def summarize(self, configuration: Any) -> dict[str, int]:
        """Returns the numbers of entries by what they are."""

    def unchecked(self) -> list[str]:
        """Returns what was not checked, since it needs further files."""
        return []


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Result of a check.

    Attributes:
        source: The configuration that was checked.
        results: Kind and finding of each issue, in order.
        counts: Numbers of entries, empty if there are errors.
        unchecked: What was not checked.
    """

    source: str
    results: tuple[tuple[issues.Kind, findings.Finding], ...]
    counts: dict[str, int]
    unchecked: tuple[str, ...]

    @property
    def exit_code(self) -> int:
        """Exit code of the command."""
        return EXIT_FINDINGS if self.results else 0

    def to_record(self) -> dict[str, Any]:
        """Returns the report as a JSON value."""
        return {
            **self.counts,
            'findings': [
                {
                    'kind': kind.value,
                    'source': finding.location.source,
                    'line': finding.location.line,
                    'path': finding.location.path,
                    'message': finding.message,
                }
                for kind, finding in self.results
            ],
            'not_checked': list(self.unchecked),
        }

    def to_text(self) -> str:
        """Returns the report as lines."""
        lines = [
            str(dataclasses.replace(f, message=f'{kind.value}: {f.message}'))
            for kind, f in self.results
        ]
        if not lines:
            counts = ', '.join(f'{n} {name}' for name, n in self.counts.items())
            lines.append(f'{self.source}: no findings ({counts})')
        lines += [f'{self.source}: not checked: {u}' for u in self.unchecked]
        return '\n'.join(lines)


def run(checked_format: Format, file: str, against: str = '') -> Report:
    """Checks a configuration and compares it with an earlier one.

    Args:
        checked_format: Format of both.
        file: Path of the configuration.
        against: Path of the earlier one; not compared if it is empty.

    Raises:
        ConfigurationError: If one of them cannot be read.
    """
    document = checked_format.read(file)
    earlier = checked_format.read(against) if against else None
    configuration, errors = checked_format.validate(document)
    results = [(issues.Kind.ERROR, error) for error in errors]
    found = []
    if configuration is not None:
        found += checked_format.check(configuration)
    if earlier is not None:
        before, errors = checked_format.validate(earlier)
        results += [(issues.Kind.ERROR, error) for error in errors]
        if before is not None and configuration is not None:
            found += checked_format.compare(before, configuration)
    results += [
        (
            issue.kind,
            findings.Finding(
                checked_format.locate(document, issue.path), issue.message
            ),
        )
        for issue in found
    ]
    counts = {}
    if configuration is not None:
        counts = checked_format.summarize(configuration)
    return Report(
        file, tuple(results), counts, tuple(checked_format.unchecked())
    )


def finish(report: Report, as_json: bool) -> None:
    """Prints a report, and ends the program if there are findings."""
    if as_json:
        print(json.dumps(report.to_record(), indent=2))
    else:
        # Names from a document can hold characters that cannot be encoded.
        text = report.to_text().encode('utf-8', 'backslashreplace')
        print(text.decode('utf-8'))
    if report.exit_code:
        sys.exit(report.exit_code)
