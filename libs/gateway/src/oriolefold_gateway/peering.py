"""Answers the calls of other daemons."""

from typing import Any

from oriolefold_core import clock, data, tasks
from oriolefold_gateway import messages
from oriolefold_ownership import messages as ownership_messages
from oriolefold_peer import messages as peer_messages
from oriolefold_peer import server


class Reception(server.PeerHandler):
    """Passes forwarded requests to the keeper and the rest to the guardian."""

    def __init__(
        self, time: clock.Clock, keeper: tasks.Task, guardian: tasks.Task
    ):
        self._clock = time
        self._keeper = keeper
        self._guardian = guardian

    async def answer(self, caller: peer_messages.Hello, body: Any) -> Any:
        """Returns the message that answers a call."""
        if isinstance(body, messages.ForwardRequest):
            return await self._keeper.ask(
                ownership_messages.SendKeyed(self._request(body), body.shard)
            )
        return await self._guardian.ask(ownership_messages.PeerCall(body))

    def _request(self, forward: messages.ForwardRequest) -> data.Request:
        expires_at_s = self._clock.now_s() + forward.remaining_ms / 1000
        return data.Request(
            forward.request_id,
            forward.method,
            forward.target,
            forward.headers,
            forward.body,
            forward.service_id,
            forward.key,
            forward.idempotent,
            forward.importance,
            expires_at_s,
        )
