"""Divide each team's limit among the instances by where its requests arrive.

Load pattern: one team sends many times its usual load, through whichever
instances its callers are connected to, while instances start, stop and are cut
off from the network.
"""

import bisect
import itertools
import math
from typing import NamedTuple

__all__ = ["DemandShares", "SlidingWindow", "TeamDemand", "TeamUsage", "WindowReceipt"]

# Fraction of a limit that is split evenly, so that an instance where a team's
# requests have not arrived before can admit some of them at once.
EVEN_FRACTION = 0.25
# Time constant of the decaying average of demand. Demand is published every half
# second, so the average covers a few reports.
DEMAND_TIME_CONSTANT_S = 2.0
# A restarted instance does not know what its previous run admitted. It starts as
# if this fraction of its share had been admitted, evenly over the window.
INITIAL_FILL = 0.6
# Fraction of the tolerated excess over a limit that is added to the shares. The
# rest covers requests admitted in advance, and shares that add up to more than
# the limit while instances have different views of the demand.
HEADROOM_FRACTION = 0.3
# Fraction of the tolerated excess up to which requests are admitted by shares once the
# others' reports are counted. The rest covers what they have admitted since.
KNOWN_USAGE_FRACTION = 0.7
# Bounds on the delay until the others know what one instance has admitted. It is
# measured from the ages of their reports; the interval between two reports of one
# instance grows with the fleet.
MIN_REPORT_LAG_S = 1.2
MAX_REPORT_LAG_S = 6.0
# A few reports may be late; the margin below covers them.
REPORT_LAG_QUANTILE = 0.9
# Factor by which demand may grow during that delay.
DEMAND_GROWTH_MARGIN = 1.5
# Times its even part of the room that an instance may admit within one delay of the
# reports. Where an even part holds less than some requests, few of the instances get
# any at one moment, and each of them may admit more.
MIN_ROOM_FACTOR = 1.7
MAX_ROOM_FACTOR = 4.0
# Network partitions last some seconds, and an instance behind one goes on admitting
# its share.
FORGET_SILENT_AFTER_S = 15.0
MIN_DEMAND = 1e-6
MIN_ALLOWED = 1.0
MIN_RETRY_AFTER_S = 0.05
# Retry delay of a request that was refused by the random draw.
RANDOM_REFUSAL_RETRY_S = 0.5


class TeamUsage(NamedTuple):
    """Usage of one team at one instance, as published to the other instances.

    Attributes
    ----------
    demand : float
        Units per second requested at that instance, admitted or not.
    admitted : float
        Units that it has admitted within the window.
    """

    demand: float
    admitted: float


NO_USAGE = TeamUsage(0.0, 0.0)


class TeamDemand:
    """Exponentially decaying average of the units that a team requests.

    Parameters
    ----------
    now : float
        The present time, in seconds.
    """

    def __init__(self, *, now):
        self.units = 0.0
        self.updated_at = now

    def add(self, units, now):
        """Count a request.

        Parameters
        ----------
        units : float
            Units of the request, admitted or not.
        now : float
            The present time, in seconds.
        """
        self._decay(now)
        self.units += units

    def rate(self, now):
        """Return the average demand.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Units per second.
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
        Number of the charge in its window.
    units : float
        Units that were charged.
    """

    number: int
    units: float


class _Charge(NamedTuple):
    at: float
    number: int
    units: float


class SlidingWindow:
    """Charges admitted within a sliding time window.

    Parameters
    ----------
    length : float
        Length of the window, in seconds.

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
        self.assumed_fraction = 0.0
        self.assumed_since = 0.0
        self._numbers = itertools.count(1)

    def assume(self, fraction, since):
        """Assume that an earlier run has used a part of what may be admitted.

        Parameters
        ----------
        fraction : float
            Part of the allowed units, admitted evenly over the window before.
        since : float
            When this run started to count, in seconds.
        """
        self.assumed_fraction = fraction
        self.assumed_since = since

    def assumed(self, allowed, now):
        """Return the units that are assumed to have been admitted by an earlier run.

        Parameters
        ----------
        allowed : float
            Units that may be admitted per window at present; while an instance
            learns of the others, its share shrinks, and what it assumes with it.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Units.
        """
        left = 1.0 - (now - self.assumed_since) / self.length
        return max(0.0, left) * self.assumed_fraction * allowed

    def admit(self, units, *, allowed, now, chance=0.0):
        """Charge a request, if there is room.

        A request that is larger than the remaining room is admitted at random,
        with a probability of room over size. This keeps small requests from
        starving large ones, and keeps the total over many windows within what they
        allow together. The part of a request that exceeds a whole window is
        charged to the windows that follow.

        Parameters
        ----------
        units : float
            Units of the request.
        allowed : float
            Units that may be admitted per window.
        now : float
            The present time, in seconds.
        chance : float
            A random number from 0 to 1.

        Returns
        -------
        WindowReceipt or float
            Proof of the charge; or the seconds after which to retry.
        """
        self._expire(now)
        assumed = self.assumed(allowed, now)
        room = allowed - self.total - assumed
        if room > 0.0 and chance * units <= room:
            return self._charge(units, allowed, now)
        if room > 0.0:
            return RANDOM_REFUSAL_RETRY_S
        left = self.total + assumed
        if assumed > 0.0:
            # What is assumed ends evenly.
            per_s = self.assumed_fraction * allowed / self.length
            return min(self.length, (left - allowed) / per_s + MIN_RETRY_AFTER_S)
        for charge in self.charges:
            left -= charge.units
            if left < allowed:
                return charge.at + self.length - now
        return self.length

    def admitted(self, now):
        """Return the units admitted within the window.

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
        """Return the units admitted since a point in time.

        Parameters
        ----------
        since : float
            The point in time, in seconds.

        Returns
        -------
        float
            Units.
        """
        first = bisect.bisect_left(self.charges, since, key=lambda each: each.at)
        return sum(each.units for each in self.charges[first:])

    def refund(self, receipt):
        """Remove a charge.

        Parameters
        ----------
        receipt : WindowReceipt
            Receipt of the charge.
        """
        kept = [each for each in self.charges if each.number != receipt.number]
        self.total -= sum(c.units for c in self.charges) - sum(c.units for c in kept)
        self.charges = kept

    def charge(self, units, *, allowed, now):
        """Charge a request without regard to the room.

        Parameters
        ----------
        units : float
            Units of the request.
        allowed : float
            Units of a whole window; what exceeds them is charged to later ones.
        now : float
            The present time, in seconds.

        Returns
        -------
        WindowReceipt
        """
        self._expire(now)
        return self._charge(units, allowed, now)

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
    """Shares of the teams' limits that this instance may admit.

    In any window a team may use ``rate * window + burst`` units over all
    instances. Each instance admits a share of that in proportion to its part of
    the demand that all instances publish. A silent instance keeps its part until
    it is forgotten, since it may go on serving while it is cut off.

    Parameters
    ----------
    own : str
        Id of this instance.
    random : random.Random
        Source of randomness for requests that fit only in part.
    slack : float
        Units that the deployment tolerates beyond a limit.
    window : float
        Length of the window, in seconds, over which the deployment measures
        usage.

    Attributes
    ----------
    demands : dict of str to TeamDemand
        Demand at this instance, by team.
    reported : dict of str to TeamUsage
        Last published usage at this instance, by team.
    received : dict of str to dict of str to TeamUsage
        Last usage received from the other instances, by instance and team.
    silent : set of str
        Instances from which no messages arrive at present.
    windows : dict of str to SlidingWindow
        Admitted charges of this instance, by team.
    allowances : dict of str to float
        Units per window that this instance's share allowed when the team last sent a
        request, by team.
    """

    def __init__(self, *, own, random, slack, window):
        self.own = own
        self.random = random
        self.slack = slack
        self.window = window
        self.demands = {}
        self.reported = {}
        self.received = {}
        self.received_at = {}
        self.silent = set()
        self.silent_since = {}
        self.windows = {}
        self.allowances = {}

    def receive(self, instance, reported, now):
        """Store the usage that another instance has published.

        Parameters
        ----------
        instance : str
            Id of the sender.
        reported : dict of str to TeamUsage
            Usage by team.
        now : float
            The present time, in seconds.
        """
        self.received[instance] = reported
        self.received_at[instance] = now

    def note_heard(self, heard, now):
        """Record which instances are heard; forget those silent for long.

        Parameters
        ----------
        heard : set of str
            The instances from which messages arrive.
        now : float
            The present time, in seconds.
        """
        self.silent = set(self.received) - heard
        for instance in list(self.received):
            if instance in heard:
                self.silent_since.pop(instance, None)
                continue
            since = self.silent_since.setdefault(instance, now)
            if now - since > FORGET_SILENT_AFTER_S:
                self.forget(instance)
                del self.silent_since[instance]

    def forget(self, instance):
        """Drop an instance that can't serve any more.

        Parameters
        ----------
        instance : str
            Id of the instance.
        """
        self.received.pop(instance, None)
        self.received_at.pop(instance, None)

    def drop(self, team):
        """Drop what is known of the usage of a team here.

        Parameters
        ----------
        team : str
            Name of the team.
        """
        self.demands.pop(team, None)
        self.windows.pop(team, None)
        self.allowances.pop(team, None)

    def report(self, now):
        """Return the usage to publish, and remember it for `share`.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to TeamUsage
            Usage by team.
        """
        self.reported = {
            team: TeamUsage(demand.rate(now), self._admitted(team, now))
            for team, demand in self.demands.items()
        }
        return self.reported

    def share(self, team, instances, now):
        """Return this instance's share of a team's limit.

        Parameters
        ----------
        team : str
            Name of the team.
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
        # The shares add up only if all instances compute with the same numbers, so
        # this uses the demand published last, not the present one.
        own_demand = self.reported.get(team, NO_USAGE).demand + MIN_DEMAND
        other_demand = sum(
            reported.get(team, NO_USAGE).demand + MIN_DEMAND
            for reported in self.received.values()
        )
        unreported = max(0, instances - 1 - len(self.received))
        # Instances that have not published yet are assumed to have the same demand
        # as this one.
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
            Units of the request.
        instances : int
            Instances that may serve, this one included.
        now : float
            The present time, in seconds.

        Returns
        -------
        WindowReceipt or float
            Proof of the charge; or the seconds after which to retry.
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
            window.assume(INITIAL_FILL, now)
        self.allowances[team.name] = allowed
        if self._has_room(team.name, units, fleet_allowed, instances, now):
            return window.charge(units, allowed=fleet_allowed, now=now)
        most = fleet_allowed + (KNOWN_USAGE_FRACTION - HEADROOM_FRACTION) * self.slack
        if self.slack and self.admitted_by_all(team.name, now) + units > most:
            # Callers have moved, or a surge was admitted before it was reported.
            return RANDOM_REFUSAL_RETRY_S
        chance = self.random.random()
        return window.admit(units, allowed=allowed, now=now, chance=chance)

    def _has_room(self, team, units, fleet_allowed, instances, now):
        """Return whether the team is far below its limit over all instances.

        With many instances a share is small compared to a single request. While
        the team is far below its limit, no instance has to keep to its share: what
        they may admit before their next reports arrive still fits.
        """
        demand = self.demands[team].rate(now)
        lag = self._report_lag(team, now)
        room = fleet_allowed - self._admitted(team, now)
        unreported = max(0, instances - 1 - len(self.received))
        room -= fleet_allowed * unreported / max(1, instances)
        for instance, reported in self.received.items():
            usage = reported.get(team, NO_USAGE)
            demand += usage.demand
            admitted = usage.admitted
            if instance in self.silent:
                # If it is cut off, it may have used up its whole share since.
                admitted = max(admitted, fleet_allowed / max(1, instances))
            room -= admitted
        if room <= units + DEMAND_GROWTH_MARGIN * demand * lag:
            return False
        # A surge reaches all instances before any of them reports it, so each admits
        # about its part of what is left until the others' reports would show it.
        recent = self.windows[team].admitted_since(now - lag)
        part = room / max(1, instances)
        requests_per_part = fleet_allowed / max(1, instances) / max(1.0, units)
        factor = MAX_ROOM_FACTOR / requests_per_part
        factor = max(MIN_ROOM_FACTOR, min(MAX_ROOM_FACTOR, factor))
        return recent + self.random.random() * units < factor * part

    def admitted_by_all(self, team, now):
        """Return what all instances are known to have admitted within the window.

        Parameters
        ----------
        team : str
            Name of the team.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Units. What an instance reported leaves the window evenly.
        """
        total = self._admitted(team, now) if team in self.windows else 0.0
        for instance, reported in self.received.items():
            age = now - self.received_at[instance]
            left = max(0.0, 1.0 - age / self.window)
            total += left * reported.get(team, NO_USAGE).admitted
        return total

    def _admitted(self, team, now):
        window = self.windows[team]
        assumed = window.assumed(self.allowances[team], now)
        return window.admitted(now) + assumed

    def _report_lag(self, team, now):
        """Return the delay until other instances know what this one admits.

        Reports travel alike in both directions, so the age of the others' reports
        shows it. Only instances with usage of the team report changes of it.
        """
        ages = sorted(
            now - self.received_at[instance]
            for instance, reported in self.received.items()
            if instance not in self.silent and reported.get(team, NO_USAGE) != NO_USAGE
        )
        if not ages:
            return MIN_REPORT_LAG_S
        oldest = ages[int(REPORT_LAG_QUANTILE * (len(ages) - 1))]
        return min(MAX_REPORT_LAG_S, max(MIN_REPORT_LAG_S, oldest))

    def refund(self, team, receipt):
        """Remove the charge of a request that has not run.

        Parameters
        ----------
        team : str
            Name of the team.
        receipt : WindowReceipt
            Receipt of the charge.
        """
        window = self.windows.get(team)
        if window is not None:
            window.refund(receipt)
