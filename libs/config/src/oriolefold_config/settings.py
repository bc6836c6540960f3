"""Settings of a program from flags and environment variables.

A settings class is a validated model; each field can be set by a flag and by an
environment variable of the same name. A flag takes precedence over a variable
and a variable over the default.
"""

import argparse
import os
import sys
from collections.abc import Mapping, Sequence

import pydantic

from oriolefold_core import findings

ENVIRONMENT_PREFIX = 'ORIOLEFOLD_'
EXIT_BAD_SETTINGS = 2


class Settings(pydantic.BaseModel):
    """Base class of settings models."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


def flag_of(name: str) -> str:
    """Returns the flag of a field, such as `--vm-id`."""
    return '--' + name.replace('_', '-')


def variable_of(name: str) -> str:
    """Returns the environment variable of a field."""
    return ENVIRONMENT_PREFIX + name.upper()


def load(
    settings_class: type[Settings],
    program: str,
    version: str,
    arguments: Sequence[str] | None = None,
    environment: Mapping[str, str] | None = None,
) -> Settings:
    """Reads and validates the settings.

    `--help` and `--version` print their text and exit.

    Args:
        settings_class: Model of the settings.
        program: Name of the program, for the help text.
        version: Text that `--version` prints.
        arguments: Command line without the program; `sys.argv` by default.
        environment: Environment variables; `os.environ` by default.

    Raises:
        ConfigurationError: With all invalid flags and variables.
    """
    environment = os.environ if environment is None else environment
    arguments = sys.argv[1:] if arguments is None else arguments
    parser = _parser(settings_class, program, version)
    found = findings.Findings()
    flags, unknown = parser.parse_known_args(list(arguments))
    for text in unknown:
        found.add(findings.Location(text), 'unknown flag')
    values = {}
    locations_by_name = {}
    for name in settings_class.model_fields:
        flag, variable = flag_of(name), variable_of(name)
        locations_by_name[name] = findings.Location(f'{flag} or {variable}')
        if variable in environment:
            values[name] = environment[variable]
            locations_by_name[name] = findings.Location(variable)
        if getattr(flags, name) is not None:
            values[name] = getattr(flags, name)
            locations_by_name[name] = findings.Location(flag)
    settings = _validate(settings_class, values, locations_by_name, found)
    found.raise_if_any()
    return settings


def _validate(settings_class, values, locations_by_name, found):
    try:
        return settings_class.model_validate(values)
    except pydantic.ValidationError as error:
        for item in error.errors():
            name = item['loc'][0] if item['loc'] else ''
            location = locations_by_name.get(
                name, findings.Location('settings')
            )
            found.add(location, item['msg'])
    return None


def _parser(settings_class, program, version) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=program,
        description=settings_class.__doc__,
        allow_abbrev=False,
    )
    parser.add_argument('--version', action='version', version=version)
    for name, field in settings_class.model_fields.items():
        text = field.description or ''
        default = (
            'required' if field.is_required() else f'default {field.default!r}'
        )
        parser.add_argument(
            flag_of(name),
            dest=name,
            metavar='VALUE',
            help=f'{text} ({default}; {variable_of(name)})'.replace('%', '%%'),
        )
    return parser
