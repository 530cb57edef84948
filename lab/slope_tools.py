"""How slopes are measured: processor time and allocated memory."""

import gc
import time
import tracemalloc

__all__ = ["measure_allocated", "measure_cpu_time"]


def measure_cpu_time(work, count):
    """Return the processor time of one of `count` operations.

    Parameters
    ----------
    work : callable
        Does all of them.
    count : int
        How many it does.

    Returns
    -------
    float
        Microseconds.
    """
    gc.collect()
    started_at = time.process_time()
    work()
    return (time.process_time() - started_at) / count * 1e6


def measure_allocated(build):
    """Return the memory that stays allocated for what a function builds.

    Parameters
    ----------
    build : callable
        Returns what it has built.

    Returns
    -------
    int
        Bytes.
    """
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size
