"""Tests of oriolefold_direct.status."""

import asyncio

import fakes

from oriolefold_core import clock, errors
from oriolefold_direct import changefeed, peering, status
from oriolefold_telemetry import counters
from oriolefold_testbed import basecase


class StatusServerTest(basecase.AsyncCase):
    """Peers get an answer to each request."""

    async def asyncSetUp(self):
        address = basecase.free_address()
        self.address = str(address)
        self.feed = changefeed.ChangeFeed(clock.BootClock())
        self.coordinators = basecase.RecordingTask()
        server = status.StatusServer(
            address,
            '/ready',
            '/metrics',
            lambda: True,
            counters.Counters(),
            self.coordinators,
            self.feed,
        )
        server.start()
        self.addAsyncCleanup(server.stop)
        self.peers = peering.HttpPeers()
        self.addCleanup(self.peers.close)

    async def test_poll_that_fails_unexpectedly_is_answered(self):
        async def fail(*_):
            raise ValueError('unexpected')

        self.feed.changes = fail
        with self.assertLogs('oriolefold_direct.status', 'ERROR'):
            async with asyncio.timeout(1):
                with self.assertRaises(errors.ProtocolError):
                    await self.peers.changes(self.address, fakes.follower(), {})
