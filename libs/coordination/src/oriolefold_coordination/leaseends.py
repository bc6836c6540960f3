"""Upper bounds on when leases of instances end."""

import dataclasses

from oriolefold_coordination import ranges


@dataclasses.dataclass(slots=True)
class _Lease:
    """Upper bound on when an instance's lease on a range ends."""

    first: int
    last: int
    until_s: float


class LeaseEnds:
    """When the leases that a leader has granted end at the latest.

    They are kept by name of the instance alone: a call reaches whichever
    incarnation answers at the address.
    """

    def __init__(self):
        self._leases_by_id: dict[str, list[_Lease]] = {}

    def extend(self, key_range: ranges.KeyRange, until_s: float) -> None:
        """Records that the owner may hold a range until a time."""
        owner_id = key_range.owner.instance_id
        leases = self._leases_by_id.setdefault(owner_id, [])
        for lease in leases:
            if lease.first == key_range.first and lease.last == key_range.last:
                lease.until_s = max(lease.until_s, until_s)
                return
        leases.append(_Lease(key_range.first, key_range.last, until_s))

    def until_s(self, instance_id: str, key_range: ranges.KeyRange) -> float:
        """Returns until when an instance may hold keys of a range."""
        return max(
            (
                lease.until_s
                for lease in self._leases_by_id.get(instance_id, ())
                if lease.first <= key_range.last
                and lease.last >= key_range.first
            ),
            default=float('-inf'),
        )
