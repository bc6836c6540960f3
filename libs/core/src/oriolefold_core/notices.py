"""Notices that tell tasks what is in force."""

import dataclasses

from oriolefold_core import data


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """A newer configuration is to be acted on."""

    configuration: data.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesLeaving:
    """Instances that get no new work."""

    instance_ids: frozenset[str]
