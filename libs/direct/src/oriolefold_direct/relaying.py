"""Selects the relay of each region for the change feed.

Traffic between regions is the most expensive part of distributing a change, so
the leader sends each change to one VM per region, the relay, which serves the
other VMs of its region. The region of the leader has a relay, too: when the
leader is lost, relays watch the store instead, and no other VM has to.
"""

import dataclasses

from oriolefold_direct import messages

RELAY_TIMEOUT_S = 1.6  # A relay that has not polled for this long is replaced.


@dataclasses.dataclass(slots=True)
class _Relay:
    address: str
    link_mbps: float
    polled_at_s: float


class Relays:
    """The current relay of each region."""

    def __init__(self):
        self._by_region_id: dict[str, _Relay] = {}

    def relay_for(self, follower: messages.Follower, now_s: float) -> str:
        """Returns the address of the relay to poll, empty to poll this VM.

        The first VM of a region that polls becomes its relay at once. It is
        replaced when a VM with more bandwidth polls.
        """
        relay = self._by_region_id.get(follower.region_id)
        if (
            relay is None
            or relay.address == follower.address
            or relay.polled_at_s < now_s - RELAY_TIMEOUT_S
            or relay.link_mbps < follower.link_mbps
        ):
            self._by_region_id[follower.region_id] = _Relay(
                follower.address, follower.link_mbps, now_s
            )
            return ''
        if relay.address == follower.avoided_address:
            return ''
        return relay.address

    def clear(self) -> None:
        """Removes all relays."""
        self._by_region_id.clear()
