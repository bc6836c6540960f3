"""Messages to the sender."""

import dataclasses

from oriolefold_backend import ports
from oriolefold_core import data, tasks


@dataclasses.dataclass(slots=True, eq=False)
class SendTo(tasks.Ask):
    """Asks the sender to send to a given instance; the reply is an `Answer`.

    Attributes:
        instance_id: The instance.
        request: The request.
        permit: Permission to send, checked right before the write.
    """

    instance_id: str
    request: data.Request
    permit: ports.Permit


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonInstance:
    """Fails all requests at an instance that was declared lost."""

    instance_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Tells a task to send only what can end before the stop.

    Attributes:
        stops_at_s: When the requests in progress are ended.
    """

    stops_at_s: float


@dataclasses.dataclass(slots=True, eq=False)
class RefuseQueued(tasks.Ask):
    """Refuses the queued requests as not run, before a stop.

    The reply is None.
    """


@dataclasses.dataclass(slots=True, eq=False)
class SendBalanced(tasks.Ask):
    """Asks the sender to choose an instance; the reply is an `Answer`.

    Attributes:
        request: The request.
        excluded_ids: Instances already tried; the sender adds the chosen one.
    """

    request: data.Request
    excluded_ids: set[str]
