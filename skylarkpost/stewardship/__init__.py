"""Stewardship of targets: tickets, residency, queues, loads and evictions."""

from skylarkpost.stewardship.authority import Authority, StandingAuthority
from skylarkpost.stewardship.messages import (
    AdapterLoad,
    FenceTarget,
    GrantTicket,
    HeldTicket,
    LoadAdapter,
    LoadReport,
    RefuseTicket,
    RequestLoadPermit,
    ReturnLoadPermit,
    TicketRequest,
    UnloadAdapter,
)
from skylarkpost.stewardship.policy import StewardPolicy
from skylarkpost.stewardship.steward import Permissions, TargetSteward
from skylarkpost.stewardship.summary import (
    TargetSummary,
    adapter_hash,
    decode_summaries,
    encode_summaries,
)

__all__ = [
    "AdapterLoad",
    "Authority",
    "FenceTarget",
    "GrantTicket",
    "HeldTicket",
    "LoadAdapter",
    "LoadReport",
    "Permissions",
    "RefuseTicket",
    "RequestLoadPermit",
    "ReturnLoadPermit",
    "StandingAuthority",
    "StewardPolicy",
    "TargetSteward",
    "TargetSummary",
    "TicketRequest",
    "UnloadAdapter",
    "adapter_hash",
    "decode_summaries",
    "encode_summaries",
]
