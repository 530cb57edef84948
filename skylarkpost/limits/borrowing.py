"""Borrows shares from all slot owners, and returns them."""

from skylarkpost.limits.codec import (
    decode_share_reply,
    encode_share_request,
    encode_share_return,
)
from skylarkpost.rpc import CallFailed, call_peer, limits_pb2_grpc

__all__ = ["PEER_TIMEOUT_S", "Borrower"]

PEER_TIMEOUT_S = 0.5


class Borrower:
    """Periodically requests shares from every instance and renews their leases.

    Parameters
    ----------
    controller : LimitsController
        The limits controller of this instance.
    renewal : float
        Seconds between two rounds. A change of the pool holder candidates starts
        a round at once.
    """

    def __init__(self, *, controller, renewal):
        self.controller = controller
        self.services = controller.services
        self.core = controller.core
        self.renewal = renewal
        self.requested_members = ()
        self.requested_at = float("-inf")

    def tick(self, now):
        """Return and request shares, if a round is due.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        candidates = tuple(self.controller.candidates())
        is_due = now - self.requested_at >= self.renewal
        if is_due or candidates != self.requested_members:
            self.requested_at = now
            self.requested_members = candidates
            self.return_shares()
            self._request_all(candidates)

    def return_shares(self):
        """Return the shares of pools that another instance should hold now."""
        candidates = self.controller.candidates()
        for member in self.controller.reachable():
            now = self.services.clock()
            for returned in self.core.collect_returns(
                member.instance, candidates, now=now
            ):
                if member.instance == self.services.instance:
                    self.core.handle_return(returned, now=now)
                else:
                    send = self._send_return(member.address, returned)
                    self.controller.run_in_background(send)

    def _request_all(self, candidates):
        for member in self.controller.reachable():
            share_request = self.core.build_request(member.instance, candidates)
            if share_request is None:
                continue
            if member.instance == self.services.instance:
                self._request_from_self(share_request, candidates)
            else:
                self.controller.run_in_background(
                    self._request_from_peer(member, share_request)
                )

    def _request_from_self(self, share_request, candidates):
        now = self.services.clock()
        answer = self.core.answer(share_request, candidates, now=now)
        for returned in self.core.handle_answer(
            self.services.instance, answer, requested_at=now, now=now
        ):
            self.core.handle_return(returned, now=now)

    async def _request_from_peer(self, member, share_request):
        requested_at = self.services.clock()
        stub = self._stub(member.address)
        reply = await call_peer(
            stub.Lend, encode_share_request(share_request), timeout=PEER_TIMEOUT_S
        )
        if isinstance(reply, CallFailed):
            self.services.metrics.count_event("limit-lend-failed")
            return
        returns = self.core.handle_answer(
            member.instance,
            decode_share_reply(reply),
            requested_at=requested_at,
            now=self.services.clock(),
        )
        for returned in returns:
            self.controller.run_in_background(
                self._send_return(member.address, returned)
            )

    async def _send_return(self, address, returned):
        request = encode_share_return(returned)
        stub = self._stub(address)
        await call_peer(stub.ReturnShare, request, timeout=PEER_TIMEOUT_S)

    def _stub(self, address):
        return limits_pb2_grpc.LimitsStub(self.services.peers.get(address))
