"""Tests of oriolefold_routing.policy."""

import collections
import unittest

from oriolefold_routing import policy


def route(route_id, prefix, *shares, host='h.example'):
    shares = shares or (policy.Share('s', 1.0),)
    return policy.PrefixRoute(
        route_id, host, prefix, tuple(shares), True, 1.0, 0.5, 2, 1
    )


class FindTest(unittest.TestCase):
    """The longest matching prefix of the host wins."""

    def setUp(self):
        routes = [
            route('short', '/a/'),
            route('long', '/a/b/'),
            route('other', '/a/', host='o.example'),
        ]
        self.policy = policy.Policy(1, policy.group_by_host(routes), {}, None)

    def test_routes(self):
        cases = [
            ('h.example', '/a/x', 'short'),
            ('H.Example:8080', '/a/b/x?y=/a/', 'long'),
            ('h.example', '/a/b', 'short'),
            ('o.example', '/a/b/x', 'other'),
            ('h.example', '/a', None),
            ('h.example', '/b/?/a/', None),
            ('none.example', '/a/x', None),
            ('', '/a/x', None),
        ]
        for host, target, expected in cases:
            with self.subTest(host=host, target=target):
                found = self.policy.find(host, target)
                self.assertEqual(found and found.route_id, expected)


class TrafficSplitterTest(unittest.TestCase):
    """Requests are split by weight, without random deviation."""

    def test_shares_are_exact(self):
        splitter = policy.TrafficSplitter()
        split = route(
            'r', '/a/', policy.Share('s1', 90), policy.Share('s2', 10)
        )
        for count in (10, 20, 100):
            chosen = collections.Counter(
                splitter.choose(split) for _ in range(count)
            )
            self.assertEqual(chosen['s2'], count / 10)

    def test_new_weights_apply_at_once(self):
        splitter = policy.TrafficSplitter()
        old = route('r', '/a/', policy.Share('s1', 9), policy.Share('s2', 1))
        new = route('r', '/a/', policy.Share('s2', 1))
        for _ in range(5):
            splitter.choose(old)
        self.assertEqual(splitter.choose(new), 's2')
