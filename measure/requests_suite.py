"""Benchmark of throughput and latency against the relay, a minimal proxy."""

import asyncio
import pathlib
import tempfile

from measure import processes, suites
from oriolefold_testbed import scenarios

ROUNDS = 9
CONNECTION_COUNT = 32
DURATION_S = 2.0
RELAY_PORT = 8090
KEY_COUNT = 64


class RequestsSuite(suites.Suite):
    """Compares one daemon with the relay of `measure.relay`.

    The two are measured in turn, each in one process, with the same servers.
    """

    name = 'requests'

    async def run(self) -> None:
        """Measures requests that are handled locally and forwarded requests."""
        with tempfile.TemporaryDirectory() as scratch:
            deployment = scenarios.make_deployment(
                pathlib.Path(scratch),
                vm_count=2,
                instance_count=3,
                shards=64,
                checks_tokens=False,
                slots=64,
                single_zone=True,
            )
            try:
                await deployment.start()
                await self._set_zero_service_time(deployment)
                await self._compare(deployment)
            finally:
                await deployment.stop()

    async def _set_zero_service_time(self, deployment) -> None:
        service = deployment.configuration.register.services_by_id['stock']
        for instance in service.instances_by_id.values():
            url = f'http://{instance.address}/control'
            await deployment.put_json(url, {'service_ms': 0})

    async def _compare(self, deployment) -> None:
        register = deployment.configuration.register
        vm = register.vms_by_id['vm0']
        service = register.services_by_id[scenarios.SERVICE]
        servers = ','.join(
            str(instance.address)
            for instance in service.instances_by_id.values()
        )
        relay_process = await processes.start(
            '-m',
            'measure.relay',
            f'--ip={vm.caller_address.host}',
            f'--port={RELAY_PORT}',
            f'--servers={servers}',
        )
        self._process_ids_by_name = {
            'relay': relay_process.pid,
            'ours': deployment.processes_by_name['vm0'].pid,
        }
        local_targets, remote_targets = await self._split_targets(
            deployment, vm
        )
        all_targets = local_targets + remote_targets
        try:
            for _ in range(ROUNDS):
                port = vm.caller_address.port
                local_result = await self._measure(
                    vm, port, local_targets, process='ours'
                )
                relay_result = await self._measure(
                    vm, RELAY_PORT, all_targets, process='relay'
                )
                forwarded_result = await self._measure(vm, port, remote_targets)
                self.add(
                    'cpu_ratio_entry',
                    relay_result[4] / local_result[4],
                    'ratio',
                )
                self.add('throughput_relay_per_s', relay_result[0], '1/s')
                self.add(
                    'throughput_ratio_entry',
                    local_result[0] / relay_result[0],
                    'ratio',
                    0.9,
                )
                self.add(
                    'throughput_ratio_forwarded',
                    forwarded_result[0] / relay_result[0],
                    'ratio',
                )
                await self._measure_latency(
                    vm, all_targets, relay_result[0] / 2
                )
        finally:
            await processes.stop(relay_process)

    async def _measure_latency(self, vm, targets, rate_per_s) -> None:
        local_result = await self._measure(
            vm, vm.caller_address.port, targets, rate_per_s
        )
        relay_result = await self._measure(vm, RELAY_PORT, targets, rate_per_s)
        self.add('added_p50_ms', local_result[2] - relay_result[2], 'ms')
        self.add('added_p99_ms', local_result[3] - relay_result[3], 'ms')
        self.add('relay_p50_ms', relay_result[2], 'ms')
        self.add('relay_p99_ms', relay_result[3], 'ms')

    async def _split_targets(self, deployment, vm) -> tuple[list, list]:
        local_targets, remote_targets = [], []
        for number in range(KEY_COUNT):
            target = f'/{scenarios.SERVICE}/key{number}'
            explained = await deployment.get_json(
                f'http://{vm.admin_address}/explain?target={target}'
            )
            group = (
                local_targets
                if explained['home'] == vm.vm_id
                else remote_targets
            )
            group.append(target)
        return local_targets, remote_targets

    async def _measure(
        self, vm, port, targets, rate_per_s=0.0, process='ours'
    ) -> list[float]:
        """Runs the load generator once.

        Returns:
            Responses per second, number of failed requests (always 0), 50th
            and 99th percentile of the latency in milliseconds, and CPU time of
            the process per response in seconds.

        Raises:
            RuntimeError: If a request failed.
        """
        process_id = self._process_ids_by_name[process]
        before_s = processes.cpu_s(process_id)
        client = await processes.start(
            '-m',
            'measure.clients',
            vm.caller_address.host,
            str(port),
            f'--targets={",".join(targets)}',
            f'--connections={CONNECTION_COUNT}',
            f'--duration-s={DURATION_S}',
            f'--rate-per-s={rate_per_s}',
        )
        output, _ = await client.communicate()
        values = [float(part) for part in output.split()]
        if values[1]:
            raise RuntimeError(f'{values[1]:.0f} requests failed')
        used_s = processes.cpu_s(process_id) - before_s
        values.append(used_s / (values[0] * DURATION_S))
        await asyncio.sleep(0.2)
        return values
