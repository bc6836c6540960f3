"""Tuning of the garbage collector for a long-running process."""

import ctypes
import gc

FREEZE_DELAY_S = 10.0  # Modules and shard maps are loaded by then.
# Allocations minus deallocations that trigger a collection of generation 0.
YOUNG_GENERATION_THRESHOLD = 20_000


def freeze_startup_objects() -> None:
    """Moves all live objects to the permanent generation.

    Modules and models are tens of thousands of objects, which every full
    collection would traverse again while requests wait. Memory that is free
    after loading is returned to the system if the C library has `malloc_trim`.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
    gc.freeze()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD, 20, 20)
