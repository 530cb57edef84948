"""gRPC service through which other instances reach the stewards here."""

from skylarkpost.rpc import stewardship_pb2 as pb
from skylarkpost.rpc import stewardship_pb2_grpc
from skylarkpost.stewardship.conversion import answer_to_wire, request_from_wire

__all__ = ["StewardshipServicer"]


class StewardshipServicer(stewardship_pb2_grpc.StewardshipServicer):
    """Grants, renews and takes back tickets for the stewards on this instance.

    Parameters
    ----------
    manager : StewardManager
        Manages the stewards on this instance.
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(self, *, manager, clock):
        self.manager = manager
        self.clock = clock

    async def RequestTicket(self, request, context):  # noqa: N802
        """Answer one request for a ticket."""
        executor = self.manager.executors.get(request.target)
        if executor is None:
            return pb.TicketAnswer(state=pb.TicketAnswer.NOT_STEWARD)
        return answer_to_wire(
            await executor.request_ticket(request_from_wire(request, self.clock()))
        )

    async def ReturnTickets(self, request, context):  # noqa: N802
        """Record returned tickets."""
        answer = pb.TicketIds()
        for each in request.tickets:
            executor = self.manager.executors.get(each.target)
            executor = executor or self.manager.handing_over.get(each.target)
            if executor is None:
                continue
            executor.release_ticket(
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
            executor = self.manager.executors.get(target)
            if executor is not None:
                answer.ticket_ids.extend(executor.renew(held))
                answer.fencing_numbers[target] = executor.steward.fencing_number
        return answer

    async def HandOver(self, request, context):  # noqa: N802
        """Adopt the tickets of a predecessor."""
        return pb.HandOverAnswer(taken=self.manager.receive_handover(request))
