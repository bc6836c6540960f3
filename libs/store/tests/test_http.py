"""Tests of oriolefold_store.http."""

import json

from oriolefold_core import errors
from oriolefold_store import http, ports
from oriolefold_testbed import basecase, strayanswers

CALL_IDS = (None, strayanswers.OTHER_CALL_ID)


class StrayAnswerTest(basecase.AsyncCase):
    """Answers of other calls on a kept connection are not taken."""

    async def serve(self, truth):
        """Starts a store and its client."""
        address = basecase.free_address()
        self.server = strayanswers.StrayAnswerServer(truth)
        await self.server.start(address)
        self.addCleanup(self.server.close)
        self.store = http.HttpStore(address)
        self.addAsyncCleanup(self.store.close)

    async def test_a_write_is_not_answered_by_the_answer_to_another(self):
        await self.serve(strayanswers.Answer(headers=('ETag: "5"',)))
        for status in (200, 412, 429, 503):
            with self.subTest(status):
                self.server.extra = strayanswers.Answer(
                    status, headers=('ETag: "9"',)
                )
                self.server.extra_call_id = strayanswers.OTHER_CALL_ID
                with self.assertRaises(errors.StoreAnswerLostError):
                    await self.store.write('x', b'1', ports.NEW_OBJECT)
                version = await self.store.write('x', b'1', ports.NEW_OBJECT)
                self.assertEqual(version, 5)

    async def test_a_read_is_not_answered_by_the_answer_to_another(self):
        await self.serve(strayanswers.Answer(200, b'new', ('ETag: "5"',)))
        for call_id in CALL_IDS:
            for status in (200, 404):
                with self.subTest(call_id, status=status):
                    await self.store.read('x')
                    self.server.extra = strayanswers.Answer(
                        status, b'old', ('ETag: "4"',)
                    )
                    self.server.extra_call_id = call_id
                    with self.assertRaises(errors.StoreUnavailableError):
                        await self.store.read('x')
                    self.assertEqual(
                        (await self.store.read('x')).content, b'new'
                    )

    async def test_a_watch_is_not_answered_by_the_answer_to_another(self):
        def changes(revision):
            record = {'revision': revision, 'objects': []}
            return strayanswers.Answer(body=json.dumps(record).encode())

        await self.serve(changes(5))
        for call_id in CALL_IDS:
            with self.subTest(call_id):
                await self.store.watch('', 4, 1.0)
                self.server.extra = changes(9)
                self.server.extra_call_id = call_id
                with self.assertRaises(errors.StoreUnavailableError):
                    await self.store.watch('', 5, 1.0)
                self.assertEqual(
                    (await self.store.watch('', 4, 1.0)).revision, 5
                )
