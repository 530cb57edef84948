"""Keeps the clients of targets and the retry budget of one instance."""

import asyncio

from skylarkpost.controllers import Controller, register_controller
from skylarkpost.outcomes import Refused
from skylarkpost.relay.retry_budget import RetryBudget
from skylarkpost.targets import EngineClient, ServiceClient

__all__ = ["RelayController"]

RETRY_RATIO = 0.1
RETRY_RESERVE = 20.0


@register_controller("relay", order=70)
class RelayController(Controller):
    """Sends requests to targets.

    Attributes
    ----------
    engines : skylarkpost.targets.EngineClient
        For model requests.
    plain_services : skylarkpost.targets.ServiceClient
        For calls to plain services.
    budget : RetryBudget
        Bounds the retries of this instance.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.engines = EngineClient(
            session_source=lambda: services.http,
            clock=services.clock,
            silence=services.settings.requests.silence,
        )
        self.plain_services = ServiceClient(
            session_source=lambda: services.http, clock=services.clock
        )
        self.budget = RetryBudget(ratio=RETRY_RATIO, reserve=RETRY_RESERVE)
        self.tasks = set()

    async def stop(self):
        """Close the clients. See `Controller.stop`."""
        await asyncio.gather(*self.tasks)
        await self.engines.close()
        await self.plain_services.close()

    def status(self):
        """Return the retry budget. See `Controller.status`."""
        return {"retry_budget": self.budget.balance}

    def release_ticket(self, exchange, *, certain, succeeded):
        """Give the present ticket of a request back.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request; it has no ticket afterwards.
        certain : bool
            Whether the target has certainly ended it, or never begun it.
        succeeded : bool
            Whether the target answered.
        """
        ticket, exchange.ticket = exchange.ticket, None
        generated = exchange.generated_tokens or 0
        self.services.controllers["stewardship"].release(
            ticket,
            unused_tokens=max(0, exchange.output_tokens - generated),
            certain=certain,
            succeeded=succeeded,
        )

    async def acquire_next_ticket(self, exchange, *, ledger):
        """Get a ticket for another attempt of a request.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request; it has no ticket.
        ledger : AttemptLedger
            Its attempts so far.

        Returns
        -------
        Refused or None
            None if ``exchange.ticket`` is the new ticket.
        """
        stewardship = self.services.controllers["stewardship"]
        now = self.services.clock()
        placed = await stewardship.acquire(
            exchange, avoid=frozenset(ledger.avoid), now=now
        )
        if isinstance(placed, Refused):
            return ledger.refusal(placed.reason, placed.message.rstrip("."))
        exchange.ticket = placed
        return None

    def cancel_in_background(self, ticket, request_id):
        """Cancel a request at its engine, without waiting for it.

        Parameters
        ----------
        ticket : object
            Where it ran.
        request_id : str
            Request id and attempt.
        """
        call = self.engines.cancel(ticket.address, request_id=request_id)
        task = asyncio.create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
