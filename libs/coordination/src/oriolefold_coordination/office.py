"""Who coordinates a service: an office that is held by heartbeats in the store.

The heartbeat is a conditional update, so at most one VM can prolong the office
at a time. A VM that sees the same heartbeat for long takes the office over.
"""

import dataclasses

HEARTBEAT_S = 1.0  # Pause between heartbeats of the holder.
TAKEOVER_S = 2.6  # Time without a new heartbeat after which others take over.
SUSPECTED_TAKEOVER_S = 1.5  # The same if the holder is silent to this VM too.


@dataclasses.dataclass(frozen=True, slots=True)
class Tenure:
    """Content of the office's object.

    Attributes:
        vm_id: VM that holds the office, or an empty string after a resignation.
        incarnation: Start of its process, by a random name.
        beat: Rises with each heartbeat.
        address: Where the VM takes reports of load, as `host:port`.
        inherited_s: For how long holds of earlier coordinators may last, in
            seconds from this heartbeat.
    """

    vm_id: str
    incarnation: str
    beat: int
    address: str = ''
    inherited_s: float = 0.0


class Vigil:
    """What a VM without the office sees of it."""

    def __init__(self, vm_id: str, incarnation: str, patience_s: float = 0.0):
        """Makes the view.

        Args:
            vm_id: This VM.
            incarnation: Start of its process.
            patience_s: Time that this VM leaves to others before it takes an
                office that is free.
        """
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._patience_s = patience_s
        self._version = -1
        self._seen_at_s = 0.0

    def observe(
        self,
        version: int,
        tenure: Tenure,
        now_s: float,
        suspected: bool = False,
    ) -> bool:
        """Takes a reading of the office.

        Args:
            version: Version of the object.
            tenure: Its content.
            now_s: Present time.
            suspected: Whether the holder does not answer this VM either.

        Returns:
            Whether the office may be taken over.
        """
        if version > self._version:
            self._version = version
            self._seen_at_s = now_s
        elif version < self._version:
            # A stale reading tells nothing.
            return False
        unchanged_s = now_s - self._seen_at_s
        if not tenure.vm_id:
            return unchanged_s >= self._patience_s
        if (
            tenure.vm_id == self._vm_id
            and tenure.incarnation != self._incarnation
        ):
            # An earlier process of this VM held it.
            return True
        limit_s = SUSPECTED_TAKEOVER_S if suspected else TAKEOVER_S
        return unchanged_s > limit_s + self._patience_s
