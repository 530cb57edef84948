"""Shares of a team's limit that follow where its requests arrive.

Load pattern: one team sends many times its usual, through whichever instances
its callers are connected to, while instances come, go and are cut off.
"""

import bisect
import itertools
import math
from typing import NamedTuple

__all__ = ["DemandShares", "SlidingWindow", "TeamDemand", "TeamUsage", "WindowReceipt"]

# Part of a limit that is split evenly, so that a team whose requests turn up
# at another instance gets some in at once.
EVEN_FRACTION = 0.25
# Demand is told to the others every half second; its average spans a few of
# these.
DEMAND_TIME_CONSTANT_S = 2.0
# A restarted instance does not know what it has admitted. It begins as if it
# had admitted this part of its share, evenly over the window.
INITIAL_FILL = 0.6
FILL_STEPS = 8
# Part of what the deployment tolerates beyond a limit that is given out; the
# rest is for requests admitted in advance and for shares that do not agree for
# a moment.
HEADROOM_FRACTION = 0.3
# Until what one instance admits has reached the others: two heartbeats.
REPORT_LAG_S = 1.2
# Demand may rise by so much meanwhile.
DEMAND_GROWTH_MARGIN = 1.5
MIN_DEMAND = 1e-6
MIN_ALLOWED = 1.0
# Before a request that chance has refused has another.
RANDOM_REFUSAL_RETRY_S = 0.5


class TeamUsage(NamedTuple):
    """What an instance tells the others of one team.

    Attributes
    ----------
    demand : float
        Units a second that were asked for there.
    admitted : float
        Units that it has admitted within the window.
    """

    demand: float
    admitted: float


NO_USAGE = TeamUsage(0.0, 0.0)


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
        return self.units / DEMAND_TIME_CONSTANT_S

    def _decay(self, now):
        elapsed = max(0.0, now - self.updated_at)
        self.units *= math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
        self.updated_at = max(now, self.updated_at)


class WindowReceipt(NamedTuple):
    """Proof of one charge, for a later refund.

    Attributes
    ----------
    number : int
        Of the charge.
    units : float
        What was charged.
    """

    number: int
    units: float


class _Charge(NamedTuple):
    at: float
    number: int
    units: float


class SlidingWindow:
    """What was admitted within the last seconds.

    Parameters
    ----------
    length : float
        Of the window, in seconds.

    Examples
    --------
    >>> window = SlidingWindow(length=8.0)
    >>> window.admit(50.0, allowed=60.0, now=0.0)
    WindowReceipt(number=1, units=50.0)
    >>> window.admit(50.0, allowed=60.0, now=1.0)
    WindowReceipt(number=2, units=50.0)
    >>> window.admit(1.0, allowed=60.0, now=2.0)
    6.0
    """

    def __init__(self, *, length):
        self.length = length
        self.charges = []
        self.total = 0.0
        self._numbers = itertools.count(1)

    def fill(self, units, now):
        """Count units as admitted evenly over the window so far.

        Parameters
        ----------
        units : float
            All of them.
        now : float
            The present time, in seconds.
        """
        step = self.length / FILL_STEPS
        for number in range(1, FILL_STEPS + 1):
            self._add(now - number * step, 0, units / FILL_STEPS)

    def admit(self, units, *, allowed, now, chance=0.0):
        """Charge a request, if there is room.

        A request that is larger than the room is admitted by chance, in
        proportion: large ones do not starve behind small ones, and many windows
        together hold no more than they should. What is larger than a whole
        window counts in those that follow.

        Parameters
        ----------
        units : float
            What the request counts.
        allowed : float
            Units in the window.
        now : float
            The present time, in seconds.
        chance : float
            A random number from 0 to 1.

        Returns
        -------
        WindowReceipt or float
            Proof of the charge; or the seconds until there is room.
        """
        self._expire(now)
        room = allowed - self.total
        if room > 0.0 and chance * units <= room:
            return self._charge(units, allowed, now)
        if room > 0.0:
            return RANDOM_REFUSAL_RETRY_S
        left = self.total
        for charge in self.charges:
            left -= charge.units
            if left < allowed:
                return charge.at + self.length - now
        return self.length

    def admitted(self, now):
        """Return what was admitted within the window.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Units.
        """
        self._expire(now)
        return self.total

    def admitted_since(self, since):
        """Return what was admitted from a moment on.

        Parameters
        ----------
        since : float
            The moment, in seconds.

        Returns
        -------
        float
            Units.
        """
        first = bisect.bisect_left(self.charges, since, key=lambda each: each.at)
        return sum(each.units for each in self.charges[first:])

    def refund(self, receipt):
        """Take back a charge.

        Parameters
        ----------
        receipt : WindowReceipt
            Of the charge.
        """
        kept = [each for each in self.charges if each.number != receipt.number]
        self.total -= sum(c.units for c in self.charges) - sum(c.units for c in kept)
        self.charges = kept

    def _charge(self, units, allowed, now):
        number = next(self._numbers)
        at, left = now, units
        while left > 0.0:
            part = min(left, allowed)
            self._add(at, number, part)
            left -= part
            at += self.length
        return WindowReceipt(number, units)

    def _add(self, at, number, units):
        bisect.insort(self.charges, _Charge(at, number, units))
        self.total += units

    def _expire(self, now):
        due = bisect.bisect_right(
            self.charges, now - self.length, key=lambda each: each.at
        )
        self.total -= sum(each.units for each in self.charges[:due])
        del self.charges[:due]
        if not self.charges:
            self.total = 0.0


class DemandShares:
    """Parts of the teams' limits that one instance admits.

    Each instance admits a share of what the team may have in a window: its rate
    for so long, and its burst. The share follows the instance's part of the demand
    that all instances tell each other. One that fell silent keeps its part
    until it is forgotten, since it may serve on behind a cut.

    Parameters
    ----------
    own : str
        This instance.
    random : random.Random
        Decides about requests that fit in part.
    slack : float
        Units that the deployment tolerates beyond a limit.
    window : float
        Seconds over which the deployment counts: a team may have its rate for
        so long, and its burst, in any span of that length.

    Attributes
    ----------
    demands : dict of str to TeamDemand
        Of this instance, by team.
    received : dict of str to dict of str to TeamUsage
        What the others have told, by instance and team.
    silent : set of str
        Instances that are not heard at present.
    """

    def __init__(self, *, own, random, slack, window):
        self.own = own
        self.random = random
        self.slack = slack
        self.window = window
        self.demands = {}
        self.reported = {}
        self.received = {}
        self.silent = set()
        self.windows = {}

    def receive(self, instance, reported):
        """Take in what another instance tells.

        Parameters
        ----------
        instance : str
            The instance.
        reported : dict of str to TeamUsage
            By team.
        """
        self.received[instance] = reported

    def forget(self, instance):
        """Drop an instance that can't serve any more.

        Parameters
        ----------
        instance : str
            The instance.
        """
        self.received.pop(instance, None)

    def report(self, now):
        """Return what the other instances are told.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to TeamUsage
            By team.
        """
        self.reported = {
            team: TeamUsage(demand.rate(now), self.windows[team].admitted(now))
            for team, demand in self.demands.items()
        }
        return self.reported

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
        # The shares add up only if all reckon with the same figures: what this
        # instance has told, not what it knows by now.
        own_demand = self.reported.get(team, NO_USAGE).demand + MIN_DEMAND
        other_demand = sum(
            reported.get(team, NO_USAGE).demand + MIN_DEMAND
            for reported in self.received.values()
        )
        unreported = max(0, instances - 1 - len(self.received))
        # Instances that have not told their demand count as this one does.
        total = own_demand + other_demand + unreported * own_demand
        return (
            EVEN_FRACTION / max(1, instances)
            + (1.0 - EVEN_FRACTION) * own_demand / total
        )

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
        WindowReceipt or float
            Proof of the charge; or the seconds until it would have succeeded.
        """
        demand = self.demands.setdefault(team.name, TeamDemand(now=now))
        demand.add(units, now)
        fleet_allowed = (
            team.rate * self.window + team.burst + HEADROOM_FRACTION * self.slack
        )
        allowed = max(
            MIN_ALLOWED, fleet_allowed * self.share(team.name, instances, now)
        )
        window = self.windows.get(team.name)
        if window is None:
            window = self.windows[team.name] = SlidingWindow(length=self.window)
            window.fill(INITIAL_FILL * allowed, now)
        if self._has_room(team.name, units, fleet_allowed, instances, now):
            allowed = math.inf
        chance = self.random.random()
        return window.admit(units, allowed=allowed, now=now, chance=chance)

    def _has_room(self, team, units, fleet_allowed, instances, now):
        """Return whether the team is far from its limit over all instances.

        Shares of many instances are small against single requests. Where all of
        them together are far from the limit, none has to keep to its share: what
        they may admit before they hear of each other still fits.
        """
        demand = self.demands[team].rate(now)
        room = fleet_allowed - self.windows[team].admitted(now)
        unreported = max(0, instances - 1 - len(self.received))
        room -= fleet_allowed * unreported / max(1, instances)
        for instance, reported in self.received.items():
            usage = reported.get(team, NO_USAGE)
            demand += usage.demand
            admitted = usage.admitted
            if instance in self.silent:
                # Behind a cut it may have used all of its share since.
                admitted = max(admitted, fleet_allowed / max(1, instances))
            room -= admitted
        if room <= units + DEMAND_GROWTH_MARGIN * demand * REPORT_LAG_S:
            return False
        recent = self.windows[team].admitted_since(now - REPORT_LAG_S)
        return recent < room / max(1, instances)

    def refund(self, team, receipt):
        """Take back the charge of a request that has not run.

        Parameters
        ----------
        team : str
            The team.
        receipt : WindowReceipt
            Of the charge.
        """
        window = self.windows.get(team)
        if window is not None:
            window.refund(receipt)
