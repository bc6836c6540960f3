"""Tests of oriolefold_daemon.memory."""

import gc

from oriolefold_daemon import memory
from oriolefold_testbed import basecase


class FreezeStartupObjectsTest(basecase.BaseCase):
    """Objects alive at the call are not collected any more; later ones are."""

    def test_only_later_objects_are_collected(self):
        threshold = gc.get_threshold()
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.set_threshold, *threshold)
        memory.freeze_startup_objects()
        self.assertGreater(gc.get_freeze_count(), 1000)
        cycle: list = []
        cycle.append(cycle)
        del cycle
        self.assertGreaterEqual(gc.collect(), 1)
