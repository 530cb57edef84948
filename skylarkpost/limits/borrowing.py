"""Borrows shares from the other instances, and returns them."""

from skylarkpost.limits.messages import decode_answer, encode_ask, encode_return
from skylarkpost.rpc import CallFailed, call_peer, limits_pb2_grpc

__all__ = ["PEER_TIMEOUT_S", "Borrower"]

PEER_TIMEOUT_S = 0.5


class Borrower:
    """Asks every instance for its shares, again and again.

    Parameters
    ----------
    controller : LimitsController
        This instance's limits.
    renewal : float
        Seconds between two rounds, unless the instances change.
    """

    def __init__(self, *, controller, renewal):
        self.controller = controller
        self.services = controller.services
        self.core = controller.core
        self.renewal = renewal
        self.asked_members = ()
        self.asked_at = float("-inf")

    def tick(self, now):
        """Ask for shares if it is time to.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        candidates = tuple(self.controller.candidates())
        is_due = now - self.asked_at >= self.renewal
        if is_due or candidates != self.asked_members:
            self.asked_at = now
            self.asked_members = candidates
            self.return_shares()
            self._ask_all(candidates)

    def return_shares(self):
        """Return the shares of pools that another instance holds now."""
        candidates = self.controller.candidates()
        for member in self.controller.reachable():
            now = self.services.clock()
            for returned in self.core.returns_to(member.instance, candidates, now=now):
                if member.instance == self.services.instance:
                    self.core.take_return(returned, now=now)
                else:
                    send = self._send_return(member.address, returned)
                    self.controller.keep_task(send)

    def _ask_all(self, candidates):
        for member in self.controller.reachable():
            ask = self.core.ask_for(member.instance, candidates)
            if ask is None:
                continue
            if member.instance == self.services.instance:
                self._ask_self(ask, candidates)
            else:
                self.controller.keep_task(self._ask_peer(member, ask))

    def _ask_self(self, ask, candidates):
        now = self.services.clock()
        answer = self.core.answer(ask, candidates, now=now)
        for returned in self.core.take_answer(
            self.services.instance, answer, asked_at=now, now=now
        ):
            self.core.take_return(returned, now=now)

    async def _ask_peer(self, member, ask):
        asked_at = self.services.clock()
        stub = self._stub(member.address)
        reply = await call_peer(stub.Lend, encode_ask(ask), timeout=PEER_TIMEOUT_S)
        if isinstance(reply, CallFailed):
            self.services.metrics.count_event("limit-lend-failed")
            return
        returns = self.core.take_answer(
            member.instance,
            decode_answer(reply),
            asked_at=asked_at,
            now=self.services.clock(),
        )
        for returned in returns:
            self.controller.keep_task(self._send_return(member.address, returned))

    async def _send_return(self, address, returned):
        request = encode_return(returned)
        stub = self._stub(address)
        await call_peer(stub.ReturnShare, request, timeout=PEER_TIMEOUT_S)

    def _stub(self, address):
        return limits_pb2_grpc.LimitsStub(self.services.peers.get(address))
