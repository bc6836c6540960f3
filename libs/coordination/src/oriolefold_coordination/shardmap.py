"""Shard maps: the owner of each shard of a service and its only sender.

Each row names the owning instance, its standby, and the home, which is the only
VM that sends to the owner. The row also reserves the fencing tokens of every
takeover that it allows, so a takeover needs no write to the store.
"""

import dataclasses
import enum
from collections.abc import Mapping

from oriolefold_core import errors, findings

GUARD_EPOCH_BITS = 20
ROLE_BITS = 2  # One for the role of the home, one for that of the owner.


class Role(enum.IntEnum):
    """Whether the primary or the standby acts."""

    PRIMARY = 0
    STANDBY = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Assignment of one shard.

    Attributes:
        owner_id: Instance that owns the keys of the shard.
        standby_id: Instance that takes over if the owner is lost, or empty.
        home_id: VM whose daemon is the only sender to the owner.
        epoch: Map epoch in which the row was last changed.
        prior_home_ids: Homes that must release the shard before the home may
            send for it.
    """

    owner_id: str
    standby_id: str
    home_id: str
    epoch: int
    prior_home_ids: tuple[str, ...] = ()

    def token(self, guard_epoch: int, home_role: Role, owner_role: Role) -> int:
        """Returns the fencing token that the row reserves.

        Tokens are ordered by the epoch of the row, the guard epoch of the
        home, the role of the home and the role of the owner; a standby's token
        is higher than its primary's. No takeover that the row allows decreases
        the token.

        Args:
            guard_epoch: Epoch of the guard under which the home acts.
            home_role: Whether the home or its standby acts.
            owner_role: Whether the owner or its standby acts.
        """
        token = (self.epoch << GUARD_EPOCH_BITS) | guard_epoch
        return (token << ROLE_BITS) | (int(home_role) << 1) | int(owner_role)

    def instance_id(self, owner_role: Role) -> str:
        """Returns the instance with the given role, or an empty string."""
        if owner_role is Role.PRIMARY:
            return self.owner_id
        return self.standby_id


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """The VMs that guard the lease of one home.

    Attributes:
        standby_id: VM that takes over if the home is lost, or empty.
        witness_id: VM whose vote a takeover requires, or empty.
        epoch: Incremented with each change of the guard.
        former_standby_ids: Standbys of earlier epochs that may still act.
    """

    standby_id: str = ''
    witness_id: str = ''
    epoch: int = 0
    former_standby_ids: tuple[str, ...] = ()

    @property
    def vm_ids(self) -> tuple[str, ...]:
        """The standby and the witness, each only if it is set."""
        return tuple(vm for vm in (self.standby_id, self.witness_id) if vm)


def standby_chain(
    home_id: str, guards_by_vm_id: Mapping[str, Guard], limit: int
) -> list[str]:
    """Returns a home, its standby, the standby of the standby and so on.

    The VM that holds the lease of the home is among them.

    Args:
        home_id: The home.
        guards_by_vm_id: Guards as recorded in the store.
        limit: Maximum number of VMs to return.
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
        service_id: The service.
        epoch: Incremented with each accepted change.
        rows: The row of each shard, ordered by shard number.
        excluded_ids: Lost instances that are not used.
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
        """Returns the shards whose home is the given VM."""
        return [i for i, row in enumerate(self.rows) if row.home_id == vm_id]


def to_record(shard_map: ShardMap) -> dict:
    """Returns the map as lists and dicts, with a table of the names."""
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
    """Builds a map from its record.

    Args:
        record: Return value of `to_record`, possibly decoded from text.
        source: Name of the stored object, for error messages.

    Raises:
        ConfigurationError: If the record is malformed.
    """
    try:
        names = [str(name) for name in record['names']]
        # Most rows of a map are equal, so equal rows share one object.
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
            findings.Location(source),
            f'not a shard map: {type(error).__name__}: {error}',
        )
        raise errors.ConfigurationError((finding,)) from error


def _row(item: tuple[int, ...], names: list[str]) -> Row:
    if any(index < 0 for index in item):
        raise ValueError('a row contains a negative number')
    owner, standby, home, epoch = item[:4]
    priors = tuple(names[index] for index in item[4:])
    return Row(names[owner], names[standby], names[home], epoch, priors)
