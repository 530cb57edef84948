"""Decoder of the operators' configuration."""

from typing import Annotated

import msgspec

from skylarkpost.decoding import Count, Malformed, Seconds, decode_json
from skylarkpost.routing import (
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
    key_digest,
)

__all__ = [
    "decode_adapter_version",
    "decode_configuration",
    "decode_evacuation",
    "evacuated_data_centre",
]

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}
TOKENS_UNIT = "tokens"
MS_PER_S = 1000.0
MAX_RATE = 1e9
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE)]
EVACUATION_PREFIX = "evacuate/"
MAX_NAME_LENGTH = 200


class SplitOnWire(msgspec.Struct):
    service: str
    weight: float


class RouteOnWire(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    # The time within which a response earns its full credit, not a timeout.
    latency_goal_ms: float
    # A rank: 0 is the most urgent.
    priority: int
    # Maximum number of servers that one client attempt is sent to, including the
    # first one.
    attempts: int
    service: str = ""
    split: list[SplitOnWire] = []
    public: bool = False
    resumable: bool = False
    gap_target_ms: float | None = None


class ModelOnWire(msgspec.Struct, rename="camel"):
    name: str
    weights_mb: float
    load_s: float = msgspec.field(name="loadS")
    adapters: Count = 0
    adapter_mb: float = 0.0


class EngineOnWire(msgspec.Struct, rename="camel"):
    models: list[ModelOnWire]
    # Memory for weights and adapters together, in megabytes; in `ModelOnWire` the
    # same name is the size of one model's weights.
    weights_mb: float
    adapter_slots: Count = 0
    slots: Count = 1
    kv_capacity: Count = 0


class ServiceOnWire(msgspec.Struct, rename="camel"):
    name: str
    health_path: str
    # Limit over all callers together, not per caller.
    max_conns: int
    engine: EngineOnWire | None = None
    # Zero for targets that need no warm-up.
    cold_start_s: Seconds = msgspec.field(default=0.0, name="coldStartS")
    cold_per_s: Rate = msgspec.field(default=0.0, name="coldPerS")


class BoundsOnWire(msgspec.Struct, rename="camel"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class TenantOnWire(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str]
    priority: int | None = None
    # "tokens"; requests are counted if it is missing.
    unit: str | None = None
    plain_tokens: Count = 1
    rate_per_s: float = msgspec.field(default=0.0, name="ratePerS")
    burst: float = 0.0


class ConfigurationOnWire(msgspec.Struct, rename="camel"):
    version: Count
    routes: list[RouteOnWire]
    services: list[ServiceOnWire]
    limits: BoundsOnWire
    tenants: list[TenantOnWire] = []


class AdapterVersionOnWire(msgspec.Struct):
    model: str
    adapter: str
    version: Count


def decode_configuration(payload):
    """Decode a version of the configuration.

    Parameters
    ----------
    payload : bytes
        The entry's value.

    Returns
    -------
    Configuration or Malformed
    """
    wire = decode_json(payload, ConfigurationOnWire)
    if isinstance(wire, Malformed):
        return Malformed(f"configuration: {wire.detail}")
    unknown = {each.route_kind for each in wire.routes} - ROUTE_KINDS.keys()
    if unknown:
        return Malformed(f"configuration: unknown kind {min(unknown)!r}")
    routes = tuple(_route(each) for each in wire.routes)
    return Configuration(
        version=wire.version,
        routes=routes,
        services={each.name: _service(each) for each in wire.services},
        teams={each.name: _team(each) for each in wire.tenants},
        bounds=CallerBounds(
            header_bytes=wire.limits.max_header_bytes,
            body_bytes=wire.limits.max_body_bytes,
            header_timeout=wire.limits.header_timeout_ms / MS_PER_S,
            idle_timeout=wire.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def decode_adapter_version(payload):
    """Decode the announcement of a new version of an adapter.

    Parameters
    ----------
    payload : bytes
        The entry's value.

    Returns
    -------
    tuple of (str, str, int) or Malformed
        Base model, adapter and version.
    """
    wire = decode_json(payload, AdapterVersionOnWire)
    if isinstance(wire, Malformed):
        return Malformed(f"adapter version: {wire.detail}")
    return wire.model, wire.adapter, wire.version


def evacuated_data_centre(key):
    """Return the data centre that an operator's key asks to evacuate.

    Parameters
    ----------
    key : str
        Key of an entry in the operators' topic.

    Returns
    -------
    str, Malformed or None
        None if the entry is of another kind.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    name = key.removeprefix(EVACUATION_PREFIX)
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        return Malformed("evacuation: no name of a data centre")
    return name


def decode_evacuation(payload):
    """Check the value of a request to evacuate a data centre.

    Parameters
    ----------
    payload : bytes
        The entry's value, an object without fields that are known here.

    Returns
    -------
    dict or Malformed
    """
    wire = decode_json(payload, dict)
    if isinstance(wire, Malformed):
        return Malformed(f"evacuation: {wire.detail}")
    return wire


def _route(wire):
    services = [WeightedService(each.service, each.weight) for each in wire.split]
    pause = wire.gap_target_ms
    return GatewayRoute(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        kind=ROUTE_KINDS[wire.route_kind],
        timeout=wire.timeout_ms / MS_PER_S,
        latency_goal=wire.latency_goal_ms / MS_PER_S,
        gap_target=None if pause is None else pause / MS_PER_S,
        rank=wire.priority,
        services=tuple(services) or (WeightedService(wire.service, 1.0),),
        max_targets=max(1, wire.attempts),
        is_public=wire.public,
        is_resumable=wire.resumable,
    )


def _service(wire):
    engine = wire.engine
    return TargetService(
        name=wire.name,
        health_path=wire.health_path,
        max_connections=wire.max_conns,
        engine=None if engine is None else _engine(engine),
        warm_up=_warm_up(wire),
    )


def _warm_up(wire):
    if not wire.cold_per_s:
        return None
    return WarmUp(rate=wire.cold_per_s, duration=wire.cold_start_s)


def _engine(wire):
    models = tuple(
        AdapterModel(
            name=each.name,
            size=each.weights_mb,
            load_time=each.load_s,
            adapters=each.adapters,
            adapter_size=each.adapter_mb,
        )
        for each in wire.models
    )
    return EngineLimits(
        models=models,
        batch=wire.slots,
        adapter_slots=wire.adapter_slots,
        weights_size=wire.weights_mb,
        cache_tokens=wire.kv_capacity,
    )


def _team(wire):
    return GatewayTeam(
        name=wire.name,
        key_digests=tuple(key_digest(key.encode()) for key in wire.api_keys),
        rank=wire.priority,
        rate=wire.rate_per_s,
        burst=wire.burst,
        counts_tokens=wire.unit == TOKENS_UNIT,
        plain_tokens=wire.plain_tokens,
    )
