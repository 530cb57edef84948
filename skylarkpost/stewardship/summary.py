"""Summary of a target that its steward publishes to other instances."""

import zlib
from typing import NamedTuple

import msgspec

from skylarkpost.decoding import Malformed, decode_msgpack

__all__ = ["TargetSummary", "adapter_hash", "decode_summaries", "encode_summaries"]


class TargetSummary(NamedTuple):
    """State of a target, small enough to publish every second.

    Attributes
    ----------
    target : str
        The target.
    steward : str
        Instance that publishes the summary.
    fencing_number : int
        Its fencing number; 0 if the instance is not the steward.
    full_powers : bool
        Whether the steward may evict.
    boot : str
        Boot id of the engine; empty if unknown.
    open : bool
        Whether the steward currently grants tickets.
    room : int
        Number of tickets that can be granted immediately.
    batch_limit : int
        Maximum number of requests in the batch.
    queued : int
        Number of waiting requests.
    queued_urgent : tuple of int
        Number of waiting requests of at least each urgency (0 to 9).
    service_time : float
        Smoothed time between grant and return of a ticket, in seconds.
    load_wait : float
        Expected seconds until one more adapter is resident.
    free_slots : int
        Number of free adapter slots.
    victim_worth : float
        Expected requests for the next adapter to be evicted; 0 if a slot is
        free.
    made_at : float
        Time of creation, in seconds of the steward's clock.
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
    """Return the hash that identifies an adapter in summaries.

    A collision makes an absent adapter appear resident. That costs a load, but
    no request runs on a wrong adapter, since the steward uses full names.

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
        Output of `encode_summaries`.

    Returns
    -------
    list of TargetSummary or None
        None if the payload is malformed.
    """
    summaries = decode_msgpack(payload, list[TargetSummary])
    return None if isinstance(summaries, Malformed) else summaries
