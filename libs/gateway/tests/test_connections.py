"""Tests that callers get whole answers, whatever ends their connections."""

import asyncio
import contextlib
import fcntl
import itertools
import json
import socket
import time
from unittest import mock

from oriolefold_backend import headers as backend_headers
from oriolefold_core import bytebudget, data, tasks
from oriolefold_gateway import accepting, callerstream, frontend
from oriolefold_telemetry import logs
from oriolefold_testbed import basecase

MAX_BODY_BYTES = 1000
BODIES_BYTES = 1_000_000  # All bodies of requests together.
LARGE_BODY = b'x' * 12_000_000  # More than the kernel buffers of a connection.
KERNEL_BODY = b'x' * 1_000_000  # Fits them, for a caller that reads later.
PIECE_BYTES = 256 * 1024
PIECE_INTERVAL_S = 0.002
SLOW_INTERVAL_S = 0.1
ANSWER_LIMIT_S = 5.0
CONNECT_LIMIT_S = 0.5
QUEUED_CONNECTIONS = 20
BURST_CONNECTIONS = 300
RACING_REQUESTS = 100
GET = b'GET /svc/a HTTP/1.1\r\nHost: x\r\nX-Request-Id: a1\r\n\r\n'
CLOSING_GET = GET.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
POST = (
    b'POST /svc/a HTTP/1.1\r\nHost: x\r\nX-Request-Id: a1\r\n'
    b'Content-Length: 10\r\n\r\n'
)


class AnsweringTask(tasks.Task):
    """Dispatcher that gives the same answer to every request.

    Attributes:
        answer: The answer; None leaves requests without one.
        dispatches: The requests, in the order of their arrival.
    """

    def __init__(self):
        super().__init__('answering')
        self.answer = data.Answer(200, (), b'ok', 's0')
        self.dispatches = []

    async def handle(self, message) -> None:
        self.dispatches.append(message)
        if self.answer is not None:
            message.answer(self.answer)


class Caller:
    """A caller's connection, with all that it receives."""

    def __init__(self, address: data.Address, receive_bytes: int | None = None):
        self.socket = socket.socket()
        if receive_bytes is not None:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
            )
        # The kernel completes the handshake before the server accepts.
        self.socket.settimeout(CONNECT_LIMIT_S)
        self.socket.connect((address.host, address.port))
        self.socket.setblocking(False)

    def send(self, raw: bytes) -> None:
        self.socket.send(raw)

    async def read_some(self, size: int = 65536) -> bytes:
        loop = asyncio.get_running_loop()
        return await loop.sock_recv(self.socket, size)

    async def read_to_end(self, interval_s: float = 0.0) -> bytes:
        """Reads until the other side ends the connection cleanly."""
        received = b''
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while piece := await self.read_some(PIECE_BYTES):
                received += piece
                await asyncio.sleep(interval_s)
        return received

    async def read_answer(self) -> tuple[int, dict[str, str], bytes]:
        """Reads one answer with a Content-Length, and nothing after it."""
        received = b''
        async with asyncio.timeout(ANSWER_LIMIT_S):
            while not is_whole(received):
                piece = await self.read_some()
                if not piece:
                    raise EOFError(f'cut after {received!r}')
                received += piece
        return parse(received)

    def close(self) -> None:
        self.socket.close()


def is_whole(received: bytes) -> bool:
    head, blank, body = received.partition(b'\r\n\r\n')
    if not blank:
        return False
    return len(body) >= int(parse_head(head)[1].get('Content-Length', 0))


def parse_head(head: bytes) -> tuple[int, dict[str, str]]:
    first, *lines = head.decode('latin-1').split('\r\n')
    return int(first.split()[1]), dict(line.split(': ', 1) for line in lines)


def parse(received: bytes) -> tuple[int, dict[str, str], bytes]:
    head, _, body = received.partition(b'\r\n\r\n')
    return *parse_head(head), body


class ConnectionCase(basecase.AsyncCase):
    """A front end with a dispatcher that the test controls."""

    async def asyncSetUp(self):
        self.dispatcher = AnsweringTask()
        await self.start(self.dispatcher)
        self.address = basecase.free_address()
        self.frontend = frontend.Frontend(
            self.address,
            self.dispatcher,
            MAX_BODY_BYTES,
            bodies=bytebudget.BodyBudget(BODIES_BYTES),
        )
        self.frontend.start(reuse_port=False)
        self.addAsyncCleanup(self.frontend.stop)
        patcher = mock.patch.object(logs, 'event')
        self.log = patcher.start()
        self.addCleanup(patcher.stop)

    def connect(self, receive_bytes: int | None = None) -> Caller:
        caller = Caller(self.address, receive_bytes)
        self.addCleanup(caller.close)
        return caller

    async def exchange(self, raw: bytes) -> tuple[int, dict[str, str], bytes]:
        caller = self.connect()
        caller.send(raw)
        return await caller.read_answer()

    async def connect_used(self) -> Caller:
        """Returns an idle connection that has been used."""
        caller = self.connect()
        caller.send(GET)
        self.assertEqual((await caller.read_answer())[0], 200)
        return caller

    async def send_part(self, raw: bytes) -> Caller:
        """Returns a connection with a request of which a part has arrived."""
        caller = await self.connect_used()
        caller.send(raw)
        await asyncio.sleep(0.05)
        return caller

    def pause_and_send(self, caller: Caller, raw: bytes, pause_s: float):
        """Pauses the process; bytes arrive after its next look at the sockets.

        Checks whose time comes in the pause find the bytes in the kernel.
        """
        loop = asyncio.get_running_loop()

        def send():
            caller.send(raw)
            time.sleep(0.05)

        loop.call_later(0.01, loop.call_soon, send)
        time.sleep(pause_s)

    def cuts(self) -> list[dict]:
        return [
            call.kwargs
            for call in self.log.call_args_list
            if call.args == ('request.cut',)
        ]

    def assert_refused(self, answer: tuple, status: int) -> None:
        """Checks for a whole failure that says that nothing was run."""
        got, headers, body = answer
        self.assertEqual(got, status)
        self.assertEqual(headers['Oriolefold-Outcome'], 'not-run')
        self.assertEqual(headers['Connection'], 'close')
        self.assertEqual(json.loads(body)['outcome'], 'not-run')


class DrainTest(ConnectionCase):
    """A stop delivers answers and answers what has arrived."""

    async def test_a_slow_reader_gets_its_whole_answer(self):
        self.dispatcher.answer = data.Answer(200, (), LARGE_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        caller.send(GET)
        first = await caller.read_some(1000)
        reading = asyncio.create_task(caller.read_to_end(PIECE_INTERVAL_S))
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await self.frontend.drain()
        await self.frontend.stop()
        _, _, body = parse(first + await reading)
        self.assertEqual(len(body), len(LARGE_BODY))
        self.assertEqual(self.cuts(), [])

    async def connect_unread(self) -> Caller:
        """Returns a connection with a whole answer in the kernel."""
        self.dispatcher.answer = data.Answer(200, (), KERNEL_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        caller.send(GET)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        await self.wait_for(lambda: not self.frontend.in_flight)
        return caller

    async def test_a_byte_after_the_stop_does_not_destroy_an_unread_answer(
        self,
    ):
        caller = await self.connect_unread()
        reading = asyncio.create_task(caller.read_to_end(SLOW_INTERVAL_S))
        await self.drain_and_stop()
        caller.send(GET[:1])
        _, _, body = parse(await reading)
        self.assertEqual(len(body), len(KERNEL_BODY))

    async def test_an_answer_that_is_not_read_holds_up_no_drain(self):
        await self.connect_unread()
        async with asyncio.timeout(2 * frontend.STALL_S):
            await self.frontend.drain()

    async def test_a_caller_that_leaves_while_reading_holds_up_no_drain(self):
        self.dispatcher.answer = data.Answer(200, (), LARGE_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        caller.send(GET)
        await caller.read_some(1000)
        self.assertEqual(self.frontend.in_flight, 1)
        draining = asyncio.create_task(self.frontend.drain())
        await asyncio.sleep(0.05)
        self.assertFalse(draining.done())
        caller.close()
        async with asyncio.timeout(0.5):
            await draining
        self.assertEqual(self.frontend.in_flight, 0)
        (cut,) = self.cuts()
        self.assertEqual(
            (cut['stage'], cut['closed_by']), ('writing', 'caller')
        )

    async def test_connections_not_yet_accepted_are_served_by_a_drain(self):
        # Nothing is accepted until this coroutine waits.
        callers = [self.connect() for _ in range(QUEUED_CONNECTIONS)]
        for caller in callers:
            caller.send(GET)
        await self.frontend.drain()
        await self.frontend.stop()
        for caller in callers:
            self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_burst_of_connections_fits_the_queue_of_the_kernel(self):
        # Nothing is accepted until this coroutine waits.
        callers = [self.connect() for _ in range(BURST_CONNECTIONS)]
        for caller in callers:
            caller.send(GET)
        for caller in callers:
            self.assertEqual((await caller.read_answer())[0], 200)

    async def test_an_aborted_connection_does_not_keep_a_drain_from_others(
        self,
    ):
        caller = self.connect()
        caller.send(GET)
        accept = socket.socket.accept
        aborted = iter([True])

        def accept_after_aborted(listening):
            if next(aborted, False):
                raise ConnectionAbortedError
            return accept(listening)

        with mock.patch.object(socket.socket, 'accept', accept_after_aborted):
            await self.frontend.drain()
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_the_end_of_listening_frees_the_descriptor_for_others(self):
        await self.frontend.drain()
        # Its socket gets the descriptor of the closed one.
        following = frontend.Frontend(
            self.address, self.dispatcher, MAX_BODY_BYTES
        )
        following.start(reuse_port=False)
        self.addAsyncCleanup(following.stop)
        self.assertEqual((await self.exchange(GET))[0], 200)

    async def test_a_burst_of_connections_leaves_others_their_turn(self):
        counts = [0]

        async def count_each_turn():
            while counts[-1] < BURST_CONNECTIONS:
                await asyncio.sleep(0)
                counts.append(self.frontend.connection_count)

        for _ in range(BURST_CONNECTIONS):
            self.connect()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await count_each_turn()
        most = max(
            after - before for before, after in itertools.pairwise(counts)
        )
        self.assertEqual(most, accepting.BATCH_CONNECTIONS)

    async def test_connections_not_yet_accepted_are_refused_by_a_stop(self):
        callers = [self.connect() for _ in range(QUEUED_CONNECTIONS)]
        for caller in callers:
            caller.send(GET)
        await self.frontend.stop()
        for caller in callers:
            self.assert_refused(await caller.read_answer(), 503)
        self.assertEqual(self.dispatcher.dispatches, [])

    async def test_the_first_request_of_a_new_connection_crosses_a_drain(self):
        caller = self.connect()
        stopping = asyncio.create_task(self.drain_and_stop())
        await asyncio.sleep(0.05)
        caller.send(GET)
        self.assertEqual((await caller.read_answer())[0], 200)
        await stopping

    async def test_a_request_that_has_begun_to_arrive_is_served_by_a_drain(
        self,
    ):
        for raw, size in ((GET, 30), (POST + b'x' * 10, len(POST) + 5)):
            with self.subTest(part=raw[:size]):
                await self.asyncSetUp()
                caller = await self.send_part(raw[:size])
                stopping = asyncio.create_task(self.drain_and_stop())
                await asyncio.sleep(0.05)
                caller.send(raw[size:])
                self.assertEqual((await caller.read_answer())[0], 200)
                await stopping

    async def test_a_request_that_has_not_arrived_whole_is_refused_by_a_stop(
        self,
    ):
        for raw in (GET[:30], POST + b'xxxxx'):
            with self.subTest(part=raw):
                await self.asyncSetUp()
                caller = await self.send_part(raw)
                await self.frontend.stop()
                self.assert_refused(parse(await caller.read_to_end()), 503)
                (cut,) = self.cuts()
                self.assertEqual(cut['stage'], 'reading')
                self.assertEqual(cut['closed_by'], 'vm')

    async def test_refusal_of_an_unread_head_has_no_invented_request_id(self):
        caller = await self.send_part(GET[:30])
        await self.frontend.stop()
        answer = parse(await caller.read_to_end())
        self.assert_refused(answer, 503)
        _, headers, body = answer
        self.assertNotIn('X-Request-Id', headers)
        self.assertEqual(json.loads(body)['request_id'], '')

    async def test_a_request_that_stops_arriving_holds_up_no_drain(self):
        for raw in (GET[:30], POST + b'xxxxx'):
            with self.subTest(part=raw):
                await self.asyncSetUp()
                caller = await self.send_part(raw)
                async with asyncio.timeout(3 * frontend.STALL_S):
                    await self.frontend.drain()
                await self.frontend.stop()
                self.assert_refused(parse(await caller.read_to_end()), 503)

    async def test_a_request_in_the_kernel_is_answered_by_a_stop(self):
        callers = [await self.connect_used() for _ in range(5)]
        for caller in callers:
            caller.send(GET)
        await self.frontend.stop()
        for caller in callers:
            self.assert_refused(await caller.read_answer(), 503)

    async def test_a_request_without_an_answer_ends_as_unknown_at_a_stop(self):
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(GET)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        await self.frontend.stop()
        status, headers, body = parse(await caller.read_to_end())
        self.assertEqual(status, 502)
        self.assertEqual(headers['Oriolefold-Outcome'], 'unknown')
        self.assertEqual(json.loads(body)['request_id'], 'a1')
        self.assertTrue(self.dispatcher.dispatches[0].reply.cancelled())
        (cut,) = self.cuts()
        self.assertEqual((cut['stage'], cut['closed_by']), ('waiting', 'vm'))

    async def test_an_answer_that_is_ready_is_delivered_by_a_stop(self):
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(GET)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        answer = data.Answer(200, (), b'ok', 's0')
        self.dispatcher.dispatches[0].answer(answer)
        await self.frontend.stop()
        status, _, body = parse(await caller.read_to_end())
        self.assertEqual((status, body), (200, b'ok'))
        self.assertEqual(self.cuts(), [])

    async def test_a_stop_waits_no_longer_than_its_limit_for_a_slow_reader(
        self,
    ):
        self.dispatcher.answer = data.Answer(200, (), LARGE_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        caller.send(GET)
        await caller.read_some(1000)
        async with asyncio.timeout(2 * frontend.CLOSE_LIMIT_S):
            await self.frontend.stop()
        (cut,) = self.cuts()
        self.assertEqual((cut['stage'], cut['closed_by']), ('writing', 'vm'))

    async def test_a_refusal_after_the_drain_is_whole(self):
        callers = [await self.connect_used() for _ in range(5)]
        await self.frontend.drain()
        for caller in callers:
            caller.send(GET)
        await self.frontend.stop()
        for caller in callers:
            answer = parse(await caller.read_to_end())
            self.assert_refused(answer, 503)

    async def test_a_request_between_drain_and_stop_is_not_run(self):
        caller = await self.connect_used()
        await self.frontend.drain()
        caller.send(GET)
        self.assert_refused(await caller.read_answer(), 503)
        self.assertEqual(len(self.dispatcher.dispatches), 1)

    async def test_a_drain_waits_for_connections_that_are_being_closed(self):
        caller = self.connect()
        caller.send(CLOSING_GET)
        self.assertEqual((await caller.read_answer())[0], 200)
        draining = asyncio.create_task(self.frontend.drain())
        await asyncio.sleep(0.1)
        self.assertFalse(draining.done())
        caller.close()
        async with asyncio.timeout(0.5):
            await draining

    async def test_a_caller_that_ignores_the_close_gets_whole_answers(self):
        callers = [await self.connect_used() for _ in range(5)]
        using = [asyncio.create_task(self.use(caller)) for caller in callers]
        await asyncio.sleep(0.05)
        await self.drain_and_stop()
        for received in await asyncio.gather(*using):
            self.assertEqual(received, b'')

    async def use(self, caller: Caller) -> bytes:
        """Uses a connection until it ends; returns the part of an answer."""
        received = b''
        try:
            while True:
                caller.send(GET)
                received = b''
                while not is_whole(received):
                    piece = await caller.read_some()
                    if not piece:
                        return received
                    received += piece
        except ConnectionError:
            return received

    async def drain_and_stop(self) -> None:
        await self.frontend.drain()
        await self.frontend.stop()


class CloseTest(ConnectionCase):
    """The server ends a connection without destroying its last answer."""

    async def test_the_connection_ends_after_an_answer_that_says_close(self):
        self.frontend.draining = True
        caller = self.connect()
        caller.send(GET)
        status, headers, body = parse(await caller.read_to_end())
        self.assertEqual((status, body), (200, b'ok'))
        self.assertEqual(headers['Connection'], 'close')

    async def test_a_413_reaches_a_caller_that_is_still_sending(self):
        length = 8_000_000
        for framing in (
            f'Content-Length: {length}',
            'Transfer-Encoding: chunked',
        ):
            with self.subTest(framing=framing):
                caller = self.connect()
                caller.send(
                    f'POST /svc/a HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n'
                    '1388\r\n'.encode()
                )
                for _ in range(100):
                    caller.send(b'x' * 2500 + b'\r\n')
                    await asyncio.sleep(PIECE_INTERVAL_S)
                status, headers, body = parse(await caller.read_to_end())
                self.assertEqual(status, 413)
                self.assertEqual(len(body), int(headers['Content-Length']))

    async def test_bytes_after_the_close_do_not_destroy_the_answer(self):
        caller = self.connect()
        caller.send(CLOSING_GET)
        await asyncio.sleep(0.1)
        caller.send(b'GET /svc/b HTTP/1.1\r\n')
        await asyncio.sleep(0.1)
        caller.send(b'Host: x\r\n\r\n')
        await asyncio.sleep(0.1)
        status, _, body = parse(await caller.read_to_end())
        self.assertEqual((status, body), (200, b'ok'))
        self.assertEqual(len(self.dispatcher.dispatches), 1)

    async def test_pipelined_requests_are_answered_in_order(self):
        caller = self.connect()
        for rest in (b'', GET, GET[:30]):
            caller.send(GET + rest)
            received = b''
            while received.count(b'\r\n\r\nok') < 1 + (rest == GET):
                received += await caller.read_some()
            self.assertEqual(
                received.count(b'HTTP/1.1 200 OK'), 1 + (rest == GET)
            )
        caller.send(GET[30:])
        self.assertEqual((await caller.read_answer())[0], 200)
        self.assertEqual(self.frontend.in_flight, 0)

    async def test_a_pipelined_request_after_the_last_answer_is_not_run(self):
        self.frontend.draining = True
        caller = self.connect()
        caller.send(GET + GET)
        status, _, body = parse(await caller.read_to_end())
        self.assertEqual((status, body), (200, b'ok'))
        self.assertEqual(len(self.dispatcher.dispatches), 1)
        caller.close()
        await self.wait_for(lambda: not self.frontend.connection_count)
        (cut,) = self.cuts()
        self.assertEqual((cut['stage'], cut['closed_by']), ('crossed', 'vm'))

    async def test_a_body_without_end_is_discarded_for_a_bounded_time(self):
        caller = self.connect()
        caller.send(
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 9999999999\r\n\r\n'
        )
        with self.assertRaises(ConnectionError):
            async with asyncio.timeout(ANSWER_LIMIT_S):
                while True:
                    caller.send(b'x' * 1000)
                    await asyncio.sleep(PIECE_INTERVAL_S)


class HalfCloseTest(ConnectionCase):
    """A caller that has ended its output still gets an answer under way."""

    async def half_close_while_the_answer_is_written(self, header: bytes = b''):
        self.dispatcher.answer = data.Answer(200, (), LARGE_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        caller.send(GET.replace(b'\r\n\r\n', b'\r\n' + header + b'\r\n'))
        first = await caller.read_some(1000)
        caller.socket.shutdown(socket.SHUT_WR)
        return caller, first

    async def test_half_close_does_not_cut_an_answer_under_way(self):
        for header in (b'', b'Connection: close\r\n'):
            with self.subTest(header=header):
                result = await self.half_close_while_the_answer_is_written(
                    header
                )
                caller, first = result
                await asyncio.sleep(0.05)
                _, _, body = parse(first + await caller.read_to_end())
                self.assertEqual(len(body), len(LARGE_BODY))
                await self.wait_for(lambda: not self.frontend.in_flight)
                self.assertEqual(self.cuts(), [])

    async def test_half_closed_caller_that_takes_nothing_is_given_up(self):
        self.frontend.set_limits(65536, MAX_BODY_BYTES, 0.4)
        read = callerstream.CallerStream.read_from_fd
        with mock.patch.object(
            callerstream.CallerStream, 'read_from_fd', autospec=True
        ) as reading:
            reading.side_effect = read
            await self.half_close_while_the_answer_is_written()
            started_s = time.monotonic()
            await self.wait_for(lambda: not self.frontend.in_flight)
        self.assertGreater(time.monotonic() - started_s, 0.3)
        self.assertLess(reading.call_count, 10)
        (cut,) = self.cuts()
        self.assertEqual((cut['stage'], cut['closed_by']), ('writing', 'vm'))

    async def test_reset_ends_an_answer_under_way_after_a_half_close(self):
        caller, _ = await self.half_close_while_the_answer_is_written()
        await asyncio.sleep(0.05)
        self.assertEqual(self.frontend.in_flight, 1)
        caller.close()
        async with asyncio.timeout(0.5):
            await self.wait_for(lambda: not self.frontend.in_flight)

    async def test_half_close_before_the_answer_cancels_the_request(self):
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(GET)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        caller.socket.shutdown(socket.SHUT_WR)
        (dispatch,) = self.dispatcher.dispatches
        async with asyncio.timeout(0.5):
            await self.wait_for(dispatch.reply.cancelled)


class ExceptionTest(ConnectionCase):
    """Exceptions outside the tree leave no caller without an answer."""

    async def test_an_answer_that_cannot_be_written_ends_as_unknown(self):
        for name, value in (('X', '\u20ac'), ('X', 'a\r\nb'), ('X', None)):
            with self.subTest(value=value):
                self.log.reset_mock()
                self.dispatcher.answer = data.Answer(
                    200, ((name, value),), b'ok', 's0'
                )
                status, headers, body = await self.exchange(GET)
                self.assertEqual(status, 500)
                self.assertEqual(headers['Oriolefold-Outcome'], 'unknown')
                self.assertEqual(json.loads(body)['request_id'], 'a1')
                (call,) = self.log.call_args_list
                self.assertEqual(call.args, ('answer.unwritable',))
                await self.wait_for(lambda: not self.frontend.in_flight)

    async def test_an_answer_without_content_has_no_length(self):
        self.dispatcher.answer = data.Answer(
            204, (('Content-Length', '5'),), b'', 's0'
        )
        caller = await self.connect_204()
        self.dispatcher.answer = data.Answer(200, (), b'ok', 's0')
        caller.send(GET)
        self.assertEqual((await caller.read_answer())[0], 200)

    async def connect_204(self) -> Caller:
        caller = self.connect()
        caller.send(GET)
        status, headers, _ = await caller.read_answer()
        self.assertEqual(status, 204)
        self.assertNotIn('Content-Length', headers)
        return caller

    async def test_a_reply_that_is_cancelled_ends_as_unknown(self):
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(GET)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        self.dispatcher.dispatches[0].reply.cancel()
        status, headers, _ = await caller.read_answer()
        self.assertEqual(status, 502)
        self.assertEqual(headers['Oriolefold-Outcome'], 'unknown')

    async def test_an_exception_before_the_dispatch_ends_as_not_run(self):
        with mock.patch.object(
            backend_headers, 'forwarded', side_effect=ValueError('x')
        ):
            status, headers, _ = await self.exchange(GET)
        self.assertEqual(status, 503)
        self.assertEqual(headers['Oriolefold-Outcome'], 'not-run')
        self.assertEqual(self.dispatcher.dispatches, [])
        (call,) = self.log.call_args_list
        self.assertEqual(call.args, ('request.unreadable',))

    async def test_a_length_that_is_no_number_gets_an_answer(self):
        for length in (b'\xb2', b'9' * 5000):
            with self.subTest(length=length[:5]):
                caller = self.connect()
                caller.send(
                    b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: '
                    + length
                    + b'\r\n\r\n'
                )
                received = await caller.read_to_end()
                self.assertEqual(received.split()[1], b'400')


class LimitTest(ConnectionCase):
    """A request is checked against the limits in force when it arrives."""

    async def test_a_raised_limit_holds_for_idle_connections(self):
        caller = await self.connect_used()
        body = b'x' * (200 * MAX_BODY_BYTES)
        self.frontend.set_limits(16384, len(body), 30.0)
        head = f'Host: x\r\nContent-Length: {len(body)}\r\n\r\n'
        caller.send(f'POST /svc/a HTTP/1.1\r\n{head}'.encode() + body)
        status, _, _ = await caller.read_answer()
        self.assertEqual(status, 200)
        self.assertEqual(len(self.dispatcher.dispatches[-1].body), len(body))


class BodyBudgetTest(ConnectionCase):
    """The bodies of all requests together are bounded."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.frontend.set_limits(16384, BODIES_BYTES, 30.0)

    def held_bytes(self) -> int:
        return self.frontend.bodies.held_bytes

    async def send_post(self, size: int, sent: int) -> Caller:
        """Returns a connection with a POST of which a part has arrived."""
        head = f'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: {size}'
        return await self.send_part(f'{head}\r\n\r\n'.encode() + b'x' * sent)

    def set_body_limits(self, body_stall_s: float) -> None:
        self.frontend.set_limits(
            16384, BODIES_BYTES, 30.0, header_timeout_s=0.05
        )
        self.frontend.body_stall_s = body_stall_s

    async def test_a_body_without_room_is_refused_before_it_is_read(self):
        first = await self.send_post(700_000, 1)
        self.dispatcher.dispatches.clear()
        second = await self.send_post(200_000, 0)
        answer = parse(await second.read_to_end())
        self.assert_refused(answer, 503)
        self.assertEqual(answer[1]['Retry-After'], '1')
        small = await self.send_post(100, 100)
        self.assertEqual((await small.read_answer())[0], 200)
        methods = [each.method for each in self.dispatcher.dispatches]
        self.assertEqual(methods, ['GET', 'GET', 'POST'])
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(first.socket, b'x' * 699_999)
        self.assertEqual((await first.read_answer())[0], 200)
        third = await self.send_post(200_000, 0)
        await loop.sock_sendall(third.socket, b'x' * 200_000)
        self.assertEqual((await third.read_answer())[0], 200)

    async def test_a_chunked_body_is_refused_when_the_room_is_used_up(self):
        await self.send_post(700_000, 1)
        self.dispatcher.dispatches.clear()
        head = b'POST /svc/a HTTP/1.1\r\nHost: x\r\n'
        caller = await self.send_part(
            head + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        self.dispatcher.dispatches.clear()
        for _ in range(3):
            caller.send(b'c350\r\n' + b'x' * 50_000 + b'\r\n')
            await asyncio.sleep(0.02)
        self.assert_refused(parse(await caller.read_to_end()), 503)
        self.assertEqual(self.dispatcher.dispatches, [])

    async def test_an_upload_counts_until_it_is_answered(self):
        """Uploads in progress must not exceed the memory for bodies."""
        answer = self.dispatcher.answer
        caller = await self.send_post(360_000, 359_000)
        self.dispatcher.answer = None
        caller.send(b'x' * 1000)
        await self.wait_for(
            lambda: any(d.body for d in self.dispatcher.dispatches)
        )
        self.dispatcher.answer = answer
        self.assertEqual(self.held_bytes(), 360_000)
        second = await self.send_post(500_000, 0)
        self.assert_refused(parse(await second.read_to_end()), 503)
        upload = next(d for d in self.dispatcher.dispatches if d.body)
        self.assertEqual(len(upload.body), 360_000)
        upload.answer(answer)
        self.assertEqual((await caller.read_answer())[0], 200)
        await self.wait_for(lambda: not self.held_bytes())

    async def test_a_body_that_never_fits_gets_413(self):
        caller = await self.send_post(900_000, 0)
        self.assert_refused(parse(await caller.read_to_end()), 413)

    async def test_the_room_of_a_body_is_given_back(self):
        for name in ('answered', 'caller left', 'left early', 'refused'):
            with self.subTest(name):
                self.dispatcher.answer = data.Answer(200, (), b'ok', 's0')
                size = 100_000
                caller = await self.send_post(size, 20_000)
                self.dispatcher.dispatches.clear()
                self.assertEqual(self.held_bytes(), size)
                if name in ('answered', 'caller left'):
                    self.dispatcher.answer = None
                    caller.send(b'x' * (size - 20_000))
                    await self.wait_for(lambda: self.dispatcher.dispatches)
                    self.assertEqual(self.held_bytes(), size)
                    (dispatch,) = self.dispatcher.dispatches
                if name == 'answered':
                    dispatch.answer(data.Answer(200, (), b'', 's0'))
                elif name == 'refused':
                    await self.frontend.stop()
                else:
                    caller.close()
                await self.wait_for(lambda: not self.held_bytes())

    async def test_a_body_that_stops_arriving_gets_408(self):
        self.set_body_limits(0.3)
        caller = await self.send_post(100_000, 0)
        for _ in range(5):
            await asyncio.sleep(0.1)
            caller.send(b'x')
        self.assertEqual(self.held_bytes(), 100_000)
        self.assert_refused(parse(await caller.read_to_end()), 408)
        self.assertEqual(self.held_bytes(), 0)

    async def test_the_rest_of_a_body_in_the_kernel_gets_no_408(self):
        self.set_body_limits(1.0)
        caller = await self.send_part(POST + b'xxxxx')
        await asyncio.sleep(0.1)
        self.pause_and_send(caller, b'xxxxx', 1.2)
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_body_timeout_cuts_no_request_that_waits(self):
        self.set_body_limits(0.5)
        caller = await self.connect_used()
        self.dispatcher.answer = None
        caller.send(POST + b'x' * 10)
        await asyncio.sleep(0.8)
        self.dispatcher.dispatches[-1].answer(data.Answer(200, (), b'', 's0'))
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_body_timeout_does_not_refuse_the_next_request(self):
        self.set_body_limits(1.0)
        caller = await self.send_part(POST + b'xxxxx')
        self.dispatcher.answer = None
        await asyncio.sleep(0.1)
        caller.send(b'xxxxx')
        await self.wait_for(lambda: len(self.dispatcher.dispatches) == 2)
        self.dispatcher.dispatches[-1].answer(data.Answer(200, (), b'', 's0'))
        # The time limit ends between the answer and the next idle time.
        asyncio.get_running_loop().call_soon(time.sleep, 1.2)
        self.assertEqual((await caller.read_answer())[0], 200)
        await asyncio.sleep(0.05)
        self.dispatcher.answer = data.Answer(200, (), b'ok', 's0')
        caller.send(GET)
        self.assertEqual((await caller.read_answer())[0], 200)


class TimeoutTest(ConnectionCase):
    """The limits on idle time and on slow heads do not mix."""

    def set_timeouts(self, header_timeout_s: float, idle_timeout_s: float):
        self.frontend.set_limits(
            16384,
            MAX_BODY_BYTES,
            idle_timeout_s,
            header_timeout_s=header_timeout_s,
        )

    async def test_a_head_that_is_too_slow_gets_408(self):
        self.set_timeouts(0.2, 30.0)
        caller = self.connect()
        caller.send(GET[:30])
        self.assert_refused(parse(await caller.read_to_end()), 408)
        self.assertEqual(self.dispatcher.dispatches, [])

    async def test_the_rest_of_a_head_that_was_refused_is_not_dispatched(self):
        self.set_timeouts(0.2, 30.0)
        caller = self.connect()
        caller.send(GET[:30])
        answer = await caller.read_answer()
        caller.send(GET[30:])
        self.assertEqual(await caller.read_to_end(), b'')
        self.assert_refused(answer, 408)
        self.assertEqual(self.dispatcher.dispatches, [])

    async def test_the_idle_timeout_does_not_cut_a_head_under_way(self):
        self.set_timeouts(5.0, 0.2)
        caller = self.connect()
        caller.send(GET[:30])
        await asyncio.sleep(0.1)
        self.set_timeouts(5.0, 0.1)
        await asyncio.sleep(0.3)
        caller.send(GET[30:])
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_longer_idle_timeout_holds_for_idle_connections(self):
        self.set_timeouts(5.0, 0.2)
        caller = await self.connect_used()
        self.set_timeouts(5.0, 30.0)
        await asyncio.sleep(0.4)
        caller.send(GET)
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_shorter_idle_timeout_cuts_no_request_that_waits(self):
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(GET)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        self.set_timeouts(0.1, 0.1)
        await asyncio.sleep(0.3)
        self.dispatcher.dispatches[0].answer(data.Answer(200, (), b'', 's0'))
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_no_timeout_cuts_a_request_that_has_arrived(self):
        self.set_timeouts(0.2, 0.2)
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(POST)
        await asyncio.sleep(0.4)
        caller.send(b'x' * 10)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        await asyncio.sleep(0.4)
        self.dispatcher.dispatches[0].answer(data.Answer(200, (), b'', 's0'))
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_header_timeout_does_not_refuse_the_next_request(self):
        self.set_timeouts(0.2, 30.0)
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(GET)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        self.dispatcher.dispatches[0].answer(data.Answer(200, (), b'', 's0'))
        # The time limit ends between the answer and the next idle time.
        asyncio.get_running_loop().call_soon(time.sleep, 0.4)
        self.assertEqual((await caller.read_answer())[0], 200)
        await asyncio.sleep(0.05)
        self.dispatcher.answer = data.Answer(200, (), b'ok', 's0')
        caller.send(GET)
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_pause_of_the_process_cuts_nothing_that_has_arrived(self):
        self.set_timeouts(0.2, 0.2)
        caller = await self.connect_used()
        for part in (b'', GET[:30]):
            with self.subTest(part=part):
                if part:
                    caller.send(part)
                    await asyncio.sleep(0.05)
                caller.send(GET[len(part) :])
                time.sleep(0.4)  # noqa: ASYNC251
                self.assertEqual((await caller.read_answer())[0], 200)

    async def test_the_rest_of_a_head_in_the_kernel_gets_no_408(self):
        self.set_timeouts(1.0, 30.0)
        caller = await self.send_part(GET[:30])
        self.pause_and_send(caller, GET[30:], 1.2)
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_the_idle_timeout_cuts_no_request_in_the_kernel(self):
        self.set_timeouts(5.0, 0.2)
        caller = await self.connect_used()
        await asyncio.sleep(0.05)
        # After the pause both are due, the request before the timeout.
        asyncio.get_running_loop().call_later(0.01, caller.send, GET)
        time.sleep(0.4)  # noqa: ASYNC251
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_caller_that_takes_nothing_does_not_hold_its_answer(self):
        self.frontend.set_limits(65536, MAX_BODY_BYTES, 0.4)
        self.dispatcher.answer = data.Answer(200, (), LARGE_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        caller.send(GET)
        await self.wait_for(lambda: self.frontend.in_flight)
        started_s = time.monotonic()
        await self.wait_for(lambda: not self.frontend.in_flight)
        self.assertGreater(time.monotonic() - started_s, 0.3)
        (cut,) = self.cuts()
        self.assertEqual((cut['stage'], cut['closed_by']), ('writing', 'vm'))

    async def test_an_answer_is_written_where_the_kernel_tells_no_sizes(self):
        self.dispatcher.answer = data.Answer(200, (), LARGE_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        with mock.patch.object(fcntl, 'ioctl', side_effect=OSError):
            caller.send(GET)
            status, _, body = await caller.read_answer()
        self.assertEqual((status, body), (200, LARGE_BODY))

    async def test_a_caller_that_takes_little_at_a_time_gets_its_answer(self):
        self.frontend.set_limits(65536, MAX_BODY_BYTES, 0.4)
        self.dispatcher.answer = data.Answer(200, (), LARGE_BODY, 's0')
        caller = self.connect(receive_bytes=65536)
        caller.send(GET)
        received = bytearray()
        while not is_whole(received):
            await asyncio.sleep(0.02)
            received += await caller.read_some(PIECE_BYTES)
        self.assertEqual(len(parse(bytes(received))[2]), len(LARGE_BODY))

    async def test_an_idle_connection_ends_after_its_timeout(self):
        self.set_timeouts(5.0, 0.2)
        for caller in (self.connect(), await self.connect_used()):
            self.assertEqual(await caller.read_to_end(), b'')


class RaceTest(ConnectionCase):
    """Requests meet the end of their idle connections at any moment."""

    async def send(self, request_id: str, idle_s: float) -> int:
        """Sends a request and returns the status of its answer, 0 if cut."""
        caller = await self.connect_used()
        await asyncio.sleep(idle_s)
        try:
            caller.send(GET.replace(b'a1', request_id.encode()))
            return (await caller.read_answer())[0]
        except (EOFError, ConnectionError):
            return 0

    async def send_all(self, least_s: float, most_s: float) -> dict[str, int]:
        """Sends requests after various idle times.

        Returns:
            The status of each answer by the id of its request.
        """
        sending = {
            f'b{number}': asyncio.create_task(
                self.send(f'b{number}', self.random.uniform(least_s, most_s))
            )
            for number in range(RACING_REQUESTS)
        }
        return {name: await task for name, task in sending.items()}

    def assert_none_lost(self, statuses_by_id: dict[str, int]) -> None:
        passed_on = {ask.request_id for ask in self.dispatcher.dispatches}
        cut = {name for name, status in statuses_by_id.items() if not status}
        self.assertEqual(passed_on & cut, set())
        # Some met an open connection, and some an ended one.
        self.assertGreater(len(passed_on - {'a1'}), 0)
        self.assertGreater(len(cut), 0)

    async def test_the_idle_timeout_loses_no_request(self):
        self.frontend.set_limits(16384, MAX_BODY_BYTES, 0.5)
        self.assert_none_lost(await self.send_all(0.1, 1.0))

    async def test_a_changed_idle_timeout_loses_no_request(self):
        self.frontend.set_limits(16384, MAX_BODY_BYTES, 0.5)
        sending = asyncio.create_task(self.send_all(0.1, 1.0))
        for idle_timeout_s in (0.7, 0.3, 0.5):
            await asyncio.sleep(0.2)
            self.frontend.set_limits(16384, MAX_BODY_BYTES, idle_timeout_s)
        self.assert_none_lost(await sending)

    async def test_a_stop_loses_no_request(self):
        sending = asyncio.create_task(self.send_all(0.2, 1.0))
        await self.wait_for(
            lambda: len(self.dispatcher.dispatches) > 1.2 * RACING_REQUESTS
        )
        await self.frontend.stop()
        self.assert_none_lost(await sending)


class ConnectionLimitTest(ConnectionCase):
    """Callers leave descriptors for the connections to instances."""

    async def test_connections_beyond_the_limit_are_closed_unread(self):
        self.frontend.max_connections = 1
        kept = await self.connect_used()
        refused = self.connect()
        self.assertEqual(await refused.read_to_end(), b'')
        kept.send(GET)
        self.assertEqual((await kept.read_answer())[0], 200)
        names = [call.args[0] for call in self.log.call_args_list]
        self.assertEqual(names, ['connection.refused'])

    async def test_a_connection_that_has_ended_makes_room(self):
        self.frontend.max_connections = 1
        ended = await self.connect_used()
        ended.close()
        await self.wait_for(lambda: not self.frontend.connection_count)
        await self.connect_used()

    async def test_the_limit_leaves_descriptors_for_instances(self):
        with basecase.no_descriptors():
            limited = frontend.Frontend(self.address, self.dispatcher, 1000)
        self.assertLess(limited.max_connections, basecase.MAX_DESCRIPTORS)


class DescriptorTest(ConnectionCase):
    """No descriptors are left for new connections of callers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.kept = await self.connect_used()
        self.waiting = socket.socket()
        self.addCleanup(self.waiting.close)
        self.used = self.enterContext(contextlib.ExitStack())
        self.used.enter_context(basecase.no_descriptors())
        self.waiting.connect((self.address.host, self.address.port))
        self.waiting.setblocking(False)

    async def test_requests_of_open_connections_are_answered(self):
        await asyncio.sleep(0.05)
        self.kept.send(GET)
        self.assertEqual((await self.kept.read_answer())[0], 200)

    async def test_a_connection_without_descriptor_uses_no_processor(self):
        started_s = time.process_time()
        await asyncio.sleep(0.4)
        self.assertLess(time.process_time() - started_s, 0.1)
        failures = [call.args for call in self.log.call_args_list]
        self.assertEqual(failures, [('accept.failed',)])

    async def test_a_connection_is_served_once_it_has_a_descriptor(self):
        await asyncio.sleep(0.05)
        self.used.close()
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(ANSWER_LIMIT_S):
            await loop.sock_sendall(self.waiting, GET)
            answer = await loop.sock_recv(self.waiting, PIECE_BYTES)
        self.assertEqual(parse(answer)[0], 200)

    async def test_a_stop_waits_for_no_connection_without_descriptor(self):
        await asyncio.sleep(0.05)
        await self.frontend.stop()
        self.assertEqual(await self.kept.read_to_end(), b'')


class EmptyLineTest(ConnectionCase):
    """Empty lines between requests belong to none (RFC 9112, section 2.2)."""

    async def test_an_empty_line_after_a_request_holds_up_no_drain(self):
        after_request = await self.connect_used()
        after_request.send(b'\r\n')
        before_request = self.connect()
        before_request.send(b'\r\n')
        with_body = self.connect()
        with_body.send(POST + b'x' * 10 + b'\r\n')
        self.assertEqual((await with_body.read_answer())[0], 200)
        await asyncio.sleep(frontend.FIRST_REQUEST_S)
        self.assertEqual(self.frontend.in_flight, 0)
        async with asyncio.timeout(frontend.STALL_S / 2):
            await self.frontend.drain()

    async def test_an_empty_line_after_a_request_gets_no_408(self):
        self.frontend.set_limits(16384, 1000, 30.0, header_timeout_s=0.2)
        self.dispatcher.answer = None
        caller = self.connect()
        caller.send(POST + b'x' * 10)
        await self.wait_for(lambda: self.dispatcher.dispatches)
        caller.send(b'\r\n')
        await asyncio.sleep(0.05)
        self.dispatcher.dispatches[0].answer(data.Answer(200, (), b'', 's0'))
        self.assertEqual((await caller.read_answer())[0], 200)
        await asyncio.sleep(0.4)
        self.dispatcher.answer = data.Answer(200, (), b'ok', 's0')
        caller.send(GET)
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_empty_lines_before_a_request_get_no_400(self):
        for parts in (
            (b'\r\n\r\n' + GET,),
            (b'\r\n', b'\r\n', b'\r', b'\n' + GET),
            (POST + b'x' * 10 + b'\r\n\r\n', b'\r\n\r\n', GET),
        ):
            with self.subTest(parts=parts):
                self.dispatcher.dispatches.clear()
                caller = await self.connect_used()
                for part in parts:
                    caller.send(part)
                    await asyncio.sleep(0.05)
                received = b''
                expected = b''.join(parts).count(b'HTTP/1.1')
                while received.count(b'\r\n\r\nok') < expected:
                    piece = await caller.read_some()
                    self.assertNotEqual(piece, b'')
                    received += piece
                self.assertEqual(received.count(b'HTTP/1.1 200'), expected)
                self.assertEqual(len(self.dispatcher.dispatches), expected + 1)

    async def test_a_line_end_of_a_pipelined_head_is_kept(self):
        caller = self.connect()
        first_line, line_end, rest = GET.partition(b'\r\n')
        caller.send(POST + b'x' * 10 + first_line)
        self.assertEqual((await caller.read_answer())[0], 200)
        caller.send(line_end)
        await asyncio.sleep(0.05)
        caller.send(rest)
        self.assertEqual((await caller.read_answer())[0], 200)

    async def test_a_pipelined_head_that_is_too_slow_gets_408(self):
        self.frontend.set_limits(16384, 1000, 30.0, header_timeout_s=0.2)
        caller = self.connect()
        caller.send(POST + b'x' * 10 + GET[:30])
        self.assertEqual((await caller.read_answer())[0], 200)
        self.assert_refused(parse(await caller.read_to_end()), 408)

    async def test_empty_lines_keep_no_connection_open(self):
        self.frontend.set_limits(16384, 1000, 0.3)
        caller = await self.connect_used()
        ended = asyncio.create_task(caller.read_to_end())
        for _ in range(10):
            await asyncio.sleep(0.05)
            with contextlib.suppress(ConnectionError):
                caller.send(b'\r\n')
        self.assertEqual(await ended, b'')
        self.assertEqual(self.cuts(), [])


class CutTest(ConnectionCase):
    """Each connection that ends inside a request leaves a line."""

    async def test_a_caller_that_leaves_inside_its_request_is_logged(self):
        for raw in (GET[:30], POST + b'xxxxx'):
            with self.subTest(part=raw):
                self.log.reset_mock()
                caller = await self.send_part(raw)
                caller.close()
                await self.wait_for(self.cuts)
                (cut,) = self.cuts()
                self.assertEqual(cut['stage'], 'reading')
                self.assertEqual(cut['closed_by'], 'caller')
                self.assertGreaterEqual(cut['age_ms'], 50)
                self.assertEqual(self.frontend.in_flight, 0)

    async def test_a_request_that_crosses_the_close_is_logged(self):
        caller = await self.connect_used()
        stopping = asyncio.create_task(self.frontend.stop())
        self.assertEqual(await caller.read_to_end(), b'')
        caller.send(GET)
        await stopping
        (cut,) = self.cuts()
        self.assertEqual((cut['stage'], cut['closed_by']), ('crossed', 'vm'))
        self.assertEqual(len(self.dispatcher.dispatches), 1)

    async def test_a_request_that_crosses_the_close_is_named(self):
        caller = await self.connect_used()
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.frontend.stop())
        self.assertEqual(await caller.read_to_end(), b'')
        await asyncio.sleep(0.05)
        caller.send(GET)
        await stopping
        (cut,) = self.cuts()
        self.assertEqual(cut['request'], 'a1')
        self.assertGreaterEqual(cut['after_close_ms'], 49)
        self.assertGreaterEqual(cut['idle_before_ms'], 99)

    async def test_a_late_request_is_timed_from_the_close_to_its_first_byte(
        self,
    ):
        caller = await self.connect_used()
        await asyncio.sleep(0.3)
        started_s = time.monotonic()
        caller.send(CLOSING_GET)
        await caller.read_to_end()
        caller.send(GET[:30])
        await asyncio.sleep(0.05)
        most_ms = (time.monotonic() - started_s) * 1000
        await asyncio.sleep(0.3)
        caller.send(GET[30:])
        await asyncio.sleep(0.05)
        caller.close()
        await self.wait_for(self.cuts)
        (cut,) = self.cuts()
        self.assertEqual(cut['stage'], 'crossed')
        self.assertLessEqual(cut['after_close_ms'], most_ms + 1)

    async def test_a_malformed_request_is_logged(self):
        caller = await self.send_part(b'GET /svc/a\r\n\r\n')
        self.assertIn(b' 400 ', await caller.read_to_end())
        await self.wait_for(lambda: self.log.call_args_list)
        (call,) = self.log.call_args_list
        self.assertEqual(call.args, ('request.unreadable',))

    async def test_a_caller_that_leaves_between_requests_is_not_logged(self):
        (await self.connect_used()).close()
        self.connect().close()
        await asyncio.sleep(0.05)
        self.log.assert_not_called()
