"""Token pools of teams, made of the shares borrowed from all slot owners."""

from dataclasses import dataclass, field
from typing import NamedTuple

from skylarkpost.limits.bucket import Receipt, TokenBucket

__all__ = ["DrawAnswer", "DrawGranted", "DrawRefused", "NoShares", "PoolHolder"]


@dataclass(frozen=True, kw_only=True)
class DrawGranted:
    """The request was charged to the pool.

    Parameters
    ----------
    receipt : Receipt
        Receipt of the charge, for a later refund.
    """

    receipt: Receipt


@dataclass(frozen=True, kw_only=True)
class DrawRefused:
    """The pool has too few tokens for the request.

    Parameters
    ----------
    retry_after : float or None
        Seconds after which there can be enough; None if the pool never holds
        that many.
    within_rate : bool
        Whether the team is within its limit, so that the request would have been
        admitted if all of the team's shares were in this pool.
    """

    retry_after: float | None
    within_rate: bool = False


@dataclass(frozen=True, kw_only=True)
class NoShares:
    """The instance that received the draw holds no share of the team."""


DrawAnswer = DrawGranted | DrawRefused | NoShares


class PoolLease(NamedTuple):
    """Lease on one share in a pool.

    Attributes
    ----------
    lender : str
        Instance that owns the share.
    rate, burst : float
        Capacity of the share, in tokens per second and tokens.
    ends_at : float
        Time from which the share may no longer be used, in seconds.
    joined_at : float
        Time at which it was added to the pool, in seconds.
    """

    lender: str
    rate: float
    burst: float
    ends_at: float
    joined_at: float


@dataclass(kw_only=True)
class _Pool:
    bucket: TokenBucket
    leases: dict = field(default_factory=dict)


class PoolHolder:
    """Serves draws from the shares that slot owners have lent to this instance.

    Parameters
    ----------
    holder : str
        Instance and boot, as a prefix of bucket ids.
    lease : float
        Seconds for which a share may be used, counted from its request.
    """

    def __init__(self, *, holder, lease):
        self.holder = holder
        self.lease = lease
        self.pools = {}
        self.number = 0

    def add_lease(self, team, lender, grant, *, requested_at, now):
        """Add a borrowed share to the team's pool.

        Parameters
        ----------
        team : str
            Name of the team.
        lender : str
            Instance that lent it.
        grant : Grant
            The share.
        requested_at : float
            When it was requested, in seconds.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            False if the lease has already expired or the pool has the share.
        """
        self.advance(team, now=now)
        ends_at = requested_at + self.lease
        if now >= ends_at:
            return False
        pool = self.pools.get(team)
        if pool is None:
            pool = self.pools[team] = self._new_pool(now)
        if grant.lease_id in pool.leases:
            return False
        pool.bucket.add(rate=grant.rate, burst=grant.burst, level=grant.level, now=now)
        lease = PoolLease(lender, grant.rate, grant.burst, ends_at, now)
        pool.leases[grant.lease_id] = lease
        return True

    def renewed(self, team, grant, *, requested_at, now):
        """Extend a lease, possibly with a changed capacity.

        Parameters
        ----------
        team : str
            Name of the team.
        grant : Grant
            The capacity from now on, without tokens.
        requested_at : float
            When the renewal was requested, in seconds.
        now : float
            The present time, in seconds.
        """
        self.advance(team, now=now)
        pool = self.pools.get(team)
        lease = pool.leases.get(grant.lease_id) if pool else None
        if lease is None:
            return
        ends_at = max(lease.ends_at, requested_at + self.lease)
        pool.leases[grant.lease_id] = lease._replace(
            rate=grant.rate, burst=grant.burst, ends_at=ends_at
        )
        if (lease.rate, lease.burst) != (grant.rate, grant.burst):
            self._resize_bucket(pool, now=now)

    def return_lease(self, team, lease_id, *, now):
        """Remove a share from the pool, to return it to its owner.

        Parameters
        ----------
        team : str
            Name of the team.
        lease_id : str
            Id of the lease.
        now : float
            The present time, in seconds.

        Returns
        -------
        float or None
            Tokens to return with it; None if the lease has expired.
        """
        self.advance(team, now=now)
        pool = self.pools.get(team)
        lease = pool.leases.pop(lease_id, None) if pool else None
        if lease is None:
            return None
        tokens = pool.bucket.remove(
            rate=lease.rate, burst=lease.burst, now=now, with_tokens=True
        )
        self._resize_bucket(pool, now=now)
        return tokens

    def draw(self, team, tokens, *, now):
        """Charge one request to a team's pool.

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
        self.advance(team, now=now)
        pool = self.pools.get(team)
        if pool is None or not pool.leases:
            return NoShares()
        receipt = pool.bucket.charge(tokens, now=now)
        if receipt is not None:
            return DrawGranted(receipt=receipt)
        retry_after = pool.bucket.seconds_until(tokens, now=now)
        return DrawRefused(retry_after=retry_after)

    def refund(self, team, receipt, tokens, *, now):
        """Put back what a request did not use.

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
            Tokens put back; 0 if the pool has lost all its shares since the
            charge.
        """
        self.advance(team, now=now)
        pool = self.pools.get(team)
        return pool.bucket.refund(receipt, tokens, now=now) if pool else 0.0

    def leases_from(self, lender):
        """Return the leases on shares of one owner.

        Parameters
        ----------
        lender : str
            The owner.

        Returns
        -------
        list of (str, str)
            Team and lease id.
        """
        return [
            (team, lease_id)
            for team, pool in self.pools.items()
            for lease_id, lease in pool.leases.items()
            if lease.lender == lender
        ]

    def leases_of(self, team):
        """Return the shares in a team's pool.

        Parameters
        ----------
        team : str
            Name of the team.

        Returns
        -------
        dict of str to PoolLease
            By lease id.
        """
        pool = self.pools.get(team)
        return dict(pool.leases) if pool else {}

    def advance(self, team, *, now):
        """Remove a team's expired leases, each as of the end of its lease.

        Parameters
        ----------
        team : str
            Name of the team.
        now : float
            The present time, in seconds.
        """
        pool = self.pools.get(team)
        if pool is None:
            return
        ended = [key for key, lease in pool.leases.items() if now >= lease.ends_at]
        for lease_id in sorted(ended, key=lambda key: pool.leases[key].ends_at):
            lease = pool.leases.pop(lease_id)
            # Tokens accrue at this share's rate only up to the end of its lease.
            self._resize_bucket(pool, now=lease.ends_at)
        pool.bucket.advance(now)

    def _resize_bucket(self, pool, *, now):
        rate = sum(lease.rate for lease in pool.leases.values())
        burst = sum(lease.burst for lease in pool.leases.values())
        pool.bucket.set_limits(rate=rate, burst=burst, now=now)

    def _new_pool(self, now):
        self.number += 1
        return _Pool(
            bucket=TokenBucket(bucket_id=f"{self.holder}/pool-{self.number}", now=now)
        )
