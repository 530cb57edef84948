"""Decoder of the announcements of servers in the store."""

import msgspec

from skylarkpost.discovery import LoadedModel, TargetEntry, TargetState
from skylarkpost.platform.malformed import Malformed

__all__ = ["ModelOnWire", "decode_target", "loaded_models"]

STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}
MS_PER_S = 1000.0
VERSION_MARK = "@"


class ModelOnWire(msgspec.Struct):
    """A loaded base model in a server's announcement or report."""

    name: str
    version: int
    # Each as NAME@VERSION.
    adapters: list[str] = []


class ServerOnWire(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    born: int
    # Orders accepted, on engines; other servers count announcements here.
    seq: int = 0
    models: list[ModelOnWire] = []
    remaining_ms: float | None = None


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
    try:
        wire = msgspec.json.decode(payload, type=ServerOnWire)
        state = STATES[wire.state]
        models = loaded_models(wire.models)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Malformed(f"target {name}: {error}")
    except (KeyError, ValueError) as error:
        return Malformed(f"target {name}: unknown state or version: {error}")
    host, _, port = wire.address.rpartition(":")
    if not host or not port.isdigit():
        return Malformed(f"target {name}: no address in {wire.address!r}")
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
    )


def loaded_models(models):
    """Convert the models of an announcement or report.

    Parameters
    ----------
    models : list of ModelOnWire
        The decoded models.

    Returns
    -------
    tuple of LoadedModel
    """
    return tuple(
        LoadedModel(each.name, each.version, dict(map(_parse_adapter, each.adapters)))
        for each in models
    )


def _parse_adapter(text):
    name, mark, version = text.rpartition(VERSION_MARK)
    if not mark:
        return text, 0
    return name, int(version)
