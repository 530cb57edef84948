"""Background tasks and HTTP sessions, shared by all components."""

from skylarkpost.runtime.sessions import HttpSessions
from skylarkpost.runtime.tasks import BackgroundTask

__all__ = ["BackgroundTask", "HttpSessions"]
