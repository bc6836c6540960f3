"""Tests of oriolefold_http.connections."""

import asyncio
import contextlib
from unittest import mock

from oriolefold_core import bytebudget, errors
from oriolefold_http import connections, pooledstream
from oriolefold_testbed import basecase

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
CHUNKS = 10_000


class TurnsTest(basecase.AsyncCase):
    """An exchange leaves other tasks their turns."""

    async def test_tiny_chunks_do_not_hold_up_other_tasks(self):
        address = basecase.free_address()
        response = CHUNKED + b'1\r\nx\r\n' * CHUNKS + b'0\r\n\r\n'

        async def serve(reader, writer):
            with contextlib.suppress(EOFError, ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(response)
                await writer.drain()
            writer.close()

        listening = await asyncio.start_server(
            serve, address.host, address.port
        )
        self.addCleanup(listening.close)
        pool = connections.ConnectionPool(1_000_000)
        self.addCleanup(pool.close)
        sleeps = []
        sleep = asyncio.sleep

        async def count_sleep(delay_s):
            sleeps.append(delay_s)
            await sleep(delay_s)

        self.enterContext(mock.patch.object(asyncio, 'sleep', count_sleep))
        incoming = await pool.exchange(
            address,
            connections.OutgoingRequest('GET', '/', []),
            timeout_s=20.0,
            connect_timeout_s=1.0,
        )
        self.assertEqual(incoming.body, b'x' * CHUNKS)
        self.assertGreaterEqual(
            len(sleeps), CHUNKS // pooledstream.MAX_CHUNKS_PER_TURN
        )


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
            connections.OutgoingRequest('GET', '/', []),
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


class DescriptorTest(basecase.AsyncCase):
    """No descriptor is left for a connection."""

    async def test_a_request_without_descriptor_was_not_sent(self):
        address = basecase.free_address()
        pool = connections.ConnectionPool(10_000)
        with basecase.no_descriptors():
            with self.assertRaises(errors.UnreachableError):
                await pool.exchange(
                    address,
                    connections.OutgoingRequest('GET', '/', []),
                    timeout_s=1.0,
                    connect_timeout_s=1.0,
                )


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
                connections.OutgoingRequest('GET', '/', []),
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
                connections.OutgoingRequest('GET', '/', []),
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
