"""Issues that a check of a configuration finds, and comparison by field."""

import dataclasses
import enum
from collections.abc import Iterator, Mapping
from typing import Any

Path = tuple[str | int, ...]


class Kind(enum.Enum):
    """Kind of an issue.

    Without an `ERROR` the programs accept a configuration, and read it as it is
    written.
    """

    ERROR = 'error'
    NEVER_MATCHES = 'never-matches'
    CONTRADICTION = 'contradiction'
    DIFFERENCE = 'difference'


@dataclasses.dataclass(frozen=True, slots=True)
class Issue:
    """One issue of a configuration.

    Attributes:
        kind: Kind of the issue.
        path: Collection, IDs and field names that lead to the value.
        message: What was found, and what was expected instead.
    """

    kind: Kind
    path: Path
    message: str


def compare_entries(
    path: Path,
    before_by_id: Mapping[str, Any],
    after_by_id: Mapping[str, Any],
    nested: frozenset[str] = frozenset(),
) -> Iterator[Issue]:
    """Yields the differences of two collections of data classes.

    Args:
        path: Path of the collections.
        before_by_id: Entries by ID, before the change.
        after_by_id: Entries by ID, after the change.
        nested: Fields that are collections of data classes by ID themselves.
    """
    for entry_id in sorted(before_by_id.keys() | after_by_id.keys()):
        entry_path = path + (entry_id,)
        if entry_id not in before_by_id:
            yield Issue(Kind.DIFFERENCE, entry_path, 'added')
        elif entry_id not in after_by_id:
            yield Issue(Kind.DIFFERENCE, entry_path, 'removed')
        else:
            yield from compare_fields(
                entry_path,
                before_by_id[entry_id],
                after_by_id[entry_id],
                nested,
            )


def compare_fields(
    path: Path, before: Any, after: Any, nested: frozenset[str] = frozenset()
) -> Iterator[Issue]:
    """Yields the differences of two data classes of one type, by field."""
    for field in dataclasses.fields(before):
        old, new = getattr(before, field.name), getattr(after, field.name)
        field_path = path + (field.name,)
        if field.name in nested:
            yield from compare_entries(field_path, old, new)
        elif old != new:
            yield Issue(
                Kind.DIFFERENCE,
                field_path,
                f'{describe(old)} became {describe(new)}',
            )


def describe(value: Any) -> str:
    """Returns a field's value as text, the same in every run."""
    if isinstance(value, frozenset):
        return '[' + ', '.join(sorted(map(describe, value))) + ']'
    if isinstance(value, tuple):
        return '[' + ', '.join(map(describe, value)) + ']'
    if isinstance(value, enum.Enum):
        return repr(value.value)
    if dataclasses.is_dataclass(value):
        pairs = (
            f'{field.name}={describe(getattr(value, field.name))}'
            for field in dataclasses.fields(value)
        )
        return '(' + ', '.join(pairs) + ')'
    return repr(value)
