"""Stops of all daemons in turn while callers keep their connections."""

import asyncio
import json
import pathlib
import random
import signal
import tempfile
from collections.abc import Iterable

from oriolefold_core import results
from oriolefold_daemon import application
from oriolefold_gateway import exchange
from oriolefold_testbed import (
    basecase,
    histories,
    keptconnections,
    scenarios,
    servers,
)

STOP_LIMIT_S = 3.0
# For the last steps after the hand-over, and for the others on the machine.
STOP_MARGIN_S = application.HAND_OVER_LIMIT_S + 1.5
BETWEEN_STOPS_S = 0.5
KEYS = [f'key{i}' for i in range(24)]
# Without and with rests, prompt and slow readers.
HABITS = [
    keptconnections.Habits(rests, reads_slowly)
    for rests in (False, True)
    for reads_slowly in (False, True)
]
CALLERS_PER_HABIT = 12
MIN_WHILE_STOPPING = 10  # Requests sent; a run has several times as many.


class RollingStopTest(basecase.AsyncCase):
    """A daemon that is stopped answers each request that it has read."""

    async def asyncSetUp(self):
        # The debug mode multiplies the processor time of the callers.
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.deployment = scenarios.make_deployment(
            self.folder, STOP_LIMIT_S, vm_count=3, instance_count=2, shards=16
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        vms_by_id = self.deployment.configuration.register.vms_by_id
        self.vm_ids = list(vms_by_id)
        self.callers = [
            keptconnections.Caller(
                f'caller{i}',
                list(vms_by_id.values()),
                KEYS,
                HABITS[i % len(HABITS)],
                random.Random(self.random.random()),
            )
            for i in range(CALLERS_PER_HABIT * len(HABITS))
        ]
        self.stops_by_vm_id = {}

    async def stop_in_turn(self):
        """Stops and restarts each daemon."""
        for vm_id in self.vm_ids:
            await asyncio.sleep(BETWEEN_STOPS_S)
            process = self.deployment.processes_by_name[vm_id]
            begun_s = servers.now_s()
            self.deployment.send_signal(vm_id, signal.SIGTERM)
            async with asyncio.timeout(STOP_LIMIT_S + STOP_MARGIN_S):
                code = await process.wait()
            self.assertEqual(code, 0)
            self.stops_by_vm_id[vm_id] = (begun_s, servers.now_s())
            await self.deployment.start_daemon(vm_id)
            await self.deployment.wait_ready()

    def logged(self, name):
        """Returns the lines of one name in the logs of all daemons."""
        lines = []
        for vm_id in self.vm_ids:
            log = (self.folder / f'{vm_id}.jsonl').read_text('utf-8')
            lines += [json.loads(line) for line in log.splitlines()]
        return [line for line in lines if line.get('message_type') == name]

    def violations(
        self,
        sent: Iterable[keptconnections.Sent],
        history: Iterable[histories.Execution],
    ) -> list[str]:
        """Returns which requests were lost or have damaged answers."""
        run_ids = {execution.request_id for execution in history}
        read_ids = run_ids | {
            cut['request']
            for cut in self.logged('request.cut')
            if cut['stage'] != exchange.CROSSED
        }
        found = []
        for request in sent:
            if request.damage:
                found.append(f'damaged: {request}')
            elif request.is_cut and (
                not request.crossed_close or request.request_id in read_ids
            ):
                found.append(f'lost: {request}')
            elif (
                request.outcome == results.Outcome.UNKNOWN.value
                and not request.is_late
            ):
                found.append(f'ended by a stop: {request}')
        return found

    def sent_while_stopping(self, sent):
        return [
            request
            for request in sent
            if self.stops_by_vm_id[request.vm_id][0]
            < request.sent_s
            < self.stops_by_vm_id[request.vm_id][1]
        ]

    async def test_stops_in_turn_lose_no_request_that_was_read(self):
        calling = [asyncio.create_task(c.run()) for c in self.callers]
        try:
            await self.stop_in_turn()
            await asyncio.sleep(BETWEEN_STOPS_S)
        finally:
            for caller in self.callers:
                caller.stop()
            await asyncio.gather(*calling)
        sent = [request for c in self.callers for request in c.sent]
        history = histories.read_journals(self.folder)
        self.assertEqual(self.violations(sent, history), [])
        found = histories.check_all(history, sent)
        self.assertEqual([str(violation) for violation in found], [])
        self.assertGreater(
            len(self.sent_while_stopping(sent)), MIN_WHILE_STOPPING
        )
