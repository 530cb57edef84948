"""Outcomes of a request, as tagged values rather than exceptions."""

from skylarkpost.outcomes.outcome import Outcome, Refused, Relayed, RunState
from skylarkpost.outcomes.reasons import Reason

__all__ = ["Outcome", "Reason", "Refused", "Relayed", "RunState"]
