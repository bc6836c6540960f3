"""Tests that the limits of a policy reach the front end."""

import fakes

from oriolefold_core import data
from oriolefold_direct import application
from oriolefold_gateway import frontend
from oriolefold_testbed import basecase


class LimitsTest(basecase.AsyncCase):
    """Each limit of a policy is applied."""

    async def test_the_timeouts_of_a_policy_are_kept_apart(self):
        server = frontend.Frontend(
            data.Address('127.0.0.1', 0), basecase.RecordingTask(), 1
        )
        message = fakes.policy_updated()
        await application._Limits(server).handle(message)
        limits = message.policy.limits
        self.assertEqual(server.header_timeout_s, limits.header_timeout_s)
        self.assertGreaterEqual(server.idle_timeout_s, limits.idle_timeout_s)
        self.assertEqual(server.max_header_bytes, limits.header_bytes)
        self.assertEqual(server.max_body_bytes, limits.body_bytes)
