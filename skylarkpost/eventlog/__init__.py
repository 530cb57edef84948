"""Structured logs: one line of key=value pairs for each event."""

from skylarkpost.eventlog.keyvalue import configure_logging, format_event, log_event

__all__ = ["configure_logging", "format_event", "log_event"]
