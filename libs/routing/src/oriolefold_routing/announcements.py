"""What instances announce in their answers: that they leave, or are too busy.

An announcement holds for one incarnation, whatever the registry says of it: an
older listing does not bring back an instance that leaves.
"""

import dataclasses
import math

MAX_PUSHBACK_S = 60.0  # Longer announcements are cut to it.
# Requests for keys still go to their leaving owner for so long, while the keys
# move; no other instance could take them.
KEYED_GRACE_S = 1.2
MAX_INSTANCES = 10_000  # The oldest announcements are forgotten beyond it.


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an instance announces with one answer.

    Attributes:
        leaving: Whether it is about to end.
        pushback_s: For how long it wants no requests, in seconds.
    """

    leaving: bool = False
    pushback_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Belief:
    """What is known of one incarnation from its announcements.

    Attributes:
        born_ms: Start time of the incarnation.
        leaves_since_s: When it was first known to leave, or infinity.
        busy_until_s: It wants no requests before this time.
        known_since_s: When it first announced anything, or infinity. Older
            incarnations had ended by then.
    """

    born_ms: int
    leaves_since_s: float = math.inf
    busy_until_s: float = -math.inf
    known_since_s: float = math.inf

    def is_leaving(self, now_s: float) -> bool:
        """Whether it was known to leave by a time."""
        return self.leaves_since_s <= now_s

    def may_get_keyed(self, now_s: float) -> bool:
        """Whether requests for keys that it owns may still be sent to it."""
        return now_s < self.leaves_since_s + KEYED_GRACE_S


class Announcements:
    """Beliefs about instances, by their names."""

    def __init__(self):
        self._beliefs_by_id: dict[str, Belief] = {}

    def record(
        self,
        instance_id: str,
        born_ms: int,
        announcement: Announcement,
        now_s: float,
    ) -> Announcement:
        """Records what an incarnation has announced.

        Returns:
            What is new in it.
        """
        pushback_s = min(announcement.pushback_s, MAX_PUSHBACK_S)
        if not announcement.leaving and pushback_s <= 0:
            return Announcement()
        known = self._beliefs_by_id.pop(instance_id, None)
        if known is None or known.born_ms < born_ms:
            known = Belief(born_ms, known_since_s=now_s)
        self._beliefs_by_id[instance_id] = known
        if len(self._beliefs_by_id) > MAX_INSTANCES:
            del self._beliefs_by_id[next(iter(self._beliefs_by_id))]
        if known.born_ms > born_ms:
            return Announcement()  # Of an incarnation that was replaced.
        begins_leaving = announcement.leaving and not known.is_leaving(now_s)
        if begins_leaving:
            known.leaves_since_s = now_s
        is_new_pushback = pushback_s > 0 and known.busy_until_s <= now_s
        if pushback_s > 0:
            known.busy_until_s = max(known.busy_until_s, now_s + pushback_s)
        return Announcement(
            begins_leaving, pushback_s if is_new_pushback else 0.0
        )

    def belief(self, instance_id: str, born_ms: int) -> Belief:
        """Returns what is known of an incarnation.

        It leaves if a newer one under the name has announced anything.
        """
        known = self._beliefs_by_id.get(instance_id)
        if known is None or known.born_ms < born_ms:
            return Belief(born_ms)
        if known.born_ms == born_ms:
            return known
        return Belief(born_ms, leaves_since_s=known.known_since_s)
