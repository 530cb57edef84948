"""Quarantine: refuses requests that have repeatedly crashed targets."""

from skylarkpost.quarantine.fingerprint import fingerprint_request
from skylarkpost.quarantine.refusal import quarantine_refusal
from skylarkpost.quarantine.suspects import (
    Clear,
    Crash,
    CrashReport,
    Quarantined,
    Suspected,
    SuspectTracker,
)

__all__ = [
    "Clear",
    "Crash",
    "CrashReport",
    "Quarantined",
    "SuspectTracker",
    "Suspected",
    "fingerprint_request",
    "quarantine_refusal",
]
