"""Controller that follows the instance list for the whole instance."""

from skylarkpost.controllers import Controller, register_controller
from skylarkpost.listing.instance_list import InstanceListClient

__all__ = ["InstanceListController"]


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
