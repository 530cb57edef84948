"""Shares of a team's limit that follow where its requests arrive.

Load pattern: one team sends many times its usual, through whichever instances
its callers are connected to, while instances come, go and are cut off.
"""

import math

from skylarkpost.limits.bucket import TokenBucket

__all__ = ["DemandShares", "TeamDemand"]

# Part of a limit that is split evenly, so that a team whose requests turn up
# at another instance gets some in at once.
EVEN_PART = 0.25
# Demand is told to the others every half second; its average spans a few of
# these.
DEMAND_TIME_S = 2.0
# A team's bucket starts half full: a restarted instance must not bring all of
# its headroom with it.
FIRST_LEVEL = 0.5
# Part of what the deployment tolerates beyond a limit that the buckets may
# hold; the rest is for requests admitted in advance and for shares that do not
# agree for a moment.
HEADROOM_PART = 0.5
LEAST_DEMAND = 1e-6


class TeamDemand:
    """Decaying average of what a team asks for.

    Parameters
    ----------
    now : float
        The present time, in seconds.
    """

    def __init__(self, *, now):
        self.units = 0.0
        self.updated_at = now

    def add(self, units, now):
        """Count what was asked for.

        Parameters
        ----------
        units : float
            Admitted or not.
        now : float
            The present time, in seconds.
        """
        self._decay(now)
        self.units += units

    def rate(self, now):
        """Return the average.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Units a second.
        """
        self._decay(now)
        return self.units / DEMAND_TIME_S

    def _decay(self, now):
        elapsed = max(0.0, now - self.updated_at)
        self.units *= math.exp(-elapsed / DEMAND_TIME_S)
        self.updated_at = max(now, self.updated_at)


class DemandShares:
    """Parts of the teams' limits that one instance admits.

    Each instance admits by a bucket of its own, whose rate and burst are a
    share of the team's. The share follows the instance's part of the demand
    that all instances tell each other. One that fell silent keeps its part
    until it is forgotten, since it may serve on behind a cut.

    Parameters
    ----------
    own : str
        This instance.
    slack : float
        Units that the deployment tolerates beyond a limit.
    window : float
        Seconds over which the deployment counts: a team may have its rate for
        so long, and its burst, in any span of that length.

    Attributes
    ----------
    demands : dict of str to TeamDemand
        Of this instance, by team.
    heard : dict of str to dict of str to float
        Units a second by team, by instance.
    """

    def __init__(self, *, own, slack, window):
        self.own = own
        self.slack = slack
        self.window = window
        self.demands = {}
        self.heard = {}
        self.buckets = {}

    def hear(self, instance, demands):
        """Take in the demand at another instance.

        Parameters
        ----------
        instance : str
            The instance.
        demands : dict of str to float
            Units a second by team.
        """
        self.heard[instance] = demands

    def forget(self, instance):
        """Drop an instance that can't serve any more.

        Parameters
        ----------
        instance : str
            The instance.
        """
        self.heard.pop(instance, None)

    def own_demands(self, now):
        """Return what the other instances are told.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to float
            Units a second by team.
        """
        return {team: demand.rate(now) for team, demand in self.demands.items()}

    def share(self, team, instances, now):
        """Return this instance's part of a team's limit.

        Parameters
        ----------
        team : str
            The team.
        instances : int
            Instances that may serve, this one included.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            From 0 to 1. The shares of all instances add up to at most one, as
            far as they agree on the demand.
        """
        own = self.demands.get(team)
        mine = LEAST_DEMAND if own is None else own.rate(now) + LEAST_DEMAND
        others = sum(
            demands.get(team, 0.0) + LEAST_DEMAND for demands in self.heard.values()
        )
        unheard = max(0, instances - 1 - len(self.heard))
        # Instances that have not told their demand count as this one does.
        total = mine + others + unheard * mine
        return EVEN_PART / max(1, instances) + (1.0 - EVEN_PART) * mine / total

    def admit(self, team, units, *, instances, now):
        """Charge a request to its team.

        Parameters
        ----------
        team : skylarkpost.routing.GatewayTeam
            The team, with its limit.
        units : float
            What the request counts.
        instances : int
            Instances that may serve, this one included.
        now : float
            The present time, in seconds.

        Returns
        -------
        Receipt or float
            Proof of the charge; or the seconds until it would have succeeded.
        """
        demand = self.demands.setdefault(team.name, TeamDemand(now=now))
        demand.add(units, now)
        bucket = self._bucket(team, instances, now)
        receipt = bucket.charge(units, now=now, in_advance=True)
        if receipt is not None:
            return receipt
        wait = bucket.seconds_until(units, now=now, in_advance=True)
        return math.inf if wait is None else wait

    def refund(self, team, receipt, now):
        """Take back the charge of a request that has not run.

        Parameters
        ----------
        team : str
            The team.
        receipt : Receipt
            Of the charge.
        now : float
            The present time, in seconds.
        """
        bucket = self.buckets.get(team)
        if bucket is not None:
            bucket.refund(receipt, receipt.tokens, now=now)

    def _bucket(self, team, instances, now):
        share = self.share(team.name, instances, now)
        # Over any window, rate and burst of the buckets add up to what the
        # limit allows in it and the headroom.
        headroom = HEADROOM_PART * self.slack / max(1, instances)
        rate = share * (team.rate + team.burst / self.window)
        burst = max(1.0, headroom)
        bucket = self.buckets.get(team.name)
        if bucket is None:
            bucket = TokenBucket(
                bucket_id=f"{self.own}/{team.name}",
                now=now,
                rate=rate,
                burst=burst,
                level=FIRST_LEVEL * burst,
            )
            self.buckets[team.name] = bucket
        elif (rate, burst) != (bucket.rate, bucket.burst):
            bucket.set_limits(rate=rate, burst=burst, now=now)
        return bucket
