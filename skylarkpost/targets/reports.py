"""Load reports, cache events and health of engines."""

from typing import NamedTuple

import msgspec

from skylarkpost.decoding import Malformed, decode_json

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "LoadReport",
    "ResidentLoad",
    "TargetHealth",
    "decode_cache_events",
    "decode_health",
    "decode_load",
]


class ResidentLoad(NamedTuple):
    """Number of requests for one resident adapter.

    Attributes
    ----------
    running, waiting : int
        Numbers of requests.
    """

    running: int
    waiting: int


class LoadReport(NamedTuple):
    """Load of an engine; reports lag behind its state.

    Attributes
    ----------
    boot : str
        Boot id of the engine.
    taken_at : float
        When the engine took the report, in seconds since its boot.
    requested_at, answered_at : float
        When this instance sent the query and received the answer, in seconds
        of its clock.
    slots : int
        Number of adapters that can be resident at once.
    resident : dict of str to ResidentLoad
        Resident adapters by adapter and version, ``A@V``.
    loading : tuple of str
        Adapters being loaded.
    running, waiting : int
        Numbers of requests.
    batch_limit : int
        Number of requests that can run at once.
    prompt_cache_hits, prompt_cache_tokens : int
        Prompt tokens since the boot: those served from the cache, and all.
    """

    boot: str
    taken_at: float
    requested_at: float
    answered_at: float
    slots: int
    resident: dict[str, ResidentLoad]
    loading: tuple[str, ...]
    running: int
    waiting: int
    batch_limit: int
    prompt_cache_hits: int
    prompt_cache_tokens: int


class CacheEvent(NamedTuple):
    """One change of an engine's prefix cache.

    Attributes
    ----------
    n : int
        Sequence number, from 1 in each boot.
    kind : str
        ``"cached"`` or ``"dropped"``.
    prefix : str
        Hash of the prefix.
    """

    n: int
    kind: str
    prefix: str


class CacheEvents(NamedTuple):
    """Changes of an engine's prefix cache; they may be late and have gaps.

    Attributes
    ----------
    boot : str
        Boot id of the engine.
    next : int
        Value of ``after`` for the next query.
    events : tuple of CacheEvent
        Events in order.
    """

    boot: str
    next: int
    events: tuple[CacheEvent, ...]


class TargetHealth(NamedTuple):
    """Health of a target that answers.

    Attributes
    ----------
    boot : str or None
        Boot id if the target is an engine.
    uptime : float or None
        Seconds since the boot; does not lag.
    requested_at, answered_at : float
        When this instance sent the query and received the answer, in seconds
        of its clock.
    """

    boot: str | None
    uptime: float | None
    requested_at: float
    answered_at: float


class ResidentOnWire(msgspec.Struct):
    """Wire format of one resident adapter."""

    lora_name: str
    running: int
    waiting: int


class LoadOnWire(msgspec.Struct):
    """Wire format of a load report."""

    boot: str
    taken_at: float
    slots: int
    resident: list[ResidentOnWire]
    loading: list[str]
    running: int
    waiting: int
    batch_limit: int
    prompt_cache_hits: int = 0
    prompt_cache_tokens: int = 0


class CacheEventOnWire(msgspec.Struct):
    """Wire format of one cache event."""

    n: int
    kind: str
    prefix: str


class CacheEventsOnWire(msgspec.Struct):
    """Wire format of cache events."""

    boot: str
    next: int
    events: list[CacheEventOnWire]


class HealthOnWire(msgspec.Struct):
    """Wire format of a health answer."""

    boot: str | None = None
    uptime: float | None = None


def decode_load(body, *, requested_at, answered_at):
    """Decode a load report.

    Parameters
    ----------
    body : bytes
        JSON body of the answer.
    requested_at, answered_at : float
        When the query was sent and answered, in seconds of this instance's
        clock.

    Returns
    -------
    LoadReport or Malformed
    """
    wire = decode_json(body, LoadOnWire)
    if isinstance(wire, Malformed):
        return wire
    resident = {r.lora_name: ResidentLoad(r.running, r.waiting) for r in wire.resident}
    return LoadReport(
        boot=wire.boot,
        taken_at=wire.taken_at,
        requested_at=requested_at,
        answered_at=answered_at,
        slots=wire.slots,
        resident=resident,
        loading=tuple(wire.loading),
        running=wire.running,
        waiting=wire.waiting,
        batch_limit=wire.batch_limit,
        prompt_cache_hits=wire.prompt_cache_hits,
        prompt_cache_tokens=wire.prompt_cache_tokens,
    )


def decode_cache_events(body, *, requested_at, answered_at):
    """Decode cache events; see `decode_load`."""
    wire = decode_json(body, CacheEventsOnWire)
    if isinstance(wire, Malformed):
        return wire
    events = tuple(CacheEvent(e.n, e.kind, e.prefix) for e in wire.events)
    return CacheEvents(wire.boot, wire.next, events)


def decode_health(body, *, requested_at, answered_at):
    """Decode the health of an engine or a plain service; see `decode_load`."""
    wire = decode_json(body, HealthOnWire)
    if isinstance(wire, Malformed):
        return wire
    return TargetHealth(wire.boot, wire.uptime, requested_at, answered_at)
