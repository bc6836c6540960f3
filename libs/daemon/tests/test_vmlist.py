"""Tests of oriolefold_daemon.vmlist."""

import json
from unittest import mock

from oriolefold_core import tasks
from oriolefold_daemon import vmlist
from oriolefold_ownership import messages
from oriolefold_testbed import basecase, strayanswers


class Recorder(tasks.Task):
    """Records messages.

    Attributes:
        messages: The messages so far.
    """

    def __init__(self):
        super().__init__('recorder')
        self.messages = []

    async def handle(self, message):
        """Records a message."""
        self.messages.append(message)


def vms(state: str) -> strayanswers.Answer:
    """Returns a list of one VM."""
    record = {'vms': [{'id': 'v1', 'state': state}]}
    return strayanswers.Answer(body=json.dumps(record).encode())


class StrayAnswerTest(basecase.AsyncCase):
    """Answers of other calls on a kept connection are not taken."""

    async def test_an_answer_to_another_call_is_not_published(self):
        address = basecase.free_address()
        server = strayanswers.StrayAnswerServer(vms('live'))
        await server.start(address)
        self.addCleanup(server.close)
        planner = Recorder()
        with mock.patch.object(vmlist, 'POLL_INTERVAL_S', 0.02):
            await self.start(planner, vmlist.VmListPoller(address, planner, []))
            for call_id in (None, strayanswers.OTHER_CALL_ID):
                polls = len(server.request_heads)
                await self.wait_for(
                    lambda polls=polls: len(server.request_heads) > polls + 1
                )
                server.extra_call_id = call_id
                server.extra = vms('leaving')
                await self.wait_for(lambda: server.extra is None)
                polls = len(server.request_heads)
                await self.wait_for(
                    lambda polls=polls: len(server.request_heads) > polls + 1
                )
        live = messages.VmListUpdated(frozenset({'v1'}), frozenset())
        self.assertEqual(planner.messages, [live])
