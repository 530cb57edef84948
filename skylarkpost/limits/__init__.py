"""Rate and burst of teams over all instances together."""

from skylarkpost.limits.asks import Ask, AskAnswer, Return, TeamGrant, TeamLease
from skylarkpost.limits.bucket import Receipt, TokenBucket
from skylarkpost.limits.commands import AppendRecord, AskToYield, Neighbour
from skylarkpost.limits.exchange import ShareExchange
from skylarkpost.limits.keeper import SlotKeeper
from skylarkpost.limits.lender import ShareLender
from skylarkpost.limits.permits import LoadPermit, LoadPermits, LoadWait
from skylarkpost.limits.pool import DrawGranted, DrawRefused, NoShares, PoolHolder
from skylarkpost.limits.shares import Grant, SlotShare, TeamLimit
from skylarkpost.limits.slots import ANYONE, SlotOwner, SlotState, SlotTable, Succession

__all__ = [
    "ANYONE",
    "AppendRecord",
    "Ask",
    "AskAnswer",
    "AskToYield",
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
    "Return",
    "ShareExchange",
    "ShareLender",
    "SlotKeeper",
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
