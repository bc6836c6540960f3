"""What is known of incarnations whose registrations come from an older copy.

The store of registrations may be restored from an older copy, in which an
incarnation that has ended is still registered, and one that drains is ready.
"""

import collections
import dataclasses

from oriolefold_routing import topology

# An entry that is still registered so long after a restore is renewed by its
# instance, or it would have expired.
COPY_LIMIT_S = 10.0
REMOVAL_MEMORY_S = 120.0  # Copies are seconds old.
MAX_REMOVALS = 10_000


class IncarnationMemory:
    """Decides which registrations of a restored store are valid."""

    def __init__(self):
        self._copied_up_to = 0
        self._copied_until_s = float('-inf')
        self._draining: set[tuple[str, int]] = set()
        # In the order of the removals.
        self._removed_at_s_by_incarnation: collections.OrderedDict[
            tuple[str, int], float
        ] = collections.OrderedDict()

    def begin_era(self, revision: int, now_s: float) -> None:
        """Records that the store was restored from an older copy.

        Args:
            revision: That of the first list of objects after the restore. What
                has a higher one was written after the restore.
            now_s: Time of that list.
        """
        self._copied_up_to = revision
        self._copied_until_s = now_s + COPY_LIMIT_S

    def reconcile(
        self,
        found: topology.Endpoint,
        version: int,
        known: topology.Endpoint | None,
        now_s: float,
    ) -> topology.Endpoint | None:
        """Returns the endpoint to use, or None if its incarnation has ended.

        Args:
            found: The registered endpoint.
            version: Version of its registration.
            known: The endpoint in use under the same name, if any.
            now_s: Current time.
        """
        incarnation = _incarnation(found)
        self._forget_removals(now_s)
        may_be_copy = version <= self._copied_up_to
        if may_be_copy and now_s < self._copied_until_s:
            has_successor = known is not None and known.born_ms > found.born_ms
            if (
                has_successor
                or incarnation in self._removed_at_s_by_incarnation
            ):
                return None
        if may_be_copy and incarnation in self._draining:
            found = dataclasses.replace(found, draining=True)
        self._removed_at_s_by_incarnation.pop(incarnation, None)
        if known is not None and _incarnation(known) != incarnation:
            self.record_removal(known, now_s)
        if found.draining:
            self._draining.add(incarnation)
        else:
            self._draining.discard(incarnation)
        return found

    def record_removal(self, removed: topology.Endpoint, now_s: float) -> None:
        """Records that an incarnation is in use no more."""
        incarnation = _incarnation(removed)
        self._removed_at_s_by_incarnation.pop(incarnation, None)
        self._removed_at_s_by_incarnation[incarnation] = now_s
        self._forget_removals(now_s)

    def _forget_removals(self, now_s: float) -> None:
        by_incarnation = self._removed_at_s_by_incarnation
        while by_incarnation:
            incarnation, removed_at_s = next(iter(by_incarnation.items()))
            is_recent = now_s - removed_at_s < REMOVAL_MEMORY_S
            if is_recent and len(by_incarnation) <= MAX_REMOVALS:
                break
            del by_incarnation[incarnation]
            self._draining.discard(incarnation)


def _incarnation(endpoint: topology.Endpoint) -> tuple[str, int]:
    return endpoint.instance_id, endpoint.born_ms
