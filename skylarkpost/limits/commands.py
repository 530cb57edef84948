"""Inputs and commands of `SlotManager`."""

from dataclasses import dataclass
from typing import NamedTuple

from skylarkpost.limits.slots import SlotOwner, SlotRecord

__all__ = ["AppendRecord", "Neighbour", "RequestYield"]


class Neighbour(NamedTuple):
    """Another instance of the same data centre.

    Attributes
    ----------
    owner : SlotOwner
        Instance and boot.
    last_received_at : float
        When its last message arrived, in seconds.
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
    """Command: request that a former owner yields a slot claimed by this instance.

    Parameters
    ----------
    owner : SlotOwner
        The former owner; `UNKNOWN_OWNER` if it may be any instance of the data
        centre.
    slot : str
        Id of the slot.
    claim : int
        Offset of the claim that replaced its own.
    """

    owner: SlotOwner
    slot: str
    claim: int
