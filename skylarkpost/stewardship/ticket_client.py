"""Requests tickets from the stewards, and releases them."""

import asyncio
import itertools
import logging
import math
from typing import NamedTuple

from skylarkpost.eventlog import log_event
from skylarkpost.outcomes import Reason, Refused, RunState
from skylarkpost.rpc import CallFailed, call_peer, stewardship_pb2_grpc
from skylarkpost.rpc import stewardship_pb2 as pb
from skylarkpost.stewardship.conversion import (
    grant_from_wire,
    refusal_from_wire,
    request_to_wire,
)
from skylarkpost.stewardship.held_tickets import Ticket
from skylarkpost.stewardship.messages import GrantTicket, RefuseTicket, TicketRequest
from skylarkpost.stewardship.ticket_sender import TicketSender
from skylarkpost.targets import LoadReport

__all__ = ["NotSteward", "RequestDetails", "RetryLimits", "TicketClient"]

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 3.0
NOT_STEWARD_RETRY_S = 0.1
MAX_TARGETS = 3
MAX_FAILURES = 2
MIN_RETRY_AFTER_S = 0.5

MESSAGES = {
    Reason.QUEUE_FULL: "Too many requests wait for the targets of this model.",
    Reason.QUEUE_TIMEOUT: "No target had room before the request's deadline.",
    Reason.LOAD_FAILED: "The adapter could not be loaded.",
    Reason.NO_TARGET: "No target of this model takes requests at present.",
}


class NotSteward:
    """Answer of an instance that is not the steward of the target."""


class RetryLimits(NamedTuple):
    """Timeout and retry limits of a request for a ticket.

    Attributes
    ----------
    answer_timeout : float
        Timeout for one answer of a steward, in seconds. It has to exceed the
        time for which a steward lets a request wait.
    max_failures : int
        Failed attempts tolerated on one target; one more moves on to the next.
    max_targets : int
        Number of targets to try.
    """

    answer_timeout: float = ANSWER_TIMEOUT_S
    max_failures: int = MAX_FAILURES
    max_targets: int = MAX_TARGETS


class RequestDetails(NamedTuple):
    """Optional data of a request for a ticket.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of the prompt; 0 to leave the steward's prefill backlog unchanged.
    preambles : tuple of Preamble
        Prefixes of the prompt.
    max_first_token : float
        Longest acceptable time to the first token, in seconds.
    deadline : float
        Latest time for a grant, in seconds.
    goal_at, give_up_at : float
        Times until which the first token is in time, and at which the caller gives up,
        in seconds.
    """

    prompt_tokens: int = 0
    preambles: tuple = ()
    max_first_token: float = math.inf
    deadline: float = math.inf
    goal_at: float = math.inf
    give_up_at: float = math.inf


class TicketClient:
    """Requests tickets from stewards on behalf of requests.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Shared services of the instance.
    held_tickets : HeldTickets
        Tickets held by this instance.
    executors : dict of str to StewardExecutor
        Executors of the stewards on this instance, by target.
    find_steward : callable
        Takes a target's name and returns its `StewardAddress`, or None.
    direct_fencing_number : callable
        Takes a target and returns the fencing number for a request to a
        resident adapter when the target has no steward left, or None.
    engines : skylarkpost.targets.EngineClient
        Client of the engines.
    retry_limits : RetryLimits or None
        Timeout and retry limits; None for the defaults.
    on_unanswered : callable or None
        Called with the address of a steward that has not answered.
    """

    def __init__(
        self,
        *,
        services,
        held_tickets,
        executors,
        find_steward,
        direct_fencing_number,
        engines,
        retry_limits=None,
        on_unanswered=None,
    ):
        self.retry_limits = retry_limits or RetryLimits()
        self.on_unanswered = on_unanswered
        self.services = services
        self.held_tickets = held_tickets
        self.executors = executors
        self.find_steward = find_steward
        self.direct_fencing_number = direct_fencing_number
        self.engines = engines
        self.sender = TicketSender(
            services=services,
            held_tickets=held_tickets,
            executors=executors,
            find_steward=find_steward,
        )
        self._numbers = itertools.count(1)

    async def acquire(self, exchange, targets, *, on_requested, details=None):
        """Get a ticket from the first target that grants one.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request.
        targets : list of skylarkpost.config.Target
            The targets to try, best first.
        on_requested : callable
            Called with the name of each target tried and the ticket's id.
        details : RequestDetails or None
            Optional data for the stewards.

        Returns
        -------
        Ticket or Refused
        """
        refusals = []
        for target in targets[: self.retry_limits.max_targets]:
            request = self._build_request(exchange, details or RequestDetails())
            on_requested(target.name, request.ticket_id)
            outcome = await self._request_ticket(exchange, target, request)
            if isinstance(outcome, Ticket):
                self.held_tickets.add(outcome)
                return outcome
            if exchange.cancelled is not None:
                return exchange.cancelled
            refusals.append(outcome)
            exchange.note(
                "placement",
                f"refused:{outcome.reason}",
                now=self.services.clock(),
                detail=target.name,
            )
            if outcome.reason is Reason.QUEUE_TIMEOUT:
                break
        return _select_refusal(refusals)

    def release(self, ticket, *, unused_tokens=0, certain=True):
        """Release a ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        unused_tokens : int
            Tokens that were charged and not used.
        certain : bool
            Whether the engine has certainly ended the request, or never
            started it.
        """
        now = self.services.clock()
        self.held_tickets.end(
            ticket.ticket_id, unused_tokens=unused_tokens, certain=certain, now=now
        )
        self.sender.schedule_returns()

    def _build_request(self, exchange, details):
        profile = exchange.profile
        store = self.services.controllers["config"].store
        team = store.team(exchange.team) if exchange.team else None
        number = next(self._numbers)
        return TicketRequest(
            ticket_id=f"{exchange.request_id}/{self.services.instance}/{number}",
            holder=self.services.instance,
            lora_name=lora_name_of(profile),
            team=exchange.team or "",
            weight=1.0 if team is None else team.weight,
            urgency=profile.urgency,
            tokens=max(1, exchange.prompt_tokens + exchange.output_tokens),
            deadline=min(exchange.deadline, details.deadline),
            suspect=exchange.suspect,
            prompt_tokens=details.prompt_tokens,
            preambles=details.preambles,
            patience=details.max_first_token,
            goal_at=details.goal_at,
            give_up_at=details.give_up_at,
        )

    async def _request_ticket(self, exchange, target, request):
        try:
            outcome = await self._request_with_retries(exchange, target, request)
        except asyncio.CancelledError:
            self._abandon(target.name, request.ticket_id)
            raise
        if isinstance(outcome, RefuseTicket):
            return _refused(outcome.reason, outcome.retry_after)
        if not isinstance(outcome, Ticket):
            self._abandon(target.name, request.ticket_id)
        return outcome

    async def _request_with_retries(self, exchange, target, request):
        failures = 0
        while True:
            sent_at = self.services.clock()
            if exchange.cancelled is not None:
                return exchange.cancelled
            if sent_at >= request.deadline:
                return _refused(Reason.QUEUE_TIMEOUT, MIN_RETRY_AFTER_S)
            answer = await self._request_once(exchange, target, request, sent_at)
            if isinstance(answer, GrantTicket):
                return self._ticket(target, request, answer, sent_at)
            if isinstance(answer, RefuseTicket | Ticket | Refused):
                return answer
            if isinstance(answer, NotSteward | CallFailed):
                failures += 1
                if failures > self.retry_limits.max_failures:
                    return _refused(Reason.NO_TARGET, MIN_RETRY_AFTER_S)
                await asyncio.sleep(NOT_STEWARD_RETRY_S)

    async def _request_once(self, exchange, target, request, now):
        steward = self.find_steward(target.name)
        if steward is None:
            return await self._request_without_steward(target, request)
        executor = self.executors.get(target.name)
        if steward.instance != self.services.instance:
            call = self._request_remote(steward, target, request, now)
        elif executor is None:
            return NotSteward()
        else:
            call = executor.request_ticket(request)
        return await _until_cancelled(call, exchange)

    async def _request_remote(self, steward, target, request, now):
        peers = self.services.peers
        stub = stewardship_pb2_grpc.StewardshipStub(peers.get(steward.address))
        message = request_to_wire(request, target.name, now)
        answer = await call_peer(
            stub.RequestTicket, message, timeout=self.retry_limits.answer_timeout
        )
        if isinstance(answer, CallFailed):
            peers.renew(steward.address)
            if self.on_unanswered is not None:
                self.on_unanswered(steward)
            return answer
        if answer.state == pb.TicketAnswer.GRANTED:
            return grant_from_wire(answer, request)
        if answer.state == pb.TicketAnswer.REFUSED:
            return refusal_from_wire(answer, request)
        if answer.state == pb.TicketAnswer.NOT_STEWARD:
            return NotSteward()
        return None

    async def _request_without_steward(self, target, request):
        number = self.direct_fencing_number(target)
        if number is None:
            return _refused(Reason.NO_TARGET, MIN_RETRY_AFTER_S)
        sent_at = self.services.clock()
        report = await self.engines.load_report(target.address)
        if not isinstance(report, LoadReport):
            return _refused(Reason.NO_TARGET, MIN_RETRY_AFTER_S)
        is_base = request.lora_name == target.pool
        if not is_base and request.lora_name not in report.resident:
            return _refused(Reason.NO_TARGET, MIN_RETRY_AFTER_S)
        if report.running + report.waiting >= report.batch_limit:
            return _refused(Reason.QUEUE_FULL, MIN_RETRY_AFTER_S)
        log_event(logger, "ticket-without-steward", target=target.name)
        self.services.metrics.count_event("ticket-without-steward")
        return Ticket(
            ticket_id=request.ticket_id,
            kind=target.kind,
            target=target.name,
            address=target.address,
            boot=report.boot,
            lora_name=request.lora_name,
            fencing_number=number,
            expires_at=sent_at + self.held_tickets.lease,
            team=request.team,
            weight=request.weight,
            tokens=request.tokens,
            suspect=request.suspect,
        )

    def _ticket(self, target, request, grant, sent_at):
        steward = self.find_steward(target.name)
        return Ticket(
            ticket_id=request.ticket_id,
            kind=target.kind,
            target=target.name,
            address=target.address,
            boot=grant.boot,
            lora_name=request.lora_name,
            fencing_number=grant.fencing_number,
            expires_at=sent_at + grant.lease,
            waited=grant.waited,
            load_wait=grant.load_wait,
            steward="" if steward is None else steward.instance,
            team=request.team,
            weight=request.weight,
            tokens=request.tokens,
            suspect=request.suspect,
        )

    def _abandon(self, target, ticket_id):
        now = self.services.clock()
        self.held_tickets.queue_return(ticket_id, target, 0, certain=True, now=now)
        self.sender.schedule_returns()


def lora_name_of(profile):
    """Return the name of a profile's adapter on an engine.

    Parameters
    ----------
    profile : skylarkpost.config.Profile
        The profile.

    Returns
    -------
    str
        ``ADAPTER@VERSION``, or the name of the base model.
    """
    if not profile.adapter:
        return profile.base_model
    return f"{profile.adapter}@{profile.version}"


async def _until_cancelled(call, exchange):
    answer = asyncio.ensure_future(call)
    cancelled = asyncio.ensure_future(exchange.cancel_event.wait())
    try:
        await asyncio.wait({answer, cancelled}, return_when="FIRST_COMPLETED")
        if answer.done():
            return answer.result()
        return None
    finally:
        answer.cancel()
        cancelled.cancel()


def _refused(reason, retry_after):
    return Refused(
        reason=reason,
        message=MESSAGES.get(reason, MESSAGES[Reason.NO_TARGET]),
        run_state=RunState.NOT_RUN,
        retry_after=retry_after,
    )


def _select_refusal(refusals):
    if not refusals:
        return _refused(Reason.NO_TARGET, MIN_RETRY_AFTER_S)
    order = (
        Reason.QUEUE_TIMEOUT,
        Reason.LOAD_FAILED,
        Reason.QUEUE_FULL,
        Reason.NO_TARGET,
    )
    return min(refusals, key=lambda each: (order.index(each.reason), each.retry_after))
