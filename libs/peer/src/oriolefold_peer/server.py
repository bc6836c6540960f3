"""Task that accepts connections from peers and serves their calls."""

import abc
import asyncio
import contextlib
import dataclasses
import logging
from typing import Any

from oriolefold_core import bytebudget, data, errors, tasks
from oriolefold_peer import codec, connection, messages

_LOGGER = logging.getLogger(__name__)


class PeerHandler(abc.ABC):
    """Handles the calls of peers."""

    @abc.abstractmethod
    async def answer(self, caller: messages.Hello, body: Any) -> Any:
        """Returns the message that answers a call.

        Args:
            caller: Hello of the calling peer.
            body: Message of a registered class.

        Raises:
            OriolefoldError: Sent to the caller with its category.
        """


@dataclasses.dataclass(slots=True, eq=False)
class _Client:
    """A connection from a peer.

    Attributes:
        conn: The connection.
        closed: Set when the connection is closed.
        calls_by_id: Calls in progress.
        unanswered_ids: Calls that were read and have no reply.
    """

    conn: connection.Connection
    closed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    calls_by_id: dict[int, asyncio.Task] = dataclasses.field(
        default_factory=dict
    )
    unanswered_ids: set[int] = dataclasses.field(default_factory=set)

    def reply(self, call_id: int, message: Any) -> None:
        """Sends the reply to a call without waiting.

        Raises:
            OverloadedError: If the peer reads too slowly.
            ProtocolError: If the message cannot be encoded.
        """
        self.conn.send(call_id, message)
        self.unanswered_ids.discard(call_id)

    def end_output(self) -> None:
        """Ends the output; the calls that were not read have not run."""
        if not self.unanswered_ids:
            with contextlib.suppress(errors.OverloadedError):
                self.conn.send(0, messages.Closing())
        self.conn.end_output()


class PeerServer(tasks.Task):
    """Owns the listening socket and the connections from peers."""

    def __init__(
        self,
        address: data.Address,
        hello: messages.Hello,
        frame_codec: codec.Codec,
        handler: PeerHandler,
        budget: bytebudget.ByteBudget | None = None,
    ):
        """Initializes the task.

        Args:
            address: Address to listen on.
            hello: Introduces this VM to its peers.
            frame_codec: Codec of the frames.
            handler: Answers the calls.
            budget: Budget of the bytes of incomplete frames; by default the
                server has its own.
        """
        super().__init__('peer server')
        self._budget = budget or bytebudget.ByteBudget(
            connection.DEFAULT_BUDGET_BYTES
        )
        self._address = address
        self._hello = hello
        self._codec = frame_codec
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._clients: set[_Client] = set()
        self._draining = False

    async def on_start(self) -> None:
        """Opens the listening socket."""
        self._server = await asyncio.start_server(
            self._accept, self._address.host, self._address.port, backlog=1024
        )

    async def on_stop(self) -> None:
        """Closes the listening socket and the connections."""
        if self._server is not None:
            self._server.close()
        clients, self._clients = self._clients, set()
        await asyncio.gather(*(client.conn.linger() for client in clients))

    async def handle(self, message: Any) -> None:
        """Serves a new connection, or ends the calls."""
        match message:
            case messages.DrainCalls():
                self._refuse_calls()
                self.spawn(self._drain(message), message)
            case messages.EndCalls():
                self._refuse_calls()
                for call in self._calls():
                    call.cancel()
                message.answer(None)
            case (reader, writer):
                self.spawn(self._serve(reader, writer))

    def _accept(self, reader, writer) -> None:
        self.post((reader, writer))

    def _refuse_calls(self) -> None:
        self._draining = True
        self._server.close()

    def _calls(self) -> list[asyncio.Task]:
        return [
            call
            for client in self._clients
            for call in client.calls_by_id.values()
        ]

    async def _drain(self, ask: messages.DrainCalls) -> None:
        while calls := self._calls():
            await asyncio.wait(calls)
        await asyncio.gather(*(self._end(c) for c in self._clients))
        ask.answer(None)

    async def _end(self, client: _Client) -> None:
        """Ends the output and waits until the peer has taken it."""
        await client.conn.flush()
        while client.calls_by_id:  # Refused, but not yet answered.
            await asyncio.wait(list(client.calls_by_id.values()))
        client.end_output()
        await client.closed.wait()

    async def _serve(self, reader, writer) -> None:
        client = _Client(
            connection.Connection(reader, writer, self._codec, self._budget)
        )
        self._clients.add(client)
        try:
            await self._receive_calls(client)
        except Exception as error:
            # A stop cancels this task; the connection is then left to it.
            for call in client.calls_by_id.values():
                call.cancel()
            self._clients.discard(client)
            client.conn.close()
            client.closed.set()
            if not isinstance(error, errors.OriolefoldError):
                raise

    async def _receive_calls(self, client: _Client) -> None:
        """Handles what the peer sends, until its connection fails or ends."""
        conn = client.conn
        _, hello = await conn.receive()
        if not isinstance(hello, messages.Hello):
            raise errors.ProtocolError('the first message is not a Hello')
        if hello.protocol_version != messages.PROTOCOL_VERSION:
            raise errors.ProtocolError('unsupported protocol version')
        conn.send(0, self._hello)
        while True:
            call_id, body = await conn.receive()
            if not conn.output_ended:
                self._on_message(client, hello, call_id, body)

    def _on_message(self, client: _Client, hello, call_id, body) -> None:
        calls_by_id = client.calls_by_id
        if isinstance(body, messages.Ping):
            # Frames that are still unsent show that this VM is alive, too.
            with contextlib.suppress(errors.OverloadedError):
                client.conn.send(0, messages.Pong())
        elif isinstance(body, messages.Cancel):
            client.unanswered_ids.discard(call_id)
            if call_id in calls_by_id:
                calls_by_id[call_id].cancel()
        else:
            client.unanswered_ids.add(call_id)
            answering = self._answer(client, hello, call_id, body)
            call = self.spawn(answering)
            calls_by_id[call_id] = call
            call.add_done_callback(lambda _: calls_by_id.pop(call_id, None))

    async def _answer(self, client: _Client, hello, call_id, body) -> None:
        try:
            if self._draining:
                raise errors.StoppingError('the process is stopping')
            reply = await self._handler.answer(hello, body)
        except asyncio.CancelledError:
            if self._draining:
                text = 'this VM stopped before the reply'
                ended = errors.failure_of(errors.OutcomeUnknownError(text))
                with contextlib.suppress(errors.OverloadedError):
                    client.reply(call_id, ended)
            raise
        except Exception as error:  # pylint: disable=broad-except
            # Any error is sent to the caller, with its category.
            reply = errors.failure_of(error)
        await client.conn.wait_for_room()
        try:
            client.reply(call_id, reply)
        except Exception as error:  # pylint: disable=broad-except
            # The call has run, whatever category says why its reply is not
            # sent.
            _LOGGER.exception('reply to call %d was not sent', call_id)
            unknown = errors.OutcomeUnknownError(f'no reply: {error}')
            client.reply(call_id, errors.failure_of(unknown))
