"""Tickets held by the requests of this instance."""

from typing import NamedTuple

__all__ = ["HeldTickets", "Ticket", "TicketReturn"]

RENEWAL_FRACTION = 1.0 / 3.0
RENEWAL_RETRY_S = 0.5
MAX_RETURNS = 8192


class Ticket(NamedTuple):
    """Permission to run one request on one target.

    Attributes
    ----------
    ticket_id : str
        Id of the request and of its attempt.
    kind : str
        ``"engine"`` or ``"service"``.
    target, address : str
        Where the request runs.
    boot : str
        Boot id of the engine; the engine refuses a request with another id.
    lora_name : str
        ``ADAPTER@VERSION``, or the name of the base model.
    fencing_number : int
        Fencing number of the steward.
    expires_at : float
        End of the lease, in seconds on the local clock. No request is sent
        after it; a running request continues.
    waited, load_wait : float
        Seconds spent waiting in total, and for the load of the adapter.
    steward : str
        Instance that granted it; empty if it was issued without a steward.
    team : str
        Team that is charged.
    weight : float
        Weight of the team.
    tokens : int
        Tokens that were charged.
    suspect : bool
        Whether an engine crashed once while the request ran on it.
    """

    ticket_id: str
    kind: str
    target: str
    address: str
    boot: str
    lora_name: str
    fencing_number: int
    expires_at: float
    waited: float = 0.0
    load_wait: float = 0.0
    steward: str = ""
    team: str = ""
    weight: float = 1.0
    tokens: int = 0
    suspect: bool = False


class TicketReturn(NamedTuple):
    """A ticket that is being returned to its steward.

    Attributes
    ----------
    ticket_id, target : str
        Id of the ticket, and its target.
    unused_tokens : int
        Tokens that were charged and not used.
    certain : bool
        Whether the engine has certainly ended the request.
    expires_at : float
        When the return is no longer sent because the ticket has expired on the
        steward, in seconds on the local clock.
    """

    ticket_id: str
    target: str
    unused_tokens: int
    certain: bool
    expires_at: float


class HeldTickets:
    """Tickets held here, with their due renewals and returns.

    Parameters
    ----------
    lease : float
        Lease of a ticket, in seconds.
    dispatch_margin : float
        Seconds before the end of a lease in which no request is sent.
    """

    def __init__(self, *, lease, dispatch_margin):
        self.lease = lease
        self.dispatch_margin = dispatch_margin
        self.tickets = {}
        self.returns = {}
        self._renewal_sent_at = {}

    def add(self, ticket):
        """Add a granted ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        """
        assert ticket.ticket_id not in self.tickets
        self.tickets[ticket.ticket_id] = ticket

    def may_dispatch(self, ticket_id, now):
        """Return whether a request may be sent on a ticket now.

        Parameters
        ----------
        ticket_id : str
            The ticket.
        now : float
            Current time, in seconds, read right before sending.

        Returns
        -------
        bool
        """
        ticket = self.tickets.get(ticket_id)
        if ticket is None:
            return False
        return now + self.dispatch_margin < ticket.expires_at

    def due_renewals(self, now):
        """Return the tickets due for renewal, by target, and record the attempt.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        dict of str to list of Ticket
        """
        due = {}
        for ticket in self.tickets.values():
            left = ticket.expires_at - now
            last_attempt_at = self._renewal_sent_at.get(ticket.ticket_id, -1e9)
            if left > self.lease * (1.0 - RENEWAL_FRACTION):
                continue
            if now - last_attempt_at < RENEWAL_RETRY_S:
                continue
            self._renewal_sent_at[ticket.ticket_id] = now
            due.setdefault(ticket.target, []).append(ticket)
        return due

    def note_renewed(self, ticket_ids, *, sent_at, steward, fencing_number):
        """Record that a steward has renewed tickets.

        Parameters
        ----------
        ticket_ids : list of str
            The renewed tickets.
        sent_at : float
            When the renewal was sent, in seconds; the lease starts here.
        steward : str
            Instance that renewed them.
        fencing_number : int
            Fencing number of the steward.
        """
        for ticket_id in ticket_ids:
            ticket = self.tickets.get(ticket_id)
            if ticket is not None:
                self.tickets[ticket_id] = ticket._replace(
                    expires_at=max(ticket.expires_at, sent_at + self.lease),
                    steward=steward,
                    fencing_number=max(fencing_number, ticket.fencing_number),
                )

    def end(self, ticket_id, *, unused_tokens, certain, now):
        """End a request and queue the return of its ticket.

        Parameters
        ----------
        ticket_id : str
            The ticket.
        unused_tokens : int
            Tokens that were charged and not used.
        certain : bool
            Whether the engine has certainly ended the request.
        now : float
            Current time, in seconds.

        Returns
        -------
        Ticket or None
            The ticket, or None if it was not held.
        """
        ticket = self.tickets.pop(ticket_id, None)
        self._renewal_sent_at.pop(ticket_id, None)
        if ticket is not None:
            self.queue_return(
                ticket_id, ticket.target, unused_tokens, certain=certain, now=now
            )
        return ticket

    def queue_return(self, ticket_id, target, unused_tokens, *, certain, now):
        """Queue the return of a ticket, even if its grant has not arrived.

        Parameters
        ----------
        ticket_id, target : str
            Id of the ticket, and its target.
        unused_tokens : int
            Tokens that were charged and not used.
        certain : bool
            Whether the engine has certainly ended the request.
        now : float
            Current time, in seconds.
        """
        expires_at = now + 2 * self.lease
        self.returns[ticket_id] = TicketReturn(
            ticket_id, target, unused_tokens, certain, expires_at
        )
        if len(self.returns) > MAX_RETURNS:
            del self.returns[next(iter(self.returns))]

    def due_returns(self, now):
        """Return the pending returns, by target.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        dict of str to list of TicketReturn
            Each stays pending until `note_returned` is called or it expires.
        """
        due = {}
        for ticket_return in list(self.returns.values()):
            if ticket_return.expires_at <= now:
                del self.returns[ticket_return.ticket_id]
            else:
                due.setdefault(ticket_return.target, []).append(ticket_return)
        return due

    def note_returned(self, ticket_ids):
        """Record that a steward has confirmed the return of tickets.

        Parameters
        ----------
        ticket_ids : list of str
            The tickets.
        """
        for ticket_id in ticket_ids:
            self.returns.pop(ticket_id, None)
