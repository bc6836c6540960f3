"""Runs a complete deployment on loopback addresses, for demos and tests."""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
import time

import fire

from oriolefold_config import documents
from oriolefold_core import data, errors
from oriolefold_http import client
from oriolefold_tool import operations

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 40.0
CALL_TIMEOUT_S = 5.0
MAX_CLIENTS = 32
STORE_ADDRESS = data.Address('127.9.0.1', 9000)
VM_LIST_ADDRESS = data.Address('127.9.0.2', 9001)


class Deployment:
    """The processes of a deployment: daemons and stand-ins.

    Attributes:
        folder: Folder with `register.yaml` and `rules.yaml`.
        run_folder: Folder for logs and journals.
        store_address: Address of the store.
        vm_list_address: Address of the VM list.
        configuration: The register and rules at the start.
        processes_by_name: Processes, by VM ID or name of the stand-in.
    """

    def __init__(
        self,
        folder: str,
        run_folder: str,
        store_address: data.Address = STORE_ADDRESS,
        vm_list_address: data.Address = VM_LIST_ADDRESS,
        one_process_per_instance: bool = False,
        stop_limit_s: float | None = None,
    ):
        """Initializes the deployment; `start` starts its processes.

        Args:
            folder: Folder with `register.yaml` and `rules.yaml`.
            run_folder: Folder for logs and journals.
            store_address: Address of the store.
            vm_list_address: Address of the VM list.
            one_process_per_instance: Whether each instance is a process, so
                that it can be killed alone.
            stop_limit_s: Time limit of a graceful stop of a daemon, in
                seconds; by default that of its settings.
        """
        self.folder = folder
        self.run_folder = pathlib.Path(run_folder)
        self.store_address = store_address
        self.vm_list_address = vm_list_address
        self.configuration = documents.validate(documents.read_folder(folder))
        self.processes_by_name: dict[str, asyncio.subprocess.Process] = {}
        self._one_process_per_instance = one_process_per_instance
        self._stop_limit_s = stop_limit_s
        self._client = client.HttpClient(MAX_CLIENTS)

    async def start(self) -> None:
        """Starts all processes and waits until every key can be served.

        Raises:
            TimeoutError: If the deployment is not ready in time.
        """
        self.run_folder.mkdir(parents=True, exist_ok=True)
        await self.start_platform()
        await self.apply()
        for vm_id in self.configuration.register.vms_by_id:
            await self.start_daemon(vm_id)
        await self.wait_ready()

    async def start_platform(self) -> None:
        """Starts the stand-ins for the store, the VM list and the servers."""
        store, vm_list = self.store_address, self.vm_list_address
        await self._start_stand_in(
            'store', 'store', f'--ip={store.host}', f'--port={store.port}'
        )
        await self._start_stand_in(
            'vm-list',
            'vmlist',
            self.folder,
            f'--ip={vm_list.host}',
            f'--port={vm_list.port}',
        )
        register = self.configuration.register
        if self._one_process_per_instance:
            for service in register.services_by_id.values():
                for instance_id in service.instances_by_id:
                    await self.start_instance(instance_id)
        else:
            for region_id in register.region_ids:
                await self._start_stand_in(
                    f'servers-{region_id}',
                    'servers',
                    self.folder,
                    f'--region={region_id}',
                    f'--journal={self.run_folder}/journal-{region_id}.jsonl',
                )

    async def start_instance(self, instance_id: str) -> None:
        """Starts one instance in a separate process."""
        await self._start_stand_in(
            instance_id,
            'servers',
            self.folder,
            f'--only={instance_id}',
            f'--journal={self.run_folder}/journal-{instance_id}.jsonl',
        )

    async def start_daemon(self, vm_id: str) -> None:
        """Starts the daemon of a VM."""
        vm = self.configuration.register.vms_by_id[vm_id]
        arguments = [
            f'--vm-id={vm_id}',
            f'--zone={vm.zone_id}',
            f'--ip={vm.caller_address.host}',
            f'--caller-port={vm.caller_address.port}',
            f'--peer-port={vm.peer_address.port}',
            f'--admin-port={vm.admin_address.port}',
            f'--store-ip={self.store_address.host}',
            f'--store-port={self.store_address.port}',
            f'--vm-list-ip={self.vm_list_address.host}',
            f'--vm-list-port={self.vm_list_address.port}',
            f'--log-file={self.run_folder}/{vm_id}.jsonl',
        ]
        if self._stop_limit_s is not None:
            arguments.append(f'--stop-limit-s={self._stop_limit_s}')
        self.processes_by_name[vm_id] = await self._start_process(
            vm_id, '-m', 'oriolefold_daemon.cmdline', *arguments
        )

    async def apply(self) -> None:
        """Writes the register and the rules to the store, once it is up."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                await operations.apply(self.folder, self.store_address)
                return
            except errors.StoreError:
                if time.monotonic() > deadline_s:
                    raise
                await asyncio.sleep(0.1)

    async def wait_ready(self) -> None:
        """Waits until every VM is ready to route requests.

        A VM is ready when it holds its send lease (`right` in its status) and
        the shard map of every keyed service is in force.

        Raises:
            TimeoutError: If a VM is not ready in time.
        """
        keyed_service_ids = {
            service.service_id
            for service in self.configuration.register.services_by_id.values()
            if service.keyed
        }
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for vm_id in self.configuration.register.vms_by_id:
            while True:
                status = await self.status(vm_id)
                if status and status['right'].get('holds'):
                    if keyed_service_ids <= set(status['map_epochs']):
                        break
                if time.monotonic() > deadline_s:
                    raise TimeoutError(
                        f'{vm_id} not ready in time; last status: {status}'
                    )
                await asyncio.sleep(0.1)

    async def status(self, vm_id: str) -> dict | None:
        """Returns the status of a VM, or None if it does not answer."""
        vm = self.configuration.register.vms_by_id[vm_id]
        return await self.get_json(f'http://{vm.admin_address}/status')

    async def get_json(self, url: str) -> dict | None:
        """Returns the JSON object at a URL, or None if the request fails."""
        try:
            response = await self._call('GET', url)
        except errors.OriolefoldError:
            return None
        if response.code != 200:
            return None
        return json.loads(response.body)

    async def put_json(self, url: str, body: dict) -> None:
        """Sends a JSON object to a URL with PUT."""
        await self._call('PUT', url, json.dumps(body))

    async def _call(self, method: str, url: str, body: str | None = None):
        return await self._client.call(
            method,
            url,
            timeout_s=CALL_TIMEOUT_S,
            connect_timeout_s=CALL_TIMEOUT_S,
            body=body,
        )

    async def control_store(self, **change) -> None:
        """Changes the behaviour of the store; see the module `store`."""
        await self.put_json(f'http://{self.store_address}/control', change)

    async def set_vm_state(self, name: str, state: str) -> None:
        """Changes an entry of the VM list, which takes effect after its lag."""
        url = f'http://{self.vm_list_address}/control'
        await self.put_json(url, {'id': name, 'state': state})

    def send_signal(self, name: str, signal_number: signal.Signals) -> None:
        """Sends a signal to a process of the deployment."""
        process = self.processes_by_name[name]
        if process.returncode is None:
            process.send_signal(signal_number)

    async def kill(self, name: str) -> None:
        """Kills a process of the deployment and waits for it to exit."""
        self.send_signal(name, signal.SIGKILL)
        await self.processes_by_name[name].wait()

    async def stop(self) -> None:
        """Stops all processes, the daemons first."""
        daemons = list(self.configuration.register.vms_by_id)
        others = [n for n in self.processes_by_name if n not in daemons]
        for names in (daemons, others):
            await self._stop(names)
        self._client.close()

    async def _stop(self, names) -> None:
        running = [
            self.processes_by_name[name]
            for name in names
            if name in self.processes_by_name
            and self.processes_by_name[name].returncode is None
        ]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                for process in running:
                    await process.wait()
        except TimeoutError:
            for process in running:
                if process.returncode is None:
                    process.kill()

    async def _start_stand_in(
        self, name: str, module: str, *arguments: str
    ) -> None:
        self.processes_by_name[name] = await self._start_process(
            name, '-m', f'oriolefold_testbed.{module}', *arguments
        )

    async def _start_process(
        self, name, *arguments
    ) -> asyncio.subprocess.Process:
        with open(self.run_folder / f'{name}.out', 'ab') as output:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                start_new_session=True,
            )


def main(folder: str = 'examples/qurum', run_folder: str = '') -> None:
    """Runs a deployment until it is interrupted.

    Args:
        folder: Folder with `register.yaml` and `rules.yaml`.
        run_folder: Folder for logs and journals; empty for a temporary one.
    """
    run_folder = run_folder or tempfile.mkdtemp(prefix='oriolefold-')
    asyncio.run(_main(folder, run_folder))


async def _main(folder: str, run_folder: str) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop_requested.set)
    deployment = Deployment(folder, run_folder)
    print(f'starting {folder}; logs in {run_folder}', flush=True)
    start_task = asyncio.create_task(deployment.start())
    stop_task = asyncio.create_task(stop_requested.wait())
    try:
        await asyncio.wait(
            {start_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
        )
        if start_task.done():
            start_task.result()
            _print_addresses(deployment.configuration)
            await stop_task
    finally:
        start_task.cancel()
        stop_task.cancel()
        print('stopping', flush=True)
        await deployment.stop()


def _print_addresses(configuration: data.Configuration) -> None:
    register = configuration.register
    print('ready; entry VMs:', flush=True)
    for vm in register.vms_by_id.values():
        print(f'  {vm.vm_id:<16} http://{vm.caller_address}')
    first = next(iter(register.vms_by_id.values()))
    for service in register.services_by_id.values():
        path = (
            f'/{service.service_id}/try/key-1'
            if service.keyed
            else (f'/{service.service_id}/try')
        )
        print(f'  curl -i http://{first.caller_address}{path}')
    print(f'  oriolefold status --admin={first.admin_address}')
    print('press Ctrl-C to stop', flush=True)


if __name__ == '__main__':
    fire.Fire(main)
