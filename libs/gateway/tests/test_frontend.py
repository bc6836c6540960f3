"""Tests of the request path from a caller's socket to an in-memory backend."""

import asyncio
import json
import random

from oriolefold_backend import memory
from oriolefold_core import clock, notices
from oriolefold_gateway import dispatcher, frontend
from oriolefold_routing import balance
from oriolefold_sending import messages as sending_messages
from oriolefold_sending import sender
from oriolefold_telemetry import metrics
from oriolefold_testbed import basecase

DISCONNECT_LIMIT_S = 0.5  # Time to cancel the request of a lost caller.
MAX_BODY_BYTES = 1000


class FrontendTest(basecase.AsyncCase):
    """Valid requests are answered; others get an error and are not sent."""

    async def asyncSetUp(self):
        time = clock.BootClock()
        self.backend = memory.MemoryBackend()
        recorder = metrics.Metrics()
        self.sender = sender.Sender(
            'r1-a',
            self.backend,
            balance.NearestFirst(random.Random(basecase.SEED)),
            time,
            recorder,
        )
        self.dispatcher = dispatcher.Dispatcher(
            'vm0',
            time,
            basecase.RecordingTask(),
            self.sender,
            basecase.RecordingTask(),
            recorder,
            random.Random(basecase.SEED),
            False,
        )
        await self.start(self.sender, self.dispatcher)
        register = basecase.make_register(keyed=False)
        notice = notices.ConfigurationUpdated(
            basecase.make_configuration(register)
        )
        self.sender.post(notice)
        self.dispatcher.post(notice)
        self.address = basecase.free_address()
        self.frontend = frontend.Frontend(
            self.address, self.dispatcher, MAX_BODY_BYTES
        )
        self.frontend.start(reuse_port=False)
        self.addAsyncCleanup(self.frontend.stop)

    def ran(self):
        states = self.backend.instances_by_id.values()
        return [name for state in states for name in state.ran]

    async def exchange(self, raw: bytes) -> tuple[int, dict, bytes]:
        """Sends bytes and returns status, headers and body of the answer."""
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        try:
            writer.write(raw)
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *lines = head.strip().split('\r\n')
            headers = dict(line.split(': ', 1) for line in lines)
            length = int(headers.get('Content-Length', '0'))
            body = await reader.readexactly(length)
            return int(first.split()[1]), headers, body
        finally:
            writer.close()

    async def get(self, target='/svc/a', headers=''):
        raw = f'GET {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n'
        return await self.exchange(raw.encode('latin-1'))

    async def test_answer_carries_outcome_and_request_id(self):
        status, headers, _ = await self.get(headers='X-Request-Id: abc\r\n')
        self.assertEqual(status, 200)
        self.assertEqual(headers['Oriolefold-Outcome'], 'answered')
        self.assertEqual(headers['X-Request-Id'], 'abc')
        self.assertEqual(self.ran(), ['abc'])

    async def test_answers_and_failures_return_the_call_id(self):
        for target in ('/svc/a', '/absent/a'):
            _, headers, _ = await self.get(target, 'Oriolefold-Call-Id: c1\r\n')
            self.assertEqual(headers['Oriolefold-Call-Id'], 'c1')
        _, headers, _ = await self.get()
        self.assertNotIn('Oriolefold-Call-Id', headers)

    async def test_invalid_requests_get_their_status_and_are_not_sent(self):
        body = 'x' * (MAX_BODY_BYTES + 1)
        long_body = f'Content-Length: {len(body)}\r\n'
        cases = [
            ('GET', '/other', '', '', 404, 'unknown-service'),
            ('GET', '/svc/a#b', '', '', 400, 'invalid-request'),
            ('BREW', '/svc/a', '', '', 400, 'invalid-request'),
            ('POST', '/svc/a', long_body, body, 413, 'body-too-large'),
            (
                'GET',
                '/svc/a',
                'Oriolefold-Deadline-Ms: soon\r\n',
                '',
                400,
                'invalid-request',
            ),
            (
                'GET',
                '/svc/a',
                'Oriolefold-Deadline-Ms: 0\r\n',
                '',
                504,
                'deadline-expired',
            ),
        ]
        for method, target, headers, body, expected, category in cases:
            with self.subTest(method=method, target=target, headers=headers):
                raw = f'{method} {target} HTTP/1.1\r\nHost: x\r\n{headers}\r\n'
                status, got, answer = await self.exchange((raw + body).encode())
                self.assertEqual(status, expected)
                self.assertEqual(got['Oriolefold-Outcome'], 'not-run')
                record = json.loads(answer)
                self.assertEqual(record['category'], category)
                self.assertEqual(record['request_id'], got['X-Request-Id'])
        self.assertEqual(self.ran(), [])
        self.assertEqual((await self.get())[0], 200)

    async def test_headers_over_the_limit_are_refused(self):
        self.frontend.set_limits(400, MAX_BODY_BYTES, 5.0)
        for body in ('', 'x' * 50):
            with self.subTest(body=body):
                raw = (
                    f'POST /svc/a HTTP/1.1\r\nHost: x\r\nX: {"y" * 400}\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n{body}'
                )
                status, headers, answer = await self.exchange(raw.encode())
                self.assertEqual(status, 431)
                self.assertEqual(headers['Connection'], 'close')
                record = json.loads(answer)
                self.assertEqual(record['category'], 'headers-too-large')
        self.assertEqual(self.ran(), [])
        status, _, _ = await self.get(headers=f'X: {"y" * 300}\r\n')
        self.assertEqual(status, 200)

    async def test_malformed_http_is_not_sent(self):
        cases = [
            b'GET /svc/a\r\n\r\n',
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
            b'Content-Length: 4\r\n\r\nabcd',
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n',
            b'GET /svc/a HTTP/1.1\r\nHost: x\r\nBad Header\r\n\r\n',
            b'GET /svc/a HTTP/1.1\r\nHost: x\r\nX: ' + b'y' * 70000 + b'\r\n',
        ]
        for raw in cases:
            with self.subTest(raw=raw[:60]):
                try:
                    status, _, _ = await self.exchange(raw)
                    self.assertEqual(status, 400)
                except (EOFError, OSError):
                    # Closing without an answer is a valid refusal, too.
                    pass
        self.assertEqual(self.ran(), [])
        self.assertEqual((await self.get())[0], 200)

    async def test_chunked_body_over_the_limit_is_refused(self):
        chunk = b'200\r\n' + b'x' * 512 + b'\r\n'
        raw = (
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n' + 2 * chunk + b'0\r\n\r\n'
        )
        status, headers, _ = await self.exchange(raw)
        self.assertEqual(status, 413)
        self.assertEqual(headers['Connection'], 'close')
        self.assertEqual(self.ran(), [])

    async def test_idempotent_requests_are_retried_on_another_instance(self):
        self.backend.instance('s0').up = False
        for _ in range(4):
            self.assertEqual((await self.get())[0], 200)

    async def test_requests_that_may_have_run_are_not_retried(self):
        for name in ('s0', 's1', 's2', 's3'):
            state = self.backend.instance(name)
            state.delay_s = 0.05
        raw = b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'
        sending = asyncio.create_task(self.exchange(raw))
        await self.wait_for(self.ran)
        for state in self.backend.instances_by_id.values():
            state.up = False
        status, headers, _ = await sending
        self.assertEqual(status, 502)
        self.assertEqual(headers['Oriolefold-Outcome'], 'unknown')
        self.assertEqual(len(self.ran()), 1)

    async def test_a_disconnected_caller_cancels_its_request(self):
        for name in ('s0', 's1', 's2', 's3'):
            self.backend.instance(name).delay_s = 30
        _, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        writer.write(b'GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n')
        await self.wait_for(lambda: self.frontend.in_flight)
        writer.close()
        # Well before the deadline, which would also end the request.
        async with asyncio.timeout(DISCONNECT_LIMIT_S):
            await self.wait_for(lambda: not self.frontend.in_flight)

    async def test_drain_waits_for_requests_in_progress(self):
        for name in ('s0', 's1', 's2', 's3'):
            self.backend.instance(name).delay_s = 0.1
        getting = asyncio.create_task(self.get())
        await self.wait_for(lambda: self.frontend.in_flight)
        await self.frontend.drain()
        status, headers, _ = await getting
        self.assertEqual((status, headers['Connection']), (200, 'close'))
        with self.assertRaises(OSError):
            await self.get()

    async def test_a_request_after_the_drain_is_refused_and_not_sent(self):
        reader, writer = await asyncio.open_connection(
            self.address.host, self.address.port
        )
        self.addCleanup(writer.close)
        writer.write(b'GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        ran = len(self.ran())
        await self.frontend.drain()
        writer.write(b'GET /svc/a HTTP/1.1\r\nHost: x\r\n\r\n')
        head = b''
        while b'503' not in head:
            head = await reader.readuntil(b'\r\n')
        self.assertEqual(len(self.ran()), ran)

    async def test_draining_dispatcher_refuses_as_not_run(self):
        self.drain(stop_in_s=0.0)
        status, headers, _ = await self.get()
        self.assertEqual(status, 503)
        self.assertEqual(headers['Oriolefold-Outcome'], 'not-run')
        self.assertEqual(headers['Retry-After'], '0')
        self.assertEqual(self.ran(), [])

    async def test_draining_dispatcher_accepts_what_ends_before_the_stop(self):
        self.drain(stop_in_s=1.0)
        cases = [('500', 200), ('5000', 503)]
        for deadline_ms, expected in cases:
            with self.subTest(deadline_ms=deadline_ms):
                status, _, _ = await self.get(
                    headers=f'Oriolefold-Deadline-Ms: {deadline_ms}\r\n'
                )
                self.assertEqual(status, expected)

    def drain(self, stop_in_s):
        now_s = clock.BootClock().now_s()
        self.dispatcher.post(sending_messages.Drain(now_s + stop_in_s))
