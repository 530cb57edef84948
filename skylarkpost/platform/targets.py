"""Decoder of the announcements of servers in the store."""

import re

import msgspec

from skylarkpost.decoding import Count, Malformed, Seconds, decode_json, is_address
from skylarkpost.discovery import LoadedModel, TargetEntry, TargetState

__all__ = ["ModelOnWire", "decode_target", "loaded_models"]

STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
MS_PER_S = 1000.0
VERSION_MARK = "@"
# Ids travel in headers.
TARGET_NAME = re.compile(r"[!-~]{1,200}")
VERSION = re.compile(r"[0-9]{1,15}")
# Longer software versions are not told apart.
MAX_SOFTWARE_VERSION = 200


class ModelOnWire(msgspec.Struct):
    """A loaded base model in a server's announcement or report."""

    name: str
    version: Count
    # Each as NAME@VERSION.
    adapters: list[str] = []


class ServerOnWire(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: Count
    state: str
    born: Count
    # Orders accepted, on engines; other servers count announcements here.
    seq: Count = 0
    models: list[ModelOnWire] = []
    remaining_ms: Seconds | None = None
    cold_left_ms: Seconds = 0.0
    # Of the server's software. Older servers have none, others name it oddly.
    version: object = None


def decode_target(name, payload):
    """Decode the announcement of a server.

    Parameters
    ----------
    name : str
        Id of the server, from the entry's key.
    payload : bytes
        The entry's value.

    Returns
    -------
    TargetEntry or Malformed
    """
    wire = decode_json(payload, ServerOnWire)
    if isinstance(wire, Malformed):
        return Malformed(f"target {name}: {wire.detail}")
    if TARGET_NAME.fullmatch(name) is None:
        return Malformed("an id that can't be sent in a header")
    state = STATES.get(wire.state)
    models = loaded_models(wire.models)
    if state is None or models is None:
        return Malformed(f"target {name}: unknown state or version")
    if not is_address(wire.address):
        return Malformed(f"target {name}: no address")
    return TargetEntry(
        name=name,
        service=wire.service,
        address=wire.address,
        data_centre=wire.zone,
        slots=wire.slots,
        state=state,
        started_at_ms=wire.born,
        orders_accepted=wire.seq,
        models=models,
        remaining_time=None
        if wire.remaining_ms is None
        else wire.remaining_ms / MS_PER_S,
        warm_up_left=wire.cold_left_ms / MS_PER_S,
        software_version=_software_version(wire.version),
    )


def _software_version(value):
    return value[:MAX_SOFTWARE_VERSION] if isinstance(value, str) else ""


def loaded_models(models):
    """Convert the models of an announcement or report.

    Parameters
    ----------
    models : list of ModelOnWire
        The decoded models.

    Returns
    -------
    tuple of LoadedModel or None
        None if the version of an adapter is not a number.
    """
    found = []
    for each in models:
        adapters = dict(map(_parse_adapter, each.adapters))
        if None in adapters.values():
            return None
        found.append(LoadedModel(each.name, each.version, adapters))
    return tuple(found)


def _parse_adapter(text):
    name, mark, version = text.rpartition(VERSION_MARK)
    if not mark:
        return text, 0
    return name, int(version) if VERSION.fullmatch(version) else None
