"""Notices that tell tasks which maps and guards are in force."""

import dataclasses

from oriolefold_coordination import shardmap


@dataclasses.dataclass(frozen=True, slots=True)
class MapInForce:
    """A newer shard map is to be acted on."""

    shard_map: shardmap.ShardMap


@dataclasses.dataclass(frozen=True, slots=True)
class GuardsKnown:
    """The guards of homes, by VM."""

    guards_by_vm_id: dict[str, shardmap.Guard]
