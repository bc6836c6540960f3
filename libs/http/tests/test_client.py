"""Tests of oriolefold_http.client."""

import asyncio
import contextlib

from oriolefold_core import bytebudget, errors, results
from oriolefold_http import client
from oriolefold_testbed import basecase, strayanswers

HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNK = b'Transfer-Encoding: chunked\r\n\r\nfffffff0\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class HttpClientTest(basecase.AsyncCase):
    """A failed request counts as not sent only if nothing was written."""

    async def asyncSetUp(self):
        self.address = basecase.free_address()
        self.received = 0
        self.responses_left = 1
        self.answering = asyncio.Event()
        self.answering.set()
        self.listening = await asyncio.start_server(
            self.serve, self.address.host, self.address.port
        )
        self.client = client.HttpClient(max_clients=2)
        self.addCleanup(self.client.close)
        self.addCleanup(self.listening.close)

    async def serve(self, reader, writer):
        """Answers some requests, then closes listener and connection."""
        while True:
            try:
                await reader.readuntil(b'\r\n\r\n')
            except EOFError:
                break
            self.received += 1
            await self.answering.wait()
            if not self.responses_left:
                self.listening.close()
                break
            self.responses_left -= 1
            writer.write(ANSWER)
        writer.close()

    async def call(self, at_most_once=False, may_send=None):
        return await self.client.call(
            'GET',
            f'http://{self.address}/x',
            timeout_s=5,
            connect_timeout_s=1,
            at_most_once=at_most_once,
            may_send=may_send,
        )

    async def test_a_loss_on_a_reused_connection_has_an_unknown_outcome(self):
        self.assertEqual((await self.call()).body, b'ok')
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.call()
        self.assertEqual(self.received, 2)

    async def test_a_refused_connection_proves_that_nothing_was_sent(self):
        self.listening.close()
        with self.assertRaises(errors.UnreachableError):
            await self.call()

    async def test_nothing_is_written_unless_may_send_allows_it(self):
        with self.assertRaises(errors.UnreachableError):
            await self.call(may_send=lambda: False)
        self.assertEqual(self.received, 0)

    async def test_a_request_sent_at_most_once_is_not_repeated(self):
        await self.call()
        self.responses_left = 0
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.call(at_most_once=True)
        self.assertEqual(self.received, 2)

    async def test_a_call_that_is_cancelled_while_queued_is_never_sent(self):
        self.answering.clear()
        calls = [asyncio.create_task(self.call()) for _ in range(3)]
        await self.wait_for(lambda: self.received == 2)
        calls[2].cancel()
        self.responses_left = 3
        self.answering.set()
        await asyncio.gather(*calls, return_exceptions=True)
        await asyncio.sleep(0.2)
        self.assertEqual(self.received, 2)


class StrayAnswerTest(basecase.AsyncCase):
    """An answer belongs to a call only if that can be proved."""

    async def asyncSetUp(self):
        self.address = basecase.free_address()
        self.server = strayanswers.StrayAnswerServer(
            strayanswers.Answer(body=b'true')
        )
        await self.server.start(self.address)
        self.client = client.HttpClient(max_clients=2)
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.close)

    async def call(self, **arguments):
        response = await self.client.call(
            'GET', f'http://{self.address}/x', 5.0, 1.0, **arguments
        )
        return response.body

    async def test_an_answer_to_another_call_is_never_taken(self):
        for call_id in (None, strayanswers.OTHER_CALL_ID, ''):
            for at_most_once in (False, True):
                with self.subTest(call_id, at_most_once=at_most_once):
                    await self.call(at_most_once=at_most_once)
                    self.server.extra = strayanswers.Answer(body=b'stray')
                    self.server.extra_call_id = call_id
                    with self.assertRaises(errors.OutcomeUnknownError):
                        await self.call()
                    self.assertEqual(await self.call(), b'true')

    async def test_an_answer_to_another_call_is_not_taken_when_it_is_first(
        self,
    ):
        self.server.extra = strayanswers.Answer(body=b'stray')
        self.server.extra_call_id = strayanswers.OTHER_CALL_ID
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.call(at_most_once=True)

    async def test_the_true_answer_after_a_stray_one_is_not_taken_later(self):
        await self.call()
        self.server.extra = strayanswers.Answer(body=b'stray')
        self.server.extra_call_id = strayanswers.OTHER_CALL_ID
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.call()
        connections = self.server.connections
        await asyncio.sleep(2 * strayanswers.EXTRA_LEAD_S)
        self.assertEqual(await self.call(), b'true')
        self.assertEqual(self.server.connections, connections + 1)

    async def test_connections_to_servers_that_name_calls_are_kept(self):
        for _ in range(3):
            self.assertEqual(await self.call(), b'true')
        self.assertEqual(self.server.connections, 1)

    async def test_calls_at_most_once_leave_no_connections_open(self):
        await asyncio.gather(*(self.call(at_most_once=True) for _ in range(8)))
        self.assertEqual(self.server.connections, 8)
        await self.wait_for(lambda: not self.server.open_connections)

    async def test_connections_to_servers_that_name_no_calls_are_not_kept(self):
        self.server.names_calls = False
        for calls in range(1, 4):
            self.assertEqual(await self.call(), b'true')
            self.assertEqual(self.server.connections, calls)

    async def test_a_call_id_is_used_once_and_replaces_a_given_one(self):
        given = {results.CALL_ID_HEADER: 'given'}
        for _ in range(2):
            self.assertEqual(await self.call(headers=given), b'true')
        lines = [
            line
            for head in self.server.request_heads
            for line in head.split('\r\n')
            if line.startswith(results.CALL_ID_HEADER)
        ]
        self.assertEqual(len(set(lines)), 2)
        self.assertNotIn(f'{results.CALL_ID_HEADER}: given', lines)


class EndlessResponseTest(basecase.AsyncCase):
    """Responses without an end are bounded in size and time."""

    async def start_server(self, first, repeated, interval_s=0.0):
        """Starts a server that repeats bytes after each request."""
        address = basecase.free_address()
        self.written = 0

        async def serve(reader, writer):
            with contextlib.suppress(EOFError, ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(first)
                while True:
                    writer.write(repeated)
                    self.written += len(repeated)
                    await writer.drain()
                    await asyncio.sleep(interval_s)
            writer.transport.abort()

        listening = await asyncio.start_server(
            serve, address.host, address.port
        )
        self.addCleanup(listening.close)
        return address

    async def call(self, address, budget, timeout_s):
        http_client = client.HttpClient(max_clients=8, budget=budget)
        self.addCleanup(http_client.close)
        with self.assertRaises(errors.OutcomeUnknownError):
            await http_client.call('GET', f'http://{address}/', timeout_s, 1.0)

    async def test_endless_bodies_share_one_budget(self):
        budget = bytebudget.ByteBudget(4_000_000)
        for first in (HEAD + b'\r\n', HEAD + CHUNK):
            with self.subTest(first):
                address = await self.start_server(first, b'x' * 65536)
                await asyncio.gather(
                    *(self.call(address, budget, 20.0) for _ in range(8))
                )
                self.assertLess(self.written, 100_000_000)
                self.assertEqual(budget.held_bytes, 0)

    async def test_endless_heads_end(self):
        for first, repeated in (
            (HEAD, b'A: ' + b'b' * 1000 + b'\r\n'),
            (b'', b'HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n' * 100),
            (HEAD + CHUNK[:-10], b'0' * 1000),
        ):
            with self.subTest(repeated[:40]):
                address = await self.start_server(first, repeated)
                budget = bytebudget.ByteBudget(4_000_000)
                await self.call(address, budget, 20.0)
                self.assertLess(self.written, 100_000_000)

    async def test_a_response_that_trickles_ends_at_its_timeout(self):
        for first in (b'', HEAD, HEAD + b'\r\n', HEAD + CHUNK):
            with self.subTest(first):
                address = await self.start_server(first, b'A', 0.02)
                budget = bytebudget.ByteBudget(4_000_000)
                async with asyncio.timeout(2.0):
                    await self.call(address, budget, 0.5)

    async def test_a_large_response_passes(self):
        body = b'x' * 3_000_000
        length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        address = await self.start_server(HEAD + length + body, b'', 0.1)
        budget = bytebudget.ByteBudget(10_000_000)
        http_client = client.HttpClient(max_clients=1, budget=budget)
        self.addCleanup(http_client.close)
        response = await http_client.call('GET', f'http://{address}/', 5.0, 1.0)
        self.assertEqual(response.body, body)
        self.assertEqual(budget.held_bytes, 0)
