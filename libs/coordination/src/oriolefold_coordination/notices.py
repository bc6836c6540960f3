"""Notifications to tasks about changed shard maps and guards."""

import dataclasses

from oriolefold_coordination import shardmap


@dataclasses.dataclass(frozen=True, slots=True)
class MapUpdated:
    """A newer shard map is in force."""

    shard_map: shardmap.ShardMap


@dataclasses.dataclass(frozen=True, slots=True)
class GuardsUpdated:
    """The current guards of all homes, by VM."""

    guards_by_vm_id: dict[str, shardmap.Guard]
