"""Controllers that follow the platform for the whole instance."""

from skylarkpost.daemon.controllers import Controller, register_controller
from skylarkpost.platform.instance_list import InstanceListClient
from skylarkpost.platform.log_follower import LogFollower

__all__ = ["InstanceListController", "StateLogController"]

STATE_STREAM = "state"


@register_controller("state-log", order=5)
class StateLogController(Controller):
    """Puts a follower of the stream ``state`` at ``services.state_log``.

    Parameters
    ----------
    services : Services
        What the instance shares between its parts.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.follower = LogFollower(
            log=services.log,
            stream=STATE_STREAM,
            clock=services.clock,
            random=services.random,
        )
        services.state_log = self.follower

    async def start(self):
        """Start following the stream."""
        self.follower.start()

    async def stop(self):
        """Stop following the stream."""
        await self.follower.stop()

    def degraded(self):
        """Return whether the log can't be read."""
        if self.follower.available:
            return []
        return ["The platform's log cannot be read (stream state)."]

    def status(self):
        """Return how far the stream was read."""
        return {
            "applied_offset": self.follower.applied_offset,
            "end_offset": self.follower.end_offset,
            "available": self.follower.available,
        }


@register_controller("instance-list", order=6)
class InstanceListController(Controller):
    """Puts a client of the platform's list at ``services.instances``.

    Parameters
    ----------
    services : Services
        What the instance shares between its parts.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.client = InstanceListClient(
            base_url=services.settings.platform.instance_list_url,
            session_source=lambda: services.http,
            clock=services.clock,
        )
        services.instances = self.client

    async def start(self):
        """Start polling the list."""
        self.client.start()

    async def stop(self):
        """Stop polling the list."""
        await self.client.stop()

    def degraded(self):
        """Return whether the list can't be had."""
        if self.client.available:
            return []
        return ["The platform's list of instances cannot be had."]

    def status(self):
        """Return what the last list shows."""
        return {
            "as_of": self.client.as_of,
            "entries": len(self.client.instances),
            "available": self.client.available,
        }
