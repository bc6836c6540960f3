"""Detection of instances that never answer what they cannot queue.

The evidence comes from this VM's own sends. A send is overtaken when a request
that was sent to the same instance later is answered first. Long work looks the
same for a while, so detection has effects only for services in which overtaken
sends have ended without an answer.
"""

import collections
import dataclasses

# Times the usual time after which a send is overdue. With 3, 1 in 930 sends was
# cut that would have been answered, with 4, 1 in 3,700.
OVERDUE_FACTOR = 4.0
# The same for a send that was not overtaken: longer than a full queue takes.
LONE_OVERDUE_FACTOR = 8.0
MIN_OVERDUE_S = 0.25  # Short hold-ups of an instance are no silence.
# Evidence after which a service is known to be silent: a silent send counts
# once, and twice if it has waited for so long that no long work explains it.
MIN_EVIDENCE = 2
# Times the time without queueing that an answer takes at an instance with a
# long queue; a full one of 4 requests a slot takes 5. Instances that lose
# answers for other reasons overtake them by quick ones.
QUEUE_FACTOR = 2.5
CONFIRMED_TTL_S = 300.0  # For how long a silent send counts.
MAX_EVIDENCE = 64  # Pieces of evidence remembered for each service.


@dataclasses.dataclass(slots=True, eq=False)
class OpenSend:
    """A send that has not ended.

    Attributes:
        instance_id: The instance.
        started_s: When it was sent.
        usual_s: Usual time to an answer then, in seconds.
        unqueued_s: Usual time to an answer without queueing, in seconds.
        overtaken: Answers of the instance to requests sent later.
        saw_queue: Whether one of them shows a long queue.
        reported: Whether it was found silent.
    """

    instance_id: str
    started_s: float
    usual_s: float
    unqueued_s: float
    overtaken: int = 0
    saw_queue: bool = False
    reported: bool = False

    @property
    def overdue_s(self) -> float:
        """Time after which it is overdue if it was overtaken."""
        return max(MIN_OVERDUE_S, OVERDUE_FACTOR * self.usual_s)

    @property
    def lone_overdue_s(self) -> float:
        """Time after which it is overdue in any case."""
        return max(MIN_OVERDUE_S, LONE_OVERDUE_FACTOR * self.usual_s)


class Silence:
    """Sends in progress, and the services with silent instances."""

    def __init__(self):
        self._open_by_id: dict[str, list[OpenSend]] = {}
        self._confirmed_at_s: dict[str, collections.deque[float]] = {}

    def start(
        self,
        instance_id: str,
        usual_s: float,
        now_s: float,
        unqueued_s: float = 0.0,
    ) -> OpenSend:
        """Records a send that begins.

        Args:
            instance_id: The instance.
            usual_s: Usual time to an answer, in seconds.
            now_s: Current time.
            unqueued_s: The same without queueing; 0 if unknown.
        """
        send = OpenSend(instance_id, now_s, usual_s, unqueued_s or usual_s)
        self._open_by_id.setdefault(instance_id, []).append(send)
        return send

    def end(self, send: OpenSend, answered: bool, now_s: float) -> None:
        """Records the end of a send.

        Args:
            send: The send.
            answered: Whether the instance has answered.
            now_s: Current time.
        """
        took_s = now_s - send.started_s
        is_slow = took_s >= QUEUE_FACTOR * send.unqueued_s
        open_sends = self._open_by_id[send.instance_id]
        if answered:
            for other in open_sends:
                if other is send:
                    break
                other.overtaken += 1
                other.saw_queue = other.saw_queue or is_slow
        open_sends.remove(send)
        if not open_sends:
            del self._open_by_id[send.instance_id]

    def confirm(self, service_id: str, send: OpenSend, now_s: float) -> bool:
        """Records a send that ended without an answer and without an error.

        Returns:
            Whether the service has become known to be silent by it.
        """
        if not send.saw_queue or now_s - send.started_s < send.overdue_s:
            return False
        was_active = self.is_active(service_id, now_s)
        confirmed = self._confirmed_at_s.setdefault(
            service_id, collections.deque(maxlen=MAX_EVIDENCE)
        )
        confirmed.append(now_s)
        if now_s - send.started_s >= send.lone_overdue_s:
            confirmed.append(now_s)
        return not was_active and self.is_active(service_id, now_s)

    def is_active(self, service_id: str, now_s: float) -> bool:
        """Whether instances of a service are known to be silent when full."""
        confirmed = self._confirmed_at_s.get(service_id)
        if confirmed is None:
            return False
        while confirmed and confirmed[0] < now_s - CONFIRMED_TTL_S:
            confirmed.popleft()
        return len(confirmed) >= MIN_EVIDENCE

    def is_silent(self, service_id: str, send: OpenSend, now_s: float) -> bool:
        """Whether a send in progress will get no answer, as far as is known."""
        if not self.is_active(service_id, now_s):
            return False
        waited_s = now_s - send.started_s
        if send.overtaken:
            return waited_s >= send.overdue_s
        return waited_s >= send.lone_overdue_s
