"""Tests of oriolefold_direct.status."""

import asyncio
import contextlib
import socket
import time
from unittest import mock

import fakes

from oriolefold_coordination import leaderelection
from oriolefold_core import clock, errors, results
from oriolefold_direct import changefeed, messages, peering, status
from oriolefold_telemetry import counters, logs
from oriolefold_testbed import basecase

MAX_BODY_BYTES = 2 * 1024 * 1024  # More than any report or poll has.
PART = b'x' * 65536
CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
GRANTED_REPLY = messages.LoadReply(
    {'i1': 0.5},
    messages.GrantedRanges('svc', 9, frozenset({(0, 99, 3), (200, 299, 5)})),
)


class StatusServerTest(basecase.AsyncCase):
    """Peers get an answer to each request."""

    async def asyncSetUp(self):
        address = basecase.free_address()
        self.address = str(address)
        self.feed = changefeed.ChangeFeed(clock.BootClock())
        self.coordinators = basecase.RecordingTask()
        await self.start(self.coordinators)
        server = status.StatusServer(
            address,
            '/ready',
            '/metrics',
            lambda: True,
            counters.Counters(),
            self.coordinators,
            self.feed,
        )
        server.start()
        self.addAsyncCleanup(server.stop)
        self.peers = peering.HttpPeers()
        self.addCleanup(self.peers.close)

    async def test_a_reply_echoes_the_id_of_its_call(self):
        host, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(
            f'GET /ready HTTP/1.1\r\nHost: vm\r\n'
            f'{results.CALL_ID_HEADER}: c1\r\n\r\n'.encode()
        )
        head = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(f'{results.CALL_ID_HEADER}: c1\r\n'.encode(), head)

    async def test_poll_that_fails_unexpectedly_is_answered(self):
        async def fail(*_):
            raise ValueError('unexpected')

        self.feed.changes = fail
        with self.assertLogs('oriolefold_direct.status', 'ERROR'):
            async with asyncio.timeout(1):
                with self.assertRaises(errors.ProtocolError):
                    await self.peers.changes(self.address, fakes.follower(), {})

    async def test_former_leader_states_that_its_terms_have_ended(self):
        asking = asyncio.create_task(
            self.peers.end_terms(self.address, 'svc', 7)
        )
        await self.wait_for(lambda: self.coordinators.messages)
        (ask,) = self.coordinators.messages
        self.assertEqual((ask.service_id, ask.version), ('svc', 7))
        statement = leaderelection.TermsEnded('vm', 'process', 7)
        ask.answer(statement)
        self.assertEqual(await asking, statement)

    async def reply_to_reports(self):
        """Replies to reports as a leader with a granted range."""
        await self.wait_for(lambda: self.coordinators.messages)
        self.coordinators.messages.pop().answer(GRANTED_REPLY)

    async def test_reporting_vm_is_told_of_granted_ranges(self):
        reporting = asyncio.create_task(
            self.peers.report(self.address, fakes.load_report())
        )
        await self.reply_to_reports()
        self.assertEqual(await reporting, GRANTED_REPLY)

    async def test_vm_of_the_previous_version_is_told_its_shares_only(self):
        body = b'{"vm_id":"v","service_id":"svc","keys":[7]}'
        replying = asyncio.create_task(self.reply_to_reports())
        host, port = self.address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        length = b'Content-Length: %d' % len(body)
        writer.write(
            b'POST /load HTTP/1.1\r\nHost: v\r\n%b\r\n\r\n' % length + body
        )
        answer = await reader.readuntil(b'}')
        writer.close()
        await writer.wait_closed()
        await replying
        self.assertIn(b' 200 ', answer)
        self.assertTrue(answer.endswith(b'\r\n\r\n{"i1":0.5}'))

    async def test_a_connection_without_descriptor_uses_no_processor(self):
        waiting = socket.socket()
        self.addCleanup(waiting.close)
        host, port = self.address.split(':')
        with (
            basecase.no_descriptors(),
            mock.patch.object(logs, 'event') as log,
        ):
            waiting.connect((host, int(port)))
            started_s = time.process_time()
            await asyncio.sleep(0.4)
            self.assertLess(time.process_time() - started_s, 0.1)
        log.assert_called_once_with('accept.failed', error=mock.ANY)


class EndlessRequestTest(basecase.AsyncCase):
    """Requests of peers that have no end are cut off."""

    async def asyncSetUp(self):
        self.address = basecase.free_address()
        self.server = status.StatusServer(
            self.address,
            '/ready',
            '/metrics',
            lambda: True,
            counters.Counters(),
            basecase.RecordingTask(),
            changefeed.ChangeFeed(clock.BootClock()),
        )
        self.server.start()
        self.addAsyncCleanup(self.server.stop)

    async def send(self, path, first, repeated, interval_s=0.0):
        """Sends bytes until the connection is closed; returns their number."""
        _, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        writer.write(f'POST {path} HTTP/1.1\r\nHost: h\r\n'.encode() + first)
        sent = 0
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(repeated)
                await writer.drain()
                sent += len(repeated)
                await asyncio.sleep(interval_s)
        writer.transport.abort()
        return sent

    async def test_endless_bodies_are_cut_off(self):
        for path in (peering.REPORT_PATH, peering.CHANGES_PATH):
            with self.subTest(path):
                repeated = b'10000\r\n' + PART + b'\r\n'
                sent = await self.send(path, CHUNKED, repeated)
                # Beside the limit, the kernel buffers some megabytes.
                self.assertLess(sent, MAX_BODY_BYTES + 10_000_000)

    async def test_bodies_that_trickle_end(self):
        for first in (CHUNKED + b'100\r\n', b'Content-Length: 100\r\n\r\n'):
            with self.subTest(first):
                started_s = time.monotonic()
                async with asyncio.timeout(10):
                    await self.send(peering.REPORT_PATH, first, b'x', 0.1)
                self.assertLess(time.monotonic() - started_s, 5)

    async def test_a_large_report_is_accepted(self):
        peers = peering.HttpPeers()
        self.addCleanup(peers.close)
        follower = fakes.follower()
        revisions = {f'{i:0100}': i for i in range(4000)}
        with self.assertRaisesRegex(Exception, 'status 410'):
            await peers.changes(str(self.address), follower, revisions)
