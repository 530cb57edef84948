"""Least-outstanding-requests load balancing for plain services."""

import itertools

from skylarkpost.placement.rendezvous import rendezvous_order
from skylarkpost.stewardship.held_tickets import Ticket

__all__ = ["ServicePlacer"]

FAILURE_RETENTION_S = 10.0
REMOTE_PENALTY = 2


class ServicePlacer:
    """Prefers services without recent failures, then those with the lowest load.

    The load is the number of outstanding calls. A service in another data
    centre counts as if it had `REMOTE_PENALTY` more.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance.

    Attributes
    ----------
    outstanding : dict of str to set of str
        Ticket ids of unfinished calls, by target.
    failed_at : dict of str to float
        Time of the last failure of each target that has not succeeded since.
    """

    def __init__(self, *, data_centre):
        self.data_centre = data_centre
        self.outstanding = {}
        self.failed_at = {}
        self._numbers = itertools.count(1)

    def choose(self, targets, *, request_id, avoid, now):
        """Choose a target for a call.

        Parameters
        ----------
        targets : list of skylarkpost.config.Target
            Services that are not leaving.
        request_id : str
            Id of the request; breaks ties by rendezvous hash.
        avoid : frozenset of str
            Targets on which the request has already failed.
        now : float
            The present time, in seconds.

        Returns
        -------
        Ticket or None
            None if there is no target.
        """
        if not targets:
            return None
        order = rendezvous_order(request_id, [target.name for target in targets])

        def cost(target):
            is_remote = target.data_centre != self.data_centre
            busy = len(self.outstanding.get(target.name, ()))
            busy += REMOTE_PENALTY * is_remote
            has_failed = (
                now - self.failed_at.get(target.name, -1e9) < FAILURE_RETENTION_S
            )
            rank = order.index(target.name)
            return (target.name in avoid, has_failed, busy, rank)

        target = min(targets, key=cost)
        ticket_id = f"{request_id}/{next(self._numbers)}"
        self.outstanding.setdefault(target.name, set()).add(ticket_id)
        return Ticket(
            ticket_id=ticket_id,
            kind=target.kind,
            target=target.name,
            address=target.address,
            boot="",
            lora_name="",
            fencing_number=0,
            expires_at=float("inf"),
        )

    def withdraw(self, ticket):
        """Forget a call that is not made.

        Parameters
        ----------
        ticket : Ticket
            From `choose`.
        """
        tickets = self.outstanding.get(ticket.target, set())
        tickets.discard(ticket.ticket_id)
        if not tickets:
            self.outstanding.pop(ticket.target, None)

    def note_finished(self, ticket, *, succeeded, now):
        """Record the end of a call; repeated notifications are ignored.

        Parameters
        ----------
        ticket : Ticket
            From `choose`.
        succeeded : bool
            Whether the target answered.
        now : float
            The present time, in seconds.
        """
        tickets = self.outstanding.get(ticket.target, set())
        if ticket.ticket_id not in tickets:
            return
        tickets.discard(ticket.ticket_id)
        if not tickets:
            del self.outstanding[ticket.target]
        if succeeded:
            self.failed_at.pop(ticket.target, None)
        else:
            self.failed_at[ticket.target] = now
