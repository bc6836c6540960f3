"""Terms of the leases by which a home holds its right to send."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Lengths of time that all daemons share.

    Attributes:
        duration_s: Time that one accepted heartbeat is worth to the home,
            counted from the sending of it on the clock of the home.
        heartbeat_interval_s: Time between two heartbeats.
        drift: Greatest share by which two clocks run apart.
        call_limit_s: Time after which a reply no longer counts; at most half
            of the duration.
    """

    duration_s: float = 1.0
    heartbeat_interval_s: float = 0.25
    drift: float = 0.02
    call_limit_s: float = 0.5

    @property
    def claim_s(self) -> float:
        """Time for which a home may say that it holds the lease.

        A guard could forget a vote that it gave one promise after the last
        heartbeat it accepted, and then stays silent for another promise. What
        the home has sent until then must have arrived, or nobody waits for the
        reply, before that ends.
        """
        return self.duration_s + self.call_limit_s

    @property
    def promise_s(self) -> float:
        """Time that a guard waits after a heartbeat, on its own clock.

        It counts from the receipt, which is after the sending, and is longer
        by the drift, so it ends after the lease of the home has.
        """
        return self.duration_s * (1 + self.drift)


DEFAULT_TERMS = Terms()
