"""Messages that notify tasks of a new configuration or leaving instances."""

import dataclasses

from oriolefold_core import data


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationUpdated:
    """A new version of the configuration has become active."""

    configuration: data.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesLeaving:
    """The instances that are about to stop and so get no new requests."""

    instance_ids: frozenset[str]
