"""Benchmark of key ownership: unavailability, handovers, placement."""

import asyncio
import collections
import pathlib
import statistics
import tempfile

from measure import suites
from oriolefold_coordination import baselines, placement
from oriolefold_testbed import histories, probing, scenarios, servers

UNAVAILABLE_TARGET_S = 2.0
LOSS_COUNT = 10  # Servers killed while the store is up.
KEYS = [f'key{i}' for i in range(32)]
PROBE_INTERVAL_S = 0.1
RECOVERY_S = 3.0
IDLE_S = 20.0  # Timeout of one long poll of the watch.
LEAVING_INSTANCES = ('stock-2', 'stock-3', 'stock-4')
HANDOVER_PROBE_INTERVAL_S = 0.1
ZONE_LOSS_S = 5.0
INSTANCE_COUNT = 12
SHARD_COUNT = 256
LOAD_KEY_COUNT = 20_000
ZIPF_EXPONENT = 1.0


class OwnershipSuite(suites.Suite):
    """Unavailability after losses with the store up and down, and placement."""

    name = 'ownership'

    async def run(self) -> None:
        """Computes the placements, then measures a running deployment."""
        self._measure_placement()
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            deployment = scenarios.make_deployment(folder)
            try:
                await deployment.start()
                await self._measure_idle_store(deployment)
                await self._measure_handovers(deployment)
                samples = await self._measure_losses(deployment, '')
                await deployment.control_store(mode='down')
                samples += await self._measure_losses(deployment, '_store_down')
                await deployment.control_store(mode='up')
                self._check_history(folder, samples)
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

    async def _measure_handovers(self, deployment) -> None:
        """Lets servers leave and measures the handover of their shards.

        Requests wait during a handover, so its duration is the difference
        between the longest and the median response time.
        """
        vms = list(deployment.configuration.register.vms_by_id.values())
        for name in LEAVING_INSTANCES:
            owned_keys = set(await self._keys_owned_by(deployment, name))
            prober = probing.Prober(
                vms, KEYS, HANDOVER_PROBE_INTERVAL_S, suites.SEED
            )
            prober.start()
            await asyncio.sleep(0.5)
            await deployment.set_vm_state(name, 'leaving')
            while set(await self._keys_owned_by(deployment, name)):
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.5)
            await prober.stop()
            response_times_s = [
                sample.done_s - sample.sent_s
                for sample in prober.samples
                if sample.key in owned_keys
            ]
            handover_s = max(response_times_s) - statistics.median(
                response_times_s
            )
            self.add('handoff_max_ms', handover_s * 1000, 'ms')
            not_answered = [
                s for s in prober.samples if s.outcome != 'answered'
            ]
            self.add('handoff_not_answered', len(not_answered), 'requests', 0)
            await deployment.set_vm_state(name, 'live')
            await self._wait_until_owner(deployment, name)

    async def _measure_zone_loss(self, deployment) -> None:
        """Kills the VM and the server of one zone and counts store writes."""
        url = f'http://{deployment.store_address}/control'
        before = await deployment.get_json(url)
        await asyncio.gather(deployment.kill('vm0'), deployment.kill('stock-0'))
        await asyncio.sleep(ZONE_LOSS_S)
        after = await deployment.get_json(url)
        writes = after['writes'] - before['writes']
        self.add('store_writes_zone_loss', writes, 'writes')

    async def _measure_losses(self, deployment, suffix: str) -> list:
        """Kills servers one after another and waits for each to return.

        While the store is down, a restarted server cannot return to the shard
        map, so no more servers are killed than there are standbys.
        """
        register = deployment.configuration.register
        vms = list(register.vms_by_id.values())
        all_samples = []
        outages_s: list[float] = []
        loss_count = LOSS_COUNT if not suffix else 3
        for number in range(loss_count):
            name = f'stock-{number % 6}'
            prober = probing.Prober(vms, KEYS, PROBE_INTERVAL_S, number)
            prober.start()
            await asyncio.sleep(0.5)
            owned_keys = await self._keys_owned_by(deployment, name)
            failure_s = servers.now_s()
            await deployment.kill(name)
            await asyncio.sleep(RECOVERY_S)
            end_s = servers.now_s()
            await prober.stop()
            outage_s_by_key = prober.longest_outage_s_by_key(failure_s, end_s)
            outages_s += [outage_s_by_key[key] for key in owned_keys]
            all_samples += prober.samples
            await deployment.start_instance(name)
            if not suffix:
                await self._wait_until_owner(deployment, name)
        self._add_unavailability(outages_s, suffix)
        return all_samples

    async def _keys_owned_by(self, deployment, instance_id: str) -> list[str]:
        vm = deployment.configuration.register.vms_by_id['vm0']
        owned_keys = []
        for key in KEYS:
            target = f'/{scenarios.SERVICE}/{key}'
            explanation = await deployment.get_json(
                f'http://{vm.admin_address}/explain?target={target}'
            )
            if explanation['owner'] == instance_id:
                owned_keys.append(key)
        return owned_keys

    async def _wait_until_owner(self, deployment, instance_id: str) -> None:
        for _ in range(200):
            await asyncio.sleep(0.1)
            if await self._keys_owned_by(deployment, instance_id):
                return
        raise TimeoutError(f'{instance_id} owns no keys after its return')

    def _add_unavailability(self, outages_s: list[float], suffix: str) -> None:
        ordered = sorted(outages_s)
        self.add(
            f'unavailable_max_s{suffix}',
            ordered[-1],
            's',
            UNAVAILABLE_TARGET_S,
        )
        self.add(f'unavailable_p50_s{suffix}', statistics.median(ordered), 's')
        last = len(ordered) - 1
        p99 = ordered[min(last, int(len(ordered) * 0.99))]
        self.add(f'unavailable_p99_s{suffix}', p99, 's')
        self.add(f'unavailable_keys{suffix}', len(ordered), 'keys')

    def _check_history(self, folder: pathlib.Path, samples: list) -> None:
        history = histories.read_journals(folder)
        single_owner_violations = histories.check_single_owner(history)
        self.add(
            'two_owner_moments', len(single_owner_violations), 'moments', 0
        )
        all_violations = histories.check_all(history, samples)
        self.add('broken_promises', len(all_violations), 'promises', 0)

    def _measure_placement(self) -> None:
        weights = _shard_weights()
        instance_ids = tuple(f's{i:02}' for i in range(INSTANCE_COUNT))
        policies_by_name = {
            'ours': placement.ImbalanceFirst(),
            'modulo': baselines.Modulo(),
            'ring': baselines.Ring(),
            'rendezvous': baselines.Rendezvous(),
            'bounded': baselines.BoundedLoads(),
        }
        for name, policy in policies_by_name.items():
            assignment = policy.place(
                _problem(instance_ids, weights, [''] * SHARD_COUNT)
            )
            for _ in range(20):
                assignment = policy.place(
                    _problem(instance_ids, weights, assignment)
                )
            self.add(
                f'imbalance_{name}', _imbalance(assignment, weights), 'ratio'
            )
            label = 'churn_ratio' if name == 'ours' else f'churn_ratio_{name}'
            for lost_id in instance_ids:
                remaining_ids = tuple(i for i in instance_ids if i != lost_id)
                new_assignment = policy.place(
                    _problem(remaining_ids, weights, assignment)
                )
                moved = sum(
                    a != b
                    for a, b in zip(assignment, new_assignment, strict=True)
                )
                self.add(
                    label, moved * INSTANCE_COUNT / SHARD_COUNT, 'ratio', 1.0
                )


def _shard_weights() -> tuple[float, ...]:
    """Returns the load of each shard with Zipf-distributed key popularity."""
    weights = [0.0] * SHARD_COUNT
    for rank in range(LOAD_KEY_COUNT):
        shard = baselines.hash_text(f'key{rank}') % SHARD_COUNT
        weights[shard] += 1 / (rank + 1) ** ZIPF_EXPONENT
    return tuple(weights)


def _problem(instance_ids, weights, current) -> placement.Problem:
    moves = max(1, SHARD_COUNT // 20)
    return placement.Problem(
        instance_ids, tuple(current), weights, ('',) * SHARD_COUNT, moves
    )


def _imbalance(owner_ids, weights) -> float:
    loads: collections.Counter = collections.Counter()
    for owner, weight in zip(owner_ids, weights, strict=True):
        loads[owner] += weight
    return max(loads.values()) / (sum(weights) / INSTANCE_COUNT)
