"""Tests of allowed regions: acquisition, dispatcher and placement of keys."""

import asyncio
import dataclasses
import random
from unittest import mock

import fakes
import hypothesis
from hypothesis import strategies as st

from oriolefold_coordination import ranges
from oriolefold_core import clock, errors
from oriolefold_direct import (
    acquisition,
    admission,
    candidates,
    dispatcher,
    keyowners,
    messages,
    pending,
    regionlimits,
)
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import (
    attempts,
    concurrency,
    instancetable,
    policy,
    topology,
)
from oriolefold_telemetry import counters, logs
from oriolefold_testbed import basecase

REGION_IDS = {'z1': 'r1', 'z2': 'r1', 'z3': 'r2', 'z4': 'r3'}
LOCALITY = topology.Locality('z1', REGION_IDS)
LIMITS = st.frozensets(st.sampled_from(('r1', 'r2', 'r3', 'none')), max_size=2)
STEP = st.one_of(
    st.tuples(st.just('policy'), LIMITS),
    st.tuples(
        st.just('endpoints'), st.lists(st.sampled_from('1234'), max_size=5)
    ),
    st.tuples(st.just('load'), st.integers(0, 6)),
    st.tuples(st.just('request'), st.integers(0, 2)),
    st.tuples(st.just('retry'), st.just(0)),
)


def make_policy(version, *limits, keyed=False, routes=()):
    """Returns a policy with one route to `svc`, limited as given."""
    updated = fakes.policy_updated(
        *(routes or [fakes.route(allowed_regions=frozenset(limits))]),
        keyed=keyed,
    )
    return dataclasses.replace(updated.policy, version=version)


def make_dispatch(key=None):
    headers = {'Host': 'h.example'} | ({} if key is None else {'Key': str(key)})
    return gateway_messages.Dispatch(
        'q', 'POST', '/a/x', headers, (), b'body', '800'
    )


class AcquisitionTest(basecase.BaseCase):
    """Requests, retries and queues under random changes."""

    @hypothesis.settings(deadline=None, max_examples=150)
    @hypothesis.given(st.lists(STEP, max_size=25))
    def test_no_assignment_falls_outside_both_configurations(self, steps):
        with mock.patch.object(logs, 'event'):
            asyncio.run(self.run_steps(steps))

    async def run_steps(self, steps):
        table = instancetable.InstanceTable(LOCALITY)
        waiting_room = acquisition.Acquisition(
            table,
            keyowners.KeyOwners(table),
            clock.BootClock(),
            pending.Reporter(clock.BootClock(), counters.Counters()),
            random.Random(1),
            lambda request: None,
            lambda delay_s, service_id: None,
        )
        admitting = admission.Admission('Key')
        newest = make_policy(1)
        admitting.policy = newest
        waiting_room.update_policy(newest)
        running = {}
        for action, value in steps:
            if action == 'policy':
                newest = make_policy(newest.version + 1, *value)
                admitting.policy = newest
                waiting_room.update_policy(newest)
            elif action == 'endpoints':
                table.update(
                    {
                        f'i{number}': fakes.endpoint(f'i{number}', f'z{zone}')
                        for number, zone in enumerate(value)
                    },
                    0.0,
                )
                waiting_room.wake_all()
            elif action == 'load':
                for state in table.states_by_id.values():
                    state.in_flight = value
                waiting_room.wake('svc')
            elif action == 'request':
                request = admitting.admit(
                    make_dispatch(), clock.BootClock().now_s()
                )
                request.route = dataclasses.replace(request.route, rank=value)
                task = asyncio.create_task(waiting_room.acquire(request))
                running[task] = request
            else:
                for task, request in list(running.items()):
                    if task.done() and task.exception() is None:
                        instance = task.result().endpoint.instance_id
                        request.tried_ids.add(instance)
                        del running[task]
                        again = asyncio.create_task(
                            waiting_room.acquire(request)
                        )
                        running[again] = request
            before = {t for t in running if t.done()}
            for _ in range(3):
                await asyncio.sleep(0)
            for task in set(running) - before:
                request = running[task]
                usable = [
                    state
                    for state in table.of_service('svc')
                    if self.is_allowed(state, request, newest)
                ]
                if not task.done():
                    # Nothing waits that no instance could ever take.
                    self.assertTrue(
                        usable or not self.is_limited(request, newest)
                    )
                elif task.exception() is None:
                    self.assertTrue(
                        self.is_allowed(task.result(), request, newest)
                    )
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def limits(self, request, newest):
        (route,) = newest.routes_by_host['h.example']
        return request.route.allowed_regions, route.allowed_regions

    def is_limited(self, request, newest):
        return any(self.limits(request, newest))

    def is_allowed(self, state, request, newest):
        region_id = REGION_IDS[state.endpoint.zone_id]
        return all(
            not limit or region_id in limit
            for limit in self.limits(request, newest)
        )


class DispatcherTest(basecase.AsyncCase):
    """Requests end to end on one VM."""

    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.metrics = counters.Counters()
        self.dispatcher = dispatcher.Dispatcher(
            LOCALITY,
            'Key',
            self.instances,
            clock.BootClock(),
            attempts.BudgetLimits(0.2, 10.0, 56.0, 1),
            self.metrics,
            self.random,
        )
        await self.start(self.dispatcher)

    def prepare(self, *endpoints, version=1, limits=('r2',), keyed=False):
        newest = make_policy(version, *limits, keyed=keyed)
        self.dispatcher.post(messages.PolicyUpdated(newest))
        self.dispatcher.post(fakes.endpoints_updated(*endpoints))

    def ask(self, key=None):
        return self.dispatcher.ask(make_dispatch(key))

    async def assert_refused(self, asking, reason):
        """Checks that a request is refused as not run, and at once."""
        async with asyncio.timeout(0.15):
            with self.assertRaisesRegex(errors.OverloadedError, reason) as ctx:
                await asking
        self.assertGreater(ctx.exception.retry_after_s, 0)
        self.assertIn(f'reason="{reason}"', self.metrics.text().decode())

    async def test_request_goes_to_its_region_and_never_to_a_nearer_one(self):
        self.prepare(fakes.endpoint('near'), fakes.endpoint('far', 'z3'))
        for _ in range(3):
            await self.ask()
        self.assertEqual({s.instance_id for s in self.instances.sent}, {'far'})

    async def test_loss_of_the_region_refuses_also_what_is_queued(self):
        # The failure: the only region allowed is lost while requests wait.
        near, far = fakes.endpoint('near'), fakes.endpoint('far', 'z3', slots=1)
        self.prepare(near, far)
        self.instances.outcomes = {'far': [0.6]}
        first = asyncio.create_task(self.ask())
        await self.wait_for(lambda: self.instances.sent)
        queued = asyncio.create_task(self.ask())
        await asyncio.sleep(0.02)
        self.dispatcher.post(fakes.endpoints_updated(near))
        await self.assert_refused(queued, 'no-instance')
        await self.assert_refused(self.ask(), 'no-instance')
        await first
        self.assertEqual([s.instance_id for s in self.instances.sent], ['far'])

    async def test_unknown_region_is_logged_once_and_matches_nothing(self):
        with mock.patch.object(logs, 'event') as logged:
            for version in (1, 2):
                self.prepare(
                    fakes.endpoint('near'), version=version, limits=('mars',)
                )
            await self.assert_refused(self.ask(), 'no-instance')
        names = [call.args[0] for call in logged.call_args_list]
        self.assertEqual(names.count('regions.unknown'), 1)
        self.assertEqual(self.instances.sent, [])

    async def test_instances_that_do_not_connect_are_not_waited_for(self):
        self.prepare(fakes.endpoint('near'), fakes.endpoint('far', 'z3'))
        failure = errors.UnreachableError('no connection')
        self.instances.outcomes = {'far': [failure]}
        await self.assert_refused(self.ask(), 'no-instance')
        with mock.patch.object(concurrency, 'FAILURE_BACKOFF_S', 9.0):
            await self.assert_refused(self.ask(), 'none-in-time')

    async def test_change_while_waiting_for_a_connection_withholds_it(self):
        self.prepare(fakes.endpoint('one'), fakes.endpoint('two', 'z3'))
        self.instances.connect_s_by_id = {'two': [0.1]}
        asking = asyncio.create_task(self.ask())
        await asyncio.sleep(0.03)
        self.prepare(
            fakes.endpoint('one'),
            fakes.endpoint('two', 'z3'),
            version=2,
            limits=('r1',),
        )
        with self.assertRaises(errors.OverloadedError):
            await asking
        # The former configuration forbids one, the newest two.
        self.assertEqual(self.instances.sent, [])

    async def test_owner_outside_is_sent_nothing(self):
        self.prepare(
            fakes.endpoint('one'), fakes.endpoint('two', 'z3'), keyed=True
        )
        for version, owner in enumerate(('one', 'two'), 1):
            holder = ranges.Holder(owner, 1, 'a')
            key_range = ranges.KeyRange(0, 65535, holder, version)
            key_map = ranges.KeyMap('svc', version + 1, (key_range,))
            self.dispatcher.post(messages.KeyMapUpdated(key_map, version))
            if owner == 'one':
                await self.assert_refused(self.ask(7), 'owner-outside')
        await self.ask(7)
        self.assertEqual([s.instance_id for s in self.instances.sent], ['two'])

    # A wake that is due later must not be what assigns the instance.
    @mock.patch.object(acquisition, 'WAKE_INTERVAL_S', 9.0)
    async def test_limited_requests_ahead_hold_up_no_others(self):
        routes = [
            fakes.route(allowed_regions=frozenset({'r2'}), rank=0),
            fakes.route(route_id='open', host='open.example'),
        ]
        newest = make_policy(1, routes=routes)
        self.dispatcher.post(messages.PolicyUpdated(newest))
        far = fakes.endpoint('far', 'z3', slots=1)
        self.dispatcher.post(
            fakes.endpoints_updated(far, fakes.endpoint('near'))
        )
        self.instances.outcomes = {'far': [0.3]}
        limited = [asyncio.create_task(self.ask()) for _ in range(2)]
        await asyncio.sleep(0.02)
        dispatch = make_dispatch()
        dispatch.headers['Host'] = 'open.example'
        async with asyncio.timeout(0.15):
            await self.dispatcher.ask(dispatch)
        self.assertEqual(self.instances.sent[-1].instance_id, 'near')
        await asyncio.gather(*limited, return_exceptions=True)


class RegionLimitsTest(basecase.AsyncCase):
    """The newest configuration binds a request that an earlier one admitted."""

    async def test_both_the_named_and_the_matching_route_bind(self):
        # A renamed route would otherwise free what it had admitted.
        admitting = admission.Admission('Key')
        admitting.policy = make_policy(1, 'r1', 'r2')
        request = admitting.admit(make_dispatch(), 0.0)
        limits = regionlimits.RegionLimits(LOCALITY)
        for version, changes, expected in (
            (2, {'route_id': 'renamed'}, {'r2'}),
            (3, {'host': 'moved.example'}, {'r2'}),
            (4, {'allowed_regions': frozenset()}, {'r1', 'r2'}),
        ):
            values = {'allowed_regions': frozenset({'r2', 'r3'})} | changes
            newest = make_policy(version, routes=[fakes.route(**values)])
            limits.update(newest, 0.0)
            self.assertEqual(limits.allowed_region_ids(request), expected)


class PlacementTest(basecase.BaseCase):
    """Where the leader may place the keys of a service."""

    def zones(self, *limits, weight=1.0):
        shares = (policy.Share('svc', weight),)
        routes = [
            fakes.route(
                prefix=f'/{n}/', allowed_regions=frozenset(x), shares=shares
            )
            for n, x in enumerate(limits)
        ]
        newest = make_policy(1, routes=routes)
        return regionlimits.key_zone_ids(newest, 'svc', LOCALITY)

    def test_keys_are_placed_in_what_the_routes_have_in_common(self):
        self.assertEqual(self.zones((), ('r1', 'r2'), ('r2', 'r3')), {'z3'})
        self.assertEqual(self.zones(('r1', 'mars'), ('mars',)), {'z1', 'z2'})
        for limits in ((), ('r1',), ('r2',)), ((),), (('mars',),):
            self.assertIsNone(self.zones(*limits), limits)
        self.assertIsNone(self.zones(('r1',), weight=0.0))

    def test_owner_outside_is_no_candidate_once_the_zones_change(self):
        known = candidates.Candidates('svc')
        endpoints = {
            e.instance_id: e
            for e in (fakes.endpoint('one'), fakes.endpoint('two', 'z3'))
        }

        def available():
            return [
                c.holder.instance_id
                for c in known.available(lambda endpoint: 1.0, 0.0)
            ]

        self.assertTrue(known.update(endpoints))
        self.assertEqual(available(), ['one', 'two'])
        self.assertTrue(known.update(endpoints, frozenset({'z3'})))
        self.assertEqual(available(), ['two'])
        self.assertFalse(known.has_changed)
        self.assertFalse(known.update(endpoints, frozenset({'z3'})))
