"""Background tasks, HTTP sessions and exits, shared by all components."""

from skylarkpost.runtime.exits import (
    EXIT_BAD_SETTINGS,
    EXIT_BROKEN_INVARIANT,
    handle_loop_error,
)
from skylarkpost.runtime.sessions import HttpSessions
from skylarkpost.runtime.tasks import BackgroundTask

__all__ = [
    "EXIT_BAD_SETTINGS",
    "EXIT_BROKEN_INVARIANT",
    "BackgroundTask",
    "HttpSessions",
    "handle_loop_error",
]
