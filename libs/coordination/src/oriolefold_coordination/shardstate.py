"""State machine of one shard at the VM that sends for it.

A change of owner has fixed steps: requests in flight at the old owner finish,
its lease expires on its own clock, the new owner is granted the shard, and only
then requests are sent to it. New requests wait in the meantime.
"""

import dataclasses
import enum

from oriolefold_coordination import homelease, shardmap


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Owner of a shard and its fencing token."""

    instance_id: str
    token: int


class Phase(enum.Enum):
    """States of a shard at its sender.

    Attributes:
        IDLE: There is no grant and no desired owner.
        DRAINING: Requests in flight at the owner have to finish first.
        ENDING: The grant of the old owner has to end first.
        GRANTING: The owner has not accepted its grant yet.
        SERVING: Requests may be sent to the owner.
    """

    IDLE = 'idle'
    DRAINING = 'draining'
    ENDING = 'ending'
    GRANTING = 'granting'
    SERVING = 'serving'


def target_of(
    row: shardmap.Row,
    holding: homelease.Holding | None,
    lost_epochs_by_id: dict[str, int],
) -> Target | None:
    """Returns the current owner of a shard, or None.

    Args:
        row: Row of the shard in the newest map.
        holding: Holding under which this VM sends for the shard, or None.
        lost_epochs_by_id: Instances marked as lost, each with the highest
            epoch of the rows that this applies to.
    """
    if holding is None:
        return None
    for role in (shardmap.Role.PRIMARY, shardmap.Role.STANDBY):
        instance_id = row.instance_id(role)
        if not instance_id:
            continue
        if lost_epochs_by_id.get(instance_id, 0) >= row.epoch:
            continue
        token = row.token(holding.guard_epoch, holding.role, role)
        return Target(instance_id, token)
    return None


class Step(enum.Enum):
    """Action that the caller has to take next.

    Attributes:
        NOTHING: None.
        GRANT: Grant the shard to the desired owner.
        END: End the grant of the old owner.
    """

    NOTHING = 'nothing'
    GRANT = 'grant'
    END = 'end'


@dataclasses.dataclass(slots=True)
class ShardState:
    """One shard.

    Attributes:
        target: Desired owner, or None.
        granted: Owner that has, or may have, a grant from this VM.
        phase: Current state.
        in_flight: Number of requests in flight at the owner.
    """

    target: Target | None = None
    granted: Target | None = None
    phase: Phase = Phase.IDLE
    in_flight: int = 0

    def set_target(self, target: Target | None) -> Step:
        """Sets the desired owner, None if this VM must not send any more."""
        if target == self.target:
            return Step.NOTHING
        self.target = target
        if self.phase is Phase.ENDING:
            return Step.NOTHING
        return self._proceed()

    def request_sent(self) -> None:
        """Counts a request sent to the owner."""
        self.in_flight += 1

    def request_done(self) -> Step:
        """Counts a finished request."""
        self.in_flight -= 1
        if self.phase is Phase.DRAINING and self.in_flight == 0:
            return self._proceed()
        return Step.NOTHING

    def grant_ended(self, instance_id: str) -> Step:
        """Handles the end of an owner's grant."""
        if self.phase is not Phase.ENDING:
            return Step.NOTHING
        if self.granted is None or self.granted.instance_id != instance_id:
            return Step.NOTHING
        self.granted = None
        return self._proceed()

    def grant_accepted(self, target: Target) -> None:
        """Handles an owner's acceptance of its grant."""
        if self.phase is Phase.GRANTING and target == self.target:
            self.phase = Phase.SERVING

    def grant_refused(self, target: Target) -> Step:
        """Handles an owner's reply that it does not hold the grant."""
        if self.phase is Phase.SERVING and target == self.target:
            self.phase = Phase.GRANTING
            return Step.GRANT
        return Step.NOTHING

    @property
    def released(self) -> bool:
        """Whether no request is in flight and no grant exists."""
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
