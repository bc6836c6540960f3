"""YAML parser that records the line number of each value."""

import dataclasses
from typing import Any

import yaml

from oriolefold_core import findings


@dataclasses.dataclass(frozen=True, slots=True)
class LocatedDocument:
    """A parsed document with the line number of each value.

    Attributes:
        source: File name, quoted in findings.
        value: Plain lists, dicts and scalars.
        lines_by_path: Line number, from 1, by path of the value.
    """

    source: str
    value: Any
    lines_by_path: dict[tuple, int]

    def location_of(self, path: tuple) -> findings.Location:
        """Returns the location of a value, or of its nearest known parent."""
        known = path
        while known and known not in self.lines_by_path:
            known = known[:-1]
        line = self.lines_by_path.get(known, 0)
        return findings.Location(self.source, line, dotted(path))


def dotted(path: tuple) -> str:
    """Returns a path as text, such as `services[2].slots`."""
    text = ''
    for step in path:
        if isinstance(step, int):
            text += f'[{step}]'
        elif text:
            text += f'.{step}'
        else:
            text = str(step)
    return text


def parse(text: str, source: str) -> LocatedDocument:
    """Parses a YAML document.

    Args:
        text: The document.
        source: File name, quoted in findings.

    Raises:
        ConfigurationError: If the text is not valid YAML or repeats a key.
    """
    found = findings.Findings()
    loader = None
    try:
        # The constructor refuses unprintable characters.
        loader = yaml.SafeLoader(text)
        node = loader.get_single_node()
        lines_by_path: dict[tuple, int] = {}
        value = None
        if node is not None:
            value = _read_node(loader, node, (), lines_by_path, source, found)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark else 0
        found.add(
            findings.Location(source, line), f'invalid YAML: {error.problem}'
        )
    except yaml.YAMLError as error:
        found.add(findings.Location(source), f'invalid YAML: {error}')
    except RecursionError:
        found.add(findings.Location(source), 'nested too deeply')
    finally:
        if loader is not None:
            loader.dispose()
    found.raise_if_any()
    return LocatedDocument(source, value, lines_by_path)


def _read_node(loader, node, path, lines_by_path, source, found) -> Any:
    lines_by_path[path] = node.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode):
        return [
            _read_node(loader, item, path + (i,), lines_by_path, source, found)
            for i, item in enumerate(node.value)
        ]
    if isinstance(node, yaml.MappingNode):
        return _read_mapping(loader, node, path, lines_by_path, source, found)
    return _read_scalar(loader, node, path, source, found)


def _read_scalar(loader, node, path, source, found) -> Any:
    try:
        return loader.construct_object(node)
    except (ArithmeticError, AttributeError, LookupError, ValueError) as error:
        # The constructors of dates, numbers and booleans raise these for texts
        # that only look like one, or that a tag declares to be one.
        line = node.start_mark.line + 1
        location = findings.Location(source, line, dotted(path))
        found.add(location, f'invalid YAML value: {error}')
    return None


def _read_mapping(loader, node, path, lines_by_path, source, found) -> dict:
    value = {}
    for key_node, value_node in node.value:
        key = str(_read_scalar(loader, key_node, path, source, found))
        if key in value:
            line = key_node.start_mark.line + 1
            location = findings.Location(source, line, dotted(path + (key,)))
            found.add(location, 'duplicate key')
        value[key] = _read_node(
            loader, value_node, path + (key,), lines_by_path, source, found
        )
    return value
