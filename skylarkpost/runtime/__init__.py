"""What every part of a process needs: background tasks and HTTP sessions."""

from skylarkpost.runtime.sessions import HttpSessions
from skylarkpost.runtime.tasks import BackgroundTask

__all__ = ["BackgroundTask", "HttpSessions"]
