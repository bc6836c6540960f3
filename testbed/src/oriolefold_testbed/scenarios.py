"""Small deployments for tests and measurements, on separate addresses."""

import functools
import os
import pathlib
import socket

import yaml

from oriolefold_core import data
from oriolefold_testbed import deployment

REGIONS = ('r1', 'r2', 'r3')
SERVICE = 'stock'
UNKEYED_SERVICE = 'orders'
NETWORKS = range(30, 230)
RESERVATION_PORT = 9002


def write_documents(
    folder: pathlib.Path,
    network: int,
    vm_count: int = 6,
    instance_count: int = 6,
    checks_tokens: bool = True,
    shards: int = 32,
    placement: str = 'imbalance-first',
    slots: int = 6,
    single_zone: bool = False,
) -> None:
    """Writes a register and rules for a keyed and an unkeyed service.

    VMs and instances are assigned in turn to the two zones of each of three
    regions.

    Args:
        folder: Folder to write the files to.
        network: Second octet of all IP addresses.
        vm_count: Number of entry VMs.
        instance_count: Number of instances of each service.
        checks_tokens: Whether the servers of the keyed service check fencing
            tokens.
        shards: Number of shards of the keyed service.
        placement: Placement policy of the keyed service.
        slots: Concurrent requests per instance.
        single_zone: Whether to put all VMs and instances in one zone.
    """
    folder.mkdir(parents=True, exist_ok=True)
    zones = [f'{region}-{letter}' for letter in 'ab' for region in REGIONS]
    zones = zones[:1] if single_zone else zones
    zone_ids = [zones[i % len(zones)] for i in range(instance_count)]
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
            _service(SERVICE, True, checks_tokens, network, 1, slots, zone_ids),
            _service(
                UNKEYED_SERVICE, False, False, network, 2, slots, zone_ids
            ),
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
    name, keyed, checks_tokens, network, subnet, slots, zone_ids
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
            for i, zone in enumerate(zone_ids)
        ],
    }


def reserve_network(start: int) -> tuple[int, socket.socket]:
    """Reserves a network that no other process has reserved.

    Args:
        start: Where to begin the search.

    Returns:
        Second octet of its addresses, and the socket that reserves them.

    Raises:
        OSError: If all networks are reserved.
    """
    for offset in range(len(NETWORKS)):
        network = NETWORKS[(start + offset) % len(NETWORKS)]
        reservation = socket.socket()
        try:
            reservation.bind((f'127.{network}.9.3', RESERVATION_PORT))
        except OSError:
            reservation.close()
            continue
        return network, reservation
    raise OSError('all networks of tests are in use')


@functools.cache
def _own_network() -> tuple[int, socket.socket]:
    """Returns the network of this process and its reservation."""
    return reserve_network(os.getpid())


def make_deployment(
    run_folder: pathlib.Path, stop_limit_s: float | None = None, **options
) -> deployment.Deployment:
    """Returns a deployment that has not been started.

    Args:
        run_folder: Folder for the register, the rules, logs and journals.
        stop_limit_s: Time limit of a graceful stop of a daemon, in seconds; by
            default that of its settings.
        **options: Options of `write_documents`.
    """
    network, _ = _own_network()
    write_documents(run_folder / 'documents', network, **options)
    return deployment.Deployment(
        str(run_folder / 'documents'),
        str(run_folder),
        data.Address(f'127.{network}.9.1', 9000),
        data.Address(f'127.{network}.9.2', 9001),
        one_process_per_instance=True,
        stop_limit_s=stop_limit_s,
    )
