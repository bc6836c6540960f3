"""Permits of this VM for requests to cold instances."""

import collections
from collections.abc import Mapping

PERMIT_S = 1.0  # Validity, from when the report that asked for it was sent.


class WarmUpPermits:
    """Unused permits, each for one request to one instance.

    A permit is assigned to a request when its instance is chosen, so that no
    other request counts on it, and taken when the request is about to be
    written. One that is assigned and not taken is lost.
    """

    def __init__(self):
        # When each permit expires, the earliest first.
        self._free_by_id: dict[str, collections.deque[float]] = {}
        self._assigned_by_id: dict[str, collections.deque[float]] = {}
        self._newest_sent_at_s_by_id: dict[str, float] = {}

    def add(self, permits_by_id: Mapping[str, int], sent_at_s: float) -> None:
        """Adds the permits of a reply.

        A reply that is read twice, or after the reply to a later report, adds
        nothing.

        Args:
            permits_by_id: Number of permits by instance.
            sent_at_s: When the report that asked for them was sent.
        """
        self._drop_expired(sent_at_s)
        for instance_id, count in permits_by_id.items():
            newest_s = self._newest_sent_at_s_by_id.get(instance_id)
            if newest_s is not None and sent_at_s <= newest_s:
                continue
            self._newest_sent_at_s_by_id[instance_id] = sent_at_s
            free = self._free_by_id.setdefault(instance_id, collections.deque())
            free.extend([sent_at_s + PERMIT_S] * count)

    def may_use(self, instance_id: str, now_s: float) -> bool:
        """Whether there is a permit that is not assigned to a request."""
        return bool(_valid(self._free_by_id.get(instance_id), now_s))

    def may_take(self, instance_id: str, now_s: float) -> bool:
        """Whether there is a permit, assigned or not."""
        return any(
            _valid(permits_by_id.get(instance_id), now_s)
            for permits_by_id in (self._assigned_by_id, self._free_by_id)
        )

    def assign(self, instance_id: str, now_s: float) -> None:
        """Assigns a permit, if there is one, to a request."""
        free = _valid(self._free_by_id.get(instance_id), now_s)
        if free:
            assigned = self._assigned_by_id.setdefault(
                instance_id, collections.deque()
            )
            assigned.append(free.popleft())

    def take(self, instance_id: str, now_s: float) -> bool:
        """Uses up a permit; returns whether there was one."""
        for permits_by_id in (self._assigned_by_id, self._free_by_id):
            permits = _valid(permits_by_id.get(instance_id), now_s)
            if permits:
                permits.popleft()
                return True
        return False

    def _drop_expired(self, now_s: float) -> None:
        for permits_by_id in (self._assigned_by_id, self._free_by_id):
            for instance_id in list(permits_by_id):
                if not _valid(permits_by_id[instance_id], now_s):
                    del permits_by_id[instance_id]
        for instance_id, sent_at_s in list(
            self._newest_sent_at_s_by_id.items()
        ):
            # A repeated reply from before that holds expired permits only.
            if now_s - sent_at_s > PERMIT_S:
                del self._newest_sent_at_s_by_id[instance_id]


def _valid(
    permits: collections.deque[float] | None, now_s: float
) -> collections.deque[float] | None:
    while permits and permits[0] <= now_s:
        permits.popleft()
    return permits
