"""View of membership for stewardship: live instances and authority."""

from skylarkpost.membership import MemberState
from skylarkpost.stewardship.election import Peer

__all__ = ["MembershipView"]


class MembershipView:
    """Derives peers and authority from membership and the state of the log.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Shared services of the instance.
    table : StewardshipTable
        Claims on the log.
    authority : Authority
        Authority of this instance to act as a steward.
    order_timeout : float
        Seconds after which a silent steward can neither act nor have orders in
        flight.

    Attributes
    ----------
    last_received : dict of str to float
        Time of the last message from each instance, in seconds.
    """

    def __init__(self, *, services, table, authority, order_timeout):
        self.services = services
        self.table = table
        self.authority = authority
        self.order_timeout = order_timeout
        self.started_at = services.clock()
        self.last_received = {}

    @property
    def membership(self):
        """The membership controller."""
        return self.services.controllers["membership"]

    def members(self):
        """Return the instances that are not silent, including this one.

        Returns
        -------
        dict of str to skylarkpost.membership.Member
        """
        members = self.membership.members(self.services.clock())
        return {
            member.instance: member
            for member in members
            if member.state is not MemberState.SILENT
        }

    def peers(self):
        """Return the members as peers for the election.

        Returns
        -------
        list of Peer
        """
        return [
            Peer(
                member.instance,
                member.boot,
                member.data_centre,
                self._is_leaving(member),
            )
            for member in self.members().values()
        ]

    def confirm_authority(self, now):
        """Confirm the authority by the log, or by messages of live neighbours.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        resumed_at = self.membership.last_resumed_at
        if resumed_at is not None and resumed_at > self.authority.resumed_at:
            self.authority.note_resumed(resumed_at)
        senders = [m for m in self.members().values() if m.last_seen_at is not None]
        for member in senders:
            self.last_received[member.instance] = member.last_seen_at
        log = self.services.state_log
        if log.available and log.fresh_at is not None:
            self.authority.note_log_read(log.fresh_at, now)
            return
        received_at = [
            member.last_seen_at
            for member in senders
            if member.data_centre == self.services.data_centre
            and member.instance != self.services.instance
        ]
        self.authority.note_neighbours(received_at, now)

    def number_without_steward(self, target):
        """Return the fencing number for requests without a steward.

        Parameters
        ----------
        target : skylarkpost.config.Target
            The target.

        Returns
        -------
        int or None
            None if a steward may still act on the target or may be elected:
            the log can be read, or the last steward was outside the target's
            data centre and may only be unreachable.
        """
        claim = self.table.full.get(target.name)
        if claim is None or self.services.state_log.available:
            return None
        if claim.data_centre != target.data_centre:
            return None
        received_at = self.last_received.get(claim.instance, self.started_at)
        if self.services.clock() - received_at <= self.order_timeout:
            return None
        return claim.number

    def _is_leaving(self, member):
        if member.instance == self.services.instance:
            return self.services.draining
        return member.state is MemberState.LEAVING
