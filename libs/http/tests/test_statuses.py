"""Tests of both clients with responses whose status or framing is invalid."""

import abc
import asyncio

from oriolefold_core import errors
from oriolefold_http import client, connections, exchanges
from oriolefold_testbed import basecase

INVALID_STATUSES = ('000', '099', '600', '777', '999')
HEAD = b'HTTP/1.1 %s Text\r\nContent-Length: 2\r\n\r\nok'
INTERIM_END = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'


class StatusCase(basecase.AsyncCase, abc.ABC):
    """A status outside 100 to 599 proves nothing and is no answer."""

    async def asyncSetUp(self):
        self.address = basecase.free_address()
        self.response = b''
        self.closed = 0
        server = await asyncio.start_server(
            self.serve, self.address.host, self.address.port
        )
        self.addCleanup(server.close)

    async def serve(self, reader, writer):
        """Writes the response to each request until the client closes."""
        try:
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(self.response)
        except (EOFError, OSError):
            self.closed += 1
            writer.close()

    @abc.abstractmethod
    async def call(self) -> int:
        """Returns the status of the response."""

    async def test_status_outside_its_range_is_no_answer(self):
        for status in INVALID_STATUSES:
            with self.subTest(status):
                self.response = HEAD % status.encode()
                with self.assertRaises(errors.OutcomeUnknownError):
                    await self.call()
        # A connection with such a response is not used again.
        await self.wait_for(lambda: self.closed == len(INVALID_STATUSES))

    async def test_statuses_at_the_ends_of_the_range_are_answers(self):
        for status in (200, 599):
            with self.subTest(status):
                self.response = HEAD % str(status).encode()
                self.assertEqual(await self.call(), status)


class HttpClientTest(StatusCase):
    """Runs the cases with the curl client."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = client.HttpClient(max_clients=1)
        self.addCleanup(self.client.close)

    async def call(self):
        response = await self.client.call(
            'GET', f'http://{self.address}/', 5.0, 1.0
        )
        return response.code


class ConnectionPoolTest(StatusCase):
    """Runs the cases with pooled connections."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.pool = connections.ConnectionPool(1000)
        self.addCleanup(self.pool.close)

    async def call(self):
        outgoing = exchanges.OutgoingRequest('GET', '/', [])
        response = await self.pool.exchange(self.address, outgoing, 2.0, 1.0)
        return response.status

    async def test_invalid_statuses_are_reported_with_the_address(self):
        reported = []
        self.pool = connections.ConnectionPool(
            1000, report_invalid_status=lambda *report: reported.append(report)
        )
        self.response = HEAD % b'000'
        with self.assertRaisesRegex(
            errors.OutcomeUnknownError, 'status 0 .invalid'
        ):
            await self.call()
        self.assertEqual(reported, [(self.address, 0)])

    async def test_invalid_framing_is_no_answer(self):
        for response in (
            b'HTTP/1.1 101 Switching Protocols\r\n\r\n' + INTERIM_END,
            b'HTTP/1.1 100 Continue\r\n\r\n' * 1000 + INTERIM_END,
            b'HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\nok',
            b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n'
            b'Content-Length: 3\r\n\r\nok!',
        ):
            with self.subTest(response[:30]):
                self.response = response
                with self.assertRaises(errors.OutcomeUnknownError):
                    await self.call()

    async def test_body_of_a_304_is_not_taken_for_the_next_response(self):
        self.response = (
            b'HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\nok'
        )
        self.assertEqual(await self.call(), 304)
        self.response = INTERIM_END
        self.assertEqual(await self.call(), 200)

    async def test_interim_response_precedes_the_answer(self):
        self.response = b'HTTP/1.1 100 Continue\r\n\r\n' + INTERIM_END
        self.assertEqual(await self.call(), 200)


del StatusCase  # The runner would collect the abstract cases.
