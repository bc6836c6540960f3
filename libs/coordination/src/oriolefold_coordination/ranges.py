"""Key ranges and the instances that hold them."""

import bisect
import dataclasses

KEY_COUNT = 65536  # Keys are numbers from 0 to 65535.


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """One incarnation of an instance that holds or held keys.

    Attributes:
        instance_id: Name of the instance.
        born_ms: Start time of the incarnation, Unix time in milliseconds.
        address: Where it accepts grants, as `host:port`.
    """

    instance_id: str
    born_ms: int
    address: str

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time, which no other incarnation shares."""
        return self.instance_id, self.born_ms


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """Contiguous keys with one owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Instance that holds the keys or is about to get them.
        token: Fencing token of the owner.
        priors: Former holders that may still hold the keys and must release
            them first; empty once the owner holds the keys.
    """

    first: int
    last: int
    owner: Holder
    token: int
    priors: tuple[Holder, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMap:
    """Owners of all keys of a service.

    Attributes:
        service_id: The service.
        next_token: Lowest unused fencing token.
        ranges: Ranges in ascending order without gaps; empty before the first
            assignment.
    """

    service_id: str
    next_token: int = 1
    ranges: tuple[KeyRange, ...] = ()

    def range_of(self, key: int) -> KeyRange | None:
        """Returns the range that contains a key, or None."""
        if not self.ranges or not 0 <= key < KEY_COUNT:
            return None
        index = bisect.bisect_right(self.ranges, key, key=_first) - 1
        return self.ranges[index]


def _first(key_range: KeyRange) -> int:
    return key_range.first
