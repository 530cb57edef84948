"""Controller that follows the instance list for the whole instance."""

from skylarkpost.controllers import Controller, register_controller
from skylarkpost.listing.instance_list import InstanceListClient

__all__ = ["InstanceListController"]


@register_controller("instance-list", order=6)
class InstanceListController(Controller):
    """Provides a client of the platform's list as ``services.instances``.

    Parameters
    ----------
    services : Services
        Objects shared between the controllers of the instance.
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
        """Return a message if the list is unavailable."""
        if self.client.available:
            return []
        return ["The platform's list of instances cannot be had."]

    def status(self):
        """Return the time, size and availability of the last list."""
        return {
            "as_of": self.client.as_of,
            "entries": len(self.client.instances),
            "available": self.client.available,
        }
