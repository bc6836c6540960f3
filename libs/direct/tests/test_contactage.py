"""Followers act on nothing that is older than the deployment allows."""

import feedgraph
import hypothesis
from hypothesis import strategies

from oriolefold_testbed import basecase

BOUND_S = 2.0  # The shortest time in which a change has to be in force.


class LostLinksTest(basecase.BaseCase):
    """Links of the feed fail one after the other, each at its worst moment.

    The limits of the links once added up to 2.5 s and more: requests went to
    an instance that had long been draining.
    """

    def worst_delay_s(self, change_at_s, *faults):
        """Returns the longest time after which an undisturbed VM knows."""
        graph = feedgraph.run(
            feedgraph.play(faults, (change_at_s,), change_at_s + 8.0)
        )
        return max(
            delay_s
            for address in (feedgraph.FIRST, feedgraph.SECOND)
            for delay_s in graph.delays_s(address).values()
        )

    def test_leader_is_turned_away_and_the_relay_is_lost_later(self):
        worst = max(
            (
                self.worst_delay_s(
                    phase_s + 0.02,
                    feedgraph.Fault(phase_s, feedgraph.LEADER, 'store', 6.0),
                    feedgraph.Fault(
                        phase_s + later_s, feedgraph.RELAY, kind, 4.0
                    ),
                ),
                f'phase {phase_s}, the relay {kind} {later_s} s later',
            )
            # The leader's contacts recur after 1.2 s at most.
            for phase_s in (0.0, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2)
            for later_s in (0.2, 0.5, 0.8, 1.1, 1.4, 1.7)
            for kind in ('frozen', 'cut')
        )
        self.assertLess(worst[0], BOUND_S, worst[1])


class UnansweredWatchTest(basecase.BaseCase):
    """Answered heartbeats of a leader hide no watch that is not answered."""

    def test_followers_of_a_leader_whose_watches_are_silent_know_in_time(self):
        worst = (0.0, '')
        for phase_s in (0.0, 0.3, 0.6, 0.9):
            silent = feedgraph.Fault(phase_s, feedgraph.LEADER, 'watches', 6.0)
            for later_s in (0.1, 0.5, 0.9, 1.3, 1.7, 2.1, 2.5):
                change_at_s = phase_s + later_s
                graph = feedgraph.run(
                    feedgraph.play((silent,), (change_at_s,), change_at_s + 6.0)
                )
                (delay_s,) = graph.delays_s(feedgraph.FIRST).values()
                text = f'silent from {phase_s} s, change {later_s} s later'
                worst = max(worst, (delay_s, text))
        self.assertLess(worst[0], BOUND_S, worst[1])


class AnyOrderTest(basecase.BaseCase):
    """No order of losses lets an undisturbed VM act on what is too old."""

    times_s = strategies.integers(0, 80).map(lambda tenths: tenths / 10)
    faults = strategies.builds(
        feedgraph.Fault,
        at_s=times_s,
        address=strategies.sampled_from(
            (feedgraph.LEADER, feedgraph.RELAY, feedgraph.SECOND)
        ),
        kind=strategies.sampled_from(
            ('store', 'watches', 'refused', 'cut', 'frozen')
        ),
        for_s=strategies.integers(3, 50).map(lambda tenths: tenths / 10),
    )

    @hypothesis.settings(derandomize=True, max_examples=80, deadline=None)
    @hypothesis.given(
        strategies.lists(faults, min_size=1, max_size=5),
        strategies.lists(times_s, min_size=1, max_size=4, unique=True),
    )
    def test_undisturbed_vm_knows_each_change_in_time(self, faults, changes):
        graph = feedgraph.run(
            feedgraph.play(tuple(faults), tuple(changes), 12.0)
        )
        delays_s = graph.delays_s(feedgraph.FIRST)
        self.assertLess(max(delays_s.values()), BOUND_S, delays_s)
