"""Measurement of processor time and allocated memory."""

import gc
import time
import tracemalloc

__all__ = ["measure_allocated", "measure_cpu_time"]


def measure_cpu_time(work, count):
    """Return the mean processor time of one of `count` operations.

    Parameters
    ----------
    work : callable
        Performs all operations.
    count : int
        Number of operations.

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
    """Return the memory retained by the result of a function.

    Parameters
    ----------
    build : callable
        Function that builds and returns the result.

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
