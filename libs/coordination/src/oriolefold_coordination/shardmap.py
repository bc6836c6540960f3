"""Shard maps: who owns each shard of a service and who may send to the owner.

Each row names the owner and its standby among the instances, and the home among
the VMs. Only the home sends to the owner. The row also reserves the fencing
tokens for every takeover that it allows, so a takeover needs no write.
"""

import dataclasses
import enum
from collections.abc import Mapping

from oriolefold_core import errors, findings

GUARD_EPOCH_BITS = 20
ROLE_BITS = 2  # One for the role of the home and one for that of the owner.


class Role(enum.IntEnum):
    """Which of the two that a row names is acting."""

    FIRST = 0
    STANDBY = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Assignment of one shard.

    Attributes:
        owner_id: Instance that owns the keys of the shard.
        standby_id: Instance that owns them once the owner is lost, or empty.
        home_id: VM whose daemon is the only sender to the owner.
        epoch: Epoch of the map in which the row was last changed.
        prior_home_ids: Homes whose release is needed before the home may send.
    """

    owner_id: str
    standby_id: str
    home_id: str
    epoch: int
    prior_home_ids: tuple[str, ...] = ()

    def token(self, guard_epoch: int, home_role: Role, owner_role: Role) -> int:
        """Returns the fencing token that the row reserves.

        Tokens grow with the epoch of the row, then with that of the guard of
        the home, then from the home to its standby, then from the owner to its
        standby; no takeover that the row allows ever goes back in that order.

        Args:
            guard_epoch: Epoch of the guard under which the home acts.
            home_role: Whether the home acts or its standby.
            owner_role: Whether the owner is in charge or its standby.
        """
        token = (self.epoch << GUARD_EPOCH_BITS) | guard_epoch
        return (token << ROLE_BITS) | (int(home_role) << 1) | int(owner_role)

    def instance_id(self, owner_role: Role) -> str:
        """Returns the instance that owns the shard in a role, or empty."""
        if owner_role is Role.FIRST:
            return self.owner_id
        return self.standby_id


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """The VMs that guard the right of one home to send.

    Attributes:
        standby_id: VM that takes over when the home is lost, or empty.
        witness_id: VM whose vote the standby needs for that, or empty.
        epoch: Rises by one with each change of the guard.
        former_standby_ids: Standbys of earlier epochs that may still act.
    """

    standby_id: str = ''
    witness_id: str = ''
    epoch: int = 0
    former_standby_ids: tuple[str, ...] = ()

    @property
    def vm_ids(self) -> tuple[str, ...]:
        """The VMs of the guard that are named."""
        return tuple(vm for vm in (self.standby_id, self.witness_id) if vm)


def standby_chain(
    home_id: str, guards_by_vm_id: Mapping[str, Guard], limit: int
) -> list[str]:
    """Returns a home, its standby, the standby of that one and so on.

    Whoever holds the right of the home is among them.

    Args:
        home_id: The home.
        guards_by_vm_id: Guards as recorded in the store.
        limit: Most VMs to return.
    """
    chain = [home_id]
    while len(chain) < limit:
        guard = guards_by_vm_id.get(chain[-1])
        if guard is None or not guard.standby_id:
            break
        if guard.standby_id in chain:
            break
        chain.append(guard.standby_id)
    return chain


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMap:
    """All rows of a service.

    Attributes:
        service_id: Service that the map is for.
        epoch: Rises by one with each accepted change.
        rows: The row of each shard, in the order of the shards.
        excluded_ids: Instances that were lost and are not used.
    """

    service_id: str
    epoch: int
    rows: tuple[Row, ...]
    excluded_ids: frozenset[str] = frozenset()

    @property
    def shard_count(self) -> int:
        """Number of shards."""
        return len(self.rows)

    def shards_of_home(self, vm_id: str) -> list[int]:
        """Returns the shards whose home is a VM."""
        return [i for i, row in enumerate(self.rows) if row.home_id == vm_id]


def to_record(shard_map: ShardMap) -> dict:
    """Returns the map as plain lists and dicts, names written once."""
    names = sorted(
        {row.owner_id for row in shard_map.rows}
        | {row.standby_id for row in shard_map.rows}
        | {row.home_id for row in shard_map.rows}
        | {vm for row in shard_map.rows for vm in row.prior_home_ids}
    )
    index_by_name = {name: index for index, name in enumerate(names)}
    return {
        'service': shard_map.service_id,
        'epoch': shard_map.epoch,
        'names': names,
        'rows': [_row_record(row, index_by_name) for row in shard_map.rows],
        'excluded': sorted(shard_map.excluded_ids),
    }


def _row_record(row: Row, index_by_name: dict[str, int]) -> list[int]:
    ids = (row.owner_id, row.standby_id, row.home_id)
    record = [index_by_name[name] for name in ids]
    record.append(row.epoch)
    record.extend(index_by_name[name] for name in row.prior_home_ids)
    return record


def from_record(record: object, source: str) -> ShardMap:
    """Reads the plain form of a map.

    Args:
        record: What `to_record` returned, perhaps through a codec.
        source: Name of the object that findings quote.

    Raises:
        ConfigurationError: If the record is not of that form.
    """
    try:
        names = [str(name) for name in record['names']]
        # Most rows of a map are alike, so each is made once and shared.
        rows_by_item: dict[tuple[int, ...], Row] = {}
        rows = []
        for item in map(tuple, record['rows']):
            row = rows_by_item.get(item)
            if row is None:
                row = rows_by_item[item] = _row(item, names)
            rows.append(row)
        return ShardMap(
            str(record['service']),
            int(record['epoch']),
            tuple(rows),
            frozenset(str(name) for name in record['excluded']),
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        finding = findings.Finding(
            findings.Place(source),
            f'not a shard map: {type(error).__name__}: {error}',
        )
        raise errors.ConfigurationError((finding,)) from error


def _row(item: tuple[int, ...], names: list[str]) -> Row:
    if any(index < 0 for index in item):
        raise ValueError('negative index')
    owner, standby, home, epoch = item[:4]
    priors = tuple(names[index] for index in item[4:])
    return Row(names[owner], names[standby], names[home], epoch, priors)
