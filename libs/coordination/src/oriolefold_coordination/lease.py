"""Timing parameters of the leases under which homes may send."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Timing parameters that all daemons share.

    Attributes:
        duration_s: Lease duration that one accepted heartbeat grants, counted
            from its sending on the clock of the home.
        heartbeat_interval_s: Time between two heartbeats.
        drift: Maximum relative drift between two clocks.
        call_limit_s: Time after which a reply is ignored; at most half of the
            duration.
    """

    duration_s: float = 1.0
    heartbeat_interval_s: float = 0.25
    drift: float = 0.02
    call_limit_s: float = 0.5

    @property
    def claim_s(self) -> float:
        """Time for which a home may claim that it holds the lease.

        A guard may vote for a takeover one promise after the last heartbeat it
        accepted, then restart and lose the vote. It rejects heartbeats for
        another promise after the restart. Every claim sent in the meantime has
        to arrive, or be abandoned by its sender, before that period ends.
        """
        return self.duration_s + self.call_limit_s

    @property
    def promise_s(self) -> float:
        """Time that a guard waits after a heartbeat, on its own clock.

        It is counted from the receipt of the heartbeat and extended by the
        clock drift, so it ends after the lease of the home.
        """
        return self.duration_s * (1 + self.drift)


DEFAULT_TERMS = Terms()
