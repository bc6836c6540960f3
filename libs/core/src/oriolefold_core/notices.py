"""Messages that tell tasks about changes of the configuration."""

import dataclasses

from oriolefold_core import data


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdated:
    """A new version of the configuration has become active."""

    configuration: data.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesLeaving:
    """The instances that get no new requests because they are leaving."""

    instance_ids: frozenset[str]
