"""Clients and followers of the logs that hold durable state."""

from skylarkpost.log.log_client import LogClient
from skylarkpost.log.log_follower import LogFollower
from skylarkpost.log.outcomes import (
    Appended,
    AppendRefused,
    AppendUnknown,
    LogRecord,
    LogUnavailable,
    Records,
)

__all__ = [
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "LogClient",
    "LogFollower",
    "LogRecord",
    "LogUnavailable",
    "Records",
]
