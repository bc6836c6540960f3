"""Plans the next shard map of a service."""

import dataclasses

from oriolefold_coordination import homeselection, placement, shardmap
from oriolefold_core import data, errors

MAX_MOVE_FRACTION = 0.05  # Of the shards, for voluntary moves in one plan.


@dataclasses.dataclass(frozen=True, slots=True)
class PlanInput:
    """Input of a plan.

    Attributes:
        configuration: The active configuration.
        vm_ids: Available VMs that are not about to leave.
        excluded_ids: Instances that are lost or about to leave.
        weights: Load of each shard, or empty for equal weights.
        may_move: Whether voluntary moves are allowed.
    """

    configuration: data.Configuration
    vm_ids: tuple[str, ...]
    excluded_ids: frozenset[str] = frozenset()
    weights: tuple[float, ...] = ()
    may_move: bool = False


def plan(
    service_id: str,
    current: shardmap.ShardMap | None,
    plan_input: PlanInput,
) -> shardmap.ShardMap:
    """Returns the next map of a service, or the current one if unchanged.

    Unchanged rows keep their epoch and therefore their tokens.

    Raises:
        NoOwnerError: If no instance or no VM is available.
    """
    register = plan_input.configuration.register
    service = register.services_by_id[service_id]
    instance_ids = tuple(
        sorted(set(service.instances_by_id) - plan_input.excluded_ids)
    )
    if not instance_ids:
        raise errors.NoOwnerError(f'{service_id}: no instance is left')
    if not plan_input.vm_ids:
        raise errors.NoOwnerError(f'{service_id}: no VM is left')
    current_rows = _current_rows(service, current)
    owner_ids = _place(service, plan_input, instance_ids, current_rows)
    standby_ids = _standbys(
        register, service, instance_ids, owner_ids, current_rows
    )
    zones = [service.instances_by_id[owner].zone_id for owner in owner_ids]
    home_ids = homeselection.choose_homes(
        register,
        plan_input.vm_ids,
        zones,
        [row.home_id if row else '' for row in current_rows],
    )
    epoch = current.epoch + 1 if current else 1
    rows = tuple(
        _next_row(old, shardmap.Row(owner, standby, home, epoch))
        for old, owner, standby, home in zip(
            current_rows, owner_ids, standby_ids, home_ids, strict=True
        )
    )
    excluded_ids = plan_input.excluded_ids & set(service.instances_by_id)
    if current and rows == current.rows:
        if excluded_ids == current.excluded_ids:
            return current
    return shardmap.ShardMap(service_id, epoch, rows, frozenset(excluded_ids))


def _current_rows(service, current) -> list[shardmap.Row | None]:
    # Changing the number of shards would remap every key while prior homes
    # still use the old numbering, so an existing map keeps its number.
    if current is None:
        return [None] * service.shard_count
    return list(current.rows)


def _place(service, plan_input, instance_ids, current_rows) -> list[str]:
    rule = plan_input.configuration.rules_by_service_id[service.service_id]
    shard_count = len(current_rows)
    weights = plan_input.weights or (1.0,) * shard_count
    policy = placement.POLICIES_BY_NAME[rule.placement]
    return policy.place(
        placement.Problem(
            instance_ids,
            tuple(row.owner_id if row else '' for row in current_rows),
            weights,
            tuple(row.standby_id if row else '' for row in current_rows),
            _max_moves(plan_input, shard_count),
        )
    )


def _max_moves(plan_input: PlanInput, shard_count: int) -> int:
    if not plan_input.may_move:
        return 0
    return max(1, int(shard_count * MAX_MOVE_FRACTION))


def _standbys(
    register, service, instance_ids, owner_ids, current_rows
) -> list[str]:
    counts_by_id = dict.fromkeys(instance_ids, 0)
    chosen = [''] * len(owner_ids)
    for shard, owner in enumerate(owner_ids):
        old = current_rows[shard].standby_id if current_rows[shard] else ''
        if old in counts_by_id and old != owner:
            chosen[shard] = old
            counts_by_id[old] += 1
    for shard, owner in enumerate(owner_ids):
        if not chosen[shard]:
            chosen[shard] = _standby(register, service, owner, counts_by_id)
            if chosen[shard]:
                counts_by_id[chosen[shard]] += 1
    return chosen


def _standby(
    register, service, owner_id: str, counts_by_id: dict[str, int]
) -> str:
    owner_zone = service.instances_by_id[owner_id].zone_id
    owner_region = register.region_of(owner_zone)

    def rank(instance_id: str) -> tuple:
        zone_id = service.instances_by_id[instance_id].zone_id
        elsewhere = register.region_of(zone_id) != owner_region
        same_zone = zone_id == owner_zone
        return elsewhere, same_zone, counts_by_id[instance_id], instance_id

    others = [name for name in counts_by_id if name != owner_id]
    return min(others, key=rank, default='')


def _next_row(old: shardmap.Row | None, planned: shardmap.Row) -> shardmap.Row:
    if old is None:
        return planned
    is_unchanged = (
        old.owner_id == planned.owner_id
        and old.standby_id == planned.standby_id
        and old.home_id == planned.home_id
    )
    if is_unchanged:
        return old
    priors = old.prior_home_ids
    if old.home_id != planned.home_id:
        others = (home for home in priors if home != old.home_id)
        priors = (old.home_id, *others)
    return dataclasses.replace(planned, prior_home_ids=priors)


def clear_prior_homes(
    current: shardmap.ShardMap, epochs_by_shard: dict[int, int]
) -> shardmap.ShardMap:
    """Returns the map without the prior homes that have released shards.

    Args:
        current: The newest map.
        epochs_by_shard: Acquired shards, each with the epoch of its row at
            that time; rows that have changed since are left as they are.
    """
    rows = list(current.rows)
    for shard, epoch in epochs_by_shard.items():
        if shard < len(rows) and rows[shard].epoch == epoch:
            rows[shard] = dataclasses.replace(rows[shard], prior_home_ids=())
    if tuple(rows) == current.rows:
        return current
    return dataclasses.replace(
        current, epoch=current.epoch + 1, rows=tuple(rows)
    )
