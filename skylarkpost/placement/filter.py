"""Filter that acquires a ticket for each request."""

from skylarkpost.controllers import API, GATEWAY
from skylarkpost.filters import Filter, register_filter
from skylarkpost.outcomes import Refused

__all__ = ["PlacementFilter"]


@register_filter("placement", order=70, front_ends=(API, GATEWAY))
class PlacementFilter(Filter):
    """Chooses a target and waits for a ticket for it.

    The ticket is released when the request ends, unless the dispatch filter
    has released it earlier, which it does when it knows how the request ended.
    """

    async def apply(self, exchange):
        """Acquire a ticket. See `Filter.apply`."""
        controller = self.services.controllers["stewardship"]
        now = self.services.clock()
        outcome = await controller.acquire(exchange, now=now)
        if isinstance(outcome, Refused):
            return outcome
        exchange.ticket = outcome
        exchange.on_finish(self._release)
        self._note_wait(exchange, outcome)
        return None

    async def _release(self, exchange):
        ticket, exchange.ticket = exchange.ticket, None
        if ticket is None:
            return
        controller = self.services.controllers["stewardship"]
        unused = 0
        if exchange.generated_tokens is not None:
            unused = max(0, exchange.output_tokens - exchange.generated_tokens)
        controller.release(
            ticket, unused_tokens=unused, certain=not exchange.dispatched
        )

    def _note_wait(self, exchange, ticket):
        now = self.services.clock()
        exchange.note("placement", "ticket", now=now, detail=ticket.target)
        if ticket.load_wait > 0.0:
            team = {"team": exchange.team or ""}
            self.services.metrics.load_stall.observe(team, ticket.load_wait)
