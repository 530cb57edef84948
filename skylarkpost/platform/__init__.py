"""Clients of the platform's services: the log and the list of instances."""

from skylarkpost.platform.controllers import (
    InstanceListController,
    StateLogController,
)
from skylarkpost.platform.instance_list import (
    InstanceList,
    InstanceListClient,
    InstanceListUnavailable,
    ListedInstance,
)
from skylarkpost.platform.log_client import LogClient
from skylarkpost.platform.log_follower import LogFollower
from skylarkpost.platform.outcomes import (
    Appended,
    AppendRefused,
    AppendUnknown,
    LogRecord,
    LogUnavailable,
    Records,
)
from skylarkpost.platform.sessions import HttpSessions
from skylarkpost.platform.tasks import BackgroundTask

__all__ = [
    "AppendRefused",
    "AppendUnknown",
    "Appended",
    "BackgroundTask",
    "HttpSessions",
    "InstanceList",
    "InstanceListClient",
    "InstanceListController",
    "InstanceListUnavailable",
    "ListedInstance",
    "LogClient",
    "LogFollower",
    "LogRecord",
    "LogUnavailable",
    "Records",
    "StateLogController",
]
