"""Tests of oriolefold_direct.coordinators."""

import fakes

from oriolefold_coordination import leaderelection
from oriolefold_core import tasks
from oriolefold_direct import coordinators, messages
from oriolefold_routing import topology
from oriolefold_testbed import basecase


class _Coordinator(tasks.Task):
    """Coordinator that records whether it was started and has resigned."""

    def __init__(self, service_id):
        super().__init__(service_id)
        self.has_started = False
        self.has_resigned = False
        self.messages = []

    async def on_start(self):
        self.has_started = True

    async def handle(self, message):
        self.messages.append(message)

    async def resign(self):
        self.has_resigned = True


class CoordinatorsTest(basecase.AsyncCase):
    """One coordinator runs for each keyed service, until the VM resigns."""

    async def asyncSetUp(self):
        self.made = []
        self.supervisor = coordinators.Coordinators(
            self.make,
            'vm',
            'process',
            topology.Locality('z1', {'z1': 'r1', 'z3': 'r2'}),
        )
        await self.start(self.supervisor)

    def make(self, service_id):
        self.made.append(_Coordinator(service_id))
        return self.made[-1]

    async def test_keyed_service_gets_one_coordinator_that_resigns(self):
        for _ in range(2):
            self.supervisor.post(fakes.policy_updated(keyed=True))
        await self.wait_for(lambda: self.made and self.made[0].has_started)
        await self.supervisor.resign()
        self.assertEqual([made.has_resigned for made in self.made], [True])

    async def test_an_entry_of_an_unknown_service_proves_nothing(self):
        known = fakes.endpoint('i1')
        other = fakes.endpoint('i2', service='other', born_ms=2)
        update = messages.EndpointsUpdated({'i1': known, 'i2': other})
        self.supervisor.post(update)
        self.supervisor.post(fakes.policy_updated(keyed=True))
        self.supervisor.post(update)
        await self.wait_for(
            lambda: self.made and len(self.made[0].messages) > 1
        )
        for message in self.made[0].messages:
            self.assertEqual(message.endpoints_by_id, {'i1': known})

    async def test_coordinator_is_told_where_the_routes_let_keys_be(self):
        # Without it, keys stay with owners that get no requests.
        self.supervisor.post(fakes.endpoints_updated(fakes.endpoint('i1')))
        for limits in ((), ('r1',)):
            route = fakes.route(allowed_regions=frozenset(limits))
            self.supervisor.post(fakes.policy_updated(route, keyed=True))
        await self.settle(self.supervisor, 'unknown')
        told = [message.key_zone_ids for message in self.made[0].messages]
        self.assertEqual(told, [None, frozenset({'z1'})])

    async def test_no_coordinator_starts_after_the_resignation(self):
        await self.supervisor.resign()
        self.supervisor.post(fakes.policy_updated(keyed=True))
        await self.settle(self.supervisor)
        self.assertEqual(self.made, [])

    async def test_process_that_never_led_a_service_says_so(self):
        statement = await self.supervisor.ask(messages.EndTerms('svc', 7))
        expected = leaderelection.TermsEnded('vm', 'process', 7)
        self.assertEqual(statement, expected)

    async def settle(self, task, service_id='svc'):
        """Waits until a task has handled what was posted before."""
        await task.ask(fakes.load_report(service_id))
