"""Calls to plain services, with retries."""

import asyncio

from skylarkpost.filters import Answer
from skylarkpost.outcomes import Reason, Relayed
from skylarkpost.relay.attempts import AttemptFailed, AttemptLedger, GiveUp
from skylarkpost.targets import Answered, MayHaveRun, NotRun

__all__ = ["ServiceCall"]

MAX_KEPT_ANSWER_BYTES = 65_536
TEAM_HEADER = "x-team"
REQUEST_ID_HEADER = "x-request-id"
ROUTE_PREFIX_PARTS = 3


class ServiceCall:
    """One call to a plain service, with the retries that its route allows.

    Parameters
    ----------
    exchange : skylarkpost.filters.Exchange
        The request, with its first ticket.
    services : skylarkpost.daemon.Services
        Objects shared by all components of the instance.
    relay : skylarkpost.relay.RelayController
        Clients and the retry budget.
    """

    def __init__(self, *, exchange, services, relay):
        self.exchange = exchange
        self.services = services
        self.relay = relay
        self.ledger = AttemptLedger(
            repeatable=exchange.route.repeatable, budget=relay.budget
        )

    async def run(self):
        """Carry out the call.

        Returns
        -------
        Outcome
        """
        while True:
            if self._is_past_send_by():
                detail = "the claim's time for sending is over"
                return self.ledger.refusal(Reason.DEADLINE_PASSED, detail)
            target = self.exchange.ticket.target
            answered = await self._attempt()
            succeeded = isinstance(answered, Answered)
            self.relay.release_ticket(self.exchange, certain=True, succeeded=succeeded)
            if succeeded:
                return self._relay(answered)
            if self.exchange.cancelled is not None:
                return self.ledger.cancellation_refusal(
                    self.exchange.cancelled, dispatched=self.exchange.dispatched
                )
            now = self.services.clock()
            verdict = self.ledger.record_failure(
                answered, target=target, now=now, deadline=self.exchange.deadline
            )
            if isinstance(verdict, GiveUp):
                return verdict.refusal
            refusal = await self.relay.acquire_next_ticket(
                self.exchange, ledger=self.ledger
            )
            if refusal is not None:
                return refusal

    def _is_past_send_by(self):
        send_by = self.exchange.send_by
        return send_by is not None and self.services.clock() > send_by

    async def _attempt(self):
        self.ledger.begin()
        ticket, now = self.exchange.ticket, self.services.clock()
        dispatched_before = self.exchange.dispatched
        self.exchange.dispatched = True
        self.exchange.note("dispatch", "sent", now=now, detail=ticket.target)
        answered = await self._send(ticket, now)
        if isinstance(answered, Answered):
            return answered
        if isinstance(answered, NotRun):
            self.exchange.dispatched = dispatched_before
            return AttemptFailed(
                reason=Reason.TARGET_FAILED, detail=answered.code, may_have_run=False
            )
        return AttemptFailed(
            reason=Reason.TARGET_TIMEOUT, detail=answered.detail, may_have_run=True
        )

    async def _send(self, ticket, now):
        exchange = self.exchange
        headers = {**exchange.headers, REQUEST_ID_HEADER: exchange.request_id}
        if exchange.team is not None:
            headers[TEAM_HEADER] = exchange.team
        limit = self.services.settings.requests.service_timeout
        call = self.relay.plain_services.send(
            ticket.address,
            method=exchange.method,
            path=service_path(exchange.path, exchange.query),
            headers=headers,
            body=exchange.body or None,
            timeout=max(0.01, min(limit, exchange.deadline - now)),
        )
        sending = asyncio.ensure_future(call)
        if self.exchange.route.repeatable:
            return await self._await_unless_cancelled(sending)
        # A call that may not be repeated is not interrupted, so that its outcome
        # is recorded even if the caller no longer waits for it.
        return await asyncio.shield(sending)

    async def _await_unless_cancelled(self, sending):
        cancelled = asyncio.ensure_future(self.exchange.cancel_event.wait())
        try:
            await asyncio.wait({sending, cancelled}, return_when="FIRST_COMPLETED")
            if sending.done():
                return sending.result()
            return MayHaveRun(detail="the request was stopped")
        finally:
            sending.cancel()
            cancelled.cancel()

    def _relay(self, answered):
        self.exchange.first_byte_at = self.services.clock()
        kept = answered.body if len(answered.body) <= MAX_KEPT_ANSWER_BYTES else None
        self.exchange.answer = Answer(answered.status, answered.headers, kept)
        return Relayed(
            status=answered.status,
            headers=answered.headers,
            body=_single_chunk(answered.body),
        )


def service_path(path, query):
    """Return the path and query to request from the service.

    Parameters
    ----------
    path, query : str
        Path and query of the caller's request, ``/services/{route}/...``.

    Returns
    -------
    str
        Path and query without the ``/services/{route}`` prefix.

    Examples
    --------
    >>> service_path("/services/bookings/slots/7", "day=2")
    '/slots/7?day=2'
    """
    rest = path.split("/", ROUTE_PREFIX_PARTS)[ROUTE_PREFIX_PARTS:]
    target = "/" + "".join(rest)
    return f"{target}?{query}" if query else target


async def _single_chunk(body):
    yield body
