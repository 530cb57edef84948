"""Decides when this instance claims or releases the stewardship of a target."""

from typing import NamedTuple

from skylarkpost.placement.rendezvous import rendezvous_order

__all__ = ["ClaimTarget", "Election", "Peer", "ReleaseTarget"]


class Peer(NamedTuple):
    """A live instance, from the view of this one.

    Attributes
    ----------
    instance, boot : str
        The instance, and the boot id of its process.
    data_centre : str
        Its data centre.
    leaving : bool
        Whether it is shutting down.
    """

    instance: str
    boot: str
    data_centre: str
    leaving: bool


class ClaimTarget(NamedTuple):
    """Decision to append a claim.

    Attributes
    ----------
    target : str
        The target.
    full_powers : bool
        Whether the steward may evict.
    """

    target: str
    full_powers: bool


class ReleaseTarget(NamedTuple):
    """Decision to hand over the stewardship and append a release.

    Attributes
    ----------
    target : str
        The target.
    number : int
        Number of the claim to release.
    """

    target: str
    number: int


class Election:
    """Selects the targets that this instance should claim or release.

    Instances of the target's data centre come first, ordered by rendezvous
    hashing. A working steward is never replaced by a higher-ranked one of the
    same data centre.

    Parameters
    ----------
    own : Peer
        This instance.
    silence : float
        Seconds without a live steward after which it is replaced.
    rank_delay : float
        Additional delay per rank of a candidate, in seconds.
    """

    def __init__(self, *, own, silence, rank_delay):
        self.own = own
        self.silence = silence
        self.rank_delay = rank_delay
        self.vacant_since = {}
        self.claimed_at = {}
        self.invalidated = {}

    def invalidate(self, claim):
        """Treat a claim as ended because its target has received a newer number.

        Parameters
        ----------
        claim : Claim
            The claim of this instance.
        """
        self.invalidated[claim.target] = claim.number

    def decide(self, targets, table, peers, now):
        """Return the claims and releases to append.

        Parameters
        ----------
        targets : list of skylarkpost.config.Target
            The engines.
        table : StewardshipTable
            Claims on the log.
        peers : list of Peer
            Live instances, including this one.
        now : float
            Current time, in seconds.

        Returns
        -------
        list of ClaimTarget or ReleaseTarget
        """
        decisions = []
        for target in targets:
            decision = self._decide_one(target, table, peers, now)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def is_own(self, claim):
        """Return whether a claim was made by this boot of this instance.

        Parameters
        ----------
        claim : Claim or None
            The claim.

        Returns
        -------
        bool
        """
        if claim is None or claim.released:
            return False
        return (claim.instance, claim.boot) == (self.own.instance, self.own.boot)

    def _decide_one(self, target, table, peers, now):
        available = [peer for peer in peers if not peer.leaving]
        local = [p for p in available if p.data_centre == target.data_centre]
        full_powers = bool(local) or target.fencing
        claim = table.full.get(target.name)
        limited = table.limited.get(target.name)
        if local and self.is_own(limited):
            return ReleaseTarget(target.name, limited.number)
        holder = claim if full_powers else limited
        if self._is_held(holder, peers):
            self.vacant_since.pop(target.name, None)
            is_remote = holder.data_centre != target.data_centre
            if self.is_own(holder) and is_remote and local:
                return ReleaseTarget(target.name, holder.number)
            return None
        return self._claim_vacant(target, holder, local or available, full_powers, now)

    def _is_held(self, claim, peers):
        if claim is None or claim.released:
            return False
        if self.invalidated.get(claim.target) == claim.number:
            return False
        return any((claim.instance, claim.boot) == (p.instance, p.boot) for p in peers)

    def _claim_vacant(self, target, holder, candidates, full_powers, now):
        since = self.vacant_since.setdefault(target.name, now)
        order = rendezvous_order(target.name, [p.instance for p in candidates])
        if self.own.instance not in order:
            return None
        delay = order.index(self.own.instance) * self.rank_delay
        if holder is not None and not holder.released:
            delay += self.silence
        if now - since < delay:
            return None
        claimed_at = self.claimed_at.get(target.name)
        if claimed_at is not None and now - claimed_at < self.silence:
            return None
        self.claimed_at[target.name] = now
        return ClaimTarget(target.name, full_powers)
