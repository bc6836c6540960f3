"""Runs a whole deployment on loopback addresses, to try it out or test it."""

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
    """Processes of one deployment.

    Attributes:
        configuration: The register and rules that it was started with.
        run_folder: Folder of the logs and journals.
        processes_by_name: The processes, by VM or stand-in.
    """

    def __init__(
        self,
        folder: str,
        run_folder: str,
        store_address: data.Address = STORE_ADDRESS,
        vm_list_address: data.Address = VM_LIST_ADDRESS,
        one_process_per_instance: bool = False,
    ):
        self.folder = folder
        self.run_folder = pathlib.Path(run_folder)
        self.store_address = store_address
        self.vm_list_address = vm_list_address
        self.configuration = documents.validate(documents.read_folder(folder))
        self.processes_by_name: dict[str, asyncio.subprocess.Process] = {}
        self._one_process_per_instance = one_process_per_instance
        self._client = client.HttpClient(MAX_CLIENTS)

    async def start(self) -> None:
        """Starts everything and waits until every key can be served.

        Raises:
            TimeoutError: If that takes too long.
        """
        self.run_folder.mkdir(parents=True, exist_ok=True)
        await self.start_platform()
        await self.apply()
        for vm_id in self.configuration.register.vms_by_id:
            await self.start_daemon(vm_id)
        await self.wait_ready()

    async def start_platform(self) -> None:
        """Starts the store, the list of VMs and the servers."""
        store, vm_list = self.store_address, self.vm_list_address
        await self._spawn(
            'store', 'store', f'--ip={store.host}', f'--port={store.port}'
        )
        await self._spawn(
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
                await self._spawn(
                    f'servers-{region_id}',
                    'servers',
                    self.folder,
                    f'--region={region_id}',
                    f'--journal={self.run_folder}/journal-{region_id}.jsonl',
                )

    async def start_instance(self, instance_id: str) -> None:
        """Starts one instance as a process of its own."""
        await self._spawn(
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
        self.processes_by_name[vm_id] = await self._run(
            vm_id, '-m', 'oriolefold_daemon.cmdline', *arguments
        )

    async def apply(self) -> None:
        """Writes the register and the rules to the store."""
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
        """Waits until every VM holds its right and all maps are in force."""
        keyed = {
            service.service_id
            for service in self.configuration.register.services_by_id.values()
            if service.keyed
        }
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        for vm_id in self.configuration.register.vms_by_id:
            while True:
                status = await self.status(vm_id)
                if status and status['right'].get('holds'):
                    if keyed <= set(status['map_epochs']):
                        break
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f'{vm_id} is not ready: {status}')
                await asyncio.sleep(0.1)

    async def status(self, vm_id: str) -> dict | None:
        """Returns the status of a VM, or None if it does not answer."""
        vm = self.configuration.register.vms_by_id[vm_id]
        return await self.get_json(f'http://{vm.admin_address}/status')

    async def get_json(self, url: str) -> dict | None:
        """Returns the JSON object at an URL, or None if there is no answer."""
        try:
            response = await self._call('GET', url)
        except errors.OriolefoldError:
            return None
        if response.code != 200:
            return None
        return json.loads(response.body)

    async def put_json(self, url: str, body: dict) -> None:
        """Sends a JSON object to an URL."""
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
        """Changes the behaviour of the store."""
        await self.put_json(f'http://{self.store_address}/control', change)

    async def set_vm_state(self, name: str, state: str) -> None:
        """Changes an entry of the list of VMs, after its lag."""
        url = f'http://{self.vm_list_address}/control'
        await self.put_json(url, {'id': name, 'state': state})

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of the deployment."""
        process = self.processes_by_name[name]
        if process.returncode is None:
            process.send_signal(number)

    async def kill(self, name: str) -> None:
        """Kills a process of the deployment and waits for its end."""
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

    async def _spawn(self, name: str, module: str, *arguments: str) -> None:
        self.processes_by_name[name] = await self._run(
            name, '-m', f'oriolefold_testbed.{module}', *arguments
        )

    async def _run(self, name, *arguments) -> asyncio.subprocess.Process:
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
    """Starts a deployment and keeps it until it is interrupted."""
    run_folder = run_folder or tempfile.mkdtemp(prefix='oriolefold-')
    asyncio.run(_main(folder, run_folder))


async def _main(folder: str, run_folder: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopping.set)
    deployment = Deployment(folder, run_folder)
    print(f'starting {folder}; logs in {run_folder}', flush=True)
    starting = asyncio.create_task(deployment.start())
    asked = asyncio.create_task(stopping.wait())
    try:
        await asyncio.wait(
            {starting, asked}, return_when=asyncio.FIRST_COMPLETED
        )
        if starting.done():
            starting.result()
            _print_addresses(deployment.configuration)
            await asked
    finally:
        starting.cancel()
        asked.cancel()
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
    print('Ctrl-C stops it', flush=True)


if __name__ == '__main__':
    fire.Fire(main)
