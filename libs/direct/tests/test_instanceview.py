"""Tests of the state of instances: instanceview, healthchecks, verifying."""

import asyncio
import dataclasses
import itertools

import fakes

from oriolefold_core import clock, errors, tasks
from oriolefold_direct import (
    candidates,
    healthchecks,
    instanceview,
    messages,
    ports,
    verifying,
)
from oriolefold_routing import policy
from oriolefold_telemetry import counters
from oriolefold_testbed import basecase

CALL = ports.Call('q', 'GET', '/', (), b'')


class _Subscriber(tasks.Task):
    """Task that keeps the messages it gets."""

    def __init__(self):
        super().__init__('subscriber')
        self.received = []

    async def handle(self, message):
        self.received.append(message)

    @property
    def endpoints_by_id(self):
        """The instances in the latest message."""
        return self.received[-1].endpoints_by_id


def updated_policy(rate_per_s=4.5, health_path='/h', rank=1):
    """Returns a policy whose service has a warm-up rate."""
    update = fakes.policy_updated(fakes.route(rank=rank))
    profile = policy.ServiceProfile(
        'svc', False, 100, rate_per_s, 3.0, health_path
    )
    return messages.PolicyUpdated(
        dataclasses.replace(update.policy, services_by_id={'svc': profile})
    )


class InstanceViewTest(basecase.AsyncCase):
    """Registrations become instances with a state, posted when it changes."""

    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.clock = clock.ManualClock(100.0)
        recorder = counters.Counters()
        self.checker = healthchecks.HealthChecker(
            self.instances, self.clock, recorder, self.random
        )
        self.view = instanceview.InstanceView(
            self.clock, self.checker, recorder, True
        )
        self.subscriber = _Subscriber()
        self.view.subscribe(self.subscriber)
        self.checker.subscribe(self.view)
        self.sender = verifying.VerifyingInstances(
            self.instances, self.view, self.checker, self.clock
        )
        await self.start(self.subscriber, self.view, self.checker)

    async def post(self, *received):
        for message in received:
            self.view.post(message)
        await self.settle()

    async def settle(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def prepare(self, *endpoints, **changes):
        await self.post(
            updated_policy(**changes),
            messages.EvacuationsUpdated(frozenset()),
            fakes.endpoints_updated(*endpoints or [fakes.endpoint('one')]),
        )
        return self.subscriber.endpoints_by_id.get('one')

    async def test_nothing_is_posted_before_evacuations_are_known(self):
        # A VM that starts would send to an evacuated zone.
        update = fakes.endpoints_updated(fakes.endpoint('one'))
        await self.post(updated_policy(), update)
        self.assertEqual(self.subscriber.received, [])

    async def test_without_a_rate_registrations_pass_unchanged(self):
        registered = fakes.endpoint('one', warm_up_s=2.0)
        update = fakes.endpoints_updated(registered)
        await self.post(
            updated_policy(0.0),
            messages.EvacuationsUpdated(frozenset()),
            update,
            messages.ConnectionFailed(registered),
            updated_policy(0.0, rank=2),
        )
        self.assertEqual(len(self.subscriber.received), 1)
        self.assertIs(self.subscriber.received[0], update)
        await self.sender.send(registered, CALL, 1.0)
        self.assertEqual(self.instances.health_checks, [])

    async def test_instances_are_cold_for_the_whole_time_after_evacuation(self):
        registered = await self.prepare()
        await self.post(updated_policy(rank=2))
        self.assertEqual(len(self.subscriber.received), 1)
        await self.post(
            messages.EvacuationsUpdated(frozenset({'z1'})),
            messages.ConnectionFailed(registered),
        )
        self.assertEqual(self.instances.health_checks, [])
        self.assertTrue(self.subscriber.endpoints_by_id['one'].evacuated)
        self.clock.advance(10.0)
        await self.post(messages.EvacuationsUpdated(frozenset()))
        found = self.subscriber.endpoints_by_id['one']
        self.assertFalse(found.evacuated)
        self.assertEqual(found.cold_until_s, 113.0)

    async def test_a_failed_connection_leads_to_checks_until_one_succeeds(self):
        registered = await self.prepare()
        failure = errors.UnreachableError('down')
        self.instances.health_outcomes['one'] = [failure, 2.5]
        self.instances.may_answer.clear()
        await self.post(messages.ConnectionFailed(registered))
        self.assertTrue(self.subscriber.endpoints_by_id['one'].unverified)
        await self.post(messages.ConnectionFailed(registered))
        self.assertEqual(self.instances.health_checks, ['one'])
        self.instances.may_answer.set()
        self.clock.advance(0.1)
        await self.settle()
        self.checker.post(messages.Tick())
        await self.settle()
        self.assertEqual(self.instances.health_checks, ['one'])
        self.clock.advance(1.3)
        self.checker.post(messages.Tick())
        await self.settle()
        found = self.subscriber.endpoints_by_id['one']
        self.assertFalse(found.unverified)
        self.assertAlmostEqual(found.cold_until_s, 103.9)

    async def test_without_a_health_path_a_failure_counts_as_a_restart(self):
        # Nothing could verify the instance, so it would get nothing for ever.
        registered = await self.prepare(health_path='')
        await self.post(messages.ConnectionFailed(registered))
        found = self.subscriber.endpoints_by_id['one']
        self.assertFalse(found.unverified)
        self.assertEqual(found.cold_until_s, 103.0)

    async def test_requests_wait_for_one_check_and_a_cold_one_gets_none(self):
        registered = await self.prepare()
        unverified = errors.UnverifiedError('no connection')
        self.instances.outcomes['one'] = [unverified] * 5
        self.instances.health_outcomes['one'] = [2.0]
        results = await asyncio.gather(
            *(self.sender.send(registered, CALL, 1.0) for _ in range(5)),
            return_exceptions=True,
        )
        for result in results:
            self.assertIsInstance(result, errors.UnverifiedError)
        self.assertEqual(self.instances.health_checks, ['one'])
        self.assertEqual(len(self.instances.sent), 5)  # The first attempts.
        await self.settle()
        cold_until_s = self.subscriber.endpoints_by_id['one'].cold_until_s
        self.assertEqual(cold_until_s, 102.0)

    async def test_a_withheld_request_is_no_failure(self):
        registered = await self.prepare()
        with self.assertRaises(errors.UnreachableError):
            await self.sender.send(registered, CALL, 1.0, lambda: False)
        await self.settle()
        self.assertEqual(self.instances.health_checks, [])


class CandidatesTest(basecase.BaseCase):
    """Instances that are away or cold get no keys, and return one by one."""

    def counts(self, times_s, **changes):
        """Returns how many of 20 instances and a warm one are candidates."""
        found = candidates.Candidates('svc')
        others = [fakes.endpoint(f'x{index}', **changes) for index in range(20)]
        known = [fakes.endpoint('one'), *others]
        found.update({e.instance_id: e for e in known})
        return [len(found.available(lambda _: 1.0, t)) for t in times_s]

    def test_states_and_times_decide_who_is_a_candidate(self):
        self.assertEqual(self.counts([0.0], evacuated=True), [1])
        # A short health check must not move keys that would move back.
        times_s = (0.0, 1.0, 1.3)
        self.assertEqual(self.counts(times_s, unverified=True), [21, 21, 1])

    def test_instances_that_become_warm_together_return_spread_out(self):
        times_s = (2.9, 3.5, 4.0, 4.5, 5.0, 5.5, 6.1)
        counts = self.counts(times_s, cold_until_s=3.0)
        self.assertEqual((counts[0], counts[-1]), (1, 21))
        steps = [b - a for a, b in itertools.pairwise(counts)]
        self.assertLessEqual(max(steps), 10)

    def test_cold_instances_get_keys_if_there_are_no_others(self):
        found = candidates.Candidates('svc')
        found.update({'a': fakes.endpoint('a', cold_until_s=9.0)})
        self.assertEqual(len(found.available(lambda _: 1.0, 1.0)), 1)
