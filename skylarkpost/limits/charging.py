"""Charges requests to their team's pool, or else to the local share."""

from dataclasses import dataclass

from skylarkpost.limits.bucket import Receipt
from skylarkpost.limits.codec import decode_draw, encode_receipt
from skylarkpost.limits.pool import DrawGranted, DrawRefused
from skylarkpost.rpc import CallFailed, call_peer, limits_pb2, limits_pb2_grpc

__all__ = ["ChargeRefused", "Charged", "charge_request", "refund_request"]


@dataclass(frozen=True, kw_only=True)
class Charged:
    """A request that was charged.

    Parameters
    ----------
    receipt : Receipt
        Receipt of the charge, for a later refund.
    address : str or None
        Address of the peer that charged it; None if that was this instance.
    """

    receipt: Receipt
    address: str | None


@dataclass(frozen=True, kw_only=True)
class ChargeRefused:
    """A request for which too few tokens were available.

    Parameters
    ----------
    is_over_rate : bool
        Whether the pool had too few tokens. If False, no pool with shares could be
        reached, or the request exceeds what the pool can hold.
    retry_after : float
        Seconds after which a retry may succeed.
    within_rate : bool
        Whether the team was nevertheless within its limit.
    """

    is_over_rate: bool
    retry_after: float
    within_rate: bool


async def charge_request(controller, team, tokens):
    """Charge a request to its team's pool, or else to the local share.

    Parameters
    ----------
    controller : LimitsController
        This instance's limits.
    team : str
        Name of the team.
    tokens : float
        Tokens of the request.

    Returns
    -------
    Charged or ChargeRefused
    """
    holder = controller.core.holder_of(team, controller.candidates())
    clock = controller.services.clock
    address = None
    if holder == controller.services.instance:
        answer = controller.core.draw_pooled(team, tokens, now=clock())
    else:
        address = controller.address_of(holder) if holder else None
        answer = await _draw_at_peer(controller, address, team, tokens)
    if isinstance(answer, DrawGranted):
        return Charged(receipt=answer.receipt, address=address)
    receipt = controller.core.draw_local(team, tokens, now=clock())
    if receipt is not None:
        return Charged(receipt=receipt, address=None)
    return _refuse(controller, answer, team, tokens, clock())


async def refund_request(controller, team, charged, tokens):
    """Put back what a request did not use, where it was charged.

    Parameters
    ----------
    controller : LimitsController
        This instance's limits.
    team : str
        Name of the team.
    charged : Charged
        The charge.
    tokens : float
        Tokens that were not used. They are lost if the peer can't be reached.
    """
    if charged.address is None:
        now = controller.services.clock()
        controller.core.refund(team, charged.receipt, tokens, now=now)
        return
    request = limits_pb2.RefundRequest(
        team=team, receipt=encode_receipt(charged.receipt), tokens=tokens
    )
    stub = _stub(controller, charged.address)
    await call_peer(stub.Refund, request, timeout=controller.settings.draw_deadline)


async def _draw_at_peer(controller, address, team, tokens):
    if address is None:
        return None
    clock = controller.services.clock
    deadline = controller.settings.draw_deadline
    request = limits_pb2.DrawRequest(team=team, tokens=tokens)
    requested_at = clock()
    stub = _stub(controller, address)
    reply = await call_peer(stub.Draw, request, timeout=deadline)
    # A reply that this process read too late, because it was busy or paused, is
    # dropped; its tokens count as spent.
    if isinstance(reply, CallFailed) or clock() - requested_at > deadline:
        controller.services.metrics.count_event("limit-draw-lost")
        return None
    return decode_draw(reply)


def _refuse(controller, answer, team, tokens, now):
    if isinstance(answer, DrawRefused) and answer.retry_after is not None:
        return ChargeRefused(
            is_over_rate=True,
            retry_after=answer.retry_after,
            within_rate=answer.within_rate,
        )
    return ChargeRefused(
        is_over_rate=False,
        retry_after=controller.settings.lease,
        within_rate=controller.core.is_within_rate(team, tokens, now=now),
    )


def _stub(controller, address):
    return limits_pb2_grpc.LimitsStub(controller.services.peers.get(address))
