"""Numbers that govern the stewardship of a target."""

from typing import NamedTuple

__all__ = ["StewardPolicy"]


class StewardPolicy(NamedTuple):
    """Leases, bounds and names of the policies of a steward.

    Attributes
    ----------
    ticket_lease : float
        Seconds that a ticket lives without a renewal.
    lease_margin : float
        Seconds that the steward waits beyond the end of a lease. It covers
        the drift of clocks and a request that was sent at the last moment.
    authority_lease : float
        Seconds that a steward may act after it last confirmed its authority.
    order_timeout : float
        Seconds after which an unanswered unload order is given up.
    order_linger : float
        Longest time, in seconds, after which an order that its sender has
        given up, or did not outlive, may still reach the engine.
    report_lag : float
        Greatest age, in seconds, of a load report when it is handed out.
    queue_limit : int
        Most requests that wait for one target.
    batch_slack : int
        Tickets beyond the engine's batch limit.
    max_concurrent_loads : int
        Most loads in progress on one target.
    ageing : float
        Seconds of waiting that raise the urgency of a request by one.
    drain_after : float
        Seconds that a request waits for a slot before a resident adapter in
        use is drained for it.
    min_residence : float
        Seconds that an adapter stays before it may be drained.
    demand_half_life : float
        Seconds in which the demand for an adapter decays to its half.
    min_backoff, max_backoff : float
        Shortest and longest pause, in seconds, after a failed load.
    queue_order : str
        Name in the registry of queue orders.
    eviction : str
        Name in the registry of eviction policies.
    engine_drains_on_unload : bool
        Whether the engine itself lets runs finish before it unloads. Tickets
        then need no authority, only orders do.
    one_version : bool
        Whether the engine holds only one version of an adapter.
    initial_load_cost : float
        Seconds that a load takes, before any was seen.
    parallel_loads : int
        Loads of one target that do not wait for each other.
    prefill_rate : float
        Tokens of prompts that the engine reads in a second.
    preamble_cache_tokens : float
        Tokens of prompts that it keeps.
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
    eviction: str = "worth"
    engine_drains_on_unload: bool = False
    one_version: bool = False
    initial_load_cost: float = 0.5
    parallel_loads: int = 1
    prefill_rate: float = 40_000.0
    preamble_cache_tokens: float = 200_000.0
