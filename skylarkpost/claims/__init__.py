"""At most once: claims on work that may not be repeated."""

from skylarkpost.claims.claimant import Claimant, Stage
from skylarkpost.claims.keys import InvalidKey, KeyTimes, hash_key, parse_key
from skylarkpost.claims.table import ClaimState, ClaimTable, ClaimVerdict, Progress

__all__ = [
    "ClaimState",
    "ClaimTable",
    "ClaimVerdict",
    "Claimant",
    "InvalidKey",
    "KeyTimes",
    "Progress",
    "Stage",
    "hash_key",
    "parse_key",
]
