"""Tests of requests that a caller sends before earlier ones are answered."""

import asyncio
import re

import test_connections

from oriolefold_core import data, results
from oriolefold_gateway import responsequeue

HOLD_S = 0.1
IDLE_TIMEOUT_S = 0.2
ENDLESS_BYTES = 20_000_000
BIG_BODY = b'y' * 300_000
_STATUS = re.compile(rb'HTTP/1\.1 (\d{3}) ')


def get(request_id: str, headers: str = '') -> bytes:
    return (
        f'GET /svc/a HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n'
        f'{headers}\r\n'
    ).encode()


def post(request_id: str, body: bytes = b'abc', headers: str = '') -> bytes:
    head = (
        f'POST /svc/a HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n'
        f'Content-Length: {len(body)}\r\n{headers}\r\n'
    )
    return head.encode() + body


def statuses(received: bytes) -> list[int]:
    return [int(status) for status in _STATUS.findall(received)]


class PipelineCase(test_connections.ConnectionCase):
    """A front end whose dispatcher answers when the test says so."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.dispatcher.answer = None
        self.caller = self.connect()

    def dispatched_ids(self) -> list[str]:
        return [d.request_id for d in self.dispatcher.dispatches]

    async def wait_dispatched(self, *request_ids: str) -> None:
        await self.wait_for(lambda: self.dispatched_ids() == list(request_ids))

    def answer(self, request_id: str, body: bytes = b'') -> None:
        (dispatch,) = (
            d for d in self.dispatcher.dispatches if d.request_id == request_id
        )
        dispatch.answer(data.Answer(200, (), body or request_id.encode(), 's0'))

    async def read_responses(self, count: int) -> bytes:
        """Reads until so many responses have begun and nothing follows."""
        received = b''
        async with asyncio.timeout(test_connections.ANSWER_LIMIT_S):
            while len(statuses(received)) < count:
                received += await self.caller.read_some()
        return received

    def ids_in(self, received: bytes) -> list[str]:
        header = results.REQUEST_ID_HEADER.encode()
        return [
            found.decode()
            for found in re.findall(header + rb': (\S+)', received)
        ]


class OrderTest(PipelineCase):
    """Responses come in the order of the requests."""

    async def test_safe_requests_are_in_progress_together(self):
        self.caller.send(get('a') + get('b') + get('c'))
        await self.wait_dispatched('a', 'b', 'c')

    async def test_a_response_waits_for_those_before_it(self):
        self.caller.send(get('a') + get('b'))
        await self.wait_dispatched('a', 'b')
        self.answer('b')
        await asyncio.sleep(HOLD_S)
        self.answer('a')
        received = await self.read_responses(2)
        self.assertEqual(self.ids_in(received), ['a', 'b'])
        self.assertEqual(statuses(received), [200, 200])
        await self.wait_for(lambda: not self.frontend.in_flight)

    async def test_requests_with_other_methods_wait_for_their_turn(self):
        self.caller.send(get('a') + post('b') + get('c'))
        await self.wait_dispatched('a')
        await asyncio.sleep(HOLD_S)
        self.assertEqual(self.dispatched_ids(), ['a'])
        self.answer('a')
        await self.wait_dispatched('a', 'b')
        await asyncio.sleep(HOLD_S)
        self.assertEqual(self.dispatched_ids(), ['a', 'b'])
        self.answer('b')
        await self.wait_dispatched('a', 'b', 'c')
        self.answer('c')
        received = await self.read_responses(3)
        self.assertEqual(self.ids_in(received), ['a', 'b', 'c'])

    async def test_the_time_in_the_row_counts_against_the_deadline(self):
        self.caller.send(get('a') + post('b'))
        await self.wait_dispatched('a')
        await asyncio.sleep(HOLD_S)
        self.answer('a')
        await self.wait_dispatched('a', 'b')
        self.assertGreaterEqual(
            self.dispatcher.dispatches[1].held_s, HOLD_S * 0.9
        )
        self.assertLess(self.dispatcher.dispatches[0].held_s, HOLD_S / 2)

    async def test_a_caller_has_a_bounded_number_in_progress(self):
        limit = responsequeue.MAX_REQUESTS
        names = [f'r{number}' for number in range(3 * limit)]
        self.caller.send(b''.join(get(name) for name in names))
        await self.wait_dispatched(*names[:limit])
        await asyncio.sleep(HOLD_S)
        self.assertEqual(len(self.dispatcher.dispatches), limit)
        received = b''
        for name in names:
            await self.wait_for(lambda n=name: n in self.dispatched_ids())
            self.answer(name)
        while len(statuses(received)) < len(names):
            received += await self.caller.read_some()
        self.assertEqual(self.ids_in(received), names)

    async def test_a_caller_that_takes_no_response_gets_no_more_requests_read(
        self,
    ):
        self.caller = self.connect(receive_bytes=4096)
        names = [f'r{number}' for number in range(60)]
        self.caller.send(b''.join(get(name) for name in names))
        self.dispatcher.answer = data.Answer(200, (), BIG_BODY, 's0')
        await asyncio.sleep(3 * HOLD_S)
        taken = len(self.dispatcher.dispatches)
        await asyncio.sleep(HOLD_S)
        self.assertEqual(len(self.dispatcher.dispatches), taken)
        self.assertLess(taken, len(names))
        received = 0
        async with asyncio.timeout(test_connections.ANSWER_LIMIT_S):
            while received < len(names) * len(BIG_BODY):
                received += len(await self.caller.read_some())

    async def test_an_interim_response_waits_for_its_turn(self):
        head = post('b', b'', 'Expect: 100-continue\r\n').replace(
            b'Content-Length: 0', b'Content-Length: 3'
        )
        self.caller.send(get('a') + head)
        await self.wait_dispatched('a')
        await asyncio.sleep(HOLD_S)
        self.answer('a')
        received = await self.read_responses(2)
        self.assertEqual(statuses(received), [200, 100])
        self.caller.send(b'abc')
        await self.wait_dispatched('a', 'b')
        self.answer('b')
        self.assertEqual(statuses(await self.read_responses(1)), [200])

    async def test_the_idle_timeout_counts_from_the_last_response(self):
        self.frontend.set_limits(65536, 1000, IDLE_TIMEOUT_S)
        self.caller.send(get('a') + get('b'))
        await self.wait_dispatched('a', 'b')
        await asyncio.sleep(2 * IDLE_TIMEOUT_S)
        self.answer('a')
        await asyncio.sleep(2 * IDLE_TIMEOUT_S)
        self.answer('b')
        received = await self.caller.read_to_end()
        self.assertEqual(self.ids_in(received), ['a', 'b'])


class EndTest(PipelineCase):
    """No request that was passed on is lost when a connection ends."""

    async def test_requests_behind_a_closing_request_are_not_run(self):
        closing = get('a', 'Connection: close\r\n')
        self.caller.send(closing + get('b'))
        await self.wait_dispatched('a')
        await asyncio.sleep(HOLD_S)
        self.answer('a')
        received = await self.caller.read_to_end()
        self.assertEqual(self.ids_in(received), ['a'])
        self.assertIn(b'Connection: close', received)
        self.assertEqual(self.dispatched_ids(), ['a'])

    async def test_a_drain_ends_no_connection_before_requests_passed_on(self):
        self.caller.send(get('a') + get('b'))
        await self.wait_dispatched('a', 'b')
        draining = asyncio.create_task(self.frontend.drain())
        self.caller.send(get('c'))
        await asyncio.sleep(HOLD_S)
        self.answer('a')
        await asyncio.sleep(HOLD_S)
        self.assertFalse(draining.done())
        self.answer('b')
        received = await self.caller.read_to_end()
        self.assertEqual(self.ids_in(received), ['a', 'b'])
        self.assertEqual(received.count(b'Connection: close'), 1)
        self.assertEqual(self.dispatched_ids(), ['a', 'b'])
        self.caller.close()
        await asyncio.wait_for(draining, test_connections.ANSWER_LIMIT_S)
        (cut,) = self.cuts()
        self.assertEqual((cut['request'], cut['stage']), ('c', 'crossed'))

    async def test_a_request_held_by_a_drain_is_served_on_an_open_connection(
        self,
    ):
        self.caller.send(get('a') + post('b'))
        await self.wait_dispatched('a')
        self.answer('a')
        await self.wait_dispatched('a', 'b')
        self.frontend.draining = True
        self.answer('b')
        received = await self.caller.read_to_end()
        self.assertEqual(statuses(received), [200, 200])

    async def test_a_stop_answers_all_requests_in_progress(self):
        self.caller.send(get('a') + get('b') + post('c'))
        await self.wait_dispatched('a', 'b')
        await asyncio.sleep(HOLD_S)
        stopping = asyncio.create_task(self.frontend.stop())
        received = await self.caller.read_to_end()
        self.caller.close()
        await stopping
        # What is behind the end of the connection counts as not read.
        self.assertEqual(statuses(received), [502, 502])
        self.assertEqual(self.ids_in(received), ['a', 'b'])
        self.assertEqual(received.count(b'Connection: close'), 1)
        self.assertEqual(self.dispatched_ids(), ['a', 'b'])

    async def test_a_caller_that_leaves_cancels_all_its_requests(self):
        self.caller.send(get('a') + get('b') + post('c'))
        await self.wait_dispatched('a', 'b')
        self.caller.close()
        for dispatch in self.dispatcher.dispatches:
            await self.wait_for(dispatch.reply.cancelled)
        await self.wait_for(lambda: not self.frontend.connection_count)
        self.assertEqual(self.frontend.in_flight, 0)
        self.assertEqual(self.dispatched_ids(), ['a', 'b'])


class BadInputTest(PipelineCase):
    """Bad input harms no earlier request and nothing after it is guessed."""

    async def test_a_malformed_request_is_answered_in_its_place(self):
        for bad in (
            b'nonsense\r\n\r\n',
            b'GET /svc/a HTTP/1.1\r\nno colon\r\n\r\n',
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            b'POST /svc/a HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 4\r\n\r\n',
        ):
            with self.subTest(bad=bad):
                self.dispatcher.dispatches.clear()
                self.caller = self.connect()
                self.caller.send(get('a') + bad + get('b'))
                await self.wait_dispatched('a')
                await asyncio.sleep(HOLD_S)
                self.answer('a')
                received = await self.caller.read_to_end()
                self.assertEqual(statuses(received), [200, 400])
                self.assertEqual(self.dispatched_ids(), ['a'])

    async def test_a_body_over_the_limit_is_refused_in_its_place(self):
        self.caller.send(get('a') + post('b', b'x' * 2000) + get('c'))
        await self.wait_dispatched('a')
        await asyncio.sleep(HOLD_S)
        self.answer('a')
        received = await self.caller.read_to_end()
        self.assertEqual(statuses(received), [200, 413])
        self.assertEqual(self.dispatched_ids(), ['a'])

    async def test_a_request_inside_a_body_is_no_request(self):
        self.caller.send(get('a') + post('b', get('smuggled')) + get('c'))
        for name in 'abc':
            await self.wait_for(lambda n=name: n in self.dispatched_ids())
            self.answer(name)
        received = await self.read_responses(3)
        self.assertEqual(self.ids_in(received), ['a', 'b', 'c'])
        self.assertEqual(self.dispatched_ids(), ['a', 'b', 'c'])

    async def test_a_head_without_end_costs_no_earlier_response(self):
        self.caller.send(get('a'))
        await self.wait_dispatched('a')
        sending = asyncio.create_task(self.send_endless())
        await asyncio.sleep(3 * HOLD_S)
        # The kernel holds the rest: this VM reads no more of it.
        self.assertFalse(sending.done())
        self.answer('a')
        received = await self.read_responses(1)
        self.assertEqual(self.ids_in(received), ['a'])
        await self.wait_for(lambda: not self.frontend.connection_count)
        await asyncio.gather(sending, return_exceptions=True)

    async def send_endless(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(self.caller.socket, b'x' * ENDLESS_BYTES)

    async def test_a_head_cut_in_two_is_one_request(self):
        whole = get('b')
        for at in (1, 20, len(whole) - 1):
            with self.subTest(at=at):
                self.dispatcher.dispatches.clear()
                self.caller = self.connect()
                self.caller.send(get('a') + whole[:at])
                await self.wait_dispatched('a')
                self.answer('a')
                self.assertEqual(statuses(await self.read_responses(1)), [200])
                self.caller.send(whole[at:])
                await self.wait_dispatched('a', 'b')
                self.answer('b')
                self.assertEqual(statuses(await self.read_responses(1)), [200])
