"""Tests of oriolefold_direct.peering against a scripted peer."""

import asyncio
import json
import tracemalloc
import zlib

import fakes

from oriolefold_core import errors, results
from oriolefold_direct import messages, peering
from oriolefold_testbed import basecase

REPLY = b'{"told_at_s":1.0,"relay_address":"10.0.0.7:80"}'


class _PeerCase(basecase.AsyncCase):
    """Base class of tests with a peer that replies as scripted."""

    async def connect(self, body: bytes, status='200 OK'):
        """Returns the client and the address of a peer that has one reply."""
        address = basecase.free_address()

        async def reply(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)
            await reader.read()
            writer.close()

        listening = await asyncio.start_server(
            reply, address.host, address.port
        )
        self.addCleanup(listening.close)
        peers = peering.HttpPeers()
        self.addCleanup(peers.close)
        return peers, str(address)


class EndTermsTest(_PeerCase):
    """A peer of another version proves nothing."""

    async def test_a_reply_of_another_version_is_no_statement(self):
        for body, status in (
            (b'', '404 Not Found'),
            (b'{}', '200 OK'),
            (
                b'{"vm_id":"v","incarnation":"p","version":7,"more":1}',
                '200 OK',
            ),
        ):
            with self.subTest(body=body, status=status):
                peers, address = await self.connect(body, status)
                with self.assertRaises(errors.OriolefoldError):
                    await peers.end_terms(address, 'svc', 7)


class ExtraReplyTest(basecase.AsyncCase):
    """A reply is taken only for the call that it answers."""

    async def test_a_repeated_statement_is_none_about_another_service(self):
        earlier = b''

        async def reply(reader, writer):
            nonlocal earlier
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                lines = dict(
                    line.split(': ', 1)
                    for line in head.split('\r\n')
                    if ': ' in line
                )
                body = await reader.readexactly(int(lines['Content-Length']))
                asked = json.loads(body)
                text = json.dumps(
                    {'vm_id': 'v', 'incarnation': 'p'}
                    | {'version': asked['version']}
                )
                call_id = lines[results.CALL_ID_HEADER]
                if earlier:
                    writer.write(earlier)
                    await asyncio.sleep(0.05)
                earlier = (
                    f'HTTP/1.1 200 OK\r\n{results.CALL_ID_HEADER}: {call_id}'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n{text}'
                ).encode()
                writer.write(earlier)

        address = basecase.free_address()
        listening = await asyncio.start_server(
            reply, address.host, address.port
        )
        self.addCleanup(listening.close)
        peers = peering.HttpPeers()
        self.addCleanup(peers.close)
        await peers.end_terms(str(address), 'svc', 9)
        statement = await peers.end_terms(str(address), 'other', 7)
        self.assertEqual(statement.version, 7)


class LoadReplyTest(_PeerCase):
    """Replies of leaders of this and the previous version are read."""

    async def test_a_leader_of_the_previous_version_replies_with_shares(self):
        for body, shares_by_id in (
            (b'{}', {}),
            (b'{"i1":0.5,"i2":1.0}', {'i1': 0.5, 'i2': 1.0}),
            (b'{"shares_by_id":0.5}', {'shares_by_id': 0.5}),
        ):
            with self.subTest(body=body):
                peers, address = await self.connect(body)
                reply = await peers.report(address, fakes.load_report())
                self.assertEqual(reply, messages.LoadReply(shares_by_id))

    async def test_an_invalid_reply_is_an_error(self):
        for body in (
            b'{"i1":"x"}',
            b'{"shares_by_id":{},"granted":[[1,2]]}',
            b'{"shares_by_id":{},"more":1}',
        ):
            with self.subTest(body=body):
                peers, address = await self.connect(body)
                with self.assertRaises(errors.ProtocolError):
                    await peers.report(address, fakes.load_report())


class CompressedReplyTest(_PeerCase):
    """A compressed reply is bounded by its size after decompression."""

    async def poll(self, body: bytes):
        """Polls a peer that replies with a body."""
        peers, address = await self.connect(body)
        return await peers.changes(address, fakes.follower(), {})

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
