"""Asks for permits to load adapters, here or at the instance that has the pool."""

import asyncio

from skylarkpost.limits.permits import WEIGHT_STORE, LoadPermit, LoadWait
from skylarkpost.limits.pool import NoShares
from skylarkpost.rpc import CallFailed, call_peer, limits_pb2, limits_pb2_grpc

__all__ = ["HeldPermit", "acquire_load_permit", "request_permit"]

ACQUIRE_TIMEOUT_S = 5.0


class HeldPermit:
    """Leave for one load; given back when the load has ended.

    Parameters
    ----------
    controller : LimitsController
        This instance's limits.
    permit : LoadPermit
        The permit. If its release does not get through, it lapses.
    """

    def __init__(self, *, controller, permit):
        self.controller = controller
        self.permit = permit
        self.released = False

    def release(self, *, unused=False):
        """Give the permit back, once.

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
    """Wait a few seconds for a permit.

    Parameters
    ----------
    controller : LimitsController
        This instance's limits.

    Returns
    -------
    HeldPermit or None
        None if there was none in time.
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
    """Ask for a permit without waiting.

    Parameters
    ----------
    controller : LimitsController
        This instance's limits.

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
