"""What the keeper of slots is told, and what it wants done."""

from dataclasses import dataclass
from typing import NamedTuple

from skylarkpost.limits.slots import SlotOwner, SlotRecord

__all__ = ["AppendRecord", "Neighbour", "RequestYield"]


class Neighbour(NamedTuple):
    """Another instance of the same data centre, as it was last heard of.

    Attributes
    ----------
    owner : SlotOwner
        Instance and boot.
    last_received_at : float
        When its last message came, in seconds.
    """

    owner: SlotOwner
    last_received_at: float


@dataclass(frozen=True, kw_only=True)
class AppendRecord:
    """Command: append a record to the `state` stream.

    Parameters
    ----------
    record : SlotRecord
        The record.
    """

    record: SlotRecord


@dataclass(frozen=True, kw_only=True)
class RequestYield:
    """Command: tell the former owner that its slot has been claimed.

    Parameters
    ----------
    owner : SlotOwner
        The former owner; `UNKNOWN_OWNER` stands for all instances of the data centre.
    slot : str
        The slot.
    claim : int
        Offset of the claim that replaced its own.
    """

    owner: SlotOwner
    slot: str
    claim: int
