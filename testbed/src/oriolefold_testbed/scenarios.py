"""Small deployments for failure tests, on loopback addresses of their own."""

import os
import pathlib

import yaml

from oriolefold_core import data
from oriolefold_testbed import deployment

REGIONS = ('r1', 'r2', 'r3')
SERVICE = 'stock'
FREE_SERVICE = 'orders'


def write_documents(
    folder: pathlib.Path,
    network: int,
    vm_count: int = 6,
    instance_count: int = 6,
    checks_tokens: bool = True,
    shards: int = 32,
    placement: str = 'imbalance-first',
    slots: int = 6,
    one_zone: bool = False,
) -> None:
    """Writes a register and rules with one keyed service and one without keys.

    VMs and instances are spread over two zones in each of three regions.

    Args:
        folder: Where the files go.
        network: Second number of all IP numbers.
        vm_count: Entry VMs.
        instance_count: Instances of each service.
        checks_tokens: Whether the keyed servers check tokens.
        shards: Shards of the keyed service.
        placement: Placement policy of the keyed service.
        slots: Slots of each instance.
        one_zone: Whether everything stands in one zone.
    """
    folder.mkdir(parents=True, exist_ok=True)
    zones = [f'{region}-{letter}' for letter in 'ab' for region in REGIONS]
    zones = zones[:1] if one_zone else zones
    places = [zones[i % len(zones)] for i in range(instance_count)]
    register = {
        'regions': [
            {'id': r, 'zones': [{'id': f'{r}-a'}, {'id': f'{r}-b'}]}
            for r in REGIONS
        ],
        'vms': [
            {
                'id': f'vm{i}',
                'zone': zones[i % len(zones)],
                'ip': f'127.{network}.0.{i + 1}',
            }
            for i in range(vm_count)
        ],
        'services': [
            _service(SERVICE, True, checks_tokens, network, 1, slots, places),
            _service(FREE_SERVICE, False, False, network, 2, slots, places),
        ],
    }
    rules = {
        'rules': [
            {
                'service': SERVICE,
                'key': {'segment': 1},
                'shards': shards,
                'placement': placement,
                'deadline_ms': 3000,
            }
        ]
    }
    (folder / 'register.yaml').write_text(yaml.safe_dump(register))
    (folder / 'rules.yaml').write_text(yaml.safe_dump(rules))


def _service(
    name, keyed, checks_tokens, network, subnet, slots, places
) -> dict:
    return {
        'id': name,
        'keyed': keyed,
        'checks_tokens': checks_tokens,
        'slots': slots,
        'connections': 110,
        'instances': [
            {
                'id': f'{name}-{i}',
                'zone': zone,
                'ip': f'127.{network}.{subnet}.{i + 1}',
                'port': 9100,
            }
            for i, zone in enumerate(places)
        ],
    }


def make(run_folder: pathlib.Path, **options) -> deployment.Deployment:
    """Returns a deployment that is not yet started.

    Args:
        run_folder: Folder for documents, logs and journals.
        **options: See `write_documents`.
    """
    # Runs at the same time must not meet, so the process number decides.
    network = 30 + os.getpid() % 200
    write_documents(run_folder / 'documents', network, **options)
    return deployment.Deployment(
        str(run_folder / 'documents'),
        str(run_folder),
        data.Address(f'127.{network}.9.1', 9000),
        data.Address(f'127.{network}.9.2', 9001),
        one_process_per_instance=True,
    )
