"""Controller that follows the state log for the whole instance."""

from skylarkpost.controllers import Controller, register_controller
from skylarkpost.log.log_follower import LogFollower

__all__ = ["StateLogController"]

STATE_STREAM = "state"


@register_controller("state-log", order=5)
class StateLogController(Controller):
    """Provides a follower of the stream ``state`` as ``services.state_log``.

    Parameters
    ----------
    services : Services
        Objects shared between the controllers of the instance.
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
        """Return a message if the log can't be read."""
        if self.follower.available:
            return []
        return ["The platform's log cannot be read (stream state)."]

    def status(self):
        """Return the offsets read so far and the log's availability."""
        return {
            "applied_offset": self.follower.applied_offset,
            "end_offset": self.follower.end_offset,
            "available": self.follower.available,
        }
