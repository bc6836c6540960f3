"""Tests of oriolefold_direct.peering against a scripted peer."""

import asyncio
import tracemalloc
import zlib

import fakes

from oriolefold_core import errors
from oriolefold_direct import peering
from oriolefold_testbed import basecase

REPLY = b'{"told_at_s":1.0,"relay_address":"10.0.0.7:80"}'


class CompressedReplyTest(basecase.AsyncCase):
    """A compressed reply is bounded by its size after decompression."""

    async def poll(self, body: bytes):
        """Polls a peer that replies with a body."""
        address = basecase.free_address()

        async def reply(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)
            await reader.read()
            writer.close()

        listening = await asyncio.start_server(
            reply, address.host, address.port
        )
        self.addCleanup(listening.close)
        peers = peering.HttpPeers()
        self.addCleanup(peers.close)
        return await peers.changes(str(address), fakes.follower(), {})

    async def test_a_compressed_reply_is_read(self):
        for body in (REPLY, zlib.compress(REPLY)):
            reply = await self.poll(body)
            self.assertEqual(reply.relay_address, '10.0.0.7:80')

    async def test_a_small_reply_that_decompresses_without_end_is_bounded(self):
        compressor = zlib.compressobj(9)
        parts = [compressor.compress(b' ' * 1_000_000) for _ in range(500)]
        bomb = b''.join(parts) + compressor.flush()
        self.assertLess(len(bomb), 1_000_000)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(errors.ProtocolError):
            await self.poll(bomb)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 4 * peering.MAX_ANSWER_BYTES)

    async def test_a_truncated_reply_is_rejected(self):
        with self.assertRaises(errors.ProtocolError):
            await self.poll(zlib.compress(REPLY)[:-5])
