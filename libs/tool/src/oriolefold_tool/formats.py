"""Formats of configurations: the project's own, and those of adapters.

An adapter announces its format as an entry point of its distribution, so that
this library does not depend on any platform.
"""

from importlib import metadata

from oriolefold_tool import checking, registerformat

GROUP = 'oriolefold.formats'


def find(path: str) -> checking.Format:
    """Returns the format of a configuration; the own one if none recognizes it.

    Args:
        path: File or folder with the configuration.
    """
    own = registerformat.RegisterFormat()
    if own.recognizes(path):
        return own
    for entry_point in sorted(metadata.entry_points(group=GROUP)):
        added = entry_point.load()()
        if added.recognizes(path):
            return added
    return own
