"""Structured logging: one key=value line per event."""

from skylarkpost.eventlog.bounded import BoundedHandler, LineRateLimiter
from skylarkpost.eventlog.keyvalue import configure_logging, format_event, log_event

__all__ = [
    "BoundedHandler",
    "LineRateLimiter",
    "configure_logging",
    "format_event",
    "log_event",
]
