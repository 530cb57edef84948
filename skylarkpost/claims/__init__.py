"""Claims on idempotency keys: at-most-once execution of unsafe calls."""

from skylarkpost.claims.keys import InvalidKey, KeyAgeLimits, hash_key, parse_key
from skylarkpost.claims.request_claim import RequestClaim, Stage
from skylarkpost.claims.table import ClaimState, ClaimTable, ClaimVerdict, Progress

__all__ = [
    "ClaimState",
    "ClaimTable",
    "ClaimVerdict",
    "InvalidKey",
    "KeyAgeLimits",
    "Progress",
    "RequestClaim",
    "Stage",
    "hash_key",
    "parse_key",
]
