"""Theoretical bounds from an oracle that knows the whole trace.

The oracle manages all adapter slots, or all prefix caches, as one pool and
evicts the entry whose next use is furthest away (Belady's algorithm). Its loads
are subject to the limit of the weight store.
"""

from typing import NamedTuple

from lab.deployments import PREFIX_CACHE_TOKENS, SLOTS
from lab.engine import PREFILL_TOKEN_S, STEP_S
from lab.figures import quantile
from lab.replay import LOCAL_LINK_S
from lab.scheduler import Scheduler
from lab.weights import WeightStore

__all__ = ["Bounds", "find_bounds"]


class Bounds(NamedTuple):
    """Figures of the oracle on one trace.

    Attributes
    ----------
    stalled_share : float
        Fraction of requests whose adapter must be loaded on demand.
    stall_s : list of float
        Duration of each of these loads under the weight store's limit.
    preamble_share : float
        Fraction of preamble tokens served from the cache.
    first_token_s : list of float
        Seconds to the first token on an idle engine in the same data centre.
    """

    stalled_share: float
    stall_s: list
    preamble_share: float
    first_token_s: list


def find_bounds(trace, *, deployment):
    """Return the oracle's figures for one trace.

    Parameters
    ----------
    trace : list of lab.traces.Request
        The trace.
    deployment : lab.deployments.Deployment
        Deployment that serves the trace.

    Returns
    -------
    Bounds
    """
    engines = len(deployment.targets)
    misses = _misses(trace, lambda request: 1, SLOTS * engines)
    cache_misses = _misses(
        trace, lambda request: request.preamble_tokens, PREFIX_CACHE_TOKENS * engines
    )
    total = sum(request.preamble_tokens for request in trace)
    missed = sum(trace[index].preamble_tokens for index in cache_misses)
    return Bounds(
        stalled_share=len(misses) / len(trace),
        stall_s=_load_times([trace[index].at for index in misses]),
        preamble_share=1 - missed / total,
        first_token_s=_first_token_times(trace, set(cache_misses), deployment),
    )


def _misses(trace, size_of, capacity):
    """Return the indices of the cache misses under Belady's algorithm."""
    next_use = _next_uses(trace)
    cached = {}
    sizes = {}
    used = 0
    misses = []
    for index, request in enumerate(trace):
        adapter = request.adapter
        if adapter not in cached:
            misses.append(index)
            sizes[adapter] = size_of(request)
            used += sizes[adapter]
        cached[adapter] = next_use[index]
        while used > capacity:
            victim = max(cached, key=cached.get)
            del cached[victim]
            used -= sizes[victim]
    return misses


def _next_uses(trace):
    later = {}
    uses = [0.0] * len(trace)
    for index in range(len(trace) - 1, -1, -1):
        adapter = trace[index].adapter
        uses[index] = later.get(adapter, float("inf"))
        later[adapter] = index
    return uses


def _load_times(request_times):
    """Return the durations of loads requested at the given times."""
    scheduler = Scheduler()
    store = WeightStore(scheduler=scheduler)
    times = []

    def request_load():
        started_at = scheduler.now
        store.fetch(lambda: times.append(scheduler.now - started_at))

    for moment in request_times:
        scheduler.call_at(moment, request_load)
    scheduler.run(until=(request_times[-1] if request_times else 0.0) + 3600.0)
    return times


def _first_token_times(trace, cache_misses, deployment):
    network = 2 * (deployment.caller_s + LOCAL_LINK_S)
    times = []
    for index, request in enumerate(trace):
        tokens = request.tail_tokens
        if index in cache_misses:
            tokens += request.preamble_tokens
        times.append(network + STEP_S + tokens * PREFILL_TOKEN_S)
    return times


def oracle_first_token_p95(bounds):
    """Return the 95th percentile of the oracle's first-token times, in seconds."""
    return quantile(bounds.first_token_s, 0.95)
