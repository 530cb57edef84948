"""What the steward of a target tells the other instances about it."""

import zlib
from typing import NamedTuple

import msgspec

__all__ = ["TargetSummary", "adapter_hash", "decode_summaries", "encode_summaries"]


class TargetSummary(NamedTuple):
    """State of a target, small enough to send every second.

    Attributes
    ----------
    target : str
        The target.
    steward : str
        Instance that speaks.
    fencing_number : int
        Its number; 0 if it is no steward.
    full_powers : bool
        Whether it may evict.
    boot : str
        Run of the engine; empty if unknown.
    open : bool
        Whether it grants tickets now.
    room : int
        Tickets that can be granted at once.
    batch_limit : int
        Most requests in the batch.
    queued : int
        Requests that wait.
    queued_urgent : tuple of int
        Requests that wait, counted from each urgency upwards (0 to 9).
    service_time : float
        Smoothed seconds that a ticket is out.
    load_wait : float
        Expected seconds until one more adapter is resident.
    free_slots : int
        Slots that nothing takes.
    victim_worth : float
        Requests expected soon for the adapter that would leave next; 0 if a
        slot is free.
    made_at : float
        Seconds of the steward's clock.
    resident : frozenset of int
        Hashes of the resident adapters.
    """

    target: str
    steward: str
    fencing_number: int
    full_powers: bool
    boot: str
    open: bool
    room: int
    batch_limit: int
    queued: int
    queued_urgent: tuple[int, ...]
    service_time: float
    load_wait: float
    free_slots: int
    victim_worth: float
    made_at: float
    resident: frozenset[int]


def adapter_hash(lora_name):
    """Return the hash by which summaries name an adapter.

    A clash makes an adapter look resident that is not: it costs a load, and
    no request runs on a wrong adapter, since the steward goes by names.

    Parameters
    ----------
    lora_name : str
        ``ADAPTER@VERSION``.

    Returns
    -------
    int
        From 0 to 2**32 - 1.
    """
    return zlib.crc32(lora_name.encode())


def encode_summaries(summaries):
    """Encode summaries for the wire.

    Parameters
    ----------
    summaries : list of TargetSummary
        The summaries.

    Returns
    -------
    bytes
    """
    return msgspec.msgpack.encode(summaries)


def decode_summaries(payload):
    """Decode summaries from the wire.

    Parameters
    ----------
    payload : bytes
        What `encode_summaries` returned.

    Returns
    -------
    list of TargetSummary or None
        None if the payload is malformed.
    """
    try:
        return msgspec.msgpack.decode(payload, type=list[TargetSummary])
    except msgspec.DecodeError:
        return None
