"""Benchmark of the memory, CPU time and control traffic of a daemon."""

import asyncio
import json
import pathlib
import tempfile

import psutil
import yaml

from measure import processes, suites
from oriolefold_coordination import shardmap
from oriolefold_store import http, updates
from oriolefold_testbed import scenarios

IDLE_S = 15.0
SETTLE_S = 12.0
MEMORY_TARGET_MB = 64
IDLE_TARGET_CORES = 0.032
CONTROL_BYTES_PER_S_TARGET = 28_000
SERVICE_COUNT = 13
# 13 services of 8,192 shards hold 106,496 assignments.
SHARDS_PER_SERVICE = 8192


class FootprintSuite(suites.Suite):
    """One daemon among several, first idle, then with 100,000 assignments."""

    name = 'footprint'

    async def run(self) -> None:
        """Measures idle daemons by number of VMs, then many assignments."""
        for vm_count in (3, 6, 12):
            await self._measure_idle(vm_count)
        await self._measure_assignments()

    async def _measure_idle(self, vm_count: int) -> None:
        with tempfile.TemporaryDirectory() as scratch:
            deployment = scenarios.make_deployment(
                pathlib.Path(scratch), vm_count=vm_count
            )
            try:
                await deployment.start()
                await asyncio.sleep(SETTLE_S)
                process_id = deployment.processes_by_name['vm0'].pid
                cpu_s = processes.cpu_s(process_id)
                sent_bytes = _loopback_bytes()
                await asyncio.sleep(IDLE_S)
                cpu_cores = (processes.cpu_s(process_id) - cpu_s) / IDLE_S
                bytes_per_s = (
                    (_loopback_bytes() - sent_bytes) / IDLE_S / vm_count
                )
                memory = processes.memory_mb(process_id)
            finally:
                await deployment.stop()
        suffix = f'_{vm_count}_vms'
        self.add(
            f'idle_core_share{suffix}', cpu_cores, 'core', IDLE_TARGET_CORES
        )
        self.add(
            f'control_bytes_per_s{suffix}',
            bytes_per_s,
            'B/s',
            CONTROL_BYTES_PER_S_TARGET,
        )
        self.add(f'memory_idle_mb{suffix}', memory, 'MB', MEMORY_TARGET_MB)
        if vm_count == 6:
            self.add('idle_core_share', cpu_cores, 'core', IDLE_TARGET_CORES)
            self.add('memory_idle_mb', memory, 'MB', MEMORY_TARGET_MB)

    async def _measure_assignments(self) -> None:
        """Measures a daemon with many shard maps that is home of no shard."""
        with tempfile.TemporaryDirectory() as scratch:
            folder = pathlib.Path(scratch)
            deployment = scenarios.make_deployment(
                folder, vm_count=2, single_zone=True
            )
            _add_services(folder / 'documents' / 'register.yaml')
            _add_rules(folder / 'documents' / 'rules.yaml')
            store = http.HttpStore(deployment.store_address)
            try:
                await deployment.start_platform()
                await deployment.apply()
                for number in range(SERVICE_COUNT):
                    await _write_map(store, f'big{number}')
                await deployment.start_daemon('vm0')
                await self._wait_maps(deployment)
                # Some time after its start, the daemon collects garbage and
                # returns free memory to the system.
                await asyncio.sleep(SETTLE_S)
                process_id = deployment.processes_by_name['vm0'].pid
                memory = processes.memory_mb(process_id)
            finally:
                await store.close()
                await deployment.stop()
        self.add('memory_100k_assignments_mb', memory, 'MB', MEMORY_TARGET_MB)

    async def _wait_maps(self, deployment) -> None:
        for _ in range(600):
            await asyncio.sleep(0.1)
            status = await deployment.status('vm0')
            if status and len(status['map_epochs']) > SERVICE_COUNT:
                return
        raise TimeoutError('not all shard maps came into force in time')


def _loopback_bytes() -> int:
    return psutil.net_io_counters(pernic=True)['lo'].bytes_sent


def _add_services(path: pathlib.Path) -> None:
    register = yaml.safe_load(path.read_text())
    template = register['services'][0]
    for number in range(SERVICE_COUNT):
        instances = [
            instance | {'id': f'big{number}-{i}', 'port': 9200 + number}
            for i, instance in enumerate(template['instances'])
        ]
        register['services'].append(
            template | {'id': f'big{number}', 'instances': instances}
        )
    path.write_text(yaml.safe_dump(register))


def _add_rules(path: pathlib.Path) -> None:
    rules = yaml.safe_load(path.read_text())
    template = rules['rules'][0]
    for number in range(SERVICE_COUNT):
        rules['rules'].append(
            template | {'service': f'big{number}', 'shards': SHARDS_PER_SERVICE}
        )
    path.write_text(yaml.safe_dump(rules))


async def _write_map(store, service_id: str) -> None:
    rows = tuple(
        shardmap.Row(
            f'{service_id}-{i % 6}', f'{service_id}-{(i + 1) % 6}', 'vm1', 1
        )
        for i in range(SHARDS_PER_SERVICE)
    )
    shard_map = shardmap.ShardMap(service_id, 1, rows)
    body = json.dumps(shardmap.to_record(shard_map)).encode()
    stored = await updates.read(store, f'maps/{service_id}')
    await updates.replace(store, stored, body)
