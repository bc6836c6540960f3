"""Messages to the sender."""

import dataclasses

from oriolefold_backend import ports
from oriolefold_core import data, tasks


@dataclasses.dataclass(slots=True, eq=False)
class SendTo(tasks.Ask):
    """Asks the sender to send to one instance; the reply is an `Answer`."""

    instance_id: str
    request: data.Request
    permit: ports.Permit


@dataclasses.dataclass(frozen=True, slots=True)
class AbandonInstance:
    """Ends all requests at an instance that was given up."""

    instance_id: str


@dataclasses.dataclass(slots=True, eq=False)
class SendBalanced(tasks.Ask):
    """Asks the sender to choose an instance; the reply is an `Answer`.

    Attributes:
        request: The request.
        excluded_ids: Instances that it has tried; the sender adds its choice.
    """

    request: data.Request
    excluded_ids: set[str]
