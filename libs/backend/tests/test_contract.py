"""Contract tests of the backend port, for the in-memory and HTTP adapters."""

import asyncio
import dataclasses

from oriolefold_backend import headers, http, memory, ports
from oriolefold_core import clock, errors
from oriolefold_testbed import basecase, servers

NO_EXPIRY_S = float('inf')


class ContractCase(basecase.AsyncCase):
    """Tests that every adapter must pass; subclasses provide the backend."""

    def permit(self, token=None, valid_until_s=NO_EXPIRY_S):
        fence = ports.Fence(3, token) if token is not None else None
        return ports.Permit(clock.BootClock(), valid_until_s, fence)

    def send(self, permit, **request):
        return self.backend.send(
            self.instance, basecase.make_request(**request), 2000, permit
        )

    async def grant(self, token, revoked=(), sender='p1'):
        """Grants shard 3 after fetching a nonce."""
        batch = ports.GrantBatch(sender, 'svc', '', 5000, ())
        reply = await self.backend.grant(self.instance, batch)
        fences = (ports.Fence(3, token),) if token is not None else ()
        batch = dataclasses.replace(
            batch, nonce=reply.next_nonce, fences=fences, revoked=revoked
        )
        return await self.backend.grant(self.instance, batch)

    async def test_first_batch_only_fetches_a_nonce(self):
        batch = ports.GrantBatch('p', 'svc', '', 5000, (ports.Fence(3, 8),))
        reply = await self.backend.grant(self.instance, batch)
        self.assertFalse(reply.accepted)
        with self.assertRaises(errors.StaleTokenError):
            await self.send(self.permit(8))

    async def test_nonce_is_valid_once(self):
        first = ports.GrantBatch('p', 'svc', '', 5000, ())
        nonce = (await self.backend.grant(self.instance, first)).next_nonce
        batch = ports.GrantBatch('p', 'svc', nonce, 5000, (ports.Fence(3, 8),))
        again = await self.backend.grant(self.instance, batch)
        self.assertTrue(again.accepted)
        again = await self.backend.grant(self.instance, batch)
        self.assertFalse(again.accepted)

    async def test_token_cases(self):
        reply = await self.grant(8)
        self.assertEqual((reply.accepted, reply.refused), (True, ()))
        answer = await self.send(self.permit(8))
        self.assertEqual(answer.status, 200)
        for token in (7, 9):
            with self.subTest(token=token):
                with self.assertRaises(errors.StaleTokenError):
                    await self.send(self.permit(token))

    async def test_lower_token_is_refused_with_the_higher_one(self):
        await self.grant(8)
        reply = await self.grant(7, sender='p2')
        self.assertEqual(reply.refused, (ports.Fence(3, 8),))
        self.assertEqual((await self.send(self.permit(8))).status, 200)

    async def test_revoked_grant_ends_at_once(self):
        await self.grant(8)
        await self.grant(None, revoked=(ports.Fence(3, 8),))
        with self.assertRaises(errors.StaleTokenError):
            await self.send(self.permit(8))

    async def test_nothing_is_sent_after_the_permit_expires(self):
        await self.grant(8)
        with self.assertRaises(errors.NoOwnerError):
            await self.send(self.permit(8, valid_until_s=0.0))
        self.assertEqual(self.ran(), [])

    async def test_health(self):
        state = await self.backend.health(self.instance)
        self.assertIs(state, ports.HealthState.OK)


class MemoryBackendTest(ContractCase):
    """Runs the contract with the in-memory backend."""

    async def asyncSetUp(self):
        self.backend = memory.MemoryBackend()
        register = basecase.make_register()
        service = register.services_by_id['svc']
        self.instance = service.instances_by_id['s0']

    def ran(self):
        return self.backend.instance('s0').ran


class HttpBackendTest(ContractCase):
    """Runs the contract and HTTP cases against the testbed server."""

    async def asyncSetUp(self):
        self.backend = http.HttpBackend()
        self.addAsyncCleanup(self.backend.close)
        await self.serve()

    async def serve(self, **changes):
        register = basecase.make_register()
        service = register.services_by_id['svc']
        self.instance = dataclasses.replace(
            service.instances_by_id['s0'], **changes
        )
        self.server = servers.ServerStandIn(self.instance, True)
        self.server.listen()
        self.addAsyncCleanup(self.server.stop)

    def ran(self):
        return [entry['request'] for entry in self.server.journal]

    async def test_lost_connection_is_unknown_and_runs_once(self):
        await self.serve(checks_tokens=False)
        # Leaves a kept-alive connection, on which curl would retry by itself.
        await self.send(self.permit(), method='POST', body=b'x')
        self.server.behaviour.die_after_run = 1
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.send(
                self.permit(), method='POST', body=b'x', request_id='order'
            )
        self.assertEqual(self.ran().count('order'), 1)

    async def test_unreachable_server_has_not_run_the_request(self):
        await self.server.stop()
        absent = dataclasses.replace(
            self.instance, address=basecase.free_address()
        )
        with self.assertRaises(errors.UnreachableError):
            await self.backend.send(
                absent, basecase.make_request(), 500, self.permit()
            )

    async def test_rejected_requests_are_not_run(self):
        await self.serve(checks_tokens=False)
        for change in ({'leaving': True}, {'queue_limit': 0}):
            with self.subTest(change=change):
                for name, value in change.items():
                    setattr(self.server.behaviour, name, value)
                with self.assertRaises(errors.OverloadedError):
                    await self.send(self.permit())
                self.server.behaviour = servers.Behaviour()
        self.assertEqual(self.ran(), [])

    async def test_cancelling_a_call_cancels_it_at_the_server(self):
        await self.serve(checks_tokens=False)
        self.server.behaviour.service_ms = 3000
        sending = asyncio.create_task(self.send(self.permit()))
        await self.wait_for(lambda: self.server.in_flight)
        sending.cancel()
        await self.wait_for(lambda: not self.server.in_flight)
        self.assertEqual(self.ran(), [])

    async def test_path_is_sent_unchanged(self):
        await self.serve(checks_tokens=False)
        await self.send(self.permit(), key='../a/./b%2F')
        self.assertEqual(self.server.journal[0]['target'], '/svc/../a/./b%2F')


class HeadersTest(basecase.BaseCase):
    """Hop-by-hop and reserved headers are not forwarded."""

    def test_forwarded(self):
        pairs = [
            ('Accept', 'a'),
            ('Connection', 'close, X-Private'),
            ('X-Private', '1'),
            ('Transfer-Encoding', 'chunked'),
            ('Oriolefold-Token', '99'),
            ('Set-Cookie', 'a'),
            ('Set-Cookie', 'b'),
        ]
        self.assertEqual(
            headers.forwarded(pairs),
            (('Accept', 'a'), ('Set-Cookie', 'a'), ('Set-Cookie', 'b')),
        )


# Keeps the test runner from collecting the base class, which has no backend.
del ContractCase
