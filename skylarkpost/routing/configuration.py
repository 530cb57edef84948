"""Types of one version of the gateway's configuration."""

import enum
from typing import NamedTuple

__all__ = [
    "AdapterModel",
    "CallerBounds",
    "Configuration",
    "EngineLimits",
    "GatewayRoute",
    "GatewayTeam",
    "RouteKind",
    "TargetService",
    "WeightedService",
]


# Callers give up a silent stream after the longest of these: seconds, latency
# goals, and pauses.
ABANDON_S = 2.0
ABANDON_GOALS = 4.0
ABANDON_GAPS = 8.0


class RouteKind(enum.StrEnum):
    """What may be done with a request whose outcome is not known."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """One of the services that share a route.

    Attributes
    ----------
    service : str
        Its name.
    weight : float
        Its part of the requests, against the other services of the route.
    """

    service: str
    weight: float


class GatewayRoute(NamedTuple):
    """Requests of one host below one path prefix.

    Attributes
    ----------
    name : str
        For logs.
    host : str
        In lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    timeout : float
        Longest time that a request is kept waiting, in seconds.
    latency_goal : float
        Time to the answer, or to a stream's first event, in seconds.
    gap_target : float or None
        Longest pause between two events of a stream, in seconds.
    rank : int
        0 is the most urgent.
    services : tuple of WeightedService
        Where requests go.
    max_targets : int
        Most targets that one request may be sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may go on at another target.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    latency_goal: float
    gap_target: float | None
    rank: int
    services: tuple[WeightedService, ...]
    max_targets: int
    is_public: bool
    is_resumable: bool

    @property
    def abandon_timeout(self):
        """Seconds after which callers give up a stream that does not begin."""
        pause = ABANDON_GAPS * (self.gap_target or 0.0)
        return max(ABANDON_S, ABANDON_GOALS * self.latency_goal, pause)

    @property
    def is_repeatable(self):
        """Whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE


class AdapterModel(NamedTuple):
    """A base model and how long its weights take to load.

    Attributes
    ----------
    name : str
        The base model.
    size : float
        Of the weights, in megabytes.
    load_time : float
        From the weight store, in seconds.
    adapters : int
        Number of its adapters.
    adapter_size : float
        Of one adapter, in megabytes.
    """

    name: str
    size: float
    load_time: float
    adapters: int
    adapter_size: float


class EngineLimits(NamedTuple):
    """What each engine of a service holds.

    Attributes
    ----------
    models : tuple of AdapterModel
        What the engines may serve.
    batch : int
        Requests that run at once.
    adapter_slots : int
        Adapters held or on their way at once.
    weights_size : float
        Room for weights and adapters, in megabytes.
    cache_tokens : int
        Tokens of running requests and kept prompts.
    """

    models: tuple[AdapterModel, ...]
    batch: int
    adapter_slots: int
    weights_size: float
    cache_tokens: int


class TargetService(NamedTuple):
    """A pool of targets.

    Attributes
    ----------
    name : str
        The pool.
    health_path : str
        Path of the targets' health check.
    max_connections : int
        Connections that one target accepts from all instances together.
    engine : EngineLimits or None
        None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None


class GatewayTeam(NamedTuple):
    """A team, its keys and its limit.

    Attributes
    ----------
    name : str
        The team.
    key_digests : tuple of str
        SHA-256 of each key in hexadecimal; keys themselves are not kept.
    rank : int or None
        Takes precedence over the route's rank.
    rate : float
        Units a second over all instances; 0 for no limit.
    burst : float
        Units.
    counts_tokens : bool
        Whether units are tokens rather than requests.
    plain_tokens : int
        Charge of a request that does not say how many tokens it has.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int


class CallerBounds(NamedTuple):
    """What a caller may send, and how long it may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest head and body.
    header_timeout : float
        Longest time for a head, in seconds.
    idle_timeout : float
        Longest silence on a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Configuration(NamedTuple):
    """One version of everything that operators set.

    Attributes
    ----------
    version : int
        Rises with each change, in uneven steps.
    routes : tuple of GatewayRoute
        All routes.
    services : dict of str to TargetService
        By name.
    teams : dict of str to GatewayTeam
        By name.
    bounds : CallerBounds
        For callers.
    """

    version: int
    routes: tuple[GatewayRoute, ...]
    services: dict[str, TargetService]
    teams: dict[str, GatewayTeam]
    bounds: CallerBounds
