"""Requests at set moments of a planned stop, up to its limit and beyond."""

import asyncio
import collections
import itertools
import json
import pathlib
import signal
import tempfile
from collections.abc import Iterable, Sequence

from oriolefold_core import results
from oriolefold_daemon import application
from oriolefold_gateway import exchange
from oriolefold_testbed import (
    basecase,
    histories,
    latecalls,
    scenarios,
    servers,
)

STOP_LIMIT_S = 2.0
# For the last steps after the hand-over, and for the others on the machine.
STOP_MARGIN_S = application.HAND_OVER_LIMIT_S + 1.5
PLANNING_VM_ID = 'vm0'  # The first live VM plans.
VM_ID = 'vm1'
OVERLAP_S = 1.0
# The longest deadlines of the services are not shorter than the stop limit.
LIMITS_S_BY_SERVICE_ID = {
    scenarios.SERVICE: 3.0,
    scenarios.UNKEYED_SERVICE: 2.0,
}
KEYS = [f'key{i}' for i in range(64)]
METHODS = ('GET', 'POST')
DEADLINES_S = (0.2, 1.0, 10.0, None)
SHORT_DEADLINES_S = (0.2, 0.3)
LARGE_DEADLINES_S = (0.3,)
SHORT_WORK_MS = 20
WORK_MS = (SHORT_WORK_MS, 600)
LARGE_BYTES = 2_000_000
# The last ones are after the limit.
MOMENTS_S = (-0.1, 0.3, 0.8, 1.2, 1.5, 1.65, 1.8, 1.9, 2.0, 2.1, 2.25)
# About the end of a stop that nothing holds up.
EARLY_MOMENTS_S = (-0.1, -0.05, -0.02, 0.0, 0.01, 0.02, 0.04, 0.1, 0.3)
EARLY_JITTER_S = 0.01
LARGE_MOMENTS_S = (0.9, 1.2, 1.4, 1.5)
SPLIT_MOMENTS_S = (0.4, 1.2, 1.6, 1.8, 1.95, 2.15)
MAX_JITTER_S = 0.1
TIMER_SLACK_S = 0.005  # The remaining time is passed on in milliseconds.
SETTLE_S = 1.0  # What was refused would run in this time.
WAVE_SIZE = 300  # Requests that wait for the hand-over, and some before it.
WAVE_S = (-0.1, 0.3)
WAVE_DEADLINE_S = 1.0
WAVE_WORK_MS = 5
MIN_ANSWERED = 10  # By each path; a run has several times as many.
CONNECTING = 32  # At a time.


class LateInAStopTest(basecase.AsyncCase):
    """Each request gets a whole answer in time, or a true refusal."""

    async def asyncSetUp(self):
        # The debug mode multiplies the processor time of the callers.
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.deployment = scenarios.make_deployment(
            self.folder,
            STOP_LIMIT_S,
            vm_count=3,
            instance_count=2,
            shards=16,
            slots=30,
        )
        self.addAsyncCleanup(self.deployment.stop)
        await self.deployment.start()
        self.vms_by_id = self.deployment.configuration.register.vms_by_id
        self.keys_by_home_id = await self.find_keys()
        self.callers: list[latecalls.LateCaller] = []

    async def find_keys(self) -> dict[str, list[str]]:
        """Returns the keys of each home."""
        address = self.vms_by_id[PLANNING_VM_ID].admin_address
        found = collections.defaultdict(list)
        for key in KEYS:
            explained = await self.deployment.get_json(
                f'http://{address}/explain?target=/{scenarios.SERVICE}/{key}'
            )
            found[explained['home']].append(key)
        return found

    def plan(
        self,
        vm_id: str,
        deadlines_s: Sequence[float | None],
        moments_s: Sequence[float],
        works_ms: Sequence[int] = WORK_MS,
        jitter_s: float = MAX_JITTER_S,
        split: latecalls.Split = latecalls.Split.NONE,
        filler_bytes: int = 0,
    ) -> None:
        """Plans calls of all kinds at the moments of the stop of a VM."""
        vm = self.vms_by_id[vm_id]
        others = [v for v in self.vms_by_id.values() if v is not vm]
        own_keys = itertools.cycle(self.keys_by_home_id[vm_id])
        other_keys = itertools.cycle(
            key
            for home_id, keys in self.keys_by_home_id.items()
            if home_id != vm_id
            for key in keys
        )
        entries = itertools.cycle(others)
        for at_s, deadline_s, method, work_ms in itertools.product(
            moments_s, deadlines_s, METHODS, works_ms
        ):
            if method == 'GET' and split is latecalls.Split.BODY:
                continue
            for path, entry, service_id, key in (
                (latecalls.Path.UNKEYED, vm, scenarios.UNKEYED_SERVICE, 'any'),
                (latecalls.Path.HOME, vm, scenarios.SERVICE, next(own_keys)),
                (
                    latecalls.Path.FORWARDED_BY_IT,
                    vm,
                    scenarios.SERVICE,
                    next(other_keys),
                ),
                (
                    latecalls.Path.FORWARDED_TO_IT,
                    next(entries),
                    scenarios.SERVICE,
                    next(own_keys),
                ),
            ):
                limit_s = LIMITS_S_BY_SERVICE_ID[service_id]
                call = latecalls.Call(
                    f'{vm_id}-{len(self.callers)}',
                    path,
                    entry,
                    method,
                    service_id,
                    key,
                    deadline_s,
                    min(limit_s, deadline_s or limit_s),
                    work_ms,
                    at_s + jitter_s * self.random.random(),
                    split,
                    filler_bytes,
                )
                self.callers.append(latecalls.LateCaller(call))

    def plan_wave(self, vm_id: str) -> None:
        """Plans calls that other VMs forward to a VM about its hand-over."""
        first_s, last_s = WAVE_S
        entries = [v for v in self.vms_by_id.values() if v.vm_id != vm_id]
        keys = self.keys_by_home_id[vm_id]
        for i in range(WAVE_SIZE):
            call = latecalls.Call(
                f'{vm_id}-{len(self.callers)}',
                latecalls.Path.FORWARDED_TO_IT,
                entries[i % len(entries)],
                'POST',
                scenarios.SERVICE,
                keys[i % len(keys)],
                WAVE_DEADLINE_S,
                WAVE_DEADLINE_S,
                WAVE_WORK_MS,
                first_s + (last_s - first_s) * i / WAVE_SIZE,
            )
            self.callers.append(latecalls.LateCaller(call))

    def plan_splits(self, vm_id: str) -> None:
        """Plans calls of which a part arrives before the stop."""
        for split in (latecalls.Split.HEAD, latecalls.Split.BODY):
            self.plan(vm_id, (0.2, None), SPLIT_MOMENTS_S, split=split)

    async def connect_all(self) -> None:
        """Opens the connections of all callers."""
        for start in range(0, len(self.callers), CONNECTING):
            batch = self.callers[start : start + CONNECTING]
            await asyncio.gather(*(caller.connect() for caller in batch))

    async def stop_vm(
        self,
        vm_id: str,
        delay_s: float = 0.0,
        signals: Iterable[tuple[float, signal.Signals]] = (),
    ) -> None:
        """Stops a VM and sends further signals at moments of its stop."""
        begin_s = servers.now_s() + 0.2 + delay_s
        process = self.deployment.processes_by_name[vm_id]
        calling = [
            asyncio.create_task(caller.run(begin_s))
            for caller in self.callers
            if caller.call.request_id.startswith(f'{vm_id}-')
        ]
        await asyncio.sleep(begin_s - servers.now_s())
        self.deployment.send_signal(vm_id, signal.SIGTERM)
        for at_s, signal_number in signals:
            await asyncio.sleep(begin_s + at_s - servers.now_s())
            self.deployment.send_signal(vm_id, signal_number)
        async with asyncio.timeout(STOP_LIMIT_S + STOP_MARGIN_S):
            code = await process.wait()
        self.assertEqual(code, 0)
        await asyncio.gather(*calling)

    async def hold_and_stop(self, vm_id: str, **options) -> None:
        """Stops a VM whose drain lasts until its limit."""
        holder = latecalls.TricklingCaller(
            self.vms_by_id[vm_id], scenarios.UNKEYED_SERVICE
        )
        holding = asyncio.create_task(holder.run())
        await self.stop_vm(vm_id, **options)
        await holding
        self.assertEqual(holder.outcome, results.Outcome.NOT_RUN.value)

    async def check(
        self, paths: Iterable[latecalls.Path] = latecalls.Path
    ) -> None:
        """Checks what the callers got against what the servers did.

        Args:
            paths: Paths on which requests must have been answered.
        """
        await asyncio.sleep(SETTLE_S)
        history = histories.read_journals(self.folder)
        begun_ids = histories.read_begun_ids(self.folder)
        read_ids = begun_ids | self.read_cut_ids()
        found = [
            self.violation(caller, begun_ids, read_ids)
            for caller in self.callers
        ]
        self.assertEqual([line for line in found if line], [])
        sent = [c.sent for c in self.callers if c.sent is not None]
        found = histories.check_all(history, sent)
        self.assertEqual([str(violation) for violation in found], [])
        answered_by_path = collections.Counter(
            caller.call.path
            for caller in self.callers
            if caller.sent is not None
            and caller.sent.outcome == results.Outcome.ANSWERED.value
        )
        for path in paths:
            self.assertGreaterEqual(answered_by_path[path], MIN_ANSWERED, path)

    def read_cut_ids(self) -> set[str]:
        """Returns the requests that a daemon had read when it cut them."""
        cuts = [
            json.loads(line)
            for vm_id in self.vms_by_id
            for line in (self.folder / f'{vm_id}.jsonl')
            .read_text('utf-8')
            .splitlines()
            if '"request.cut"' in line
        ]
        return {
            cut['request'] for cut in cuts if cut['stage'] != exchange.CROSSED
        }

    def violation(
        self,
        caller: latecalls.LateCaller,
        begun_ids: set[str],
        read_ids: set[str],
    ) -> str:
        """Returns what a caller was not owed; empty if it was treated well.

        Args:
            caller: The caller.
            begun_ids: Requests that a server began to execute.
            read_ids: Requests that a daemon or a server has read.
        """
        call, sent = caller.call, caller.sent
        if sent is None:
            return ''
        begun = call.request_id in begun_ids
        took_s = sent.done_s - sent.sent_s
        is_late = took_s >= call.limit_s - TIMER_SLACK_S
        wrong = ''
        if sent.damage:
            wrong = f'damaged: {sent.damage}'
        elif sent.is_cut:
            may_cross = call.split is latecalls.Split.NONE
            if begun:
                wrong = 'cut after it was passed on'
            elif call.request_id in read_ids:
                wrong = 'cut after it was read'
            elif not (may_cross and sent.crossed_close):
                wrong = 'cut without an answer'
        elif sent.outcome == results.Outcome.UNKNOWN.value:
            if not is_late:
                wrong = 'ended by the stop'
        elif sent.outcome == results.Outcome.NOT_RUN.value:
            if begun and not is_late:
                wrong = 'refused, but a server had begun it'
        elif sent.outcome != results.Outcome.ANSWERED.value:
            wrong = 'answered without an outcome'
        if not wrong:
            return ''
        return (
            f'{wrong}: {call.request_id} {call.path.value} {call.method} '
            f'at {call.at_s:.3f} deadline {call.deadline_s} work '
            f'{call.work_ms} begun {begun}: {sent.outcome} {sent.status} '
            f'after {took_s:.3f} s'
        )

    async def test_no_request_late_in_a_stop_is_cut_after_it_was_passed_on(
        self,
    ):
        self.plan(VM_ID, DEADLINES_S, MOMENTS_S)
        self.plan_splits(VM_ID)
        await self.connect_all()
        await self.hold_and_stop(VM_ID)
        await self.check()

    async def test_no_request_is_cut_late_in_the_stop_of_the_planning_vm(self):
        self.plan(PLANNING_VM_ID, DEADLINES_S, MOMENTS_S)
        await self.connect_all()
        await self.hold_and_stop(PLANNING_VM_ID)
        await self.check()

    async def test_no_request_is_cut_at_a_home_that_keeps_its_keys_till_late(
        self,
    ):
        self.plan(VM_ID, SHORT_DEADLINES_S, MOMENTS_S)
        self.plan(
            VM_ID,
            LARGE_DEADLINES_S,
            LARGE_MOMENTS_S,
            works_ms=(SHORT_WORK_MS,),
            filler_bytes=LARGE_BYTES,
        )
        await self.connect_all()
        await self.hold_and_stop(VM_ID)
        await self.check()

    async def test_no_request_is_cut_while_the_stops_of_two_vms_overlap(self):
        self.plan(VM_ID, DEADLINES_S, MOMENTS_S)
        self.plan(PLANNING_VM_ID, DEADLINES_S, MOMENTS_S)
        await self.connect_all()
        await asyncio.gather(
            self.hold_and_stop(VM_ID),
            self.hold_and_stop(PLANNING_VM_ID, delay_s=OVERLAP_S),
        )
        await self.check()

    async def test_signals_within_a_stop_cut_no_request(self):
        self.plan(VM_ID, DEADLINES_S, MOMENTS_S)
        await self.connect_all()
        await self.hold_and_stop(
            VM_ID,
            signals=(
                (0.01, signal.SIGTERM),
                (0.5, signal.SIGHUP),
                (1.0, signal.SIGTERM),
                (1.9, signal.SIGHUP),
                (1.95, signal.SIGTERM),
                (2.05, signal.SIGTERM),
            ),
        )
        await self.check()

    async def test_no_request_is_cut_by_a_stop_that_ends_early(self):
        self.plan(
            VM_ID,
            DEADLINES_S,
            EARLY_MOMENTS_S,
            works_ms=(SHORT_WORK_MS,),
            jitter_s=EARLY_JITTER_S,
        )
        await self.connect_all()
        await self.stop_vm(VM_ID)
        await self.check()

    async def test_no_request_is_lost_in_the_wave_after_a_hand_over(self):
        self.plan_wave(VM_ID)
        await self.connect_all()
        await self.stop_vm(VM_ID)
        await self.check({latecalls.Path.FORWARDED_TO_IT})
