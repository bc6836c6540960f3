"""Tests of oriolefold_routing.policychecks."""

import dataclasses
import unittest

from oriolefold_core import issues
from oriolefold_routing import policy, policychecks

ROUTE = policy.PrefixRoute(
    'r', 'h', '/a/', (policy.Share('s', 1.0),), True, 2.0, 1.0, 2, 0
)
SERVICE = policy.ServiceProfile('s', False, 10, 4.5, 3.0)
LIMITS = policy.CallerLimits(1000, 5000, 3.0, 15.0)
DEPLOYMENT = policychecks.Deployment(
    frozenset({'east', 'west'}), {'s': ('east', 'east')}, 5000
)


def build(*routes, service=SERVICE, limits=LIMITS, version=1):
    routes = policy.group_by_host(routes or [ROUTE])
    services = {service.service_id: service}
    return policy.Policy(version, routes, services, limits)


def changed(**changes):
    return build(dataclasses.replace(ROUTE, **changes))


def limited(*region_ids):
    return changed(allowed_regions=frozenset(region_ids))


def split(*weights):
    return changed(shares=tuple(policy.Share('s', w) for w in weights))


def served(**changes):
    return build(service=dataclasses.replace(SERVICE, **changes))


def bounded(**changes):
    return build(limits=dataclasses.replace(LIMITS, **changes))


class CheckTest(unittest.TestCase):
    """Guards against entries and limits without effect going unnoticed."""

    def test_each_issue(self):
        second = dataclasses.replace(ROUTE, route_id='r2')
        cases = [
            ('never-matches routes.r2.prefix', build(ROUTE, second)),
            ('never-matches routes.r.host', changed(host='h:80')),
            ('never-matches routes.r.prefix', changed(prefix='a/')),
            ('never-matches routes.r.prefix', changed(prefix='/a?b')),
            ('never-matches routes.r.shares.1.weight', split(1, 0)),
            ('never-matches routes.r.shares.1.weight', split(0, 0)),
            (
                'never-matches routes.r.shares.0.service_id',
                changed(shares=(policy.Share('x', 1),)),
            ),
            ('never-matches routes.r.allowed_regions', limited('east', 'mars')),
            ('never-matches routes.r.allowed_regions', limited('east', 'west')),
            ('contradiction routes.r.objective_s', changed(objective_s=2.5)),
            ('contradiction routes.r.objective_s', changed(objective_s=0)),
            ('contradiction routes.r.max_instances', changed(max_instances=3)),
            ('contradiction routes.r.max_instances', changed(max_instances=0)),
            (
                'contradiction services.s.warm_up_rate_per_s',
                served(warm_up_rate_per_s=0),
            ),
            ('contradiction services.s.warm_up_s', served(warm_up_s=0)),
            ('contradiction services.s.connections', served(connections=0)),
            ('contradiction limits.body_bytes', bounded(body_bytes=5001)),
            ('contradiction limits.idle_timeout_s', bounded(idle_timeout_s=0)),
        ]
        for expected, checked in cases:
            with self.subTest(expected):
                found = [
                    f'{issue.kind.value} {".".join(map(str, issue.path))}'
                    for issue in policychecks.check(checked, DEPLOYMENT)
                ]
                self.assertEqual(found, [expected])

    def test_sound_policies_have_no_issues(self):
        # A single share gets all requests, so its weight does not matter.
        for checked in (build(), split(0), split(1, 2)):
            self.assertEqual(policychecks.check(checked, DEPLOYMENT), [])

    def test_deployment_is_not_guessed(self):
        checked = changed(allowed_regions=frozenset({'mars'}), max_instances=9)
        self.assertEqual(policychecks.check(checked), [])

    def test_zero_weights_agree_with_the_splitter(self):
        # A reported share must really get nothing, and the others something.
        for weights in ((1, 0), (0, 1), (0, 0), (0, 2, 1), (0,)):
            checked = split(*weights)
            (route,) = checked.routes_by_host['h']
            shares = tuple(
                policy.Share(f's{i}', w) for i, w in enumerate(weights)
            )
            route = dataclasses.replace(route, shares=shares)
            splitter = policy.TrafficSplitter()
            chosen = {splitter.choose(route) for _ in range(20)}
            reported = {
                f's{issue.path[3]}' for issue in policychecks.check(checked)
            }
            self.assertEqual(
                reported, {s.service_id for s in shares} - chosen, weights
            )


class CompareTest(unittest.TestCase):
    """Guards against a change that is sent without having been noticed."""

    def test_fields_and_entries(self):
        other = dataclasses.replace(ROUTE, route_id='r2', prefix='/b/')
        limits = dataclasses.replace(LIMITS, header_bytes=9)
        changed_route = dataclasses.replace(ROUTE, rank=1)
        after = build(changed_route, other, limits=limits, version=2)
        found = policychecks.compare(build(), after)
        self.assertEqual(
            [(issue.path, issue.message) for issue in found],
            [
                (('routes', 'r', 'rank'), '0 became 1'),
                (('routes', 'r2'), 'added'),
                (('limits', 'header_bytes'), '1000 became 9'),
            ],
        )
        self.assertEqual(policychecks.compare(after, after), [])
        # VMs ignore a configuration whose version is not newer.
        back = policychecks.compare(after, build())
        self.assertEqual(back[-1].path, ('version',))
        self.assertIs(back[-1].kind, issues.Kind.CONTRADICTION)


if __name__ == '__main__':
    unittest.main()
