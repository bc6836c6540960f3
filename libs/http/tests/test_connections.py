"""Tests of oriolefold_http.connections."""

import asyncio
import contextlib
from unittest import mock

from oriolefold_core import bytebudget
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
