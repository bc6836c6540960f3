"""Decides which VM of each region passes changes of the store on to the others.

Bytes between regions are the dearest on the way of a change, so the VM that
reads the store tells one VM of each other region, which tells its neighbours.
"""

import dataclasses

from oriolefold_direct import messages

SILENCE_S = 1.6  # Time without a poll after which a relay is replaced.


@dataclasses.dataclass(slots=True)
class _Relay:
    address: str
    link_mbps: float
    asked_at_s: float


class Relays:
    """The relay of each region but the own one."""

    def __init__(self, region_id: str):
        self._region_id = region_id
        self._by_region_id: dict[str, _Relay] = {}

    def relay_for(self, asker: messages.Asker, now_s: float) -> str:
        """Returns the address that a VM is to ask, empty if it asks here.

        The first VM of a region becomes its relay, so that there is one at
        once; a VM with a small link gives way to one with a larger link.
        """
        if asker.region_id == self._region_id:
            return ''
        relay = self._by_region_id.get(asker.region_id)
        if (
            relay is None
            or relay.address == asker.address
            or relay.asked_at_s < now_s - SILENCE_S
            or relay.link_mbps < asker.link_mbps
        ):
            self._by_region_id[asker.region_id] = _Relay(
                asker.address, asker.link_mbps, now_s
            )
            return ''
        if relay.address == asker.avoided_address:
            return ''
        return relay.address

    def clear(self) -> None:
        """Forgets all relays."""
        self._by_region_id.clear()
