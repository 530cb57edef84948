"""Returns the tickets of this instance to their stewards, and renews them."""

import asyncio

from skylarkpost.rpc import CallFailed, call_peer, stewardship_pb2_grpc
from skylarkpost.rpc import stewardship_pb2 as pb
from skylarkpost.stewardship.conversion import ticket_to_wire

__all__ = ["TicketSender"]

BATCH_TIMEOUT_S = 1.0
RETURN_BATCH_DELAY_S = 0.005
RETURN_RETRY_S = 0.25


class TicketSender:
    """Sends returns and renewals in batches.

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
    """

    def __init__(self, *, services, held_tickets, executors, find_steward):
        self.services = services
        self.held_tickets = held_tickets
        self.executors = executors
        self.find_steward = find_steward
        self.pending_returns = asyncio.Event()

    def schedule_returns(self):
        """Return tickets to local stewards now, and wake the sender for the others."""
        self._return_local(self.services.clock())
        self.pending_returns.set()

    async def run_returns(self):
        """Return tickets in batches until cancelled."""
        while True:
            await self.pending_returns.wait()
            self.pending_returns.clear()
            await asyncio.sleep(RETURN_BATCH_DELAY_S)
            if not await self.flush_returns():
                await asyncio.sleep(RETURN_RETRY_S)
                self.pending_returns.set()

    async def flush_returns(self):
        """Send all pending returns.

        Returns
        -------
        bool
            Whether no return is pending afterwards.
        """
        now = self.services.clock()
        self._return_local(now)
        batches = {}
        for target, due in self.held_tickets.due_returns(now).items():
            steward = self.find_steward(target)
            if steward is not None and steward.instance != self.services.instance:
                batches.setdefault(steward.address, []).extend(due)
        calls = [self._send_returns(*item) for item in batches.items()]
        await asyncio.gather(*calls)
        return not self.held_tickets.due_returns(self.services.clock())

    async def renew(self):
        """Renew all tickets that are due for renewal."""
        now = self.services.clock()
        batches = {}
        for target, tickets in self.held_tickets.due_renewals(now).items():
            steward = self.find_steward(target)
            if steward is None:
                continue
            messages = [self._to_wire(ticket) for ticket in tickets]
            if steward.instance == self.services.instance:
                self._renew_local(target, messages, now)
            else:
                batches.setdefault(steward, []).extend(messages)
        by_address = {}
        for steward, messages in batches.items():
            key = (steward.address, steward.instance)
            by_address.setdefault(key, []).extend(messages)
        await asyncio.gather(
            *(self._send_renewals(*key, held) for key, held in by_address.items())
        )

    def _return_local(self, now):
        for target, due in self.held_tickets.due_returns(now).items():
            executor = self.executors.get(target)
            if executor is None:
                continue
            self.held_tickets.note_returned(
                [ticket_return.ticket_id for ticket_return in due]
            )
            for ticket_return in due:
                executor.release_ticket(
                    ticket_return.ticket_id,
                    unused_tokens=ticket_return.unused_tokens,
                    certain=ticket_return.certain,
                )

    async def _send_returns(self, address, due):
        message = pb.TicketReturns()
        for ticket_return in due:
            message.tickets.add(
                ticket_id=ticket_return.ticket_id,
                target=ticket_return.target,
                unused_tokens=ticket_return.unused_tokens,
                certain=ticket_return.certain,
            )
        stub = stewardship_pb2_grpc.StewardshipStub(self.services.peers.get(address))
        answer = await call_peer(stub.ReturnTickets, message, timeout=BATCH_TIMEOUT_S)
        if isinstance(answer, CallFailed):
            self.services.peers.renew(address)
        else:
            self.held_tickets.note_returned(answer.ticket_ids)

    async def _send_renewals(self, address, instance, messages):
        sent_at = self.services.clock()
        stub = stewardship_pb2_grpc.StewardshipStub(self.services.peers.get(address))
        answer = await call_peer(
            stub.RenewTickets,
            pb.TicketRenewals(tickets=messages),
            timeout=BATCH_TIMEOUT_S,
        )
        if isinstance(answer, CallFailed):
            self.services.peers.renew(address)
            return
        targets = {held.ticket_id: held.target for held in messages}
        for ticket_id in answer.ticket_ids:
            number = answer.fencing_numbers[targets[ticket_id]]
            self.held_tickets.note_renewed(
                [ticket_id], sent_at=sent_at, steward=instance, fencing_number=number
            )

    def _renew_local(self, target, messages, now):
        executor = self.executors.get(target)
        if executor is None:
            return
        renewed = executor.renew(messages)
        self.held_tickets.note_renewed(
            renewed,
            sent_at=now,
            steward=self.services.instance,
            fencing_number=executor.steward.fencing_number,
        )

    def _to_wire(self, ticket):
        return ticket_to_wire(
            ticket,
            target=ticket.target,
            boot=ticket.boot,
            holder=self.services.instance,
        )
