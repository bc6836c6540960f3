"""Tests of oriolefold_direct.peering against a scripted peer."""

import asyncio
import json
import tracemalloc
import zlib
from unittest import mock

import fakes

from oriolefold_core import errors, results
from oriolefold_direct import messages, peering
from oriolefold_testbed import basecase

REPLY = b'{"told_at_s":1.0,"relay_address":"10.0.0.7:80"}'


class _PeerCase(basecase.AsyncCase):
    """Base class of tests with a peer that replies as scripted."""

    async def connect(self, body: bytes, status='200 OK'):
        """Returns the client and the address of a peer that has one reply."""
        address = basecase.free_address()

        async def reply(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
            writer.write(head.encode() + body)
            await reader.read()
            writer.close()

        listening = await asyncio.start_server(
            reply, address.host, address.port
        )
        self.addCleanup(listening.close)
        peers = peering.HttpPeers()
        self.addCleanup(peers.close)
        return peers, str(address)


class EndTermsTest(_PeerCase):
    """A peer of another version proves nothing."""

    async def test_a_reply_of_another_version_is_no_statement(self):
        for body, status in (
            (b'', '404 Not Found'),
            (b'{}', '200 OK'),
            (
                b'{"vm_id":"v","incarnation":"p","version":7,"more":1}',
                '200 OK',
            ),
        ):
            with self.subTest(body=body, status=status):
                peers, address = await self.connect(body, status)
                with self.assertRaises(errors.OriolefoldError):
                    await peers.end_terms(address, 'svc', 7)


class ExtraReplyTest(basecase.AsyncCase):
    """A reply is taken only for the call that it answers."""

    async def test_a_repeated_statement_is_none_about_another_service(self):
        earlier = b''

        async def reply(reader, writer):
            nonlocal earlier
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                lines = dict(
                    line.split(': ', 1)
                    for line in head.split('\r\n')
                    if ': ' in line
                )
                body = await reader.readexactly(int(lines['Content-Length']))
                asked = json.loads(body)
                text = json.dumps(
                    {'vm_id': 'v', 'incarnation': 'p'}
                    | {'version': asked['version']}
                )
                call_id = lines[results.CALL_ID_HEADER]
                if earlier:
                    writer.write(earlier)
                    await asyncio.sleep(0.05)
                earlier = (
                    f'HTTP/1.1 200 OK\r\n{results.CALL_ID_HEADER}: {call_id}'
                    f'\r\nContent-Length: {len(text)}\r\n\r\n{text}'
                ).encode()
                writer.write(earlier)

        address = basecase.free_address()
        listening = await asyncio.start_server(
            reply, address.host, address.port
        )
        self.addCleanup(listening.close)
        peers = peering.HttpPeers()
        self.addCleanup(peers.close)
        await peers.end_terms(str(address), 'svc', 9)
        statement = await peers.end_terms(str(address), 'other', 7)
        self.assertEqual(statement.version, 7)


class LoadReplyTest(_PeerCase):
    """Replies of leaders of this and the previous version are read."""

    async def test_a_leader_of_the_previous_version_replies_with_shares(self):
        for body, shares_by_id in (
            (b'{}', {}),
            (b'{"i1":0.5,"i2":1.0}', {'i1': 0.5, 'i2': 1.0}),
            (b'{"shares_by_id":0.5}', {'shares_by_id': 0.5}),
        ):
            with self.subTest(body=body):
                peers, address = await self.connect(body)
                reply = await peers.report(address, fakes.load_report())
                self.assertEqual(reply, messages.LoadReply(shares_by_id))

    async def test_an_invalid_reply_is_an_error(self):
        for body in (
            b'{"i1":"x"}',
            b'{"shares_by_id":{},"granted":[[1,2]]}',
            b'{"shares_by_id":{},"more":1}',
        ):
            with self.subTest(body=body):
                peers, address = await self.connect(body)
                with self.assertRaises(errors.ProtocolError):
                    await peers.report(address, fakes.load_report())

    async def test_permits_are_read_with_and_without_granted_ranges(self):
        granted = messages.GrantedRanges('svc', 3, frozenset({(0, 9, 4)}))
        for reply in (
            messages.LoadReply({'i': 0.5}, None, {'a': 2}),
            messages.LoadReply({}, granted, {'a': 2}),
            messages.LoadReply(
                {}, short_queues=True, admitted_by_id={'i': 0.4}
            ),
        ):
            peers, address = await self.connect(
                peering.encode_load_reply(reply)
            )
            self.assertEqual(
                await peers.report(address, fakes.load_report()), reply
            )
            peers.close()

    async def test_without_cold_instances_nothing_has_new_fields(self):
        """Guards against fields that VMs of earlier versions reject."""
        granted = messages.GrantedRanges('svc', 3, frozenset({(0, 9, 4)}))
        self.assertEqual(
            peering.encode_load_reply(messages.LoadReply({'i': 0.5}, granted)),
            b'{"shares_by_id":{"i":0.5},"map_version":3,"granted":[[0,9,4]]}',
        )
        peers, _ = await self.connect(b'{}')
        call = mock.AsyncMock(return_value=b'{}')
        with mock.patch.object(peers, '_call', call):
            await peers.report('h:1', fakes.load_report())
            for name in (b'cold_ids', b'needs_short_queues'):
                self.assertNotIn(name, call.call_args.args[2])
            load = messages.ObservedLoad(
                (), {}, cold_ids=('a',), needs_short_queues=True
            )
            await peers.report('h:1', messages.LoadReport('v', 's', load))
        body = call.call_args.args[2]
        self.assertEqual(peering.decode_report(body).load, load)

    async def test_admissions_are_for_vms_that_ask_for_them(self):
        """Guards against fields that VMs of earlier versions reject."""
        body = b'{"vm_id":"v","service_id":"s","keys":[]}'
        for query, expected in (
            (peering.GRANTED_QUERY, False),
            (peering.ADMISSIONS_QUERY, True),
            ('', False),
        ):
            report = peering.decode_report(body, query)
            self.assertIs(report.reads_admissions, expected)

    async def test_odd_permits_are_errors(self):
        for odd in (b'-1', b'1.5', b'1e9', b'"1"'):
            peers, address = await self.connect(
                b'{"shares_by_id":{},"permits_by_id":{"a":%s}}' % odd
            )
            with self.assertRaises(errors.ProtocolError):
                await peers.report(address, fakes.load_report())
            peers.close()


DEEP = b'[' * 100_000 + b']' * 100_000
HUGE = b'9' * 400


class OddValuesTest(_PeerCase):
    """Values that no peer sends are errors of the protocol."""

    async def test_reports_out_of_range_are_rejected(self):
        for keys, times_by_id in (
            (b'[]', DEEP),
            (DEEP, b'{}'),
            (b'[-1]', b'{}'),
            (b'[65536]', b'{}'),
            (b'[%s]' % HUGE, b'{}'),
            (b'[]', b'{"i":NaN}'),
            (b'[]', b'{"i":1e400}'),
            (b'[]', b'{"i":1e308}'),
            (b'[]', b'{"i":%s}' % HUGE),
            (b'[]', b'{"i":0}'),
            (b'[]', b'{"i":-0.1}'),
            (b'[]', b'{"\\ud800":1}'),
        ):
            body = (
                b'{"vm_id":"v","service_id":"s","keys":%s,"times_by_id":%s}'
                % (keys, times_by_id)
            )
            with self.subTest(keys=keys[:20], times_by_id=times_by_id[:20]):
                with self.assertRaises(errors.ProtocolError):
                    peering.decode_report(body)

    async def test_leaving_instances_are_reported(self):
        peers, address = await self.connect(b'{}')
        load = messages.ObservedLoad((7,), {}, {'i': 5})
        call = mock.AsyncMock(return_value=b'{}')
        with mock.patch.object(peers, '_call', call):
            await peers.report(address, messages.LoadReport('v', 's', load))
        body = call.call_args.args[2]
        self.assertEqual(peering.decode_report(body).load, load)

    async def test_polls_and_ends_of_terms_out_of_range_are_rejected(self):
        poll = (
            b'{"asker":{"address":"a","region_id":"r","link_mbps":1},'
            b'"revisions":{"k/":%s}}'
        )
        peering.decode_poll(poll % b'7')
        peering.decode_end_terms(b'{"service_id":"s","version":7}')
        for odd in (DEEP, HUGE, b'-1', b'NaN', b'1.5'):
            with self.subTest(odd[:20]):
                with self.assertRaises(errors.ProtocolError):
                    peering.decode_poll(poll % odd)
                with self.assertRaises(errors.ProtocolError):
                    peering.decode_end_terms(
                        b'{"service_id":"s","version":%s}' % odd
                    )

    async def test_load_replies_out_of_range_are_rejected(self):
        for body in (
            DEEP,
            b'{"i1":%s}' % DEEP,
            b'{"i1":1e308}',
            b'{"i1":-0.1}',
            b'{"shares_by_id":{},"map_version":%s}' % HUGE,
            b'{"shares_by_id":{},"granted":[[0,65536,1]]}',
            b'{"shares_by_id":{},"granted":[[0,1,%s]]}' % HUGE,
        ):
            with self.subTest(body=body[:50]):
                peers, address = await self.connect(body)
                with self.assertRaises(errors.ProtocolError):
                    await peers.report(address, fakes.load_report())
                peers.close()

    async def test_texts_that_are_no_address_are_not_called(self):
        peers = peering.HttpPeers()
        self.addCleanup(peers.close)
        for address in ('', 'h', 'h:', ':80', 'h:x', 'h:\u0668\u0660', 'h:-1'):
            with self.subTest(address):
                with self.assertRaises(errors.ProtocolError):
                    await peers.report(address, fakes.load_report())

    async def test_unreadable_object_in_a_feed_costs_only_itself(self):
        good = b'["k/a",5,{"x":1}]'
        for odd in (
            b'["k/m",6,%s]' % DEEP,
            b'["k/m",6,"\\ud800"]',
            b'["k/m",6,NaN]',
            b'["k/m",%s,1]' % HUGE,
            b'["k/m",-1,1]',
            b'["\\ud800",6,1]',
            b'["k/m"]',
            b'7',
            b'NaN',
            DEEP,
        ):
            body = (
                b'{"changes":{"k/":{"revision":7,"objects":[%s,%s,%s]}},'
                b'"told_at_s":1.0}' % (good, odd, good.replace(b'a', b'z'))
            )
            for sent in (body, zlib.compress(body)):
                with self.subTest(odd[:30]):
                    peers, address = await self.connect(sent)
                    reply = await peers.changes(
                        address, fakes.follower(), {'k/': 5}
                    )
                    peers.close()
                    changes = reply.changes_by_prefix['k/']
                    content_by_name = {
                        o.name: o.content for o in changes.objects
                    }
                    self.assertEqual(changes.revision, 7)
                    self.assertEqual(
                        content_by_name.pop('k/m', b'null'), b'null'
                    )
                    self.assertEqual(
                        content_by_name,
                        dict.fromkeys(('k/a', 'k/z'), b'{"x":1}'),
                    )


class CompressedReplyTest(_PeerCase):
    """A compressed reply is bounded by its size after decompression."""

    async def poll(self, body: bytes):
        """Polls a peer that replies with a body."""
        peers, address = await self.connect(body)
        return await peers.changes(address, fakes.follower(), {})

    async def test_a_compressed_reply_is_read(self):
        for body in (REPLY, zlib.compress(REPLY)):
            reply = await self.poll(body)
            self.assertEqual(reply.relay_address, '10.0.0.7:80')

    async def test_a_small_reply_that_decompresses_without_end_is_bounded(self):
        compressor = zlib.compressobj(9)
        parts = [compressor.compress(b' ' * 1_000_000) for _ in range(500)]
        bomb = b''.join(parts) + compressor.flush()
        self.assertLess(len(bomb), 1_000_000)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(errors.ProtocolError):
            await self.poll(bomb)
        _, peak_bytes = tracemalloc.get_traced_memory()
        self.assertLess(peak_bytes, 4 * peering.MAX_ANSWER_BYTES)

    async def test_a_truncated_reply_is_rejected(self):
        with self.assertRaises(errors.ProtocolError):
            await self.poll(zlib.compress(REPLY)[:-5])
