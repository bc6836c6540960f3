"""Findings: problems in an input, each with its location."""

import dataclasses

from oriolefold_core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Location in an input.

    Attributes:
        source: File name, flag or environment variable.
        line: Line number from 1, or 0 where the source has no lines.
        path: Dotted path within the document, or an empty string.
    """

    source: str
    line: int = 0
    path: str = ''

    def __str__(self) -> str:
        text = self.source
        if self.line:
            text += f':{self.line}'
        if self.path:
            text += f': {self.path}'
        return text


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One problem in an input.

    Attributes:
        location: Location of the problem.
        message: The problem and what is expected instead.
    """

    location: Location
    message: str

    def __str__(self) -> str:
        return f'{self.location}: {self.message}'


class Findings:
    """Collects findings, so that all of them are reported together."""

    def __init__(self):
        self._findings: list[Finding] = []

    def add(self, location: Location, message: str) -> None:
        """Adds one finding."""
        self._findings.append(Finding(location, message))

    def __iter__(self):
        return iter(self._findings)

    def __len__(self) -> int:
        return len(self._findings)

    def raise_if_any(self) -> None:
        """Raises `ConfigurationError` with all findings, if there are any."""
        if self._findings:
            raise errors.ConfigurationError(tuple(self._findings))
