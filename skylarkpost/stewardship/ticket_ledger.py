"""Ledger of the tickets that a steward has granted."""

__all__ = ["TicketLedger"]

MAX_RETURNED = 4096


class TicketLedger:
    """Outstanding tickets, and when each adapter was last in use.

    Parameters
    ----------
    lease : float
        Lease of a ticket, in seconds.
    margin : float
        Seconds past the end of its lease after which a ticket counts as expired.

    Attributes
    ----------
    tickets : dict of str to HeldTicket
        Live tickets by id.
    expired : dict of str to HeldTicket
        Expired tickets whose requests may still run on the engine.
    last_end : dict of str to float
        By adapter: when its last ticket was returned or expired.
    uncertain_at : dict of str to float
        By adapter: when a ticket last ended while its request might still run
        on the engine.
    """

    def __init__(self, *, lease, margin):
        self.lease = lease
        self.margin = margin
        self.tickets = {}
        self.expired = {}
        self.last_end = {}
        self.uncertain_at = {}
        self._by_adapter = {}
        self._returned = {}

    def __len__(self):
        return len(self.tickets)

    def occupied(self):
        """Return the number of requests that may be running on the engine.

        Returns
        -------
        int
        """
        return len(self.tickets) + len(self.expired)

    def in_use(self, lora_name):
        """Return whether an adapter has a valid ticket.

        Parameters
        ----------
        lora_name : str
            The adapter.

        Returns
        -------
        bool
        """
        return bool(self._by_adapter.get(lora_name))

    def has_suspect(self):
        """Return whether a request that may have crashed an engine may be running.

        Returns
        -------
        bool
        """
        outstanding = (*self.tickets.values(), *self.expired.values())
        return any(ticket.suspect for ticket in outstanding)

    def was_returned(self, ticket_id):
        """Return whether a ticket was returned, possibly before it was requested.

        Parameters
        ----------
        ticket_id : str
            The ticket.

        Returns
        -------
        bool
        """
        return ticket_id in self._returned

    def add(self, ticket):
        """Add a granted ticket, or one that its holder reported.

        Parameters
        ----------
        ticket : HeldTicket
            The ticket.
        """
        self.expired.pop(ticket.ticket_id, None)
        self.tickets[ticket.ticket_id] = ticket
        self._by_adapter.setdefault(ticket.lora_name, set()).add(ticket.ticket_id)

    def renew(self, ticket_id, now):
        """Renew the lease of a valid ticket.

        Parameters
        ----------
        ticket_id : str
            The ticket.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            Whether the ticket was valid.
        """
        ticket = self.tickets.get(ticket_id)
        if ticket is None:
            return False
        expires_at = max(ticket.expires_at, now + self.lease)
        self.tickets[ticket_id] = ticket._replace(expires_at=expires_at)
        return True

    def end(self, ticket_id, now, *, certain=True):
        """Record the return of a ticket.

        Parameters
        ----------
        ticket_id : str
            The ticket.
        now : float
            Current time, in seconds.
        certain : bool
            Whether the holder knows that the engine has ended the request.

        Returns
        -------
        HeldTicket or None
            The ticket, or None if it was not outstanding.
        """
        self._note_returned(ticket_id)
        expired = self.expired.pop(ticket_id, None)
        ticket = self.tickets.pop(ticket_id, None)
        if ticket is not None:
            self._drop(ticket, now)
            if not certain:
                self.expired[ticket_id] = ticket
                self.uncertain_at[ticket.lora_name] = now
        return ticket or expired

    def expire(self, now):
        """Move the tickets whose lease has ended to `expired`.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of HeldTicket
            The tickets that expired now.
        """
        limit = now - self.margin
        due = [t for t in self.tickets.values() if t.expires_at <= limit]
        for ticket in due:
            del self.tickets[ticket.ticket_id]
            self._drop(ticket, now)
            self.expired[ticket.ticket_id] = ticket
            self.uncertain_at[ticket.lora_name] = now
        return due

    def drop_expired(self, lora_name, *, idle_at):
        """Drop the expired tickets of an adapter that was idle afterwards.

        Parameters
        ----------
        lora_name : str
            The adapter.
        idle_at : float
            When no request ran or waited on it, in seconds.
        """
        if idle_at < self.uncertain_at.get(lora_name, idle_at):
            return
        for ticket_id, ticket in list(self.expired.items()):
            if ticket.lora_name == lora_name:
                del self.expired[ticket_id]

    def drop_adapter(self, lora_name):
        """Drop the usage times of an adapter that is no longer on the engine.

        Parameters
        ----------
        lora_name : str
            The adapter.
        """
        if self.in_use(lora_name):
            return
        self.last_end.pop(lora_name, None)
        self.uncertain_at.pop(lora_name, None)

    def clear(self):
        """Drop all tickets after a restart of the engine.

        Returns
        -------
        list of HeldTicket
            The tickets that were valid.
        """
        dropped = list(self.tickets.values())
        self.tickets = {}
        self.expired = {}
        self.last_end = {}
        self.uncertain_at = {}
        self._by_adapter = {}
        return dropped

    def _drop(self, ticket, now):
        ids = self._by_adapter[ticket.lora_name]
        ids.discard(ticket.ticket_id)
        if not ids:
            del self._by_adapter[ticket.lora_name]
            self.last_end[ticket.lora_name] = now

    def _note_returned(self, ticket_id):
        self._returned[ticket_id] = None
        if len(self._returned) > MAX_RETURNED:
            del self._returned[next(iter(self._returned))]
