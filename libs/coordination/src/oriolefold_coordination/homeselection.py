"""Selects the home of each shard and the guard of each home by topology."""

from collections.abc import Mapping, Sequence

from oriolefold_coordination import shardmap
from oriolefold_core import data


def choose_homes(
    register: data.Register,
    vm_ids: Sequence[str],
    owner_zones: Sequence[str],
    current_home_ids: Sequence[str],
) -> list[str]:
    """Chooses a home near the owner of each shard.

    A home is kept while it is available and in the region of the owner, since
    a change requires a release. Otherwise the VM with the fewest shards is
    chosen, from the region of the owner if there is one, so that requests do
    not cross regions needlessly.

    Args:
        register: The asset register.
        vm_ids: Available VMs that are not about to leave.
        owner_zones: Zone of the owner of each shard.
        current_home_ids: Current home of each shard, or empty.

    Returns:
        The home of each shard.
    """
    counts_by_id = dict.fromkeys(vm_ids, 0)
    chosen = list(current_home_ids)
    for shard, zone_id in enumerate(owner_zones):
        home_id = chosen[shard]
        if home_id in counts_by_id and _in_same_region(
            register, home_id, zone_id
        ):
            counts_by_id[home_id] += 1
        else:
            chosen[shard] = ''
    for shard, zone_id in enumerate(owner_zones):
        if not chosen[shard]:
            chosen[shard] = _nearest(register, zone_id, counts_by_id)
            counts_by_id[chosen[shard]] += 1
    return chosen


def choose_guards(
    register: data.Register, vm_ids: Sequence[str]
) -> dict[str, shardmap.Guard]:
    """Chooses the standby and the witness of each VM.

    The standby is in another zone of the same region, so that it is near the
    same owners. The witness is in another region, so that two of the three
    stay connected if a zone fails or a region is partitioned off. With too few
    VMs the constraints are relaxed step by step.

    Returns:
        The guards by VM.
    """
    ordered = sorted(vm_ids)
    guards_by_vm_id = {}
    for index, vm_id in enumerate(ordered):
        others = ordered[index + 1 :] + ordered[:index]
        standby = _first_matching(
            others, _preferences_for_standby(register, vm_id)
        )
        rest = [other for other in others if other != standby]
        witness = _first_matching(
            rest, _preferences_for_witness(register, vm_id, standby)
        )
        guards_by_vm_id[vm_id] = shardmap.Guard(standby, witness)
    return guards_by_vm_id


def _in_same_region(register: data.Register, vm_id: str, zone_id: str) -> bool:
    vm_zone = register.vms_by_id[vm_id].zone_id
    return register.region_of(vm_zone) == register.region_of(zone_id)


def _nearest(register, zone_id: str, counts_by_id: Mapping[str, int]) -> str:
    region_id = register.region_of(zone_id)

    def rank(vm_id: str) -> tuple:
        vm_zone = register.vms_by_id[vm_id].zone_id
        elsewhere = register.region_of(vm_zone) != region_id
        return elsewhere, counts_by_id[vm_id], vm_zone != zone_id, vm_id

    return min(counts_by_id, key=rank)


def _preferences_for_standby(register, vm_id):
    zone_id = register.vms_by_id[vm_id].zone_id
    region_id = register.region_of(zone_id)

    def zone_of(other):
        return register.vms_by_id[other].zone_id

    return (
        lambda other: (
            zone_of(other) != zone_id
            and register.region_of(zone_of(other)) == region_id
        ),
        lambda other: register.region_of(zone_of(other)) == region_id,
        lambda other: True,
    )


def _preferences_for_witness(register, vm_id, standby_id):
    region_id = register.region_of(register.vms_by_id[vm_id].zone_id)
    taken_zones = {register.vms_by_id[vm_id].zone_id}
    if standby_id:
        taken_zones.add(register.vms_by_id[standby_id].zone_id)

    def zone_of(other):
        return register.vms_by_id[other].zone_id

    return (
        lambda other: register.region_of(zone_of(other)) != region_id,
        lambda other: zone_of(other) not in taken_zones,
        lambda other: True,
    )


def _first_matching(candidates: Sequence[str], preferences) -> str:
    for accepts in preferences:
        for candidate in candidates:
            if accepts(candidate):
                return candidate
    return ''
