"""Lending and borrowing of team limit shares between instances."""

from skylarkpost.limits.entitlement import EntitlementMeter
from skylarkpost.limits.lend_messages import (
    ShareReply,
    ShareRequest,
    ShareReturn,
    TeamGrant,
    TeamLease,
)
from skylarkpost.limits.pool import DrawGranted, DrawRefused
from skylarkpost.rendezvous import choose_member

__all__ = ["ShareExchange"]


class ShareExchange:
    """Lends this instance's shares to pool holders, and borrows for its own pools.

    Parameters
    ----------
    owner : SlotOwner
        This instance and its boot.
    slot_manager : SlotManager
        Decides which slots this instance may use.
    lender : ShareLender
        The shares of those slots.
    pools : PoolHolder
        The pools that this instance holds.

    Attributes
    ----------
    meter : EntitlementMeter
        Estimate of whether refused teams were within their limits.
    leaving : bool
        Whether this instance is leaving, so that it lends nothing any more.
    holder_candidates : tuple of str
        Instances among which `holders` were chosen.
    holders : dict of str to str
        Cache of the pool holder by team, so that not each draw hashes all
        instances.
    """

    def __init__(self, *, owner, slot_manager, lender, pools):
        self.owner = owner
        self.slot_manager = slot_manager
        self.lender = lender
        self.pools = pools
        self.meter = EntitlementMeter()
        self.leaving = False
        self.holder_candidates = ()
        self.holders = {}

    def holder_of(self, team, members):
        """Return which instance holds the pool of a team.

        Parameters
        ----------
        team : str
            Name of the team.
        members : iterable of str
            Ids of the reachable instances that are not leaving.

        Returns
        -------
        str or None
            None if there are no members.
        """
        members = tuple(members)
        if members != self.holder_candidates:
            self.holder_candidates = members
            self.holders = {}
        if team not in self.holders:
            self.holders[team] = choose_member(team, members)
        return self.holders[team]

    def build_request(self, lender, members):
        """Return the request for shares to send to one slot owner.

        Parameters
        ----------
        lender : str
            Id of the owner; may be this instance.
        members : iterable of str
            Ids of the reachable instances that are not leaving.

        Returns
        -------
        ShareRequest or None
            None if there is nothing to request or renew.
        """
        me = self.owner.instance
        teams = tuple(t for t in self.lender.teams if self.holder_of(t, members) == me)
        leases = tuple(TeamLease(*lease) for lease in self.pools.leases_from(lender))
        if not teams and not leases:
            return None
        return ShareRequest(self.owner, teams, leases)

    def answer(self, share_request, members, *, now):
        """Answer a pool holder's request for shares.

        Parameters
        ----------
        share_request : ShareRequest
            The request.
        members : iterable of str
            Ids of the instances that are reachable from this one and not leaving.
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        ShareReply
        """
        may_lend = self.sync(now) and not self.leaving
        renewed, recalled = [], []
        for team, lease_id in share_request.leases:
            grant = None
            if may_lend and self._is_holder(team, share_request, members):
                grant = self.lender.renew(team, lease_id, share_request.holder, now=now)
            if grant is None:
                recalled.append(TeamLease(team, lease_id))
            else:
                renewed.append(TeamGrant(team, grant))
        lent = []
        if may_lend:
            lent = self._lend_all(share_request, members, now)
        return ShareReply(tuple(lent), tuple(renewed), tuple(recalled))

    def handle_answer(self, lender, answer, *, requested_at, now):
        """Apply a slot owner's answer to the pools.

        Parameters
        ----------
        lender : str
            Id of the owner.
        answer : ShareReply
            Its answer.
        requested_at : float
            When the request was sent, in seconds.
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        list of ShareReturn
            Recalled shares, to be sent back to this owner.
        """
        for team, grant in answer.renewed:
            self.pools.renewed(team, grant, requested_at=requested_at, now=now)
        for team, grant in answer.lent:
            self.pools.add_lease(
                team, lender, grant, requested_at=requested_at, now=now
            )
        return self._return_leases(answer.recalled, now)

    def collect_returns(self, lender, members, *, now):
        """Remove one owner's shares from pools that this instance must no longer hold.

        Parameters
        ----------
        lender : str
            Id of the owner.
        members : iterable of str
            Ids of the reachable instances that are not leaving.
        now : float
            The present time, in seconds.

        Returns
        -------
        list of ShareReturn
            Shares of teams whose pools another instance holds now.
        """
        me = self.owner.instance
        stale = [
            TeamLease(team, lease_id)
            for team, lease_id in self.pools.leases_from(lender)
            if self.holder_of(team, members) != me
        ]
        return self._return_leases(stale, now)

    def handle_return(self, message, *, now):
        """Accept a share that a pool holder returns.

        Parameters
        ----------
        message : ShareReturn
            The returned share.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            False if its lease had expired.
        """
        self.sync(now)
        lease = message.lease
        return self.lender.end_lease(
            lease.team, lease.lease_id, message.tokens, now=now
        )

    def draw_pooled(self, team, tokens, *, now):
        """Charge a request to the pool that this instance holds.

        Parameters
        ----------
        team : str
            Name of the team.
        tokens : float
            Tokens of the request.
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        DrawAnswer
        """
        self.slot_manager.note_time(now)
        answer = self.pools.draw(team, tokens, now=now)
        if isinstance(answer, DrawGranted):
            self._meter_spent(team, tokens, now)
        if isinstance(answer, DrawRefused):
            within_rate = self.is_within_rate(team, tokens, now=now)
            return DrawRefused(retry_after=answer.retry_after, within_rate=within_rate)
        return answer

    def draw_local(self, team, tokens, *, now):
        """Charge a request to the shares of this instance that are not lent.

        Parameters
        ----------
        team : str
            Name of the team.
        tokens : float
            Tokens of the request.
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        Receipt or None
        """
        if not self.sync(now):
            return None
        receipt = self.lender.draw(team, tokens, now=now)
        if receipt is not None:
            self._meter_spent(team, tokens, now)
        return receipt

    def is_within_rate(self, team, tokens, *, now):
        """Return whether a team is within its limit, by this instance's estimate.

        Parameters
        ----------
        team : str
            Name of the team.
        tokens : float
            Tokens of a request that was refused.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        limit = self.limit_of(team)
        if limit is None:
            return False
        return self.meter.allows(team, limit, tokens, now=now)

    def limit_of(self, team):
        """Return the limit of a team over all instances, if it is known.

        Parameters
        ----------
        team : str
            Name of the team.

        Returns
        -------
        TeamLimit or None
        """
        share = self.lender.teams.get(team)
        return share.limit if share else None

    def refund(self, team, receipt, tokens, *, now):
        """Put back what a request that was charged here did not use.

        Parameters
        ----------
        team : str
            Name of the team.
        receipt : Receipt
            Receipt of the charge.
        tokens : float
            Tokens that were not used.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Tokens put back.
        """
        self.sync(now)
        limit = self.limit_of(team)
        if limit is not None:
            self.meter.refund(team, limit, tokens, now=now)
        returned = self.pools.refund(team, receipt, tokens, now=now)
        return returned or self.lender.refund(team, receipt, tokens, now=now)

    def sync(self, now):
        """Update the lender with the slots that this instance may use at present.

        Parameters
        ----------
        now : float
            The present time, in seconds, read just before.

        Returns
        -------
        bool
            Whether this instance may act as their owner.
        """
        may_use = self.slot_manager.may_use(now)
        self.lender.set_slots(self.slot_manager.active_slots(), now=now)
        return may_use

    def _meter_spent(self, team, tokens, now):
        limit = self.limit_of(team)
        if limit is not None:
            self.meter.spend(team, limit, tokens, now=now)

    def _is_holder(self, team, share_request, members):
        return self.holder_of(team, members) == share_request.holder[0]

    def _lend_all(self, share_request, members, now):
        lent = []
        for team in share_request.teams:
            if not self._is_holder(team, share_request, members):
                continue
            grant = self.lender.lend(team, share_request.holder, now=now)
            if grant is not None:
                lent.append(TeamGrant(team, grant))
        return lent

    def _return_leases(self, leases, now):
        returns = []
        for lease in leases:
            tokens = self.pools.return_lease(lease.team, lease.lease_id, now=now)
            if tokens is not None:
                returns.append(ShareReturn(lease, tokens))
        return returns
