"""Serves the other instances as steward."""

from skylarkpost.rpc import stewardship_pb2 as pb
from skylarkpost.rpc import stewardship_pb2_grpc
from skylarkpost.stewardship.wire import answer_to_wire, ask_from_wire

__all__ = ["StewardshipServicer"]


class StewardshipServicer(stewardship_pb2_grpc.StewardshipServicer):
    """Answers requests for tickets of the targets stewarded here.

    Parameters
    ----------
    keeper : SeatKeeper
        The stewards.
    clock : callable
        Returns the present time in seconds.
    """

    def __init__(self, *, keeper, clock):
        self.keeper = keeper
        self.clock = clock

    async def RequestTicket(self, request, context):  # noqa: N802
        """Answer one request for a ticket."""
        seat = self.keeper.seats.get(request.target)
        if seat is None:
            return pb.TicketAnswer(state=pb.TicketAnswer.NOT_STEWARD)
        return answer_to_wire(await seat.ask(ask_from_wire(request, self.clock())))

    async def ReturnTickets(self, request, context):  # noqa: N802
        """Take tickets back."""
        answer = pb.TicketIds()
        for each in request.tickets:
            seat = self.keeper.seats.get(each.target)
            seat = seat or self.keeper.handing_over.get(each.target)
            if seat is None:
                continue
            seat.give_back(
                each.ticket_id,
                unused_tokens=each.unused_tokens,
                certain=each.certain,
            )
            answer.ticket_ids.append(each.ticket_id)
        return answer

    async def RenewTickets(self, request, context):  # noqa: N802
        """Renew tickets."""
        by_target = {}
        for each in request.tickets:
            by_target.setdefault(each.target, []).append(each)
        answer = pb.TicketIds()
        for target, held in by_target.items():
            seat = self.keeper.seats.get(target)
            if seat is not None:
                answer.ticket_ids.extend(seat.renew(held))
                answer.fencing_numbers[target] = seat.steward.fencing_number
        return answer

    async def HandOver(self, request, context):  # noqa: N802
        """Take over the tickets of a predecessor."""
        return pb.HandOverAnswer(taken=self.keeper.take_book(request))
