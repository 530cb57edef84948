"""Rate and burst limits of teams over all instances."""

from skylarkpost.limits.bucket import Receipt, TokenBucket
from skylarkpost.limits.commands import AppendRecord, Neighbour, RequestYield
from skylarkpost.limits.exchange import ShareExchange
from skylarkpost.limits.lend_messages import (
    ShareReply,
    ShareRequest,
    ShareReturn,
    TeamGrant,
    TeamLease,
)
from skylarkpost.limits.lender import ShareLender
from skylarkpost.limits.permits import LoadPermit, LoadPermits, LoadWait
from skylarkpost.limits.pool import DrawGranted, DrawRefused, NoShares, PoolHolder
from skylarkpost.limits.shares import Grant, SlotShare, TeamLimit
from skylarkpost.limits.slot_manager import SlotManager
from skylarkpost.limits.slots import (
    UNKNOWN_OWNER,
    SlotOwner,
    SlotState,
    SlotTable,
    Succession,
)

__all__ = [
    "UNKNOWN_OWNER",
    "AppendRecord",
    "DrawGranted",
    "DrawRefused",
    "Grant",
    "LoadPermit",
    "LoadPermits",
    "LoadWait",
    "Neighbour",
    "NoShares",
    "PoolHolder",
    "Receipt",
    "RequestYield",
    "ShareExchange",
    "ShareLender",
    "ShareReply",
    "ShareRequest",
    "ShareReturn",
    "SlotManager",
    "SlotOwner",
    "SlotShare",
    "SlotState",
    "SlotTable",
    "Succession",
    "TeamGrant",
    "TeamLease",
    "TeamLimit",
    "TokenBucket",
]
