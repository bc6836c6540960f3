"""Tests of oriolefold_http.connections."""

import asyncio
import contextlib
import gc
import socket
import struct
import weakref
from unittest import mock

from tornado import iostream

from oriolefold_core import bytebudget, data, errors
from oriolefold_http import (
    connections,
    exchanges,
    matching,
    pooledstream,
    readturns,
)
from oriolefold_testbed import basecase

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNKS = 10_000
ENDLESS = 40  # Responses without an end at once.
READ_BYTES = 64 * 1024  # The most that Tornado reads from a socket at once.
MOST_BYTES_PER_TURN = pooledstream.MAX_BYTES_PER_TURN + READ_BYTES


class _LoopTurns:
    """Counts the calls of a method in each turn of the event loop.

    Attributes:
        amounts: What was counted in each turn so far.
    """

    def __init__(self, owner, name, amount_of):
        """Initializes without a turn.

        Args:
            owner: Class of the method.
            name: Name of the method.
            amount_of: Returns what a call counts for, from its result.
        """
        self.amounts = [0]
        counted = getattr(owner, name)

        def count(*args, **kwargs):
            result = counted(*args, **kwargs)
            self.amounts[-1] += amount_of(result)
            return result

        self._patch = mock.patch.object(owner, name, count)
        self._next: asyncio.Handle | None = None

    def __enter__(self):
        self._patch.start()
        self._begin_turn()
        return self

    def __exit__(self, *unused_error):
        self._next.cancel()
        self._patch.stop()

    def _begin_turn(self):
        self.amounts.append(0)
        self._next = asyncio.get_running_loop().call_soon(self._begin_turn)


class TurnsTest(basecase.AsyncCase):
    """An exchange leaves other tasks their turns."""

    async def start_server(self, response, repeated=b''):
        """Starts a server that repeats bytes after a response."""
        address = basecase.free_address()

        async def serve(reader, writer):
            with contextlib.suppress(EOFError, ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(response)
                await writer.drain()
                while repeated:
                    writer.write(repeated)
                    await writer.drain()
                    await asyncio.sleep(0)
            writer.close()

        listening = await asyncio.start_server(
            serve, address.host, address.port
        )
        self.addCleanup(listening.close)
        return address

    async def exchange(self, address, timeout_s):
        return await self.pool.exchange(
            address,
            exchanges.OutgoingRequest('GET', '/', []),
            timeout_s,
            connect_timeout_s=1.0,
        )

    async def receive_endlessly(self, head, repeated, max_body_bytes):
        """Receives many responses without an end, up to a size each."""
        budget = bytebudget.ByteBudget(1_000_000_000)
        self.pool = connections.ConnectionPool(max_body_bytes, budget=budget)
        self.addCleanup(self.pool.close)
        address = await self.start_server(head, repeated)
        results = await asyncio.gather(
            *(self.exchange(address, 20.0) for _ in range(ENDLESS)),
            return_exceptions=True,
        )
        for result in results:
            self.assertIsInstance(result, errors.OutcomeUnknownError)

    async def test_tiny_chunks_do_not_hold_up_other_tasks(self):
        address = await self.start_server(
            CHUNKED + b'1\r\nx\r\n' * CHUNKS + b'0\r\n\r\n'
        )
        self.pool = connections.ConnectionPool(1_000_000)
        self.addCleanup(self.pool.close)
        with _LoopTurns(iostream.IOStream, 'read_until', bool) as turns:
            incoming = await self.exchange(address, 20.0)
        self.assertEqual(incoming.body, b'x' * CHUNKS)
        self.assertEqual(sum(turns.amounts), CHUNKS + 1)
        self.assertLessEqual(
            max(turns.amounts), pooledstream.MAX_CHUNKS_PER_TURN
        )

    async def test_many_responses_in_tiny_chunks_share_their_turns(self):
        with _LoopTurns(iostream.IOStream, 'read_until', bool) as turns:
            await self.receive_endlessly(
                CHUNKED, b'1\r\nx\r\n' * 4096, max_body_bytes=200
            )
        self.check_shared(turns.amounts, pooledstream.MAX_CHUNKS_PER_TURN)

    async def test_many_responses_without_a_length_share_their_turns(self):
        head = b'HTTP/1.1 200 OK\r\n\r\n'
        with _LoopTurns(
            iostream.IOStream, 'read_from_fd', lambda count: count or 0
        ) as turns:
            await self.receive_endlessly(
                head, b'x' * READ_BYTES, max_body_bytes=4_000_000
            )
        self.check_shared(turns.amounts, MOST_BYTES_PER_TURN)

    def check_shared(self, amounts, most_per_stream):
        """Checks how much was read in the turns of the event loop.

        Args:
            amounts: What was read in each turn.
            most_per_stream: The most that a stream may read in its turn.
        """
        streams = readturns.STREAMS_PER_TURN * len(amounts) + ENDLESS
        self.assertGreater(sum(amounts), ENDLESS * most_per_stream)
        self.assertLessEqual(sum(amounts), streams * most_per_stream)


class ReuseTest(basecase.AsyncCase):
    """What an exchange leaves behind harms no later one."""

    async def start_pool(self, *responses):
        """Starts a server with these responses on each connection."""
        self.address = basecase.free_address()

        async def serve(reader, writer):
            for response in responses:
                with contextlib.suppress(EOFError, ConnectionError):
                    await reader.readuntil(b'\r\n\r\n')
                    writer.write(response)
                    await writer.drain()
            writer.close()

        listening = await asyncio.start_server(
            serve, self.address.host, self.address.port
        )
        self.addCleanup(listening.close)
        self.budget = bytebudget.ByteBudget(1_000_000)
        self.pool = connections.ConnectionPool(10_000, budget=self.budget)
        self.addCleanup(self.pool.close)

    async def exchange(self):
        return await self.pool.exchange(
            self.address,
            exchanges.OutgoingRequest('GET', '/', []),
            timeout_s=5.0,
            connect_timeout_s=1.0,
        )

    async def test_bytes_after_a_response_do_not_answer_the_next_request(self):
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n'
        await self.start_pool(head + b'a' + head + b'z', head + b'b')
        bodies = [(await self.exchange()).body for _ in range(2)]
        self.assertEqual(bodies, [b'a', b'a'])

    async def test_a_failed_exchange_gives_its_bytes_back(self):
        await self.start_pool(b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx')
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.exchange()
        self.assertEqual(self.budget.held_bytes, 0)

    async def test_a_failed_write_keeps_no_reference_to_its_request(self):
        listening = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(listening.close)
        address = data.Address(*listening.getsockname())
        pool = connections.ConnectionPool(10_000)
        self.addCleanup(pool.close)

        def reset_connection():
            accepted, _ = listening.accept()
            option = socket.SO_LINGER, struct.pack('ii', 1, 0)
            accepted.setsockopt(socket.SOL_SOCKET, *option)
            accepted.close()
            return True

        matcher = matching.EchoedId('X-Id', 'r1', required=False)
        # Only a collection would free the request if a cycle referred to it.
        gc.disable()
        self.addCleanup(gc.enable)
        kept = weakref.ref(matcher)
        # `assertRaises` would clear the frames of the error.
        with contextlib.suppress(errors.OutcomeUnknownError):
            await pool.exchange(
                address,
                exchanges.OutgoingRequest(
                    'POST', '/', [], b'x' * 1000, matcher=matcher
                ),
                5.0,
                1.0,
                reset_connection,
            )
            self.fail('the connection was reset')
        del matcher
        self.assertIsNone(kept())


class DescriptorTest(basecase.AsyncCase):
    """No descriptor is left for a connection."""

    async def test_a_request_without_descriptor_was_not_sent(self):
        address = basecase.free_address()
        pool = connections.ConnectionPool(10_000)
        with basecase.no_descriptors():
            with self.assertRaises(errors.UnreachableError):
                await pool.exchange(
                    address,
                    exchanges.OutgoingRequest('GET', '/', []),
                    timeout_s=1.0,
                    connect_timeout_s=1.0,
                )


class CancelledCallerTest(basecase.AsyncCase):
    """A task that was cancelled and goes on may use the pool to clean up."""

    async def test_a_response_to_a_task_cancelled_earlier_is_not_dropped(self):
        address = basecase.free_address()

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
            writer.close()

        listening = await asyncio.start_server(
            serve, address.host, address.port
        )
        self.addCleanup(listening.close)
        pool = connections.ConnectionPool(1000)
        self.addCleanup(pool.close)

        async def clean_up_when_cancelled():
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(20.0)
            return await pool.exchange(
                address,
                exchanges.OutgoingRequest('GET', '/', []),
                timeout_s=20.0,
                connect_timeout_s=1.0,
            )

        cleaning_up = asyncio.create_task(clean_up_when_cancelled())
        await asyncio.sleep(0)
        cleaning_up.cancel()
        self.assertEqual((await cleaning_up).body, b'ok')


class RoomTest(basecase.AsyncCase):
    """Responses of announced lengths share a budget that is too small."""

    async def test_large_responses_at_once_are_all_received(self):
        address = basecase.free_address()
        body = b'x' * 2_000_000
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)

        async def serve(reader, writer):
            with contextlib.suppress(EOFError, ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(head + body)
                await writer.drain()
            writer.close()

        listening = await asyncio.start_server(
            serve, address.host, address.port
        )
        self.addCleanup(listening.close)
        # Room for two of the responses at a time.
        budget = bytebudget.ByteBudget(3 * len(body))
        pool = connections.ConnectionPool(len(body), budget=budget)
        self.addCleanup(pool.close)

        async def receive():
            incoming = await pool.exchange(
                address,
                exchanges.OutgoingRequest('GET', '/', []),
                timeout_s=20.0,
                connect_timeout_s=1.0,
            )
            received = len(incoming.body)
            await asyncio.sleep(0.1)  # The caller takes its time.
            incoming.hold.release()
            return received

        received = await asyncio.gather(*(receive() for _ in range(6)))
        self.assertEqual(received, [len(body)] * 6)
        self.assertEqual(budget.held_bytes, 0)

    async def test_a_cancelled_exchange_that_waits_for_room_is_not_a_failure(
        self,
    ):
        address = basecase.free_address()
        closed = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n')
            await reader.read()
            writer.close()
            closed.set()

        listening = await asyncio.start_server(
            serve, address.host, address.port
        )
        self.addCleanup(listening.close)
        budget = bytebudget.ByteBudget(1_000_000)
        other = budget.open(lambda: None)
        other.settle(600_000)
        pool = connections.ConnectionPool(500_000, budget=budget)
        self.addCleanup(pool.close)
        receiving = asyncio.create_task(
            pool.exchange(
                address,
                exchanges.OutgoingRequest('GET', '/', []),
                timeout_s=20.0,
                connect_timeout_s=1.0,
            )
        )
        await asyncio.sleep(0.2)
        receiving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await receiving
        async with asyncio.timeout(1):
            await closed.wait()
        self.assertEqual(budget.held_bytes, other.size)
