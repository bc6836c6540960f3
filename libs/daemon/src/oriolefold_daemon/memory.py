"""Keeps the garbage collector away from what lives as long as the process."""

import gc

SETTLE_S = 10.0  # Time after the start by which modules and maps are loaded.
YOUNG_OBJECTS = 20_000  # New objects after which the youngest are looked at.


def settle() -> None:
    """Excludes all that is alive now from later collections.

    Modules and models are tens of thousands of objects, which every full
    collection would visit again while requests wait.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, 20, 20)
