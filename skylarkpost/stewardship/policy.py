"""Parameters of the stewardship of a target."""

import math
from typing import NamedTuple

__all__ = ["StewardPolicy"]


class StewardPolicy(NamedTuple):
    """Leases, limits and policy names of a steward.

    Attributes
    ----------
    ticket_lease : float
        Lifetime of a ticket without renewal, in seconds.
    lease_margin : float
        Seconds that the steward waits beyond the end of a lease, to cover
        clock drift and a request sent just before the lease expired.
    authority_lease : float
        Seconds that a steward may act after the last confirmation of its
        authority.
    order_timeout : float
        Timeout of an unload order, in seconds.
    order_linger : float
        Longest time, in seconds, after which an order may still reach the
        engine although its sender has timed out or crashed.
    report_lag : float
        Maximum age of a load report when the engine returns it, in seconds.
    queue_limit : int
        Maximum number of requests waiting for one target.
    batch_slack : int
        Tickets granted beyond the engine's batch limit.
    max_concurrent_loads : int
        Maximum number of loads in progress on one target.
    ageing : float
        Seconds of waiting that raise the urgency of a request by one.
    drain_after : float
        Seconds that a request waits for a slot before a resident adapter
        that is in use is drained for it.
    min_residence : float
        Minimum seconds that an adapter stays resident before it may be drained.
    demand_half_life : float
        Half-life of the demand for an adapter, in seconds.
    min_backoff, max_backoff : float
        Shortest and longest pause, in seconds, after a failed load.
    queue_order : str
        Name of a registered queue order.
    prefill_ahead : float
        Seconds of prefill that an engine may have ahead of it before further requests
        wait in the steward's queue, where their order may still change.
    eviction : str
        Name of a registered eviction policy.
    engine_drains_on_unload : bool
        Whether the engine finishes running requests before it unloads an
        adapter. Only orders then require authority, tickets do not.
    one_version : bool
        Whether the engine holds only one version of an adapter.
    initial_load_cost : float
        Estimated duration of a load, in seconds, until one was observed.
    parallel_loads : int
        Loads of one target that proceed in parallel.
    prefill_rate : float
        Prompt tokens that the engine prefills per second.
    preamble_cache_tokens : float
        Prompt tokens that the prefix cache of the engine holds.
    limit_window : float
        Span over which engines that name a limit count their requests, in seconds.
    """

    ticket_lease: float = 10.0
    lease_margin: float = 2.0
    authority_lease: float = 3.0
    order_timeout: float = 2.0
    order_linger: float = 5.0
    report_lag: float = 1.0
    queue_limit: int = 512
    batch_slack: int = 1
    max_concurrent_loads: int = 2
    ageing: float = 2.0
    drain_after: float = 0.5
    min_residence: float = 1.0
    demand_half_life: float = 300.0
    min_backoff: float = 1.0
    max_backoff: float = 60.0
    queue_order: str = "fair"
    prefill_ahead: float = math.inf
    eviction: str = "worth"
    engine_drains_on_unload: bool = False
    one_version: bool = False
    initial_load_cost: float = 0.5
    parallel_loads: int = 1
    prefill_rate: float = 40_000.0
    preamble_cache_tokens: float = 200_000.0
    limit_window: float = 4.0
