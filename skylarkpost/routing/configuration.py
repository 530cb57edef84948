"""Types of the gateway's configuration."""

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
    "WarmUp",
    "WeightedService",
]


# Callers abandon a stream without events after the longest of these: a number of
# seconds, of latency goals, and of gap targets.
ABANDON_S = 2.0
ABANDON_GOALS = 4.0
ABANDON_GAPS = 8.0


class RouteKind(enum.StrEnum):
    """Whether a request with an unknown outcome may be repeated or resumed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class WeightedService(NamedTuple):
    """A service of a route and its share of the requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the route's other services.
    """

    service: str
    weight: float


class GatewayRoute(NamedTuple):
    """A route: requests to one host below one path prefix.

    Attributes
    ----------
    name : str
        Name of the route, for logs.
    host : str
        Host name in lower case, without a port.
    path_prefix : str
        Begins and ends with a slash.
    kind : RouteKind
        Whether requests may be repeated.
    timeout : float
        Timeout of a request, in seconds.
    latency_goal : float
        Target time to the response, or to a stream's first event, in seconds.
    gap_target : float or None
        Target for the longest gap between two events of a stream, in seconds.
    rank : int
        0 is the most urgent.
    services : tuple of WeightedService
        Services that requests are split between.
    max_targets : int
        Maximum number of targets that one request is sent to.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether a stream may be resumed at another target.
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
        """Seconds after which callers abandon a stream that sends no event."""
        pause = ABANDON_GAPS * (self.gap_target or 0.0)
        return max(ABANDON_S, ABANDON_GOALS * self.latency_goal, pause)

    @property
    def is_repeatable(self):
        """Whether a request that may have run may be repeated."""
        return self.kind is RouteKind.SAFE


class AdapterModel(NamedTuple):
    """A base model, its load time and its adapters.

    Attributes
    ----------
    name : str
        Name of the base model.
    size : float
        Size of the weights, in megabytes.
    load_time : float
        Time to load the weights from the weight store, in seconds.
    adapters : int
        Number of its adapters.
    adapter_size : float
        Size of one adapter, in megabytes.
    """

    name: str
    size: float
    load_time: float
    adapters: int
    adapter_size: float


class EngineLimits(NamedTuple):
    """Capacity of each engine of a service.

    Attributes
    ----------
    models : tuple of AdapterModel
        Base models that the engines may serve.
    batch : int
        Maximum number of concurrent requests.
    adapter_slots : int
        Maximum number of adapters loaded or being loaded.
    weights_size : float
        Memory for weights and adapters together, in megabytes.
    cache_tokens : int
        KV cache capacity, in tokens of running requests and cached prompts.
    """

    models: tuple[AdapterModel, ...]
    batch: int
    adapter_slots: int
    weights_size: float
    cache_tokens: int


class WarmUp(NamedTuple):
    """What a target tolerates while it warms up.

    Attributes
    ----------
    rate : float
        Requests a second that it accepts from all instances together.
    duration : float
        How long it warms up after a start, in seconds.
    """

    rate: float
    duration: float


class TargetService(NamedTuple):
    """A pool of targets.

    Attributes
    ----------
    name : str
        Name of the pool.
    health_path : str
        Path of the targets' health check.
    max_connections : int
        Maximum number of connections that a target accepts from all instances
        together.
    engine : EngineLimits or None
        None for a service without engines.
    warm_up : WarmUp or None
        None if the targets need no warm-up.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None
    warm_up: WarmUp | None = None


class GatewayTeam(NamedTuple):
    """A team, its API keys and its rate limit.

    Attributes
    ----------
    name : str
        Name of the team.
    key_digests : tuple of str
        SHA-256 of each key in hexadecimal; the keys themselves are not stored.
    rank : int or None
        Overrides the route's rank.
    rate : float
        Units per second over all instances; 0 for no limit.
    burst : float
        Burst size, in units.
    counts_tokens : bool
        Whether units are tokens rather than requests.
    plain_tokens : int
        Tokens charged for a request without a token count.
    """

    name: str
    key_digests: tuple[str, ...]
    rank: int | None
    rate: float
    burst: float
    counts_tokens: bool
    plain_tokens: int


class CallerBounds(NamedTuple):
    """Size limits and timeouts for callers' requests.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of the request head and body.
    header_timeout : float
        Maximum time to receive a request head, in seconds.
    idle_timeout : float
        Idle timeout of a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Configuration(NamedTuple):
    """A version of the operators' configuration.

    Attributes
    ----------
    version : int
        Version number; increases with each change, not necessarily by one.
    routes : tuple of GatewayRoute
        All routes.
    services : dict of str to TargetService
        Services by name.
    teams : dict of str to GatewayTeam
        Teams by name.
    bounds : CallerBounds
        Limits for callers' requests.
    """

    version: int
    routes: tuple[GatewayRoute, ...]
    services: dict[str, TargetService]
    teams: dict[str, GatewayTeam]
    bounds: CallerBounds
