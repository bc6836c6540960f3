"""What the registry proves about instances that held keys."""

from collections.abc import Iterable

from oriolefold_coordination import ranges


class Registrations:
    """The registered instances, of any service."""

    def __init__(self):
        self._holders_by_address: dict[str, ranges.Holder] = {}
        self._born_ms_by_id: dict[str, int] = {}

    def update(self, registered: Iterable[ranges.Holder]) -> None:
        """Sets the registered instances."""
        # The entry of an ended incarnation may remain next to that of its
        # successor at the same address; the youngest one is used.
        ordered = sorted(registered, key=lambda h: h.born_ms)
        self._holders_by_address = {h.address: h for h in ordered}
        self._born_ms_by_id = {h.instance_id: h.born_ms for h in ordered}

    def is_superseded(self, prior: ranges.Holder, owner: ranges.Holder) -> bool:
        """Whether it is proven that a prior does not block a grant to an owner.

        An instance under another name rejects calls meant for the prior. A
        newer incarnation under the same name may have accepted a grant meant
        for its predecessor, so it unblocks only grants to that name.
        """
        at_address = self._holders_by_address.get(prior.address, prior)
        if (
            at_address.instance_id != prior.instance_id
            and at_address.born_ms > prior.born_ms
        ):
            return True
        born_ms = self._born_ms_by_id.get(prior.instance_id, prior.born_ms)
        return (
            born_ms > prior.born_ms and owner.instance_id == prior.instance_id
        )
