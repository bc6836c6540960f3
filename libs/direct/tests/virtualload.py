"""Load of several kinds of requests on virtual VMs, in virtual time.

Real dispatchers send to simulated instances, which have slots and a queue.
"""

import asyncio
import collections
import dataclasses
import random

import fakes
import feedgraph

from oriolefold_coordination import quotas, ranges
from oriolefold_core import clock, data, errors
from oriolefold_direct import dispatcher, messages, ports
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import attempts, policy, topology
from oriolefold_telemetry import counters

SHARES_INTERVAL_S = 0.5
LOCALITY = topology.Locality('z1', {'z1': 'r1'})


class LoopClock(clock.Clock):
    """Clock of the running loop."""

    def now_s(self):
        return asyncio.get_running_loop().time()


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of requests and its rate over all VMs."""

    name: str
    rank: int
    idempotent: bool
    per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    service_id: str = 'svc'

    def route(self):
        return fakes.route(
            route_id=self.name,
            prefix=f'/{self.name}/',
            shares=(policy.Share(self.service_id, 1.0),),
            idempotent=self.idempotent,
            timeout_s=self.deadline_s,
            objective_s=self.objective_s,
            rank=self.rank,
        )


class VirtualInstances(ports.Instances):
    """Instances with slots and a queue; when full they refuse or are silent.

    Attributes:
        speeds_by_id: Speed of each instance.
        executed: Number of executions of each request.
        silenced: Sends of each kind that will never be answered.
        queued: Sends of each kind that will be answered.
        cut: Sends of each kind cut early although they would be.
    """

    def __init__(self, endpoints, speeds, queue, silent, generator):
        self._slots_by_id = {e.instance_id: e.slots for e in endpoints}
        self.speeds_by_id = dict(zip(self._slots_by_id, speeds, strict=True))
        self._free = {
            name: asyncio.Semaphore(slots)
            for name, slots in self._slots_by_id.items()
        }
        self._queue = queue
        self._silent = silent
        self._random = generator
        self._present = collections.Counter()
        self.executed = collections.Counter()
        self.silenced = collections.Counter()
        self.queued = collections.Counter()
        self.cut = collections.Counter()
        self.works_by_target = {}

    async def send(self, endpoint, call, remaining_s, may_send=None):
        name = endpoint.instance_id
        if may_send is not None and not may_send():
            raise errors.UnreachableError('the permission has expired')
        if self._present[name] >= self._slots_by_id[name] + self._queue:
            if not self._silent:
                raise errors.OverloadedError('full')
            self.silenced[call.target] += 1
            await asyncio.sleep(remaining_s)
            raise errors.OutcomeUnknownError('no answer')
        self._present[name] += 1
        # An instance goes on with a request whose sender has left.
        work = asyncio.create_task(self._work(name, call))
        self.queued[call.target] += 1
        ends_at_s = LoopClock().now_s() + remaining_s
        try:
            await asyncio.shield(work)
        except asyncio.CancelledError:
            self.cut[call.target] += LoopClock().now_s() < ends_at_s - 0.01
            raise
        return data.Answer(200, (), b'', name)

    async def _work(self, name, call):
        work_s = self.works_by_target[call.target]
        try:
            async with self._free[name]:
                self.executed[call.request_id] += 1
                factor = 0.5 + self._random.expovariate(2.0)
                await asyncio.sleep(work_s * factor / self.speeds_by_id[name])
        finally:
            self._present[name] -= 1

    async def grant(self, *_args, **_changes):
        raise NotImplementedError

    async def check_health(self, endpoint, path, timeout_s):
        raise NotImplementedError

    async def release(self, *_args):
        raise NotImplementedError


@dataclasses.dataclass
class Result:
    """What became of the requests of one kind."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    rejected: int = 0
    failed: int = 0
    reject_waits_s: list = dataclasses.field(default_factory=list)
    retry_fractions: list = dataclasses.field(default_factory=list)


class Load:
    """Plays kinds of requests through VMs and counts what became of them."""

    def __init__(
        self,
        kinds,
        *,
        vm_count,
        instance_count,
        keyed=True,
        slots=4,
        queue=16,
        silent=True,
        retries=3,
        burst=None,
        seed=7,
        short_queues=False,
        sheds=False,
    ):
        self.kinds = kinds
        self._vm_count = vm_count
        self._keyed = keyed
        self._burst = burst  # Interval, duration and factor of the rate.
        self._retries = retries  # Of each caller, after rejections.
        self._short_queues = short_queues  # Whether VMs know to need them.
        self._sheds = sheds  # Whether the leader tells what owners can take.
        self._random = random.Random(seed)
        self._endpoints = [
            fakes.endpoint(f'i-{n:03}', slots=slots)
            for n in range(instance_count)
        ]
        self._speeds = [
            0.5 + 1.2 * n / max(1, instance_count - 1)
            for n in range(instance_count)
        ]
        self._queue = queue
        self._silent = silent
        self.results = {kind.name: Result() for kind in kinds}
        self.dispatchers = []
        self._key_map = None

    def run(self, seconds):
        """Plays the load and returns the results by kind."""
        feedgraph.run(self._run(seconds))
        return self.results

    async def _run(self, seconds):
        self.instances = VirtualInstances(
            self._endpoints,
            self._speeds,
            self._queue,
            self._silent,
            self._random,
        )
        for kind in self.kinds:
            target = f'/{kind.name}/x'
            self.instances.works_by_target[target] = kind.work_s
        await self._start_vms()
        tasks = [asyncio.create_task(self._share())]
        started_s = LoopClock().now_s()
        asking = set()
        rate = sum(kind.per_s for kind in self.kinds)
        weights = [kind.per_s for kind in self.kinds]
        count = 0
        while LoopClock().now_s() < started_s + seconds:
            await asyncio.sleep(self._random.expovariate(rate * self._factor()))
            count += 1
            kind = self._random.choices(self.kinds, weights)[0]
            asked = asyncio.create_task(self._call(kind, f'q{count}'))
            asking.add(asked)
            asked.add_done_callback(asking.discard)
        await asyncio.gather(*asking)
        for task in tasks:
            task.cancel()
        for vm in self.dispatchers:
            await vm.stop()

    def _factor(self):
        if self._burst is None:
            return 1.0
        interval_s, burst_s, factor = self._burst
        in_burst = LoopClock().now_s() % interval_s < burst_s
        return factor if in_burst else 1.0

    async def _start_vms(self):
        width = ranges.KEY_COUNT // len(self._endpoints)
        holders = [
            ranges.Holder(e.instance_id, 1, 'a') for e in self._endpoints
        ]
        self._key_map = ranges.KeyMap(
            'svc',
            2,
            tuple(
                ranges.KeyRange(n * width, (n + 1) * width - 1, holder, 1)
                for n, holder in enumerate(holders)
            ),
        )
        for number in range(self._vm_count):
            vm = dispatcher.Dispatcher(
                LOCALITY,
                'Key',
                self.instances,
                LoopClock(),
                attempts.BudgetLimits(0.2, 10.0, 56.0, self._vm_count),
                counters.Counters(),
                random.Random(number),
            )
            await vm.start()
            vm.post(
                fakes.policy_updated(
                    *(kind.route() for kind in self.kinds), keyed=self._keyed
                )
            )
            vm.post(fakes.endpoints_updated(*self._endpoints))
            if self._keyed:
                vm.post(messages.KeyMapUpdated(self._key_map, 1))
            if self._short_queues:
                vm.post(messages.SharesUpdated({}, 'svc', True))
            self.dispatchers.append(vm)

    async def _share(self):
        """Divides the slots of busy owners, as a leader does."""
        shares = quotas.Quotas()
        mean_s = sum(k.per_s * k.work_s for k in self.kinds)
        mean_s /= sum(k.per_s for k in self.kinds)
        capacities_by_id = {
            e.instance_id: e.slots * speed / mean_s
            for e, speed in zip(self._endpoints, self._speeds, strict=True)
        }
        while True:
            for number, vm in enumerate(self.dispatchers):
                load = await vm.ask(messages.CollectLoad('svc'))
                now_s = LoopClock().now_s()
                vm_id = str(number)
                shares.report(vm_id, load.keys, self._key_map, now_s)
                vm.post(
                    messages.SharesUpdated(
                        shares.shares(vm_id, capacities_by_id, now_s),
                        'svc',
                        self._sheds,
                        shares.admissions(capacities_by_id, now_s)
                        if self._sheds
                        else {},
                    )
                )
            await asyncio.sleep(SHARES_INTERVAL_S)

    async def _call(self, kind, request_id):
        result = self.results[kind.name]
        result.sent += 1
        retries_left = self._retries
        time = LoopClock()
        started_s = time.now_s()
        headers = {'Host': 'h.example'}
        if self._keyed:
            last = self._key_map.ranges[-1].last
            headers['Key'] = str(self._random.randrange(last + 1))
        while True:
            left_s = started_s + kind.deadline_s - time.now_s()
            asked_s = time.now_s()
            try:
                answer = await self._random.choice(self.dispatchers).ask(
                    gateway_messages.Dispatch(
                        request_id,
                        'GET',
                        f'/{kind.name}/x',
                        headers,
                        (),
                        b'',
                        str(int(left_s * 1000)),
                    )
                )
            except errors.NotRunError as error:
                result.reject_waits_s.append(time.now_s() - asked_s)
                left_s = started_s + kind.deadline_s - time.now_s()
                result.retry_fractions.append(error.retry_after_s / left_s)
                if retries_left and left_s > 0:
                    retries_left -= 1
                    await asyncio.sleep(min(error.retry_after_s, left_s / 3))
                    continue
                result.rejected += 1
            except errors.OriolefoldError:
                result.failed += 1
            else:
                took_s = time.now_s() - started_s
                if answer.status != 200:
                    result.failed += 1
                elif took_s <= kind.objective_s:
                    result.in_time += 1
                else:
                    result.late += 1
            return
