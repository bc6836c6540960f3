"""Tests of warmupallotment with routing.warmuppermits on random histories."""

import hypothesis
from hypothesis import strategies as st

from oriolefold_coordination import warmupallotment
from oriolefold_core import data
from oriolefold_routing import topology, warmup, warmuppermits
from oriolefold_testbed import basecase

LIMITS = warmupallotment.AllotmentLimits(4.5, warmup.WarmUpLimits(1.5, 8.0))
MAX_PER_S = 14.75
VMS = 8


def endpoint(**changes):
    return topology.Endpoint(
        'a', 1, 'svc', 'z1', data.Address('10.0.0.1', 80), 4, **changes
    )


ENDPOINTS = (endpoint(),)


class AllotmentTest(basecase.BaseCase):
    """Permits follow the limits, the usable instances and the VMs."""

    def grant(self, allotment, now_s, vm='v', limits=LIMITS, known=ENDPOINTS):
        granted = allotment.grant(vm, ('a', 'a'), known, limits, now_s)
        return granted.get('a', 0)

    def test_nothing_is_granted_while_an_earlier_leader_counts(self):
        allotment = warmupallotment.WarmUpAllotment(10.0)
        self.assertEqual(self.grant(allotment, 12.4), 0)
        self.assertGreater(self.grant(allotment, 12.5), 0)

    def test_the_long_run_rate_is_the_warm_up_rate(self):
        allotment = warmupallotment.WarmUpAllotment(0.0)
        count = sum(
            self.grant(allotment, 2.5 + step * 0.1) for step in range(1000)
        )
        self.assertAlmostEqual(count, 450, delta=4)

    def test_a_bound_without_slack_lowers_the_rate(self):
        for rate_per_s, bound, expected in (
            (4.5, warmup.WarmUpLimits(1.0, 0.0), True),
            (0.5, warmup.WarmUpLimits(1.0, 0.0), False),
            (0.0, warmup.WarmUpLimits(1.0, 9.0), False),
        ):
            with self.subTest(rate_per_s=rate_per_s):
                limits = warmupallotment.AllotmentLimits(rate_per_s, bound)
                allotment = warmupallotment.WarmUpAllotment(0.0)
                times = [
                    t / 10
                    for t in range(25, 500)
                    for _ in range(self.grant(allotment, t / 10, limits=limits))
                ]
                self.assertEqual(bool(times), expected)
                for time_s in times:
                    self.assertLessEqual(
                        sum(time_s <= t <= time_s + 2.5 for t in times),
                        bound.max_requests_per_s(rate_per_s),
                    )

    def test_unusable_instances_get_no_permits(self):
        allotment = warmupallotment.WarmUpAllotment(0.0)
        for known in (
            (),
            (endpoint(draining=True),),
            (endpoint(evacuated=True),),
            (endpoint(unverified=True),),
        ):
            self.assertEqual(self.grant(allotment, 9.0, known=known), 0)

    def test_new_limits_wait_for_permits_under_former_ones(self):
        allotment = warmupallotment.WarmUpAllotment(0.0)
        self.assertGreater(self.grant(allotment, 9.0), 0)
        lower = warmupallotment.AllotmentLimits(1.0, LIMITS.bound)
        self.assertEqual(self.grant(allotment, 11.4, limits=lower), 0)
        self.assertEqual(self.grant(allotment, 13.8, limits=lower), 0)
        self.assertGreater(self.grant(allotment, 13.9, limits=lower), 0)

    def test_vms_that_ask_together_share_the_burst(self):
        allotment = warmupallotment.WarmUpAllotment(0.0)
        counts = [self.grant(allotment, 9.0, vm) for vm in 'abcde']
        self.assertEqual(counts, [3, 0, 0, 0, 0])
        counts = [self.grant(allotment, 9.7, vm) for vm in 'abcde']
        self.assertEqual(counts, [1, 1, 1, 0, 0])


@st.composite
def histories(draw):
    """Draws the events of a run in the order of time."""
    times = draw(
        st.lists(
            st.one_of(
                st.sampled_from((0.0, 0.001, 0.05, 0.5, 1.0)),
                st.floats(0.0, 0.3),
            ),
            min_size=30,
            max_size=120,
        )
    )
    kinds = ('report',) * 8 + ('restart', 'cut', 'cold')
    kinds += ('elect',) * draw(st.sampled_from((0, 1, 8)))
    events, now_s = [], 2.5
    for passed_s in times:
        now_s += passed_s
        events.append(
            (
                now_s,
                draw(st.integers(0, VMS - 1)),
                draw(st.sampled_from(kinds)),
                draw(st.sampled_from((0.0, 0.02, 0.4, 0.9, 1.1))),
                draw(st.sampled_from((0.0, 0.02, 0.4, 0.9))),
                draw(st.sampled_from(('once', 'once', 'lost', 'twice'))),
                draw(st.sampled_from((0.0, 0.1, 0.5))),
            )
        )
    return events


class _Leader:
    """A VM that led, and may not know that it leads no longer."""

    def __init__(self, began_at_s):
        self.allotment = warmupallotment.WarmUpAllotment(began_at_s)
        self.sole_until_s = float('inf')


class _History:
    """Runs events and records when requests arrive at the instance.

    VMs send as many requests as they have permits for, at the worst moments:
    at once, or right before the permits expire.
    """

    def __init__(self, events):
        self.arrivals_s = []
        self.granted = 0
        self._leaders = [_Leader(0.0)]
        self._permits = [warmuppermits.WarmUpPermits() for _ in range(VMS)]
        self._actions = []
        self._cold = True
        for event in events:
            self._actions.append((event[0], len(self._actions), event))
        while self._actions:
            self._actions.sort(key=lambda action: action[:2])
            now_s, _, action = self._actions.pop(0)
            if callable(action):
                action(now_s)
            else:
                self._run(*action)

    def _after(self, at_s, action):
        order = 1_000_000 + len(self._actions)
        self._actions.append((at_s, order, action))

    def _run(self, now_s, vm, kind, there_s, back_s, how, delay_s):
        if kind == 'restart':
            self._permits[vm] = warmuppermits.WarmUpPermits()
        elif kind == 'elect':
            # The former leader may act until then, and may not know it.
            self._leaders[-1].sole_until_s = now_s
            self._leaders.append(_Leader(now_s))
            for other in range(VMS):
                self._run(now_s, other, 'report', there_s, back_s, how, 0.0)
        elif kind == 'cut':
            self._leaders[-1].sole_until_s = now_s
        elif kind == 'cold':
            self._cold = not self._cold
        else:
            for leader in self._leaders[-2:]:
                for _ in range(2 if how == 'twice' else 1):
                    self._report(leader, now_s, vm, there_s, back_s, how)
            self._after(now_s + there_s + back_s, self._send(vm, delay_s))
            self._after(now_s + 0.9999, self._send(vm, delay_s))

    def _report(self, leader, sent_at_s, vm, there_s, back_s, how):
        permits = self._permits[vm]

        def arrive(now_s):
            if now_s >= leader.sole_until_s:
                return
            known = (endpoint(cold_until_s=now_s + 3 if self._cold else 0),)
            granted = leader.allotment.grant(
                f'v{vm}', ('a',), known, LIMITS, now_s
            )
            self.granted += sum(granted.values())
            for _ in range({'once': 1, 'lost': 0, 'twice': 2}[how]):
                self._after(
                    now_s + back_s, lambda _: permits.add(granted, sent_at_s)
                )

        self._after(sent_at_s + there_s, arrive)

    def _send(self, vm, delay_s):
        def send(now_s):
            permits = self._permits[vm]
            while permits.may_use('a', now_s):
                permits.assign('a', now_s)
                if permits.take('a', now_s):
                    self.arrivals_s.append(now_s + delay_s)

        return send


class HistoryTest(basecase.BaseCase):
    """No second has more arrivals than the bound, whatever happens.

    Guards against permits that are used twice or late, and against leaders
    whose permits add up.
    """

    @hypothesis.seed(basecase.SEED)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(histories())
    def test_no_second_exceeds_the_bound(self, events):
        history = _History(events)
        arrivals_s = sorted(history.arrivals_s)
        self.assertLessEqual(len(arrivals_s), history.granted)
        for first_s in arrivals_s:
            in_second = sum(
                first_s <= arrived_s <= first_s + 1 for arrived_s in arrivals_s
            )
            self.assertLessEqual(in_second, MAX_PER_S)

    def test_histories_use_permits(self):
        """Guards against a history in which nothing is ever sent."""
        events = [
            (2.5 + n * 0.05, n % VMS, 'report', 0.02, 0.02, 'once', 0.0)
            for n in range(80)
        ]
        self.assertGreater(len(_History(events).arrivals_s), 15)
