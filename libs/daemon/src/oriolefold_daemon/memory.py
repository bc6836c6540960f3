"""Keeps the garbage collector away from what lives as long as the process."""

import ctypes
import gc

SETTLE_S = 10.0  # Time after the start by which modules and maps are loaded.
YOUNG_OBJECTS = 20_000  # New objects after which the youngest are looked at.


def settle() -> None:
    """Excludes all that is alive now from later collections.

    Modules and models are tens of thousands of objects, which every full
    collection would visit again while requests wait. What loading has left
    free goes back to the system, where the C library can do that.
    """
    gc.collect()
    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, 20, 20)
