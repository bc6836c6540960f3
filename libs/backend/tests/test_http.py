"""Tests of oriolefold_backend.http."""

import json

from oriolefold_backend import http, ports
from oriolefold_core import clock, errors, results
from oriolefold_testbed import basecase, strayanswers

BATCH = ports.GrantBatch('p', 'svc', 'n1', 5000, (), (ports.Fence(3, 8),))
CALL_IDS = (None, strayanswers.OTHER_CALL_ID)


def grant_answer(accepted: bool) -> strayanswers.Answer:
    """Returns an answer to a grant batch."""
    reply = {'next_nonce': 'n2', 'accepted': accepted, 'refused': []}
    return strayanswers.Answer(body=json.dumps(reply).encode())


class StrayAnswerTest(basecase.AsyncCase):
    """Answers of other calls on a kept connection decide nothing."""

    async def serve(self, truth):
        """Starts a server and a backend."""
        instance = basecase.make_register().services_by_id['svc']
        self.instance = instance.instances_by_id['s0']
        self.server = strayanswers.StrayAnswerServer(truth)
        await self.server.start(self.instance.address)
        self.addCleanup(self.server.close)
        self.backend = http.HttpBackend()
        self.addAsyncCleanup(self.backend.close)

    def send(self):
        permit = ports.Permit(clock.BootClock(), float('inf'))
        request = basecase.make_request()
        return self.backend.send(self.instance, request, 2000, permit)

    async def check_refusal_is_not_taken(self, call_id, status):
        """Sends while a refusal of another call is written."""
        self.assertEqual((await self.send()).body, b'true')
        self.server.extra = strayanswers.Answer(
            status, headers=(f'{results.NOT_RUN_HEADER}: 1',)
        )
        self.server.extra_call_id = call_id
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.send()
        self.assertEqual((await self.send()).body, b'true')

    async def test_a_refusal_of_another_call_is_not_taken(self):
        await self.serve(strayanswers.Answer(body=b'true'))
        for call_id in CALL_IDS:
            for status in (409, 503):
                with self.subTest(call_id, status=status):
                    await self.check_refusal_is_not_taken(call_id, status)

    async def test_the_body_of_another_call_is_not_taken(self):
        await self.serve(strayanswers.Answer(body=b'true'))
        for call_id in CALL_IDS:
            with self.subTest(call_id):
                await self.send()
                self.server.extra = strayanswers.Answer(body=b'stray')
                self.server.extra_call_id = call_id
                with self.assertRaises(errors.OutcomeUnknownError):
                    await self.send()

    async def test_call_ids_are_not_forwarded(self):
        await self.serve(strayanswers.Answer(body=b'true'))
        answer = await self.send()
        self.assertNotIn(results.CALL_ID_HEADER, dict(answer.headers))

    async def test_a_grant_is_not_accepted_by_the_reply_to_another(self):
        await self.serve(grant_answer(accepted=False))
        for call_id in CALL_IDS:
            with self.subTest(call_id):
                await self.backend.grant(self.instance, BATCH)
                self.server.extra = grant_answer(accepted=True)
                self.server.extra_call_id = call_id
                with self.assertRaises(errors.OutcomeUnknownError):
                    await self.backend.grant(self.instance, BATCH)
                reply = await self.backend.grant(self.instance, BATCH)
                self.assertFalse(reply.accepted)

    async def test_a_health_state_of_another_call_is_not_taken(self):
        await self.serve(strayanswers.Answer(body=b'{"state": "leaving"}'))
        for call_id in CALL_IDS:
            with self.subTest(call_id):
                await self.backend.health(self.instance)
                self.server.extra = strayanswers.Answer(body=b'{"state": "ok"}')
                self.server.extra_call_id = call_id
                with self.assertRaises(errors.UnreachableError):
                    await self.backend.health(self.instance)
                state = await self.backend.health(self.instance)
                self.assertIs(state, ports.HealthState.LEAVING)
