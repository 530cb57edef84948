"""Controller that tracks the request limits that targets name in their answers."""

import logging

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.eventlog import log_event

__all__ = ["TargetLimitController"]

logger = logging.getLogger(__name__)


@register_controller("target-limits", order=42, front_ends=(GATEWAY,))
class TargetLimitController(Controller):
    """Tracks the limits that targets name.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.

    Attributes
    ----------
    limits : dict of str to float
        Requests a second, by boot of the target.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.limits = {}

    def note_answer(self, ticket, limit):
        """Record the limit that an answer names.

        Parameters
        ----------
        ticket : Ticket
            Ticket of the answered request.
        limit : float or None
            Requests a second; None if the answer names none.
        """
        if self.limits.get(ticket.boot) == limit:
            return
        log_event(
            logger, "target-limit", target=ticket.target, boot=ticket.boot, limit=limit
        )
        if limit is None:
            del self.limits[ticket.boot]
        else:
            self.limits[ticket.boot] = limit
