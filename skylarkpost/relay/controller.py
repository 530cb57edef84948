"""Controller that holds the target clients and the retry budget of an instance."""

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
    """Shared clients, retry budget and ticket handling for dispatched requests.

    Attributes
    ----------
    engines : skylarkpost.targets.EngineClient
        Client for model requests.
    plain_services : skylarkpost.targets.ServiceClient
        Client for calls to plain services.
    budget : RetryBudget
        Limits the retries of this instance.
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
        """Finish pending cancellations and close the clients. See `Controller.stop`."""
        await asyncio.gather(*self.tasks)
        await self.engines.close()
        await self.plain_services.close()

    def status(self):
        """Return the balance of the retry budget. See `Controller.status`."""
        return {"retry_budget": self.budget.balance}

    def release_ticket(self, exchange, *, certain, succeeded):
        """Release the current ticket of a request.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request; its ticket is None afterwards.
        certain : bool
            Whether the target has certainly finished the request, or never
            started it.
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
        """Acquire a ticket for another attempt of a request.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request, which currently has no ticket.
        ledger : AttemptLedger
            The attempts so far.

        Returns
        -------
        Refused or None
            None if a ticket was acquired and stored in ``exchange.ticket``.
        """
        stewardship = self.services.controllers["stewardship"]
        now = self.services.clock()
        acquired = await stewardship.acquire(
            exchange, avoid=frozenset(ledger.avoid), now=now
        )
        if isinstance(acquired, Refused):
            return ledger.refusal(acquired.reason, acquired.message.rstrip("."))
        exchange.ticket = acquired
        return None

    def cancel_in_background(self, ticket, request_id):
        """Cancel a request at its engine in a background task.

        Parameters
        ----------
        ticket : object
            Ticket under which the request was sent.
        request_id : str
            Id of the request with its attempt number, ``{request}.{attempt}``.
        """
        call = self.engines.cancel(ticket.address, request_id=request_id)
        task = asyncio.create_task(call)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
