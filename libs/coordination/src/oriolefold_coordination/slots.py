"""State of one shard at the VM that sends for it.

A change of the owner passes through fixed steps: requests under way at the old
owner end first, then its lease lapses on its own clock, then the new owner gets
its grant, and only then requests go to it. Meanwhile new requests wait.
"""

import dataclasses
import enum

from oriolefold_coordination import home, shardmap


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Who owns a shard and by which token."""

    instance_id: str
    token: int


class Phase(enum.Enum):
    """Steps of a slot."""

    IDLE = 'idle'
    DRAINING = 'draining'
    ENDING = 'ending'
    GRANTING = 'granting'
    SERVING = 'serving'


def target_of(
    row: shardmap.Row,
    holding: home.Holding | None,
    lost_epochs_by_id: dict[str, int],
) -> Target | None:
    """Returns the owner in charge of a shard, or None.

    Args:
        row: Row of the shard in the newest map.
        holding: Right under which this VM sends for it, or None.
        lost_epochs_by_id: Instances given up, each with the highest epoch of
            the rows that this counts for.
    """
    if holding is None:
        return None
    for role in (shardmap.Role.FIRST, shardmap.Role.STANDBY):
        instance_id = row.instance_id(role)
        if not instance_id:
            continue
        if lost_epochs_by_id.get(instance_id, 0) >= row.epoch:
            continue
        token = row.token(holding.guard_epoch, holding.role, role)
        return Target(instance_id, token)
    return None


class Step(enum.Enum):
    """What the owner of a slot has to do next."""

    NOTHING = 'nothing'
    GRANT = 'grant'
    END = 'end'


@dataclasses.dataclass(slots=True)
class Slot:
    """One shard.

    Attributes:
        target: Owner that is wanted, or None.
        granted: Owner that has, or may have, a grant from this VM.
        phase: Step that has been reached.
        in_flight: Requests under way at the owner.
    """

    target: Target | None = None
    granted: Target | None = None
    phase: Phase = Phase.IDLE
    in_flight: int = 0

    def aim(self, target: Target | None) -> Step:
        """Sets the wanted owner, None if this VM may not send any more."""
        if target == self.target:
            return Step.NOTHING
        self.target = target
        if self.phase is Phase.ENDING:
            return Step.NOTHING
        return self._proceed()

    def sent(self) -> None:
        """Counts a request that goes to the owner."""
        self.in_flight += 1

    def done(self) -> Step:
        """Counts a request that has ended."""
        self.in_flight -= 1
        if self.phase is Phase.DRAINING and self.in_flight == 0:
            return self._proceed()
        return Step.NOTHING

    def ended(self, instance_id: str) -> Step:
        """Takes the news that the grant of an owner has ended."""
        if self.phase is not Phase.ENDING:
            return Step.NOTHING
        if self.granted is None or self.granted.instance_id != instance_id:
            return Step.NOTHING
        self.granted = None
        return self._proceed()

    def accepted(self, target: Target) -> None:
        """Takes the news that an owner has accepted its grant."""
        if self.phase is Phase.GRANTING and target == self.target:
            self.phase = Phase.SERVING

    def refused(self, target: Target) -> Step:
        """Takes the news that the owner does not hold the grant."""
        if self.phase is Phase.SERVING and target == self.target:
            self.phase = Phase.GRANTING
            return Step.GRANT
        return Step.NOTHING

    @property
    def released(self) -> bool:
        """Whether nothing is sent, under way or granted."""
        return self.phase is Phase.IDLE

    def _proceed(self) -> Step:
        if self.in_flight > 0:
            self.phase = Phase.DRAINING
            return Step.NOTHING
        if self.granted is not None and not self._same_instance():
            self.phase = Phase.ENDING
            return Step.END
        if self.target is None:
            self.phase = Phase.IDLE
            return Step.NOTHING
        self.phase = Phase.GRANTING
        self.granted = self.target
        return Step.GRANT

    def _same_instance(self) -> bool:
        if self.target is None:
            return False
        return self.granted.instance_id == self.target.instance_id
