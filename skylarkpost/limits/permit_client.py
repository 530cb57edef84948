"""Acquires load permits, locally or from the weight store's pool holder."""

import asyncio

from skylarkpost.limits.permits import WEIGHT_STORE, LoadPermit, LoadWait
from skylarkpost.limits.pool import NoShares
from skylarkpost.rpc import CallFailed, call_peer, limits_pb2, limits_pb2_grpc

__all__ = ["HeldPermit", "acquire_load_permit", "request_permit"]

ACQUIRE_TIMEOUT_S = 5.0


class HeldPermit:
    """An acquired load permit, to be released when the load has ended.

    Parameters
    ----------
    controller : LimitsController
        The limits controller of this instance.
    permit : LoadPermit
        The permit. It expires if its release is lost.
    """

    def __init__(self, *, controller, permit):
        self.controller = controller
        self.permit = permit
        self.released = False

    def release(self, *, unused=False):
        """Release the permit; later calls have no effect.

        Parameters
        ----------
        unused : bool
            Whether nothing was loaded.
        """
        if self.released:
            return
        self.released = True
        if self.permit.address is None:
            now = self.controller.services.clock()
            self.controller.permits.release(self.permit.permit, unused=unused, now=now)
            return
        request = limits_pb2.ReleasePermitRequest(
            permit=self.permit.permit, unused=unused
        )
        stub = _stub(self.controller, self.permit.address)
        deadline = self.controller.settings.draw_deadline
        call = call_peer(stub.ReleasePermit, request, timeout=deadline)
        self.controller.run_in_background(call)


async def acquire_load_permit(controller):
    """Acquire a load permit, with retries until a timeout.

    Parameters
    ----------
    controller : LimitsController
        The limits controller of this instance.

    Returns
    -------
    HeldPermit or None
        None if no permit became available in time.
    """
    clock = controller.services.clock
    deadline = clock() + ACQUIRE_TIMEOUT_S
    while True:
        answer = await request_permit(controller)
        if isinstance(answer, LoadPermit):
            return HeldPermit(controller=controller, permit=answer)
        if clock() + answer.seconds > deadline:
            return None
        await asyncio.sleep(answer.seconds)


async def request_permit(controller):
    """Request a load permit once, without waiting for one.

    Parameters
    ----------
    controller : LimitsController
        The limits controller of this instance.

    Returns
    -------
    LoadPermit or LoadWait
    """
    clock = controller.services.clock
    holder = controller.core.holder_of(WEIGHT_STORE, controller.candidates())
    if holder == controller.services.instance:
        answer = controller.permits.acquire(now=clock())
    else:
        address = controller.address_of(holder) if holder else None
        answer = await _request_from_peer(controller, address)
    if isinstance(answer, NoShares):
        return controller.permits.acquire_local(now=clock())
    return answer


async def _request_from_peer(controller, address):
    if address is None:
        return NoShares()
    clock, deadline = controller.services.clock, controller.settings.draw_deadline
    requested_at = clock()
    stub = _stub(controller, address)
    request = limits_pb2.TakePermitRequest()
    reply = await call_peer(stub.TakePermit, request, timeout=deadline)
    if isinstance(reply, CallFailed) or clock() - requested_at > deadline:
        return NoShares()
    if reply.permit:
        return LoadPermit(permit=reply.permit, address=address)
    return LoadWait(seconds=reply.retry_after) if reply.has_shares else NoShares()


def _stub(controller, address):
    return limits_pb2_grpc.LimitsStub(controller.services.peers.get(address))
