"""Tests of oriolefold_http.client."""

import asyncio

from oriolefold_core import errors
from oriolefold_http import client
from oriolefold_testbed import basecase

ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class HttpClientTest(basecase.AsyncCase):
    """A failed request counts as not sent only if nothing was written."""

    async def asyncSetUp(self):
        self.address = basecase.free_address()
        self.received = 0
        self.responses_left = 1
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
