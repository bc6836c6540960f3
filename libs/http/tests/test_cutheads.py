"""Tests of both clients with answers that end after any of their bytes."""

import abc

from oriolefold_core import errors
from oriolefold_http import client, connections, exchanges
from oriolefold_testbed import basecase, cutanswers


class CutAnswerCase(basecase.AsyncCase, abc.ABC):
    """Tests that every client must pass; subclasses provide the client."""

    async def asyncSetUp(self):
        self.address = basecase.free_address()
        self.server = cutanswers.CutAnswerServer()
        await self.server.start(self.address)
        self.addCleanup(self.server.close)

    @abc.abstractmethod
    async def call(self) -> bytes:
        """Returns the body of the answer."""

    async def test_no_cut_answer_is_taken_for_a_whole_one(self):
        for cut in cutanswers.cut_answers():
            with self.subTest(cut.framing, sent=cut.sent, reset=cut.is_reset):
                self.server.cut = cut
                with self.assertRaises(errors.OutcomeUnknownError):
                    await self.call()

    async def test_whole_answers_pass(self):
        for cut in cutanswers.whole_answers():
            with self.subTest(cut.framing):
                self.server.cut = cut
                body = b'' if cut.framing == 'no body' else cutanswers.BODY
                self.assertEqual(await self.call(), body)


class HttpClientTest(CutAnswerCase):
    """Runs the cases with the curl client."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = client.HttpClient(max_clients=1)
        self.addCleanup(self.client.close)

    async def call(self):
        response = await self.client.call(
            'GET', f'http://{self.address}/', 5.0, 1.0
        )
        return response.body


class ConnectionPoolTest(CutAnswerCase):
    """Runs the cases with the connection pool."""

    async def call(self):
        # The pool may not yet have seen that the last connection was closed.
        pool = connections.ConnectionPool(1_000_000)
        try:
            response = await pool.exchange(
                self.address,
                exchanges.OutgoingRequest('GET', '/', []),
                5.0,
                connect_timeout_s=1.0,
            )
        finally:
            pool.close()
        return response.body


# Keeps the test runner from collecting the base class, which has no client.
del CutAnswerCase
