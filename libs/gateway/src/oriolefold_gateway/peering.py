"""Handler for calls from other daemons."""

from typing import Any

from oriolefold_core import clock, data, errors, tasks
from oriolefold_gateway import messages
from oriolefold_ownership import messages as ownership_messages
from oriolefold_peer import messages as peer_messages
from oriolefold_peer import server
from oriolefold_telemetry import logs


class PeerRequestHandler(server.PeerHandler):
    """Passes forwarded requests to the shard manager.

    Other calls go to the lease manager.
    """

    def __init__(
        self,
        time: clock.Clock,
        shard_manager: tasks.Task,
        lease_manager: tasks.Task,
        log_answers: bool,
    ):
        """Initializes the handler.

        Args:
            time: Clock for deadlines.
            shard_manager: Task that sends requests to keyed services.
            lease_manager: Task that handles all other calls.
            log_answers: Whether to log every answered request.
        """
        self._clock = time
        self._shard_manager = shard_manager
        self._lease_manager = lease_manager
        self._log_answers = log_answers

    async def answer(self, caller: peer_messages.Hello, body: Any) -> Any:
        """Returns the reply to a call."""
        if isinstance(body, messages.ForwardRequest):
            return await self._send(caller, body)
        return await self._lease_manager.ask(
            ownership_messages.HandleLeaseMessage(body)
        )

    async def _send(
        self, caller: peer_messages.Hello, forward: messages.ForwardRequest
    ) -> data.Answer:
        ask = ownership_messages.SendKeyed(
            self._request(forward), forward.shard
        )
        try:
            answer = await self._shard_manager.ask(ask)
        except errors.OriolefoldError as error:
            self._log(caller, forward, 'forward.failed', str(error))
            raise
        if self._log_answers:
            self._log(caller, forward, 'forward.answered', '')
        return answer

    def _log(self, caller, forward, name: str, error: str) -> None:
        logs.event(
            name,
            request=forward.request_id,
            service=forward.service_id,
            shard=forward.shard,
            entry=caller.vm_id,
            error=error,
        )

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
