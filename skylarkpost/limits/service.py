"""Serves calls of peers that borrow and return shares and draw on pools."""

from skylarkpost.limits.codec import (
    decode_receipt,
    decode_share_request,
    decode_share_return,
    encode_draw,
    encode_share_reply,
)
from skylarkpost.limits.permits import LoadPermit, LoadWait
from skylarkpost.rpc import limits_pb2, limits_pb2_grpc

__all__ = ["LimitsServicer"]


class LimitsServicer(limits_pb2_grpc.LimitsServicer):
    """gRPC servicer for the peers of this instance.

    Parameters
    ----------
    controller : LimitsController
        The limits controller that handles the calls.
    """

    def __init__(self, *, controller):
        self.controller = controller
        self.clock = controller.services.clock

    async def Lend(self, request, context):  # noqa: N802
        """Lend shares to a pool holder, and renew its leases."""
        members = self.controller.candidates()
        share_request = decode_share_request(request)
        answer = self.controller.core.answer(share_request, members, now=self.clock())
        return encode_share_reply(answer)

    async def Draw(self, request, context):  # noqa: N802
        """Charge a peer's request to a pool."""
        answer = self.controller.core.draw_pooled(
            request.team, request.tokens, now=self.clock()
        )
        return encode_draw(answer)

    async def Refund(self, request, context):  # noqa: N802
        """Put back what a request did not use."""
        receipt = decode_receipt(request.receipt)
        tokens = self.controller.core.refund(
            request.team, receipt, request.tokens, now=self.clock()
        )
        return limits_pb2.RefundReply(tokens=tokens)

    async def ReturnShare(self, request, context):  # noqa: N802
        """Accept a returned share."""
        message = decode_share_return(request)
        taken = self.controller.core.handle_return(message, now=self.clock())
        if not taken:
            self.controller.services.metrics.count_event("limit-return-too-late")
        return limits_pb2.ReturnShareReply(taken=taken)

    async def YieldSlot(self, request, context):  # noqa: N802
        """Yield a slot that a peer has claimed."""
        if request.boot not in ("", self.controller.services.boot):
            return limits_pb2.YieldSlotReply(yielded=False)
        self.controller.slot_manager.yield_slot(request.slot, request.claim)
        return limits_pb2.YieldSlotReply(yielded=True)

    async def TakePermit(self, request, context):  # noqa: N802
        """Issue a load permit to a peer."""
        answer = self.controller.permits.acquire(now=self.clock())
        if isinstance(answer, LoadPermit):
            return limits_pb2.TakePermitReply(permit=answer.permit, has_shares=True)
        return limits_pb2.TakePermitReply(
            has_shares=isinstance(answer, LoadWait),
            retry_after=getattr(answer, "seconds", 0.0),
        )

    async def ReleasePermit(self, request, context):  # noqa: N802
        """Release a load permit of a peer."""
        self.controller.permits.release(
            request.permit, unused=request.unused, now=self.clock()
        )
        return limits_pb2.ReleasePermitReply()
