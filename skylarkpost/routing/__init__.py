"""Gateway configuration (routes, services, teams) and lookups in it."""

from skylarkpost.routing.configuration import (
    AdapterModel,
    CallerBounds,
    Configuration,
    EngineLimits,
    GatewayRoute,
    GatewayTeam,
    RouteKind,
    TargetService,
    WarmUp,
    WeightedService,
)
from skylarkpost.routing.state import ConfigurationState
from skylarkpost.routing.table import RouteTable, key_digest

__all__ = [
    "AdapterModel",
    "CallerBounds",
    "Configuration",
    "ConfigurationState",
    "EngineLimits",
    "GatewayRoute",
    "GatewayTeam",
    "RouteKind",
    "RouteTable",
    "TargetService",
    "WarmUp",
    "WeightedService",
    "key_digest",
]
