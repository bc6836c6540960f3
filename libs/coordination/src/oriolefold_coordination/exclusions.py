"""Instances that get no keys for a while, as they refuse or do not answer."""

UNREACHABLE_AFTER_S = 1.6  # Unanswered time before keys are moved away.
EXCLUSION_S = 4.0  # Time until an unreachable instance may get keys again.


class Exclusions:
    """Outcomes of grants by incarnation, as a pair of name and start time."""

    def __init__(self):
        self._until_s: dict[tuple[str, int], float] = {}
        self._unanswered_since_s: dict[tuple[str, int], float] = {}

    def answered(self, incarnation: tuple[str, int]) -> None:
        """Handles a grant that an instance has accepted."""
        self._unanswered_since_s.pop(incarnation, None)

    def refused(self, incarnation: tuple[str, int], now_s: float) -> None:
        """Handles a grant that an instance has refused as outdated."""
        # Another leader has moved the range; its new owner is in the store.
        self._until_s[incarnation] = now_s + UNREACHABLE_AFTER_S

    def unanswered(self, incarnation: tuple[str, int], now_s: float) -> None:
        """Handles a grant that was not answered."""
        since_s = self._unanswered_since_s.setdefault(incarnation, now_s)
        if now_s - since_s > UNREACHABLE_AFTER_S:
            self._until_s[incarnation] = now_s + EXCLUSION_S

    def is_excluded(self, incarnation: tuple[str, int], now_s: float) -> bool:
        """Whether an instance gets no keys now."""
        if incarnation not in self._until_s:
            return False
        if now_s < self._until_s[incarnation]:
            return True
        del self._until_s[incarnation]
        return False
