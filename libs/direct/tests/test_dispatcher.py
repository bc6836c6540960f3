"""Tests of oriolefold_direct.dispatcher."""

import asyncio
from unittest import mock

import fakes

from oriolefold_coordination import ranges
from oriolefold_core import clock, data, errors
from oriolefold_direct import dispatcher, messages, pending
from oriolefold_gateway import messages as gateway_messages
from oriolefold_routing import announcements, attempts, topology
from oriolefold_sending import messages as sending_messages
from oriolefold_store import ports
from oriolefold_telemetry import counters, logs
from oriolefold_testbed import basecase

LOCALITY = topology.Locality('z1', {'z1': 'r1', 'z2': 'r1', 'z3': 'r2'})
BUDGET_LIMITS = attempts.BudgetLimits(0.2, 10.0, 56.0, 1)
KEY_HEADER = 'Key'


class DispatcherTest(basecase.AsyncCase):
    """Dispatch, retries, queueing and errors of requests."""

    async def asyncSetUp(self):
        self.instances = fakes.FakeInstances()
        self.dispatcher = dispatcher.Dispatcher(
            LOCALITY,
            KEY_HEADER,
            self.instances,
            clock.BootClock(),
            BUDGET_LIMITS,
            counters.Counters(),
            self.random,
        )
        await self.start(self.dispatcher)
        self.versions = 0

    def prepare(self, *routes, keyed=False, endpoints=None):
        self.dispatcher.post(fakes.policy_updated(*routes, keyed=keyed))
        endpoints = endpoints or [fakes.endpoint('one'), fakes.endpoint('two')]
        self.dispatcher.post(fakes.endpoints_updated(*endpoints))

    def ask(self, target='/a/x', key=None, deadline_ms='800', host='h.example'):
        headers = {'Host': host}
        if key is not None:
            headers[KEY_HEADER] = str(key)
        dispatch = gateway_messages.Dispatch(
            'q', 'GET', target, headers, (), b'', deadline_ms
        )
        return self.dispatcher.ask(dispatch)

    def outcomes(self, *outcomes):
        """Scripts the next sends, whichever instance they go to."""
        shared = list(outcomes)
        self.instances.outcomes = {'one': shared, 'two': shared}

    async def test_answer_is_returned(self):
        self.prepare()
        self.assertEqual(await self.ask(), fakes.ANSWER)

    async def test_a_failed_send_to_a_cold_instance_uses_up_its_permit(self):
        """Guards against a second send: the first may have arrived."""
        now_s = clock.BootClock().now_s()
        self.prepare(endpoints=[fakes.endpoint('one', cold_until_s=now_s + 60)])
        failed = errors.UnreachableError('reset')
        self.instances.outcomes = {'one': [failed, fakes.ANSWER]}
        with self.assertRaises(errors.OverloadedError):
            await self.ask()
        self.assertEqual(self.instances.sent, [])
        self.dispatcher.post(messages.PermitsGranted({'one': 1}, now_s))
        with self.assertRaises(errors.OverloadedError):
            await self.ask()
        self.assertEqual(len(self.instances.sent), 1)

    async def test_cold_owner_is_wanted_after_a_request_for_its_keys(self):
        """Guards against a cold owner that nobody asks permits for."""
        cold_until_s = clock.BootClock().now_s() + 60
        self.prepare(
            keyed=True,
            endpoints=[fakes.endpoint('one', cold_until_s=cold_until_s)],
        )
        self.post_key_map()
        load = await self.dispatcher.ask(messages.CollectLoad('svc'))
        self.assertEqual(load.cold_ids, ())
        with self.assertRaises(errors.OverloadedError):
            await self.ask(key=7)
        load = await self.dispatcher.ask(messages.CollectLoad('svc'))
        self.assertEqual(load.cold_ids, ('one',))
        self.dispatcher.post(
            messages.PermitsGranted({'one': 1}, load.read_at_s)
        )
        self.assertEqual(await self.ask(key=7), fakes.ANSWER)
        self.assertEqual(len(self.instances.sent), 1)

    async def test_instance_is_logged_once_when_it_begins_to_drain(self):
        with mock.patch.object(logs, 'event') as event:
            self.prepare()
            for _ in range(2):
                self.dispatcher.post(
                    fakes.endpoints_updated(
                        fakes.endpoint('one', draining=True)
                    )
                )
            await self.dispatcher.ask(messages.DescribeView())
        event.assert_called_once_with(
            'instance.draining', instance='one', born_ms=1, source='listing'
        )

    async def test_each_change_of_belief_is_logged_with_source_and_age(self):
        said = data.Answer(
            200, (), b'', 'one', leaving=True, pushback_s=0.2, held_up_s=0.03
        )
        self.instances.outcomes = {'one': [said, said]}
        with mock.patch.object(logs, 'event') as logged:
            self.prepare(endpoints=[fakes.endpoint('one')])
            await self.ask()
            for born_ms in (1, 2, 2):
                self.dispatcher.post(
                    fakes.endpoints_updated(
                        fakes.endpoint('one', born_ms=born_ms)
                    )
                )
            await self.dispatcher.ask(messages.DescribeView())
        common = {'instance': 'one', 'born_ms': 1, 'source': 'answer'}
        self.assertEqual(
            logged.call_args_list,
            [
                mock.call('instance.leaving', **common, age_ms=30),
                mock.call(
                    'instance.pushback', **common, age_ms=30, pushback_s=0.2
                ),
                mock.call(
                    'instance.replaced',
                    instance='one',
                    born_ms=2,
                    former_born_ms=1,
                    source='listing',
                ),
            ],
        )

    def announcing(self, **announced):
        """Returns an answer, a refusal and a failure with announcements."""
        refusal = errors.OverloadedError('full')
        failure = errors.OutcomeUnknownError('unsigned')
        for name, value in announced.items():
            setattr(refusal, name, value)
            setattr(failure, name, value)
        return data.Answer(200, (), b'', 'one', **announced), refusal, failure

    async def test_instance_that_says_it_leaves_gets_no_more_requests(self):
        for born_ms, said in enumerate(self.announcing(leaving=True), 1):
            self.instances.sent.clear()
            both = [
                fakes.endpoint('one', born_ms=born_ms),
                fakes.endpoint('two', zone='z3'),
            ]
            self.prepare(endpoints=both)
            self.instances.outcomes = {'one': [said]}
            with mock.patch.object(logs, 'event') as logged:
                await self.ask()
                for _ in range(3):
                    # An older listing.
                    self.dispatcher.post(fakes.endpoints_updated(*both))
                    await self.ask()
            sent_to = [sent.instance_id for sent in self.instances.sent]
            self.assertEqual(sent_to.count('one'), 1)
            names = [call.args[0] for call in logged.call_args_list]
            self.assertEqual(names.count('instance.leaving'), 1)

    async def test_instance_that_pushes_back_gets_no_requests_meanwhile(self):
        for born_ms, said in enumerate(self.announcing(pushback_s=0.5), 1):
            self.instances.sent.clear()
            self.prepare(
                endpoints=[
                    fakes.endpoint('one', born_ms=born_ms),
                    fakes.endpoint('two', zone='z3'),
                ]
            )
            self.instances.outcomes = {'one': [said]}
            for _ in range(4):
                await self.ask()
            sent_to = [sent.instance_id for sent in self.instances.sent]
            self.assertEqual(sent_to[0], 'one')
            self.assertEqual(set(sent_to[1:]), {'two'})
            await asyncio.sleep(0.5)
            await self.ask()
            self.assertEqual(self.instances.sent[-1].instance_id, 'one')

    async def test_request_that_waits_for_a_connection_heeds_announcements(
        self,
    ):
        recorder = _RecordingCounters()
        self.dispatcher = dispatcher.Dispatcher(
            LOCALITY,
            KEY_HEADER,
            self.instances,
            clock.BootClock(),
            BUDGET_LIMITS,
            recorder,
            self.random,
        )
        await self.start(self.dispatcher)
        for born_ms, announced in enumerate(
            ({'leaving': True}, {'pushback_s': 5.0}), 1
        ):
            with self.subTest(announced):
                self.prepare(
                    endpoints=[
                        fakes.endpoint('one', born_ms=born_ms),
                        fakes.endpoint('two', zone='z3', born_ms=born_ms),
                    ]
                )
                self.instances.sent.clear()
                self.instances.outcomes = {
                    'one': [self.announcing(**announced)[0]]
                }
                self.instances.connect_s_by_id = {'one': [0.0, 0.1, 0.1]}
                results = await asyncio.gather(*(self.ask() for _ in range(3)))
                self.assertEqual({r.status for r in results}, {200})
                self.assertEqual(
                    [sent.instance_id for sent in self.instances.sent],
                    ['one', 'two', 'two'],
                )
        self.assertNotIn('unreachable', recorder.results)
        self.assertEqual(recorder.results.count('withheld'), 4)

    async def test_request_that_no_instance_wants_in_time_is_refused_at_once(
        self,
    ):
        for name, key in (('one', 7), ('two', None)):
            self.prepare(
                keyed=key is not None, endpoints=[fakes.endpoint(name)]
            )
            if key is not None:
                self.post_key_map()
            answer, *_ = self.announcing(pushback_s=5.0)
            self.instances.outcomes = {name: [answer]}
            await self.ask(key=key)
            before_s = clock.BootClock().now_s()
            with self.assertRaises(errors.OverloadedError) as caught:
                await self.ask(key=key)
            self.assertLess(clock.BootClock().now_s() - before_s, 0.1)
            self.assertGreater(caught.exception.retry_after_s, 4.5)

    async def test_queued_requests_are_refused_when_no_instance_wants_them(
        self,
    ):
        self.prepare(endpoints=[fakes.endpoint('one', slots=1)])
        _, refusal, _ = self.announcing(pushback_s=5.0)
        self.instances.outcomes = {'one': [0.05, refusal, refusal]}
        before_s = clock.BootClock().now_s()
        results = await asyncio.gather(
            *(self.ask() for _ in range(4)), return_exceptions=True
        )
        self.assertLess(clock.BootClock().now_s() - before_s, 0.2)
        self.assertEqual(results[0], fakes.ANSWER)
        for error in results[1:]:
            self.assertIsInstance(error, errors.OverloadedError)
            self.assertGreater(error.retry_after_s, 4.5)

    async def test_queued_requests_are_refused_when_a_pushback_is_extended(
        self,
    ):
        self.prepare(
            fakes.route(objective_s=2.0, timeout_s=3.0),
            endpoints=[fakes.endpoint('one', slots=2)],
        )
        self.instances.outcomes = {
            'one': [
                (after_s, self.announcing(pushback_s=pushback_s)[1])
                for after_s, pushback_s in ((0.05, 0.1), (0.1, 5.0))
            ]
        }
        before_s = clock.BootClock().now_s()
        results = await asyncio.gather(
            *(self.ask(deadline_ms='2000') for _ in range(4)),
            return_exceptions=True,
        )
        self.assertLess(clock.BootClock().now_s() - before_s, 0.6)
        for error in results:
            self.assertIsInstance(error, errors.OverloadedError)
            self.assertGreater(error.retry_after_s, 4.0)

    async def test_queued_requests_are_refused_when_only_busy_instances_stay(
        self,
    ):
        leaves = self.announcing(leaving=True)[0]
        for born_ms, said in enumerate((leaves, fakes.ANSWER), 1):
            with self.subTest(leaving=said.leaving):
                busy, free = (
                    fakes.endpoint('one', born_ms=born_ms),
                    fakes.endpoint('two', zone='z3', slots=1, born_ms=born_ms),
                )
                self.prepare(
                    fakes.route(objective_s=2.0, timeout_s=3.0),
                    endpoints=[busy, free],
                )
                self.instances.outcomes = {
                    'one': [self.announcing(pushback_s=5.0)[0]],
                    'two': [(0.1, said)],
                }
                await self.ask()
                before_s = clock.BootClock().now_s()
                asked = [
                    asyncio.create_task(self.ask(deadline_ms='2000'))
                    for _ in range(4)
                ]
                await asyncio.sleep(0.05)
                if not said.leaving:
                    self.dispatcher.post(fakes.endpoints_updated(busy))
                results = await asyncio.gather(*asked, return_exceptions=True)
                self.assertLess(clock.BootClock().now_s() - before_s, 0.6)
                self.assertEqual(results[0].status, 200)
                for error in results[1:]:
                    self.assertIsInstance(error, errors.OverloadedError)
                    self.assertGreater(error.retry_after_s, 4.0)

    async def test_keyed_requests_go_to_a_leaving_owner_for_a_short_time(self):
        self.prepare(keyed=True, endpoints=[fakes.endpoint('one')])
        self.post_key_map()
        answer, *_ = self.announcing(leaving=True)
        self.instances.outcomes = {'one': [answer]}
        grace = mock.patch.object(announcements, 'KEYED_GRACE_S', 0.3)
        with grace:
            await self.ask(key=7)
            await self.ask(key=7)
            load = await self.dispatcher.ask(messages.CollectLoad('svc'))
            self.assertEqual(load.leaving_by_id, {'one': 1})
            await asyncio.sleep(0.3)
            with self.assertRaises(errors.OverloadedError):
                await self.ask(key=7)
        self.assertEqual(len(self.instances.sent), 2)

    async def test_request_before_the_configuration_is_not_run(self):
        with self.assertRaises(errors.NoOwnerError):
            await self.ask()

    async def test_no_route(self):
        self.prepare()
        for target, host in (('/b/', 'h.example'), ('/a/x', 'o.example')):
            with self.subTest(target=target):
                with self.assertRaises(errors.UnknownServiceError):
                    await self.ask(target, host=host)

    async def test_retries_by_outcome(self):
        refused = errors.OverloadedError('full')
        unknown = errors.OutcomeUnknownError('lost')
        unreachable = errors.UnreachableError('refused')
        failed = data.Answer(500, (), b'', 'one')
        cases = [
            ('refused', True, [refused], 2, None),
            ('refused', False, [refused], 2, None),
            ('unreachable', False, [unreachable], 2, None),
            ('lost', True, [unknown], 2, None),
            ('lost', False, [unknown], 1, errors.OutcomeUnknownError),
            ('lost twice', True, [unknown] * 2, 2, errors.OutcomeUnknownError),
            ('failed', True, [failed], 2, None),
        ]
        for name, idempotent, outcomes, sends, error_class in cases:
            with self.subTest(name, idempotent=idempotent):
                self.prepare(
                    fakes.route(idempotent=idempotent),
                    endpoints=[
                        fakes.endpoint('one', born_ms=len(self.instances.sent)),
                        fakes.endpoint('two', born_ms=len(self.instances.sent)),
                    ],
                )
                self.outcomes(*outcomes)
                before = len(self.instances.sent)
                if error_class is None:
                    self.assertEqual((await self.ask()).status, 200)
                else:
                    with self.assertRaises(error_class):
                        await self.ask()
                self.assertEqual(len(self.instances.sent) - before, sends)

    async def test_a_dropped_response_is_no_failure_of_its_instance(self):
        for error, failed in (
            (errors.ResponseDroppedError('no memory'), 0),
            (errors.OutcomeUnknownError('lost'), 1),
        ):
            with self.subTest(error):
                recorder = _RecordingCounters()
                self.dispatcher = dispatcher.Dispatcher(
                    LOCALITY,
                    KEY_HEADER,
                    self.instances,
                    clock.BootClock(),
                    BUDGET_LIMITS,
                    recorder,
                    self.random,
                )
                await self.start(self.dispatcher)
                self.prepare(fakes.route(idempotent=False))
                self.outcomes(error)
                with self.assertRaises(errors.OutcomeUnknownError):
                    await self.ask()
                self.assertEqual(recorder.results.count('failed'), failed)

    async def test_waits_for_memory_of_this_vm_do_not_make_an_instance_slow(
        self,
    ):
        async def send_and_wait(endpoint, call, remaining_s, may_send=None):
            await asyncio.sleep(0.3)
            return data.Answer(
                200, (), b'', endpoint.instance_id, held_up_s=0.25
            )

        self.instances.send = send_and_wait
        self.prepare(endpoints=[fakes.endpoint('one')])
        await self.ask()
        observed = await self.dispatcher.ask(messages.CollectLoad('svc'))
        self.assertLess(observed.times_by_id['one'], 0.2)

    async def test_server_error_of_a_non_idempotent_request_is_not_retried(
        self,
    ):
        self.prepare(fakes.route(idempotent=False))
        self.outcomes(data.Answer(500, (), b'', 'one'))
        self.assertEqual((await self.ask()).status, 500)
        self.assertEqual(len(self.instances.sent), 1)

    async def test_refusal_after_a_lost_answer_is_outcome_unknown(self):
        self.prepare()
        self.outcomes(
            errors.OutcomeUnknownError('lost'), errors.OverloadedError('full')
        )
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.ask()

    async def test_route_timeout_cancels_the_send(self):
        self.prepare(fakes.route(timeout_s=0.15))
        self.outcomes(5.0)
        with self.assertRaises(errors.OutcomeUnknownError):
            await self.ask()
        await self.wait_for(lambda: self.instances.cancelled_ids)

    async def test_caller_disconnect_cancels_the_send(self):
        self.prepare()
        self.outcomes(5.0)
        asking = asyncio.create_task(self.ask())
        await self.wait_for(lambda: self.instances.sent)
        asking.cancel()
        await self.wait_for(lambda: self.instances.cancelled_ids)

    async def test_full_service_refuses_with_retry_after(self):
        self.prepare(endpoints=[fakes.endpoint('one', slots=1)])
        self.instances.outcomes = {'one': [0.6, 0.6]}
        first = [asyncio.create_task(self.ask()) for _ in range(2)]
        await self.wait_for(lambda: self.instances.sent)
        with self.assertRaises(errors.OverloadedError) as context:
            await self.ask()
        self.assertLessEqual(context.exception.retry_after_s, 0.8 / 3)
        for asking in first:
            asking.cancel()

    async def test_queued_requests_are_sent_when_there_is_capacity(self):
        self.prepare(
            fakes.route(objective_s=2.0, timeout_s=3.0),
            endpoints=[fakes.endpoint('one', slots=1)],
        )
        self.instances.outcomes = {'one': [0.1, 0.1, 0.1]}
        answers = await asyncio.gather(
            *(self.ask(deadline_ms='3000') for _ in range(3))
        )
        self.assertEqual(len(answers), 3)

    async def test_keyed_requests_go_to_the_owner_and_wait_while_keys_move(
        self,
    ):
        self.prepare(keyed=True)
        one = ranges.Holder('one', 1, 'a1')
        two = ranges.Holder('two', 1, 'a2')
        moving = ranges.KeyMap(
            'svc', 3, (ranges.KeyRange(0, 65535, two, 2, (one,)),)
        )
        self.dispatcher.post(messages.KeyMapUpdated(moving, 5))
        asking = asyncio.create_task(self.ask(key=7))
        await asyncio.sleep(0.05)
        self.assertEqual(self.instances.sent, [])
        moved = ranges.KeyMap('svc', 3, (ranges.KeyRange(0, 65535, two, 2),))
        self.dispatcher.post(messages.KeyMapUpdated(moved, 6))
        await asking
        self.dispatcher.post(messages.KeyMapUpdated(moving, 5))
        await self.ask(key=9)
        self.assertEqual(
            [s.instance_id for s in self.instances.sent], ['two'] * 2
        )

    async def test_older_copy_of_a_key_map_does_not_come_into_force(self):
        self.prepare(keyed=True)
        for version, owner, next_token in (
            (5, 'one', 3),
            (ports.VERSIONS_PER_ERA + 2, 'two', 2),
        ):
            key_range = ranges.KeyRange(
                0, 65535, ranges.Holder(owner, 1, 'a'), 2
            )
            key_map = ranges.KeyMap('svc', next_token, (key_range,))
            self.dispatcher.post(messages.KeyMapUpdated(key_map, version))
        await self.ask(key=7)
        self.assertEqual([s.instance_id for s in self.instances.sent], ['one'])

    def post_key_map(self, *priors, owner='one'):
        key_range = ranges.KeyRange(
            0, 65535, ranges.Holder(owner, 1, 'a'), 1, priors
        )
        key_map = ranges.KeyMap('svc', 2, (key_range,))
        self.versions += 1
        self.dispatcher.post(messages.KeyMapUpdated(key_map, self.versions))

    async def test_granted_ranges_of_another_map_let_nobody_send(self):
        self.prepare(keyed=True)
        former = ranges.Holder('two', 1, 'a2')
        bounds = frozenset({(0, 65535, 1)})
        for version in (1, 2, 4):
            self.dispatcher.post(messages.GrantedRanges('svc', version, bounds))
            if version == 1:
                self.versions = 2
                self.post_key_map(former)
        with self.assertRaises(errors.OverloadedError):
            await self.ask(key=7)
        other_token = frozenset({(0, 65535, 2)})
        self.dispatcher.post(messages.GrantedRanges('svc', 3, other_token))
        with self.assertRaises(errors.OverloadedError):
            await self.ask(key=7)
        self.dispatcher.post(messages.GrantedRanges('svc', 3, bounds))
        await self.ask(key=7)
        # The range moves again.
        self.post_key_map(former)
        with self.assertRaises(errors.OverloadedError):
            await self.ask(key=7)
        self.assertEqual(len(self.instances.sent), 1)

    async def test_what_keeps_a_request_from_its_owner_is_logged(self):
        self.prepare(keyed=True, endpoints=[fakes.endpoint('one', slots=1)])
        self.instances.outcomes = {'one': [0.6, 0.6]}
        with mock.patch.object(logs, 'event') as logged:
            await self.ask_refused()
            self.post_key_map(ranges.Holder('two', 1, 'b'))
            await self.ask_refused()
            self.post_key_map(owner='three')
            await self.ask_refused()
            self.post_key_map()
            asking = asyncio.create_task(self.ask(key=7))
            await self.wait_for(lambda: self.instances.sent)
            await self.ask_refused()
            asking.cancel()
        found = [
            (c.kwargs['obstacle'], c.kwargs.get('in_flight'))
            for c in logged.call_args_list
            if c.args == ('owner.unavailable',)
        ]
        self.assertEqual(
            found,
            [
                ('no key map', None),
                ('moving', None),
                ('not registered', None),
                ('limit', 1),
            ],
        )

    async def ask_refused(self):
        with self.assertRaises(errors.OverloadedError):
            await self.ask(key=7)

    async def test_a_long_request_does_not_keep_others_from_its_owner(self):
        self.prepare(keyed=True)
        self.post_key_map()
        short_s, long_s = 0.02, 0.5
        self.instances.outcomes = {'one': [short_s, short_s, long_s, long_s]}
        for _ in range(3):
            await self.ask(key=7)
        asking = asyncio.create_task(self.ask(key=7))
        await self.wait_for(lambda: len(self.instances.sent) == 4)
        self.assertEqual(await self.ask(key=8), fakes.ANSWER)
        await asking

    async def test_missing_and_invalid_keys(self):
        self.prepare(keyed=True)
        cases = [
            (None, errors.MissingKeyError),
            ('x', errors.RequestError),
            ('65536', errors.RequestError),
            ('9' * 5000, errors.RequestError),
        ]
        for key, error_class in cases:
            with self.subTest(key=key):
                with self.assertRaises(error_class):
                    await self.ask(key=key)

    async def test_observed_keys_are_read_once(self):
        self.prepare(keyed=True)
        for key in (3, 3, 8):
            with self.assertRaises(errors.OverloadedError):
                await self.ask(key=key, deadline_ms='50')
        observed = await self.dispatcher.ask(messages.CollectLoad('svc'))
        self.assertEqual(observed.keys, (3, 3, 8))
        observed = await self.dispatcher.ask(messages.CollectLoad('svc'))
        self.assertEqual(observed.keys, ())

    def drain(self, stop_s):
        """Posts a stop after a time."""
        now_s = clock.BootClock().now_s()
        self.dispatcher.post(sending_messages.Drain(now_s + stop_s))

    async def test_draining_sends_only_what_can_end_before_the_stop(self):
        # The deadline of each request is 800 ms.
        for idempotent in (True, False):
            for stop_s, sent in ((2.0, True), (0.7, False), (-0.1, False)):
                with self.subTest(idempotent=idempotent, stop_s=stop_s):
                    self.prepare(fakes.route(idempotent=idempotent))
                    before = len(self.instances.sent)
                    self.drain(stop_s)
                    if sent:
                        await self.ask()
                    else:
                        with self.assertRaises(errors.StoppingError) as context:
                            await self.ask()
                        self.assertEqual(context.exception.retry_after_s, 0)
                    self.assertEqual(len(self.instances.sent) - before, sent)

    async def test_long_request_of_a_quick_route_is_not_cut_at_the_stop(self):
        self.prepare()
        for _ in range(100):
            await self.ask()
        before = len(self.instances.sent)
        self.outcomes(2.0)
        self.drain(0.5)
        asking = asyncio.create_task(self.ask(deadline_ms='3000'))
        await asyncio.wait([asking], timeout=0.5)
        await self.dispatcher.ask(gateway_messages.EndRequests())
        with self.assertRaises(errors.StoppingError):
            await asking
        self.assertEqual(len(self.instances.sent), before)

    async def test_queued_request_is_refused_when_it_can_no_longer_end(self):
        self.prepare(
            fakes.route(objective_s=2.0, idempotent=False),
            endpoints=[fakes.endpoint('one', slots=1)],
        )
        self.instances.outcomes = {'one': [0.6, 0.6]}
        asking = [asyncio.create_task(self.ask()) for _ in range(2)]
        await self.wait_for(lambda: self.instances.sent)
        self.drain(0.5)
        with self.assertRaises(errors.StoppingError):
            await asking[1]
        self.assertEqual((await asking[0]).status, 200)
        self.assertEqual(len(self.instances.sent), 1)

    async def test_abandoned_request_does_not_keep_a_stop_from_queued_ones(
        self,
    ):
        self.prepare(
            fakes.route(objective_s=30.0, timeout_s=30.0),
            endpoints=[fakes.endpoint('one', slots=1)],
        )
        self.instances.outcomes = {'one': [30.0]}
        asking = [
            asyncio.create_task(self.ask(deadline_ms='5000')) for _ in range(3)
        ]
        self.addCleanup(asking[0].cancel)
        await self.wait_for(lambda: self.instances.sent)
        # The abandoned request is still in the queue when the stop begins.
        asking[1].cancel()
        self.drain(0.05)
        with self.assertRaises(errors.StoppingError):
            await asking[2]

    async def test_refusal_of_a_draining_vm_leaves_a_line(self):
        self.prepare(
            fakes.route(objective_s=30.0, timeout_s=30.0),
            endpoints=[fakes.endpoint('one', slots=1)],
        )
        self.instances.outcomes = {'one': [30.0]}
        asking = [
            asyncio.create_task(self.ask(deadline_ms='5000')) for _ in range(2)
        ]
        self.addCleanup(asking[0].cancel)
        await self.wait_for(lambda: self.instances.sent)
        with mock.patch.object(logs, 'event') as logged:
            self.drain(0.05)
            for refused in (asking[1], self.ask()):
                with self.assertRaises(errors.StoppingError):
                    await refused
        found = [
            (c.kwargs['request'], c.kwargs['sends'])
            for c in logged.call_args_list
            if c.args == ('drain.refused',)
        ]
        self.assertEqual(found, [('q', 0)] * 2)

    async def test_end_of_the_requests_cancels_the_work_at_instances(self):
        self.prepare(fakes.route(timeout_s=30.0))
        self.outcomes(30.0)
        asking = asyncio.create_task(self.ask(deadline_ms='30000'))
        await self.wait_for(lambda: self.instances.sent)
        await self.dispatcher.ask(gateway_messages.EndRequests())
        with self.assertRaises(errors.OutcomeUnknownError):
            await asking
        await self.wait_for(lambda: self.instances.cancelled_ids)

    async def test_end_of_the_requests_does_not_count_one_that_was_cancelled(
        self,
    ):
        self.prepare(fakes.route(timeout_s=30.0))
        self.outcomes(30.0)
        asking = asyncio.create_task(self.ask(deadline_ms='30000'))
        await self.wait_for(lambda: self.instances.sent)
        with mock.patch.object(pending.Reporter, 'failed') as failed:
            asking.cancel()
            await self.dispatcher.ask(gateway_messages.EndRequests())
        failed.assert_not_called()

    async def test_draining_does_not_retry_what_could_be_cut(self):
        self.prepare()
        self.outcomes(errors.MisdirectedError('moved'))
        asking = asyncio.create_task(self.ask())
        await self.wait_for(lambda: self.instances.sent)
        self.drain(0.7)
        with self.assertRaises(errors.StoppingError):
            await asking
        self.assertEqual(len(self.instances.sent), 1)

    async def test_unexpected_error_in_a_request_is_answered(self):
        self.prepare()
        self.outcomes(ValueError('unexpected'))
        with self.assertLogs('oriolefold_core.tasks', 'ERROR'):
            async with asyncio.timeout(1):
                with self.assertRaises(errors.OriolefoldError) as context:
                    await self.ask(deadline_ms='5000')
            await asyncio.sleep(0)  # The child is logged after its answer.
        failure = errors.failure_of(context.exception)
        self.assertIs(failure.category, errors.Category.INTERNAL)


class _RecordingCounters(counters.Counters):
    """Counters that record the results of sends."""

    def __init__(self):
        super().__init__()
        self.results = []

    def count_send(self, distance, result):
        """Records a result."""
        super().count_send(distance, result)
        self.results.append(result)
