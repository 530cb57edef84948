"""Converts between the messages of the stewards and protobuf messages."""

import math

from skylarkpost.outcomes import Reason
from skylarkpost.rpc import stewardship_pb2 as pb
from skylarkpost.stewardship.messages import (
    GrantTicket,
    HeldTicket,
    LoadReport,
    RefuseTicket,
    TicketRequest,
)
from skylarkpost.stewardship.prefill import Preamble

__all__ = [
    "answer_to_wire",
    "grant_from_wire",
    "handover_to_wire",
    "refusal_from_wire",
    "report_from_client",
    "request_from_wire",
    "request_to_wire",
    "ticket_from_wire",
    "ticket_to_wire",
]


MIN_SECONDS = 0.001


def request_to_wire(request, target, now):
    """Convert a request for a ticket to protobuf.

    Parameters
    ----------
    request : TicketRequest
        The request; its deadline is on the local clock.
    target : str
        The target.
    now : float
        Current time, in seconds.

    Returns
    -------
    skylarkpost.rpc.stewardship_pb2.TicketAsk
    """
    return pb.TicketAsk(
        ticket_id=request.ticket_id,
        holder=request.holder,
        target=target,
        lora_name=request.lora_name,
        team=request.team,
        weight=request.weight,
        urgency=request.urgency,
        tokens=request.tokens,
        remaining=max(0.0, request.deadline - now),
        suspect=request.suspect,
        prompt_tokens=request.prompt_tokens,
        preambles=[
            pb.Preamble(key=each.key, tokens=each.tokens) for each in request.preambles
        ],
        patience=0.0 if math.isinf(request.patience) else request.patience,
        goal=_seconds_left(request.goal_at, now),
        give_up=_seconds_left(request.give_up_at, now),
    )


def _seconds_left(at, now):
    """Return the seconds until a time, never 0; 0 for a time that never comes."""
    return 0.0 if math.isinf(at) else max(MIN_SECONDS, at - now)


def request_from_wire(message, now):
    """Convert a protobuf request for a ticket; see `request_to_wire`."""
    return TicketRequest(
        ticket_id=message.ticket_id,
        holder=message.holder,
        lora_name=message.lora_name,
        team=message.team,
        weight=message.weight or 1.0,
        urgency=min(9, message.urgency),
        tokens=message.tokens,
        deadline=now + message.remaining,
        suspect=message.suspect,
        prompt_tokens=message.prompt_tokens,
        preambles=tuple(Preamble(each.key, each.tokens) for each in message.preambles),
        patience=message.patience or math.inf,
        goal_at=now + (message.goal or math.inf),
        give_up_at=now + (message.give_up or math.inf),
    )


def answer_to_wire(command):
    """Convert the answer to a request for a ticket to protobuf.

    Parameters
    ----------
    command : GrantTicket or RefuseTicket or None
        Decision of the steward; None if the request is still queued.

    Returns
    -------
    skylarkpost.rpc.stewardship_pb2.TicketAnswer
    """
    if command is None:
        return pb.TicketAnswer(state=pb.TicketAnswer.WAITING)
    if isinstance(command, RefuseTicket):
        return pb.TicketAnswer(
            state=pb.TicketAnswer.REFUSED,
            reason=command.reason.value,
            retry_after=command.retry_after,
        )
    return pb.TicketAnswer(
        state=pb.TicketAnswer.GRANTED,
        boot=command.boot,
        fencing_number=command.fencing_number,
        lease=command.lease,
        waited=command.waited,
        load_wait=command.load_wait,
    )


def grant_from_wire(answer, request):
    """Convert a protobuf answer to a grant; see `answer_to_wire`."""
    return GrantTicket(
        ticket_id=request.ticket_id,
        holder=request.holder,
        lora_name=request.lora_name,
        boot=answer.boot,
        fencing_number=answer.fencing_number,
        lease=answer.lease,
        waited=answer.waited,
        load_wait=answer.load_wait,
    )


def refusal_from_wire(answer, request):
    """Convert a protobuf answer to a refusal; see `answer_to_wire`."""
    return RefuseTicket(
        ticket_id=request.ticket_id,
        holder=request.holder,
        reason=Reason(answer.reason),
        retry_after=answer.retry_after,
    )


def ticket_to_wire(ticket, *, target, boot, holder):
    """Convert a held ticket to protobuf.

    Parameters
    ----------
    ticket : Ticket or HeldTicket
        The ticket.
    target, boot, holder : str
        Target and engine boot of the ticket, and the instance that holds it.

    Returns
    -------
    skylarkpost.rpc.stewardship_pb2.HeldTicket
    """
    return pb.HeldTicket(
        ticket_id=ticket.ticket_id,
        target=target,
        boot=boot,
        lora_name=ticket.lora_name,
        team=ticket.team,
        weight=ticket.weight,
        tokens=ticket.tokens,
        holder=holder,
        suspect=ticket.suspect,
    )


def ticket_from_wire(message, now):
    """Convert a protobuf ticket; see `ticket_to_wire`."""
    return HeldTicket(
        ticket_id=message.ticket_id,
        holder=message.holder,
        lora_name=message.lora_name,
        team=message.team,
        weight=message.weight or 1.0,
        tokens=message.tokens,
        granted_at=now,
        expires_at=now,
        suspect=message.suspect,
    )


def handover_to_wire(steward, now):
    """Convert a steward's state for handover to its successor.

    Parameters
    ----------
    steward : TargetSteward
        The retired steward.
    now : float
        Current time, in seconds.

    Returns
    -------
    skylarkpost.rpc.stewardship_pb2.TicketBook
    """
    boot = steward.boot or ""
    ledger = pb.TicketBook(
        target=steward.target.name, released_number=steward.fencing_number, boot=boot
    )
    for held in steward.ledger.tickets.values():
        ledger.tickets.append(
            ticket_to_wire(
                held, target=steward.target.name, boot=boot, holder=held.holder
            )
        )
    for lora_name, until in steward.slots.barred.items():
        ledger.barred.add(lora_name=lora_name, remaining=max(0.0, until - now))
    return ledger


def report_from_client(report):
    """Convert a load report of the engine client to that of the stewards.

    Parameters
    ----------
    report : skylarkpost.targets.LoadReport
        Report from the engine client.

    Returns
    -------
    LoadReport
    """
    return LoadReport(
        boot=report.boot,
        taken_at=report.taken_at,
        slots=report.slots,
        resident=report.resident,
        loading=frozenset(report.loading),
        running=report.running,
        waiting=report.waiting,
        batch_limit=report.batch_limit,
    )
