"""Structured log lines, one for each event."""

from skylarkpost.eventlog.bounded import BoundedHandler, LineRateLimiter
from skylarkpost.eventlog.keyvalue import configure_logging, format_event, log_event

__all__ = [
    "BoundedHandler",
    "LineRateLimiter",
    "configure_logging",
    "format_event",
    "log_event",
]
