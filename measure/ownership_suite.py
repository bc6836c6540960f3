"""Unavailable time after losses, churn, imbalance and store calls."""

import asyncio
import collections
import pathlib
import statistics
import tempfile

from measure import suites
from oriolefold_coordination import baselines, placement
from oriolefold_testbed import histories, probing, scenarios, servers

TARGET_UNAVAILABLE_S = 2.0
LOSSES = 10
KEYS = [f'key{i}' for i in range(32)]
PROBE_INTERVAL_S = 0.1
AFTER_LOSS_S = 3.0
IDLE_S = 20.0  # The length of one waiting watch.
LEAVING = ('stock-2', 'stock-3', 'stock-4')
HANDOFF_INTERVAL_S = 0.1
ZONE_LOSS_S = 5.0
INSTANCES = 12
SHARDS = 256
LOADED_KEYS = 20_000
ZIPF_EXPONENT = 1.0


class OwnershipSuite(suites.Suite):
    """Losses of servers, with the store up and down; placement by sums."""

    name = 'ownership'

    async def run(self) -> None:
        """Measures everything."""
        self._measure_placement()
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            deployment = scenarios.make(folder)
            try:
                await deployment.start()
                await self._measure_idle_store(deployment)
                await self._measure_handoffs(deployment)
                samples = await self._measure_losses(deployment, '')
                await deployment.control_store(mode='down')
                samples += await self._measure_losses(deployment, '_store_down')
                await deployment.control_store(mode='up')
                self._check(folder, samples)
                await self._measure_zone_loss(deployment)
            finally:
                await deployment.stop()

    async def _measure_idle_store(self, deployment) -> None:
        url = f'http://{deployment.store_address}/control'
        before = await deployment.get_json(url)
        await asyncio.sleep(IDLE_S)
        after = await deployment.get_json(url)
        calls = sum(after[n] - before[n] for n in ('reads', 'writes'))
        self.add('store_calls_per_s_idle', calls / IDLE_S, '1/s')

    async def _measure_handoffs(self, deployment) -> None:
        """Lets servers leave; requests wait while their shards are handed over.

        The longest answer, less the median one, is the time of a hand-over.
        """
        vms = list(deployment.configuration.register.vms_by_id.values())
        for name in LEAVING:
            owned = set(await self._keys_of(deployment, name))
            prober = probing.Prober(vms, KEYS, HANDOFF_INTERVAL_S, suites.SEED)
            prober.start()
            await asyncio.sleep(0.5)
            await deployment.set_vm_state(name, 'leaving')
            while set(await self._keys_of(deployment, name)):
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.5)
            await prober.stop()
            times = [
                sample.done_s - sample.sent_s
                for sample in prober.samples
                if sample.key in owned
            ]
            longest = max(times) - statistics.median(times)
            self.add('handoff_max_ms', longest * 1000, 'ms')
            lost = [s for s in prober.samples if s.outcome != 'answered']
            self.add('handoff_not_answered', len(lost), 'requests', 0)
            await deployment.set_vm_state(name, 'live')
            await self._wait_used(deployment, name)

    async def _measure_zone_loss(self, deployment) -> None:
        """Loses the VM and the server of one zone and counts store writes."""
        url = f'http://{deployment.store_address}/control'
        before = await deployment.get_json(url)
        await asyncio.gather(deployment.kill('vm0'), deployment.kill('stock-0'))
        await asyncio.sleep(ZONE_LOSS_S)
        after = await deployment.get_json(url)
        writes = after['writes'] - before['writes']
        self.add('store_writes_zone_loss', writes, 'writes')

    async def _measure_losses(self, deployment, suffix: str) -> list:
        """Loses servers one after another and waits for each to return.

        With the store down a lost server cannot be taken back into the map, so
        no more are lost than there are standbys.
        """
        register = deployment.configuration.register
        vms = list(register.vms_by_id.values())
        all_samples = []
        affected: list[float] = []
        losses = LOSSES if not suffix else 3
        for number in range(losses):
            name = f'stock-{number % 6}'
            prober = probing.Prober(vms, KEYS, PROBE_INTERVAL_S, number)
            prober.start()
            await asyncio.sleep(0.5)
            owned = await self._keys_of(deployment, name)
            lost_s = servers.now_s()
            await deployment.kill(name)
            await asyncio.sleep(AFTER_LOSS_S)
            ends_s = servers.now_s()
            await prober.stop()
            gaps = prober.unavailable_s(lost_s, ends_s)
            affected += [gaps[key] for key in owned]
            all_samples += prober.samples
            await deployment.start_instance(name)
            if not suffix:
                await self._wait_used(deployment, name)
        self._add_times(affected, suffix)
        return all_samples

    async def _keys_of(self, deployment, instance_id: str) -> list[str]:
        vm = deployment.configuration.register.vms_by_id['vm0']
        owned = []
        for key in KEYS:
            target = f'/{scenarios.SERVICE}/{key}'
            explained = await deployment.get_json(
                f'http://{vm.admin_address}/explain?target={target}'
            )
            if explained['owner'] == instance_id:
                owned.append(key)
        return owned

    async def _wait_used(self, deployment, instance_id: str) -> None:
        for _ in range(200):
            await asyncio.sleep(0.1)
            if await self._keys_of(deployment, instance_id):
                return
        raise TimeoutError(f'{instance_id} is not used again')

    def _add_times(self, affected: list[float], suffix: str) -> None:
        ordered = sorted(affected)
        self.add(
            f'unavailable_max_s{suffix}',
            ordered[-1],
            's',
            TARGET_UNAVAILABLE_S,
        )
        self.add(f'unavailable_p50_s{suffix}', statistics.median(ordered), 's')
        last = len(ordered) - 1
        p99 = ordered[min(last, int(len(ordered) * 0.99))]
        self.add(f'unavailable_p99_s{suffix}', p99, 's')
        self.add(f'unavailable_keys{suffix}', len(ordered), 'keys')

    def _check(self, folder: pathlib.Path, samples: list) -> None:
        history = histories.read_journals(folder)
        owners = histories.check_one_owner(history)
        self.add('two_owner_moments', len(owners), 'moments', 0)
        others = histories.check_all(history, samples)
        self.add('broken_promises', len(others), 'promises', 0)

    def _measure_placement(self) -> None:
        weights = _shard_weights()
        ids = tuple(f's{i:02}' for i in range(INSTANCES))
        policies_by_name = {
            'ours': placement.ImbalanceFirst(),
            'modulo': baselines.Modulo(),
            'ring': baselines.Ring(),
            'rendezvous': baselines.Rendezvous(),
            'bounded': baselines.BoundedLoads(),
        }
        for name, policy in policies_by_name.items():
            start = policy.place(_problem(ids, weights, [''] * SHARDS))
            for _ in range(20):
                start = policy.place(_problem(ids, weights, start))
            self.add(f'imbalance_{name}', _imbalance(start, weights), 'ratio')
            label = 'churn_ratio' if name == 'ours' else f'churn_ratio_{name}'
            for lost in ids:
                rest = tuple(i for i in ids if i != lost)
                fewer = policy.place(_problem(rest, weights, start))
                moved = sum(a != b for a, b in zip(start, fewer, strict=True))
                self.add(label, moved * INSTANCES / SHARDS, 'ratio', 1.0)


def _shard_weights() -> tuple[float, ...]:
    """Returns the load of each shard under a Zipf law over the keys."""
    weights = [0.0] * SHARDS
    for rank in range(LOADED_KEYS):
        shard = baselines.hash_text(f'key{rank}') % SHARDS
        weights[shard] += 1 / (rank + 1) ** ZIPF_EXPONENT
    return tuple(weights)


def _problem(ids, weights, current) -> placement.Problem:
    moves = max(1, SHARDS // 20)
    return placement.Problem(
        ids, tuple(current), weights, ('',) * SHARDS, moves
    )


def _imbalance(owners, weights) -> float:
    loads: collections.Counter = collections.Counter()
    for owner, weight in zip(owners, weights, strict=True):
        loads[owner] += weight
    return max(loads.values()) / (sum(weights) / INSTANCES)
