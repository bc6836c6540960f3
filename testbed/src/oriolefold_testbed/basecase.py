"""Base test cases and factories of test data, shared by all libraries."""

import asyncio
import contextlib
import errno
import itertools
import os
import random
import resource
import socket
import time
import unittest
from collections.abc import Awaitable, Callable, Coroutine, Iterator

from oriolefold_core import data, tasks

SEED = 7
MAX_DESCRIPTORS = 256  # While a test uses them up.
WAIT_TIMEOUT_S = 20.0  # Only a hung test reaches it; no assertion uses it.
_RESERVATIONS_BY_ADDRESS: dict[data.Address, socket.socket] = {}
# Starts at a random port, so that concurrent runs rarely share ports.
_PORTS = itertools.count(20_000 + random.SystemRandom().randrange(8_000))


@contextlib.contextmanager
def no_descriptors() -> Iterator[None]:
    """Uses up the descriptors of this process."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_DESCRIPTORS, limits[1]))
    with contextlib.ExitStack() as used:
        used.callback(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
        with contextlib.suppress(OSError):
            while True:
                used.callback(os.close, os.dup(0))
        yield


class BaseCase(unittest.TestCase):
    """Test case with a seeded random number generator."""

    def setUp(self):
        """Seeds the random number generator."""
        self.random = random.Random(SEED)


class AsyncCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose tests are coroutines, with a seeded generator."""

    def setUp(self):
        """Seeds the random number generator."""
        self.random = random.Random(SEED)

    async def start(self, *new_tasks: tasks.Task) -> None:
        """Starts tasks and stops them after the test."""
        for task in new_tasks:
            await task.start()
            self.addAsyncCleanup(task.stop)

    def make_hanging(self) -> Callable[..., Coroutine]:
        """Returns a coroutine function that hangs, also when cancelled.

        It returns once the test has ended.
        """
        released = asyncio.Event()
        self.addCleanup(released.set)

        async def hang(*_):
            while not released.is_set():
                with contextlib.suppress(asyncio.CancelledError):
                    await released.wait()

        return hang

    async def wait_for(
        self, condition: Callable[[], object | Awaitable[object]]
    ) -> None:
        """Waits until a condition is true and fails the test on a timeout."""
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while True:
            value = condition()
            if asyncio.iscoroutine(value):
                value = await value
            if value:
                return
            if time.monotonic() > deadline_s:
                self.fail('condition not met in time')
            await asyncio.sleep(0.01)


class RecordingTask(tasks.Task):
    """Task that records the messages posted to it.

    Attributes:
        messages: The messages, in the order of their arrival.
    """

    def __init__(self, name: str = 'recording'):
        super().__init__(name)
        self.messages: list = []

    def post(self, message) -> None:
        """Records a message immediately."""
        self.messages.append(message)

    async def handle(self, message) -> None:
        """Does nothing: `post` records messages without queueing them."""

    def messages_of_type(self, message_class: type) -> list:
        """Returns the recorded messages of a class."""
        return [m for m in self.messages if isinstance(m, message_class)]


def free_address() -> data.Address:
    """Returns a loopback address that no other test run uses.

    It stays reserved until this process ends, also while no server listens.
    """
    while True:
        address = data.Address('127.0.0.1', next(_PORTS))
        if _reserve(address):
            return address


def _reserve(address: data.Address) -> bool:
    reservation = socket.socket()
    try:
        reservation.bind((address.host, address.port))
    except OSError as error:
        reservation.close()
        if error.errno != errno.EADDRINUSE:
            raise
        return False
    # Now servers, which set this option, too, may bind the address. It refuses
    # connections as long as none of them listens.
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _RESERVATIONS_BY_ADDRESS[address] = reservation
    return True


def make_register(
    vm_count: int = 3,
    instance_count: int = 4,
    keyed: bool = True,
    checks_tokens: bool = True,
) -> data.Register:
    """Returns a register of three regions with one service, `svc`.

    VMs and instances are assigned to the six zones in turn.
    """
    region_ids = ('r1', 'r2', 'r3')
    zones_by_id = {
        f'{region_id}-{letter}': data.Zone(f'{region_id}-{letter}', region_id)
        for letter in 'ab'
        for region_id in region_ids
    }
    zone_ids = list(zones_by_id)
    vms_by_id = {
        f'vm{i}': data.Vm(
            f'vm{i}',
            zone_ids[i % len(zone_ids)],
            free_address(),
            free_address(),
            free_address(),
        )
        for i in range(vm_count)
    }
    instances_by_id = {
        f's{i}': data.Instance(
            f's{i}',
            'svc',
            zone_ids[i % len(zone_ids)],
            free_address(),
            6,
            110,
            checks_tokens,
        )
        for i in range(instance_count)
    }
    service = data.Service('svc', keyed, 16 if keyed else 0, instances_by_id)
    return data.Register(region_ids, zones_by_id, vms_by_id, {'svc': service})


def make_configuration(
    register: data.Register,
    version: int = 1,
    placement: str = 'imbalance-first',
) -> data.Configuration:
    """Returns a configuration that takes keys from segment 1 of the path."""
    rules = {}
    for service in register.services_by_id.values():
        key = None
        if service.keyed:
            key = data.KeyRule(data.KeySource.SEGMENT, segment=1)
        rules[service.service_id] = data.ServiceRule(
            service.service_id,
            key,
            2.0,
            frozenset({'GET', 'HEAD'}),
            placement,
            50,
        )
    return data.Configuration(version, register, rules)


def make_request(
    method: str = 'GET',
    key: str = 'k',
    body: bytes = b'',
    expires_at_s: float = 1e12,
    request_id: str = 'request-1',
    importance: int = 50,
) -> data.Request:
    """Returns a request to the service `svc`."""
    return data.Request(
        request_id,
        method,
        f'/svc/{key}',
        (),
        body,
        'svc',
        key,
        method in ('GET', 'HEAD'),
        importance,
        expires_at_s,
    )
