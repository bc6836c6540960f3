"""Tests of the peer protocol: codec, link and server."""

import asyncio
import contextlib
import dataclasses
import errno
import socket
from unittest import mock

import msgspec

from oriolefold_core import bytebudget, data, errors
from oriolefold_peer import codec, connection, link, messages, server
from oriolefold_testbed import basecase


@dataclasses.dataclass(frozen=True, slots=True)
class Echo:
    """Test message that is echoed after a delay."""

    text: str
    delay_s: float = 0.0


CODEC = codec.Codec((*messages.CONNECTION_MESSAGES, Echo, errors.Failure))


LONG_TEXT = 'x' * 16_000_000  # More than the kernel buffers.


class _Handler(server.PeerHandler):
    def __init__(self):
        self.started = 0
        self.cancelled = 0

    async def answer(self, caller, body):
        self.started += 1
        if body.text == 'refuse':
            raise errors.NotHomeError('not here')
        if body.text == 'unregistered':
            return object()
        try:
            await asyncio.sleep(body.delay_s)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if body.text == 'long':
            return Echo(LONG_TEXT)
        return Echo(f'{caller.vm_id} said {body.text}')


class _FaultyCodec(codec.Codec):
    """Codec that fails on an echo in a way that it should not."""

    def decode(self, frame):
        call_id, message = super().decode(frame)
        if isinstance(message, Echo):
            raise ValueError('unexpected')
        return call_id, message


class LinkTest(basecase.AsyncCase):
    """Calls reach the peer; errors tell whether a failed call was sent."""

    async def asyncSetUp(self):
        self.handler = _Handler()
        self.address = basecase.free_address()
        hello = messages.Hello('vm1', 'i1')
        self.server = server.PeerServer(
            self.address, hello, CODEC, self.handler
        )
        await self.start(self.server)
        self.link = await self.connect('vm1', self.address)

    async def connect(self, vm_id, address, frame_codec=CODEC):
        hello = messages.Hello('vm0', 'i0')
        peer_link = link.PeerLink(vm_id, address, hello, frame_codec)
        await self.start(peer_link)
        return peer_link

    def call(self, text, delay_s=0.0, peer_link=None):
        body = Echo(text, delay_s)
        return (peer_link or self.link).ask(messages.CallPeer('vm1', body))

    async def test_replies_are_matched_to_their_calls(self):
        slow = asyncio.create_task(self.call('slow', 0.1))
        quick = await asyncio.gather(*(self.call(str(i)) for i in range(20)))
        self.assertEqual(
            [reply.text for reply in quick],
            [f'vm0 said {i}' for i in range(20)],
        )
        self.assertEqual((await slow).text, 'vm0 said slow')

    async def test_error_category_reaches_the_caller(self):
        with self.assertRaises(errors.NotHomeError):
            await self.call('refuse')

    async def test_cancel_reaches_the_peer(self):
        calling = asyncio.create_task(self.call('x', 30))
        await asyncio.sleep(0.1)
        calling.cancel()
        await self.wait_for(lambda: self.handler.cancelled)

    async def test_lost_connection_leaves_the_outcome_unknown(self):
        calling = asyncio.create_task(self.call('x', 30))
        await asyncio.sleep(0.1)
        await self.server.stop()
        with self.assertRaises(errors.OutcomeUnknownError):
            await calling

    async def test_reply_that_cannot_be_sent_is_outcome_unknown(self):
        async with asyncio.timeout(1):
            with self.assertRaises(errors.OutcomeUnknownError):
                await self.call('unregistered')
        self.assertEqual((await self.call('next')).text, 'vm0 said next')

    async def test_reply_waits_for_a_peer_that_reads_slowly(self):
        with mock.patch.object(connection, 'MAX_UNSENT_BYTES', 1_000_000):
            async with asyncio.timeout(3):
                replies = await asyncio.gather(
                    *(self.call('long', 0.2) for _ in range(4))
                )
        self.assertEqual(len(replies), 4)

    async def test_unexpected_error_while_connecting_fails_the_call(self):
        invalid = data.Address('\0', 1)
        peer_link = await self.connect('vm1', invalid)
        for _ in range(2):
            async with asyncio.timeout(1):
                with self.assertRaises(errors.UnreachableError):
                    await self.call('x', peer_link=peer_link)

    async def test_unexpected_error_while_reading_fails_the_call(self):
        faulty = _FaultyCodec((*messages.CONNECTION_MESSAGES, Echo))
        peer_link = await self.connect('vm1', self.address, faulty)
        for _ in range(2):
            async with asyncio.timeout(1):
                with self.assertRaises(errors.OutcomeUnknownError):
                    await self.call('x', peer_link=peer_link)

    async def test_calls_in_progress_get_their_replies_before_the_stop(self):
        calling = asyncio.create_task(self.call('long', 0.2))
        await self.wait_for(lambda: self.handler.started)
        await self.server.ask(messages.DrainCalls())
        await self.server.stop()
        self.assertEqual((await calling).text, LONG_TEXT)

    async def read_slowly(self):
        """Asks for a long reply; returns all bytes received until the end."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        caller.connect((self.address.host, self.address.port))
        caller.setblocking(False)
        hello = CODEC.encode(0, messages.Hello('vm0', 'i0'))
        caller.send(hello + CODEC.encode(1, Echo('long')))
        loop = asyncio.get_running_loop()
        received = bytearray()
        while piece := await loop.sock_recv(caller, 65536):
            received += piece
            caller.send(CODEC.encode(0, messages.Ping()))
            await asyncio.sleep(0.005)
        caller.close()
        return received

    async def test_ping_after_a_drain_does_not_destroy_a_reply(self):
        reading = asyncio.create_task(self.read_slowly())
        await self.wait_for(lambda: self.handler.started)
        async with asyncio.timeout(10):
            await self.server.ask(messages.DrainCalls())
        await self.server.stop()
        self.assertIn(LONG_TEXT.encode(), await reading)

    async def test_stop_without_a_drain_does_not_destroy_a_reply(self):
        reading = asyncio.create_task(self.read_slowly())
        await self.wait_for(lambda: self.handler.started)
        await asyncio.sleep(0.05)
        with mock.patch.object(connection, 'LINGER_S', 10.0, create=True):
            await self.server.stop()
        self.assertIn(LONG_TEXT.encode(), await reading)

    async def test_stop_does_not_wait_for_a_peer_that_never_closes(self):
        _, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        self.addCleanup(writer.close)
        writer.write(CODEC.encode(0, messages.Hello('vm0', 'i0')))
        writer.write(CODEC.encode(1, Echo('x')))
        await self.wait_for(lambda: self.handler.started)
        async with asyncio.timeout(2 * connection.LINGER_S):
            await self.server.stop()

    async def test_call_after_the_end_of_the_replies_is_not_sent(self):
        await self.call('before')
        receive = connection.Connection.receive
        ended = asyncio.Event()

        async def receive_and_pause(conn):
            try:
                return await receive(conn)
            except errors.OutcomeUnknownError:
                ended.set()
                await asyncio.sleep(0.2)
                raise

        with mock.patch.object(
            connection.Connection, 'receive', receive_and_pause
        ):
            await self.call('again')
            draining = asyncio.create_task(
                self.server.ask(messages.DrainCalls())
            )
            async with asyncio.timeout(1):
                await ended.wait()
            with self.assertRaises(errors.UnreachableError):
                await self.call('late')
            await draining
        self.assertEqual(self.handler.started, 2)

    async def test_call_that_crosses_the_end_of_the_connection_has_not_run(
        self,
    ):
        await self.call('before')
        receive = connection.Connection.receive
        end_output = connection.Connection.end_output
        ended = asyncio.Event()

        async def receive_late(conn):
            try:
                return await receive(conn)
            finally:
                if ended.is_set():
                    await asyncio.sleep(0.2)

        def end_output_and_note(conn):
            end_output(conn)
            ended.set()

        with (
            mock.patch.object(connection.Connection, 'receive', receive_late),
            mock.patch.object(
                connection.Connection, 'end_output', end_output_and_note
            ),
            mock.patch.object(connection.Connection, 'input_ended', False),
        ):
            draining = asyncio.create_task(
                self.server.ask(messages.DrainCalls())
            )
            await ended.wait()
            with self.assertRaises(errors.UnreachableError):
                await self.call('crossing')
            await draining
        self.assertEqual(self.handler.started, 1)

    async def test_call_whose_reply_could_not_be_sent_may_have_run(self):
        send = connection.Connection.send

        def send_no_failure(conn, call_id, message):
            if isinstance(message, errors.Failure):
                raise errors.OverloadedError('no room')
            send(conn, call_id, message)

        with (
            mock.patch.object(connection.Connection, 'send', send_no_failure),
            self.assertLogs('oriolefold_peer.server', 'ERROR'),
            self.assertLogs('oriolefold_core.tasks', 'ERROR'),
        ):
            calling = asyncio.create_task(self.call('refuse'))
            await self.wait_for(lambda: self.handler.started)
            await asyncio.sleep(0.05)
            await self.server.ask(messages.DrainCalls())
            with self.assertRaises(errors.OutcomeUnknownError):
                await calling

    async def drain_with_failed_connection(self, failure):
        await self.call('before')
        with mock.patch.object(
            asyncio.StreamWriter, 'drain', side_effect=failure
        ) as drain:
            async with asyncio.timeout(1):
                await self.server.ask(messages.DrainCalls())
        drain.assert_called()

    async def test_drain_ends_although_a_connection_has_timed_out(self):
        await self.drain_with_failed_connection(OSError(errno.ETIMEDOUT, ''))

    async def test_drain_ends_although_a_connection_has_no_route(self):
        await self.drain_with_failed_connection(OSError(errno.EHOSTUNREACH, ''))

    async def test_drain_that_fails_unexpectedly_is_reported(self):
        await self.call('before')
        with mock.patch.object(
            connection.Connection, 'flush', side_effect=ValueError('unexpected')
        ):
            with self.assertLogs('oriolefold_core.tasks', 'ERROR'):
                with self.assertRaises(ValueError):
                    async with asyncio.timeout(1):
                        await self.server.ask(messages.DrainCalls())

    async def test_call_while_draining_is_refused_as_not_run(self):
        calling = asyncio.create_task(self.call('slow', 0.3))
        await self.wait_for(lambda: self.handler.started)
        draining = asyncio.create_task(self.server.ask(messages.DrainCalls()))
        await asyncio.sleep(0.05)
        with self.assertRaises(errors.StoppingError):
            await self.call('new')
        await calling
        await draining
        self.assertEqual(self.handler.started, 1)

    async def test_call_that_crosses_the_end_of_a_drain_is_refused(self):
        await self.call('before')
        calling = []

        async def flush_while_a_call_arrives(_):
            calling.append(asyncio.create_task(self.call('crossing')))
            await asyncio.sleep(0.05)

        flush = mock.patch.object(
            connection.Connection, 'flush', flush_while_a_call_arrives
        )
        wait_for_room = mock.patch.object(
            connection.Connection,
            'wait_for_room',
            lambda _: asyncio.sleep(0.1),
        )
        with flush, wait_for_room:
            await self.server.ask(messages.DrainCalls())
        with self.assertRaises(errors.StoppingError):
            await calling[0]

    async def test_call_in_progress_is_answered_when_calls_are_ended(self):
        await self.call('before')
        calling = asyncio.create_task(self.call('x', 30))
        await self.wait_for(lambda: self.handler.started == 2)
        async with asyncio.timeout(1):
            await self.server.ask(messages.EndCalls())
            with self.assertRaisesRegex(errors.OutcomeUnknownError, 'stopped'):
                await calling
            with self.assertRaises(errors.StoppingError):
                await self.call('new')
            await self.server.ask(messages.DrainCalls())
        self.assertEqual(self.handler.cancelled, 1)

    async def test_absent_peer_is_unreachable_and_the_call_not_run(self):
        absent = await self.connect('vm1', basecase.free_address())
        with self.assertRaises(errors.UnreachableError):
            await self.call('x', peer_link=absent)

    async def test_wrong_vm_at_the_address_is_rejected(self):
        wrong = await self.connect('vm7', self.address)
        with self.assertRaises(errors.UnreachableError):
            await self.call('x', peer_link=wrong)

    async def test_silence_is_unreachable_before_hello_and_unknown_after(self):
        silent = basecase.free_address()
        greeting = CODEC.encode(0, messages.Hello('vm1', 'i1'))
        send_hello = True

        async def accept(reader, writer):
            if send_hello:
                writer.write(greeting)
            await reader.read()
            writer.close()

        listening = await asyncio.start_server(accept, silent.host, silent.port)
        self.addCleanup(listening.close)
        peer_link = await self.connect('vm1', silent)
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.call('x', peer_link=peer_link)
        send_hello = False
        with self.assertRaises(errors.UnreachableError):
            await self.call('x', peer_link=peer_link)


class EndlessFrameTest(basecase.AsyncCase):
    """Frames that do not end are given up, at either side."""

    async def listen(self, send):
        """Starts a peer that sends its Hello and then something else."""
        address = basecase.free_address()
        self.open_connections = 0

        async def accept(reader, writer):
            self.open_connections += 1
            writer.write(CODEC.encode(0, messages.Hello('vm1', 'i1')))
            with contextlib.suppress(ConnectionError):
                await send(writer)
            self.open_connections -= 1
            writer.close()

        listening = await asyncio.start_server(
            accept, address.host, address.port
        )
        self.addCleanup(listening.close)
        return address

    async def start_link(self, address, **changes):
        peer_link = link.PeerLink(
            'vm1', address, messages.Hello('vm0', 'i0'), CODEC, **changes
        )
        await self.start(peer_link)
        return peer_link

    async def test_a_frame_that_trickles_ends_the_link(self):
        address = await self.listen(trickle)
        peer_link = await self.start_link(address)
        async with asyncio.timeout(3 * connection.SILENCE_LIMIT_S):
            with self.assertRaises(errors.OutcomeUnknownError):
                await peer_link.ask(messages.CallPeer('vm1', Echo('x')))
        await self.wait_for(lambda: not self.open_connections)

    async def test_a_hello_that_trickles_ends_the_connection(self):
        address = basecase.free_address()
        hello = messages.Hello('vm1', 'i1')
        await self.start(server.PeerServer(address, hello, CODEC, _Handler()))
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        trickling = asyncio.create_task(trickle(writer))
        async with asyncio.timeout(3 * connection.SILENCE_LIMIT_S):
            with contextlib.suppress(ConnectionError):
                await reader.read()
        trickling.cancel()
        writer.close()

    async def test_a_large_frame_may_take_longer_than_the_silence_limit(self):
        text = 'x' * 5 * connection.PART_BYTES

        async def reply_slowly(writer):
            frame = CODEC.encode(1, Echo(text))
            for start in range(0, len(frame), connection.PART_BYTES):
                writer.write(frame[start : start + connection.PART_BYTES])
                await asyncio.sleep(0.4 * connection.SILENCE_LIMIT_S)
            await asyncio.sleep(connection.SILENCE_LIMIT_S)

        peer_link = await self.start_link(await self.listen(reply_slowly))
        reply = await peer_link.ask(messages.CallPeer('vm1', Echo('x')))
        self.assertEqual(reply.text, text)

    async def test_frames_that_grow_share_one_budget(self):
        budget = _RecordingBudget(4_000_000)
        addresses = [await self.listen(flood) for _ in range(4)]
        links = [await self.start_link(a, budget=budget) for a in addresses]
        calls = [
            link_.ask(messages.CallPeer('vm1', Echo('x'))) for link_ in links
        ]
        results = await asyncio.gather(*calls, return_exceptions=True)
        for result in results:
            self.assertIsInstance(result, errors.OutcomeUnknownError)
        self.assertLess(budget.peak_bytes, 4_200_000)
        self.assertEqual(budget.held_bytes, 0)


async def trickle(writer):
    writer.write(codec.LENGTH_PREFIX.pack(1_000_000))
    while True:
        writer.write(b'x')
        await writer.drain()
        await asyncio.sleep(0.05)


async def flood(writer):
    writer.write(codec.LENGTH_PREFIX.pack(codec.MAX_FRAME_BYTES))
    for _ in range(codec.MAX_FRAME_BYTES // 65536):
        writer.write(b'x' * 65536)
        await writer.drain()


class _RecordingBudget(bytebudget.ByteBudget):
    peak_bytes = 0

    def add(self, hold, count):
        super().add(hold, count)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)


class CodecTest(basecase.BaseCase):
    """Frames round-trip; malformed ones are rejected."""

    def test_round_trip(self):
        frame = CODEC.encode(7, Echo('x'))[codec.LENGTH_PREFIX.size :]
        self.assertEqual(CODEC.decode(frame), (7, Echo('x')))

    def test_broken_frames(self):
        good = CODEC.encode(7, Echo('x'))[codec.LENGTH_PREFIX.size :]
        for frame in (b'', b'\xc1', good[:-1], good.replace(b'Echo', b'Ecko')):
            with self.assertRaises(errors.ProtocolError):
                CODEC.decode(frame)

    def test_frame_that_is_nested_deeply_is_rejected(self):
        good = CODEC.encode(7, Echo('x'))[codec.LENGTH_PREFIX.size :]
        deep = b'\x91' * 100_000 + b'\xc0'
        text = msgspec.msgpack.encode('x')
        self.assertIn(text, good)
        for frame in (deep, good.replace(text, deep)):
            with self.assertRaises(errors.ProtocolError):
                CODEC.decode(frame)

    def test_unregistered_message(self):
        with self.assertRaises(errors.ProtocolError):
            CODEC.encode(1, object())

    def test_silence_limit_is_longer_than_the_ping_interval(self):
        self.assertGreater(
            connection.SILENCE_LIMIT_S, 2 * connection.PING_INTERVAL_S
        )
