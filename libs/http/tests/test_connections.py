"""Tests of oriolefold_http.connections."""

import asyncio
import contextlib
from unittest import mock

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
