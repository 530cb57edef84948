"""The share slots that an instance owns, and their leases to pool holders."""

from dataclasses import dataclass, field

from skylarkpost.limits.bucket import TokenBucket
from skylarkpost.limits.shares import Grant, TeamLimit

__all__ = ["CLOCK_MARGIN", "ShareLender"]

# The lender counts a lease as longer than the borrower does, since their clocks
# may run at slightly different speeds.
CLOCK_MARGIN = 1.1


@dataclass(kw_only=True)
class _LentShare:
    holder: str
    slots: set
    ends_at: float
    renewable: bool = True


@dataclass(kw_only=True)
class _TeamShare:
    limit: TeamLimit
    bucket: TokenBucket
    local_slots: set = field(default_factory=set)
    lent: dict = field(default_factory=dict)


class ShareLender:
    """Manages this instance's share slots, with one token bucket per team.

    Parameters
    ----------
    owner : str
        Instance and boot, as a prefix of ids.
    total_slots : int
        Number of share slots of the whole fleet.
    lease : float
        Seconds for which a borrower may use a share, counted from its request.

    Notes
    -----
    A slot's share of a team is either local or lent as a whole. When a lease
    expires without a return, the capacity becomes local again, without tokens.
    """

    def __init__(self, *, owner, total_slots, lease):
        self.owner = owner
        self.total_slots = total_slots
        self.lease = lease
        self.slots = {}
        self.teams = {}
        self.number = 0

    def set_team(self, team, limit, *, now):
        """Set a team's limit, new or changed.

        Parameters
        ----------
        team : str
            Name of the team.
        limit : TeamLimit
            Its limit over the whole fleet.
        now : float
            The present time, in seconds.
        """
        share = self.teams.get(team)
        if share is None:
            bucket = TokenBucket(bucket_id=self._next_id("home"), now=now)
            self.teams[team] = _TeamShare(limit=limit, bucket=bucket)
            for slot in self.slots:
                self._add_local_slot(team, slot, now=now, level=None)
            return
        if share.limit != limit:
            share.limit = limit
            self._resize_bucket(share, now=now)

    def set_slots(self, slots, *, now):
        """Set which slots this instance may use.

        Parameters
        ----------
        slots : dict of str to SlotShare
            Shares by slot. A slot with a different claim than before counts as
            new.
        now : float
            The present time, in seconds.
        """
        for slot, share in list(self.slots.items()):
            if slot not in slots or slots[slot].claim != share.claim:
                self._drop_slot(slot, now=now)
        for slot, share in slots.items():
            if slot not in self.slots:
                self.slots[slot] = share
                for team in self.teams:
                    self._add_local_slot(team, slot, now=now, level=None)

    def lend(self, team, holder, *, now):
        """Lend the local part of a team's share.

        Parameters
        ----------
        team : str
            Name of the team.
        holder : str
            Instance and boot of the borrower.
        now : float
            The present time, in seconds.

        Returns
        -------
        Grant or None
            None if no part of the share is local.
        """
        self._advance_team(team, now)
        share = self.teams.get(team)
        if share is None or not share.local_slots:
            return None
        lease_id = self._next_id("lease")
        rate, burst = share.bucket.rate, share.bucket.burst
        level = share.bucket.remove(rate=rate, burst=burst, now=now, with_tokens=True)
        share.lent[lease_id] = _LentShare(
            holder=holder, slots=share.local_slots, ends_at=self._lease_end(now)
        )
        share.local_slots = set()
        self._resize_bucket(share, now=now)
        return Grant(lease_id, rate, burst, level)

    def renew(self, team, lease_id, holder, *, now):
        """Renew a lease.

        Parameters
        ----------
        team : str
            Name of the team.
        lease_id : str
            Id of the lease.
        holder : str
            Instance and boot of the borrower.
        now : float
            The present time, in seconds.

        Returns
        -------
        Grant or None
            The present capacity of the lease, without tokens; None if the lease
            has expired or may not be renewed.
        """
        self._advance_team(team, now)
        share = self.teams.get(team)
        lent = share.lent.get(lease_id) if share else None
        if lent is None or lent.holder != holder or not lent.renewable:
            return None
        lent.ends_at = self._lease_end(now)
        rate, burst = self._capacity(share.limit, len(lent.slots))
        return Grant(lease_id, rate, burst, 0.0)

    def end_lease(self, team, lease_id, tokens, *, now):
        """End a lease whose share the borrower has returned.

        Parameters
        ----------
        team : str
            Name of the team.
        lease_id : str
            Id of the lease.
        tokens : float
            Tokens returned with it.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            False if the lease has expired; the tokens are lost then.
        """
        self._advance_team(team, now)
        share = self.teams.get(team)
        lent = share.lent.pop(lease_id, None) if share else None
        if lent is None:
            return False
        for slot in lent.slots:
            level = tokens / len(lent.slots)
            self._add_local_slot(team, slot, now=now, level=level)
        return True

    def draw(self, team, tokens, *, now):
        """Charge a request to the local part of a team's share.

        Parameters
        ----------
        team : str
            Name of the team.
        tokens : float
            Tokens of the request.
        now : float
            The present time, in seconds.

        Returns
        -------
        Receipt or None
            None if there are too few tokens.
        """
        self._advance_team(team, now)
        share = self.teams.get(team)
        return share.bucket.charge(tokens, now=now) if share else None

    def refund(self, team, receipt, tokens, *, now):
        """Put back what a request charged here did not use.

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
        self._advance_team(team, now)
        share = self.teams.get(team)
        return share.bucket.refund(receipt, tokens, now=now) if share else 0.0

    def advance(self, now):
        """Make the capacity of all expired leases local again.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        for team in self.teams:
            self._advance_team(team, now)

    def release_slot(self, slot, *, now):
        """Release a slot for good, with its tokens.

        Parameters
        ----------
        slot : str
            Id of the slot; none of its shares may be lent.
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to float
            Tokens by team, for the next owner.
        """
        assert not self.is_lent(slot), "a lent share cannot be released"
        balances = {}
        for team, share in self.teams.items():
            rate, burst = self._capacity(share.limit, 1)
            bucket = share.bucket
            balances[team] = bucket.remove(
                rate=rate, burst=burst, now=now, with_tokens=True
            )
        self._drop_slot(slot, now=now)
        return balances

    def is_lent(self, slot):
        """Return whether any team's share of a slot is lent.

        Parameters
        ----------
        slot : str
            Id of the slot.

        Returns
        -------
        bool
        """
        return any(
            slot in lent.slots
            for share in self.teams.values()
            for lent in share.lent.values()
        )

    def _advance_team(self, team, now):
        share = self.teams.get(team)
        if share is None:
            return
        ended = [key for key, lent in share.lent.items() if now >= lent.ends_at]
        for lease_id in ended:
            for slot in share.lent.pop(lease_id).slots:
                self._add_local_slot(team, slot, now=now, level=0.0)

    def _add_local_slot(self, team, slot, *, now, level):
        share = self.teams[team]
        rate, burst = self._capacity(share.limit, 1)
        if level is None:
            level = self._initial_level(team, slot, rate, burst, now)
        share.local_slots.add(slot)
        share.bucket.add(rate=rate, burst=burst, level=min(level, burst), now=now)
        self._resize_bucket(share, now=now)

    def _initial_level(self, team, slot, rate, burst, now):
        # Computed as if the team had existed since the slot's tokens began to accrue.
        slot_share = self.slots[slot]
        since = slot_share.since
        if since == float("-inf"):
            return burst
        return min(burst, slot_share.balances.get(team, 0.0) + rate * (now - since))

    def _drop_slot(self, slot, *, now):
        del self.slots[slot]
        for share in self.teams.values():
            share.local_slots.discard(slot)
            for lent in share.lent.values():
                if slot in lent.slots:
                    lent.slots.discard(slot)
                    lent.renewable = False
            self._resize_bucket(share, now=now)

    def _resize_bucket(self, share, *, now):
        rate, burst = self._capacity(share.limit, len(share.local_slots))
        share.bucket.set_limits(rate=rate, burst=burst, now=now)

    def _capacity(self, limit, slots):
        part = slots / self.total_slots
        return limit.rate * part, limit.burst * part

    def _lease_end(self, now):
        return now + self.lease * CLOCK_MARGIN

    def _next_id(self, kind):
        self.number += 1
        return f"{self.owner}/{kind}-{self.number}"
