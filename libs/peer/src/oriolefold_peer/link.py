"""Tasks that own the outgoing connections to peers."""

import asyncio
import functools
import itertools
from typing import Any

from oriolefold_core import bytebudget, data, errors, tasks
from oriolefold_peer import codec, connection, messages

CONNECT_TIMEOUT_S = 0.5
MAX_WAITING_CALLS = 10_000


class _Connected:
    """Message: a connection is open."""

    def __init__(self, conn: connection.Connection):
        self.conn = conn


class _Disconnected:
    """Message: the connection or the attempt to open it has failed."""

    def __init__(self, error: errors.OriolefoldError):
        self.error = error


class _Received:
    """Message: the reply to a call was received."""

    def __init__(self, call_id: int, body: Any):
        self.call_id = call_id
        self.body = body


class _PeerClosing:
    """Message: the peer has sent its last reply."""


class _CallCancelled:
    """Message: the caller no longer waits for a call."""

    def __init__(self, call_id: int):
        self.call_id = call_id


class PeerLink(tasks.Task):
    """Multiplexes the calls to one peer over a connection opened on demand."""

    def __init__(
        self,
        vm_id: str,
        address: data.Address,
        hello: messages.Hello,
        frame_codec: codec.Codec,
        budget: bytebudget.ByteBudget | None = None,
    ):
        super().__init__(f'link to {vm_id}')
        self._budget = budget or bytebudget.ByteBudget(
            connection.DEFAULT_BUDGET_BYTES
        )
        self._vm_id = vm_id
        self._address = address
        self._hello = hello
        self._codec = frame_codec
        self._connection: connection.Connection | None = None
        self._connecting = False
        self._peer_closing = False
        self._waiting: list[messages.CallPeer] = []
        self._calls_by_id: dict[int, messages.CallPeer] = {}
        self._call_ids = itertools.count(1)

    async def handle(self, message: Any) -> None:
        """Handles calls and the events of the connection."""
        match message:
            case messages.CallPeer():
                self._on_call(message)
            case _Received():
                self._on_reply(message)
            case _CallCancelled():
                self._cancel(message.call_id)
            case _PeerClosing():
                self._on_peer_closing()
            case _Connected():
                self._on_connected(message.conn)
            case _Disconnected():
                self._on_disconnected(message.error)

    async def on_stop(self) -> None:
        """Closes the connection and fails all pending calls."""
        self._on_disconnected(errors.StoppingError('the process is stopping'))

    def _on_call(self, call: messages.CallPeer) -> None:
        if self._connection is not None:
            self._send_call(call)
            return
        if len(self._waiting) >= MAX_WAITING_CALLS:
            call.fail(
                errors.OverloadedError(f'{self.name}: too many waiting calls')
            )
            return
        self._waiting.append(call)
        if not self._connecting:
            self._connecting = True
            self.spawn(self._connect())

    def _send_call(self, call: messages.CallPeer) -> None:
        if call.reply.done():
            return
        if self._peer_closing or self._connection.input_ended:
            call.fail(self._closing_error())
            return
        call_id = next(self._call_ids)
        try:
            self._connection.send(call_id, call.body)
        except errors.OriolefoldError as error:
            call.fail(error)
            return
        self._calls_by_id[call_id] = call
        call.reply.add_done_callback(
            functools.partial(self._on_reply_done, call_id)
        )

    def _on_reply_done(self, call_id: int, reply: asyncio.Future) -> None:
        if reply.cancelled():
            self.post(_CallCancelled(call_id))

    def _cancel(self, call_id: int) -> None:
        call = self._calls_by_id.pop(call_id, None)
        if call is not None and self._connection is not None:
            self._connection.send(call_id, messages.Cancel())

    def _on_reply(self, received: _Received) -> None:
        call = self._calls_by_id.pop(received.call_id, None)
        if call is None:
            return
        if isinstance(received.body, errors.Failure):
            call.fail(errors.error_of(received.body))
        else:
            call.answer(received.body)

    def _on_peer_closing(self) -> None:
        self._peer_closing = True
        calls, self._calls_by_id = self._calls_by_id, {}
        for call in calls.values():
            call.fail(self._closing_error())

    def _closing_error(self) -> errors.UnreachableError:
        text = f'{self._vm_id}: the peer reads no more calls'
        return errors.UnreachableError(text)

    async def _connect(self) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                conn = await self._open()
        except Exception as error:  # pylint: disable=broad-except
            # Whatever has failed, the waiting calls were not sent.
            unreachable = errors.UnreachableError(f'{self._vm_id}: {error!r}')
            self.post(_Disconnected(unreachable))
            return
        self.post(_Connected(conn))
        pinging = asyncio.create_task(conn.keep_alive())
        try:
            while True:
                call_id, body = await conn.receive()
                if call_id:
                    self.post(_Received(call_id, body))
                elif isinstance(body, messages.Closing):
                    self.post(_PeerClosing())
        except Exception as error:  # pylint: disable=broad-except
            # Whatever has failed, the calls get no replies any more.
            self.post(_Disconnected(errors.OutcomeUnknownError(str(error))))
        finally:
            pinging.cancel()
            conn.close()

    async def _open(self) -> connection.Connection:
        # The kernel accepts connections even for a frozen process, so the link
        # is open only once the peer has sent its Hello.
        reader, writer = await asyncio.open_connection(
            self._address.host, self._address.port
        )
        conn = connection.Connection(reader, writer, self._codec, self._budget)
        try:
            conn.send(0, self._hello)
            _, hello = await conn.receive()
            if not isinstance(hello, messages.Hello):
                raise errors.ProtocolError('the first message is not a Hello')
            if hello.vm_id != self._vm_id:
                raise errors.ProtocolError(
                    f'{hello.vm_id} answered at this address'
                )
        except BaseException:
            conn.close()
            raise
        return conn

    def _on_connected(self, conn: connection.Connection) -> None:
        self._connecting = False
        self._peer_closing = False
        self._connection = conn
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            self._send_call(call)

    def _on_disconnected(self, error: errors.OriolefoldError) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._connecting = False
        calls, self._calls_by_id = self._calls_by_id, {}
        # Calls already written may have run at the peer; waiting calls were
        # never sent.
        for call in calls.values():
            call.fail(errors.OutcomeUnknownError(f'{self._vm_id}: {error}'))
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call.fail(errors.UnreachableError(f'{self._vm_id}: {error}'))


class Peers(tasks.Task):
    """Owns one link for each VM."""

    def __init__(
        self,
        hello: messages.Hello,
        frame_codec: codec.Codec,
        budget: bytebudget.ByteBudget | None = None,
    ):
        """Initializes the task.

        Args:
            hello: Introduces this VM to its peers.
            frame_codec: Codec of the frames.
            budget: Budget of the bytes of incomplete frames; by default the
                links have one of their own.
        """
        super().__init__('peers')
        self._budget = budget or bytebudget.ByteBudget(
            connection.DEFAULT_BUDGET_BYTES
        )
        self._hello = hello
        self._codec = frame_codec
        self._links_by_vm_id: dict[str, PeerLink] = {}
        self._addresses_by_vm_id: dict[str, data.Address] = {}

    async def handle(self, message: Any) -> None:
        """Passes calls to their links and updates the set of VMs."""
        match message:
            case messages.CallPeer():
                link = self._links_by_vm_id.get(message.vm_id)
                if link is None:
                    text = f'the VM {message.vm_id!r} is unknown'
                    message.fail(errors.UnreachableError(text))
                else:
                    link.post(message)
            case messages.PeersUpdated():
                await self._update_links(message.addresses_by_vm_id)

    async def on_stop(self) -> None:
        """Stops all links."""
        for link in self._links_by_vm_id.values():
            await link.stop()

    async def _update_links(self, addresses_by_vm_id) -> None:
        for vm_id in list(self._links_by_vm_id):
            address = addresses_by_vm_id.get(vm_id)
            if address != self._addresses_by_vm_id[vm_id]:
                await self._links_by_vm_id.pop(vm_id).stop()
        for vm_id, address in addresses_by_vm_id.items():
            if vm_id not in self._links_by_vm_id:
                link = PeerLink(
                    vm_id, address, self._hello, self._codec, self._budget
                )
                await link.start()
                self._links_by_vm_id[vm_id] = link
        self._addresses_by_vm_id = dict(addresses_by_vm_id)
