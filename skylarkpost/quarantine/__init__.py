"""Quarantine: refuses requests that have repeatedly crashed targets."""

from skylarkpost.quarantine.crash_evidence import (
    CrashEvidence,
    EvidencePolicy,
    OnTrial,
)
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
from skylarkpost.quarantine.traits import (
    begun_traits,
    shared_part_traits,
    traits_of,
)
from skylarkpost.quarantine.trials import TrialRegister

__all__ = [
    "Clear",
    "Crash",
    "CrashEvidence",
    "CrashReport",
    "EvidencePolicy",
    "OnTrial",
    "Quarantined",
    "SuspectTracker",
    "Suspected",
    "TrialRegister",
    "begun_traits",
    "fingerprint_request",
    "quarantine_refusal",
    "shared_part_traits",
    "traits_of",
]
