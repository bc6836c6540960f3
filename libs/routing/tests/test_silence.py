"""Tests of oriolefold_routing.silence."""

import unittest

from oriolefold_core import data
from oriolefold_routing import concurrency, silence, topology


class SilenceTest(unittest.TestCase):
    """Evidence for instances that never answer what they cannot queue."""

    def setUp(self):
        self.silence = silence.Silence()

    def overtaken_send(self, at_s, took_s=0.6):
        send = self.silence.start('i', 0.2, at_s)
        later = self.silence.start('i', 0.2, at_s + 0.1)
        self.silence.end(later, True, at_s + 0.1 + took_s)
        return send

    def confirm(self, after_s, at_s=0.0):
        send = self.overtaken_send(at_s)
        self.silence.confirm('s', send, at_s + after_s)
        self.silence.end(send, False, at_s + after_s)

    def test_nothing_is_silent_before_silence_was_seen_in_the_service(self):
        """Other deployments must not lose long requests."""
        send = self.overtaken_send(0.0)
        self.assertFalse(self.silence.is_silent('s', send, 100.0))

    def test_service_becomes_known_and_is_forgotten(self):
        """One long request must not count as silence, nor for ever."""
        self.confirm(1.0)
        self.assertFalse(self.silence.is_active('s', 1.0))
        self.confirm(1.0, at_s=5.0)
        self.assertTrue(self.silence.is_active('s', 6.0))
        self.assertFalse(self.silence.is_active('other', 6.0))
        end_s = 7.0 + silence.CONFIRMED_TTL_S
        self.assertFalse(self.silence.is_active('s', end_s))

    def test_lost_answers_of_an_instance_with_room_are_no_evidence(self):
        """Deployments whose instances lose answers must be served as before."""
        for at_s in (0.0, 5.0, 10.0, 15.0):
            send = self.overtaken_send(at_s, took_s=0.3)
            self.assertFalse(self.silence.confirm('s', send, at_s + 4.0))
            self.silence.end(send, False, at_s + 4.0)
        self.assertFalse(self.silence.is_active('s', 20.0))

    def test_frozen_instance_is_no_evidence(self):
        """An instance that answers nobody for a while is not full."""
        sends = [self.silence.start('i', 0.2, n / 10) for n in range(4)]
        for send in sends:
            self.assertFalse(self.silence.confirm('s', send, 9.0))
            self.silence.end(send, False, 9.0)
        self.assertFalse(self.silence.is_active('s', 9.0))

    def test_overtaken_sends_are_silent_before_lone_ones(self):
        """A slow instance must get more time than a full one."""
        self.confirm(3.0)
        overtaken = self.overtaken_send(10.0)
        lone = self.silence.start('j', 0.2, 10.0)
        for now_s, expected in ((10.7, 0), (10.9, 1), (11.7, 2)):
            found = [
                self.silence.is_silent('s', send, now_s)
                for send in (overtaken, lone)
            ]
            self.assertEqual(sum(found), expected, now_s)

    def test_limit_falls_and_grows_slowly(self):
        """A full instance must not get the same load again at once."""
        endpoint = topology.Endpoint(
            'i', 1, 's', 'z1', data.Address('10.0.0.1', 80), slots=4
        )
        states = [concurrency.InstanceState(endpoint, 0, 4.0) for _ in '12']
        states[0].record_silence(10.0)
        states[1].record(concurrency.SendResult.REFUSED, 0.1, 10.0)
        self.assertEqual(states[0].limit, states[1].limit)
        self.assertFalse(states[0].has_capacity(10.05))
        for state in states:
            state.record(concurrency.SendResult.ANSWERED, 0.1, 11.0)
        self.assertLess(states[0].limit, states[1].limit)
