"""Tests of oriolefold_daemon.memory."""

import gc

from oriolefold_daemon import memory
from oriolefold_testbed import basecase


class SettleTest(basecase.BaseCase):
    """What lives is left out of collections; what comes later is not."""

    def test_settle(self):
        threshold = gc.get_threshold()
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.set_threshold, *threshold)
        memory.settle()
        self.assertGreater(gc.get_freeze_count(), 1000)
        cycle: list = []
        cycle.append(cycle)
        del cycle
        self.assertGreaterEqual(gc.collect(), 1)
