"""Tests that a policy is in force as a whole."""

import asyncio
import re
from unittest import mock

import fakes
import test_application

from oriolefold_core import errors
from oriolefold_direct import admission, messages
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import policy
from oriolefold_store import ports as store_ports
from oriolefold_testbed import basecase

CHANGE_COUNT = 40
PATHS = ('/a/', '/a/b/', '/c/')
SMALL_BODY, LARGE_BODY = 100, 5000  # Every second version allows large ones.
NOT_FOUND = 404
TOO_LARGE = 413
StaticReader = test_application._StaticReader


def max_body_bytes(version) -> int:
    """Returns the limit of a version."""
    return LARGE_BODY if version % 2 else SMALL_BODY


def make_policy(version, generator) -> policy.Policy:
    """Returns a policy whose services and times name its version."""
    service_ids = [f'v{version}-{name}' for name in 'xyz']
    routes = [
        fakes.route(
            route_id=f'route-{index}',
            prefix=prefix,
            shares=tuple(
                policy.Share(service_id, generator.uniform(0.1, 1))
                for service_id in generator.sample(
                    service_ids, generator.randrange(1, 4)
                )
            ),
            timeout_s=1.0 + version,
        )
        for index, prefix in enumerate(PATHS)
        if index == version % len(PATHS) or generator.random() < 0.7
    ]
    return policy.Policy(
        version,
        policy.group_by_host(routes),
        {
            service_id: policy.ServiceProfile(
                service_id, generator.random() < 0.5, 100
            )
            for service_id in service_ids
        },
        policy.CallerLimits(16384, max_body_bytes(version), 3.0, 15.0),
    )


class AdmissionTest(basecase.AsyncCase):
    """A request is admitted by one version only."""

    async def test_new_route_finds_service_split_and_timeout_of_its_version(
        self,
    ):
        admitting = admission.Admission('Key')
        admitted = 0
        for version in range(1, CHANGE_COUNT):
            admitting.policy = make_policy(version, self.random)
            for path in self.random.choices(PATHS, k=20):
                dispatch = gateway_messages.Dispatch(
                    'q',
                    'GET',
                    f'{path}x',
                    {'Host': 'h.example', 'Key': '7'},
                    (),
                    b'',
                    '60000',
                )
                try:
                    request = admitting.admit(dispatch, 100.0)
                except errors.UnknownServiceError:
                    self.assertIsNone(
                        admitting.policy.find('h.example', dispatch.target)
                    )
                    continue
                admitted += 1
                profile = admitting.policy.services_by_id[request.service_id]
                self.assertEqual(request.key is not None, profile.keyed)
                self.assertIn(
                    request.service_id,
                    [share.service_id for share in request.route.shares],
                )
                self.assertEqual(request.expires_at_s, 101.0 + version)
        self.assertGreater(admitted, CHANGE_COUNT)


class _ChangingStore(test_application._Store):
    """Store whose watch of configurations returns what is put."""

    def __init__(self):
        super().__init__()
        self.changes = asyncio.Queue()

    async def watch(self, prefix, after_revision, timeout_s):
        if prefix != 'config/':
            return await super().watch(prefix, after_revision, timeout_s)
        return await self.changes.get()

    def put(self, version):
        """Stores a version of the configuration."""
        stored = store_ports.StoredObject(
            'config/main', version, str(version).encode()
        )
        self.changes.put_nowait(store_ports.Changes(version, (stored,)))


class _PolicyReader(test_application._StaticReader):
    """Reader of policies that are stored as their version."""

    def build_message(self, values_by_name):
        version = int(values_by_name['config/main'].content)
        routes = [
            fakes.route(route_id=prefix, prefix=prefix)
            for prefix in ('/a/', f'/{version}/')
        ]
        return messages.PolicyUpdated(
            policy.Policy(
                version,
                policy.group_by_host(routes),
                {'svc': policy.ServiceProfile('svc', False, 100)},
                policy.CallerLimits(16384, max_body_bytes(version), 3.0, 15.0),
            )
        )


class PolicyChangeTest(test_application.StopCase):
    """What follows a request of the new version is handled by it, too."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store = _ChangingStore()
        self.enterContext(
            mock.patch.object(
                test_application,
                '_StaticReader',
                lambda prefix, message: (
                    _PolicyReader(prefix, None)
                    if prefix == 'config/'
                    else StaticReader(prefix, message)
                ),
            )
        )

    async def send(self, connection, path, body_bytes=0):
        """Returns the status of the answer to a request."""
        reader, writer = connection
        writer.write(
            f'POST {path}x HTTP/1.1\r\nHost: h.example\r\n'
            f'Deadline-Ms: 3000\r\nX-Request-Id: q\r\n'
            f'Content-Length: {body_bytes}\r\n\r\n'.encode()
            + bytes(body_bytes)
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        length = re.search(r'Content-Length: (\d+)', head)
        await reader.readexactly(int(length.group(1)))
        return int(head.split()[1])

    async def test_new_route_is_not_in_force_before_its_limits(self):
        self.store.put(1)
        await self.start_entry()
        connection = await self.connect()
        for version in range(1, CHANGE_COUNT):
            if version > 1:
                self.store.put(version)
            while await self.send(connection, f'/{version}/') == NOT_FOUND:
                await asyncio.sleep(0)
            large = await self.connect()
            status = await self.send(large, '/a/', LARGE_BODY)
            self.assertEqual(status, 200 if version % 2 else TOO_LARGE)
            self.assertEqual(
                await self.send(connection, '/a/', SMALL_BODY), 200
            )
