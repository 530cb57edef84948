"""Divide each team's limit among the instances by where its requests arrive.

Load pattern: one team sends many times its usual load, through whichever
instances its callers are connected to, while instances start, stop and are cut
off from the network.
"""

import bisect
import itertools
import math
from collections import deque
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
# Fraction of the tolerated excess over a limit up to which all instances admit
# requests, as far as they know. The rest covers what they don't know.
HEADROOM_FRACTION = 0.15
# Fraction of the tolerated excess that the instances may use before their reports.
UNREPORTED_FRACTION = 0.4
# Bounds on the delay until the others know what one instance has admitted. It is
# measured from the ages of their reports; the interval between two reports of one
# instance grows with the fleet.
MIN_REPORT_LAG_S = 1.2
MAX_REPORT_LAG_S = 6.0
# A few reports may be late; the margin below covers them.
REPORT_LAG_QUANTILE = 0.9
# Factor by which demand may grow during that delay.
DEMAND_GROWTH_MARGIN = 2.5
# Where an even part of the limit holds fewer of a team's largest requests than this,
# requests are rare at each instance.
REQUESTS_PER_PART = 4.0
# Times its even part of the free units that an instance may then admit within one
# delay of the reports.
MAX_ROOM_FACTOR = 4.0
# Part of the free units that instances divide by their present demand, which the
# others do not know yet.
PRESENT_SHARE_FRACTION = 0.25
# Decay of a team's largest request, with each request.
LARGEST_DECAY = 0.99
# Charges of a run that has ended are told in steps of this length.
CHARGE_STEP_S = 0.5
# What is known of the others is summed up at most this often for a team.
SUMMARY_LIFE_S = 0.05
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
    total : float
        Units that it has admitted since it started, and what it knows of before.
    """

    demand: float
    admitted: float
    total: float = 0.0


NO_USAGE = TeamUsage(0.0, 0.0)


def _has_usage(usage):
    return usage.demand > 0.0 or usage.admitted > 0.0


class UsageHistory:
    """When another instance has admitted units of a team, from its reports.

    Between two reports the units count as admitted evenly. What a report says of the
    time before the first one counts as admitted evenly over the window.

    Parameters
    ----------
    window : float
        Length of the window, in seconds.

    Attributes
    ----------
    is_complete : bool
        Whether the instance knew from its start what it had admitted before, instead
        of assuming it.

    Examples
    --------
    >>> history = UsageHistory(window=8.0)
    >>> history.add(TeamUsage(10.0, 40.0, 40.0), 100.0)
    >>> history.add(TeamUsage(10.0, 50.0, 60.0), 101.0)
    >>> history.admitted(since=92.5, until=100.5)
    47.5
    >>> history.rate()
    20.0
    """

    def __init__(self, *, window):
        self.window = window
        self.times = []
        self.totals = []
        self.is_complete = False

    def add(self, usage, at):
        """Add a report.

        Parameters
        ----------
        usage : TeamUsage
            The report.
        at : float
            When it was made, in seconds.
        """
        if not self.totals or usage.total < self.totals[0]:
            # The first report, or the first one after a restart.
            self.times = [at - self.window]
            self.totals = [usage.total - usage.admitted]
            self.is_complete = usage.total >= usage.admitted > 0.0
        while len(self.totals) > 1 and self.totals[-1] > usage.total:
            # Refunded; the units before them are known.
            self.times.pop()
            self.totals.pop()
        if at > self.times[-1]:
            self.times.append(at)
            self.totals.append(usage.total)
        since = at - self.window
        if self.is_complete and self.times[0] < since < self.times[1]:
            # The report tells how much of what came before the first one is left.
            self.times[0] = since
            self.totals[0] = min(self.totals[1], usage.total - usage.admitted)
        outdated = bisect.bisect_right(self.times, at - self.window) - 1
        if outdated > 0:
            del self.times[:outdated]
            del self.totals[:outdated]

    def admitted(self, *, since, until):
        """Return the units admitted in a span.

        Parameters
        ----------
        since, until : float
            Begin and end of the span, in seconds.

        Returns
        -------
        float
            Units.
        """
        return max(0.0, self._total(until) - self._total(since))

    def charges(self, now):
        """Return what was admitted within the window.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of (float, float)
            Age in seconds and units of each part.
        """
        parts = []
        age = 0.0
        while age < self.window:
            units = self.admitted(since=now - age - CHARGE_STEP_S, until=now - age)
            if units > 0.0:
                parts.append((age, round(units, 1)))
            age += CHARGE_STEP_S
        return parts

    def rate(self):
        """Return the units per second admitted between the last two reports.

        Returns
        -------
        float
        """
        if len(self.times) < 2:
            return 0.0
        units = self.totals[-1] - self.totals[-2]
        return max(0.0, units) / (self.times[-1] - self.times[-2])

    def _total(self, at):
        number = bisect.bisect_right(self.times, at)
        if number == 0:
            return self.totals[0]
        if number == len(self.times):
            return self.totals[-1]
        begin, end = self.times[number - 1], self.times[number]
        part = (at - begin) / (end - begin)
        before = self.totals[number - 1]
        return before + part * (self.totals[number] - before)


class EarlierRun(NamedTuple):
    """Run of another instance that has ended.

    Attributes
    ----------
    ended_at : float
        When its successor was first heard, in seconds.
    histories : dict of str to UsageHistory
        Usage by team.
    """

    ended_at: float
    histories: dict


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


class OthersUsage(NamedTuple):
    """What is known of a team's usage at the other instances.

    Attributes
    ----------
    at : float
        When it was summed up, in seconds.
    demand : float
        Units per second.
    known : float
        Units reported, and not reported by instances that are silent or new.
    settled : float
        The part of `known` that was admitted before the delay of the reports.
    estimated : float
        `known`, and what the instances may have admitted since their reports.
    lag : float
        Delay of the reports, in seconds.
    """

    at: float
    demand: float
    known: float
    settled: float
    estimated: float
    lag: float


class LimitView(NamedTuple):
    """What this instance knows of a team's limit and usage.

    Attributes
    ----------
    target : float
        Units that all instances together may admit within the window.
    instances : int
        Instances that may serve.
    own : float
        Units admitted here within the window.
    others : OthersUsage
        Usage at the other instances.
    """

    target: float
    instances: int
    own: float
    others: OthersUsage


class AdmissionBounds(NamedTuple):
    """Bounds that a request has to fit into.

    Attributes
    ----------
    usage : float
        Units that all instances have admitted, as far as is known or estimated.
    unreported : float
        Units that this instance may admit before the others know of them.
    chance : float
        Part of the request that has to fit, from 0 to 1.
    """

    usage: float
    unreported: float
    chance: float


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
        self.restored = []
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
        if left <= 0.0 or not self.assumed_fraction:
            return 0.0
        known = sum(units for at, units in self.restored if at > now - self.length)
        return max(0.0, left * self.assumed_fraction * allowed - known)

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

    def restore(self, charges):
        """Add charges of an earlier run, which count instead of what is assumed of it.

        Parameters
        ----------
        charges : iterable of (float, float)
            Time in seconds and units of each.
        """
        self.restored = list(charges)
        for at, units in self.restored:
            self._add(at, next(self._numbers), units)

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
    earlier_runs : dict of str to EarlierRun
        Runs of other instances that ended within the window.
    restored : set of str
        Teams of which it is known what the earlier run of this instance admitted.
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
        self.own_reports = deque()
        self.received = {}
        self.received_at = {}
        self.report_intervals = {}
        self.histories = {}
        self.earlier_runs = {}
        self.restored = set()
        self.totals = {}
        self.chances = {}
        self.largest_requests = {}
        self.summaries = {}
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
            When the report was made, in seconds.
        """
        before = self.received_at.get(instance, now)
        self.report_intervals[instance] = max(0.0, now - before)
        self.received[instance] = reported
        self.received_at[instance] = now
        histories = self.histories.setdefault(instance, {})
        for team in [team for team in histories if team not in reported]:
            del histories[team]
        for team, usage in reported.items():
            if team not in histories:
                histories[team] = UsageHistory(window=self.window)
            histories[team].add(usage, now)

    def restore(self, team, charges, now):
        """Count what an earlier run of this instance has admitted.

        The store and the other instances tell of the same run, so only the first
        word on a team counts.

        Parameters
        ----------
        team : str
            Name of the team.
        charges : list of (float, float)
            Time in seconds and units of each charge.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
            Whether it was news.
        """
        if team in self.restored:
            return False
        self.restored.add(team)
        # The others learn of it from the reports.
        self.demands.setdefault(team, TeamDemand(now=now))
        self.allowances.setdefault(team, MIN_ALLOWED)
        if team not in self.windows:
            self.windows[team] = SlidingWindow(length=self.window)
            self.windows[team].assume(INITIAL_FILL, now)
        charges = [
            (at, units)
            for at, units in charges
            if math.isfinite(at) and math.isfinite(units) and units > 0.0
        ]
        self.windows[team].restore(charges)
        units = sum(units for _, units in charges)
        self.totals[team] = self.totals.get(team, 0.0) + units
        return True

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
        for instance, run in list(self.earlier_runs.items()):
            if now - run.ended_at > self.window:
                del self.earlier_runs[instance]
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
        self.report_intervals.pop(instance, None)
        self.histories.pop(instance, None)
        self.earlier_runs.pop(instance, None)

    def note_restarted(self, instance, now):
        """Record that another instance has restarted, and counts anew.

        Parameters
        ----------
        instance : str
            Id of the instance.
        now : float
            The present time, in seconds.
        """
        histories = self.histories.get(instance, {})
        self.forget(instance)
        self.earlier_runs[instance] = EarlierRun(now, histories)

    def earlier_charges(self, now):
        """Return what the earlier runs of others have admitted within the window.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        dict of str to dict of str to list of (float, float)
            Age in seconds and units of the charges, by instance and team.
        """
        found = {}
        for instance, run in self.earlier_runs.items():
            for team, history in run.histories.items():
                charges = history.charges(now)
                if charges:
                    found.setdefault(instance, {})[team] = charges
        return found

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
        self.summaries.pop(team, None)
        self.totals.pop(team, None)
        self.chances.pop(team, None)
        self.largest_requests.pop(team, None)

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
            team: TeamUsage(
                demand.rate(now), self._admitted(team, now), self.totals.get(team, 0.0)
            )
            for team, demand in self.demands.items()
        }
        if self.own_reports and self.own_reports[-1][0] == now:
            self.own_reports.pop()
        self.own_reports.append((now, self.reported))
        while self.own_reports[0][0] < now - MAX_REPORT_LAG_S:
            self.own_reports.popleft()
        return self.reported

    def share(self, team, instances, now, *, own_age=None):
        """Return this instance's share of a team's limit.

        Parameters
        ----------
        team : str
            Name of the team.
        instances : int
            Instances that may serve, this one included.
        now : float
            The present time, in seconds.
        own_age : float or None
            Age of the own report to use, in seconds; None for that of the others'.

        Returns
        -------
        float
            From 0 to 1. The shares of all instances add up to at most one, as
            far as they agree on the demand.
        """
        # The shares add up only if all instances compute with the same numbers, so
        # this uses an own report that is as old as those of the others. A newer one
        # would raise the shares of all instances at the same time in a surge.
        age = self._typical_age(now) if own_age is None else own_age
        own_report = self._own_report(now - age)
        own_demand = own_report.get(team, NO_USAGE).demand + MIN_DEMAND
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

    def _typical_age(self, now):
        """Return the median age of the reports of the instances that are heard."""
        ages = sorted(
            now - at
            for instance, at in self.received_at.items()
            if instance not in self.silent
        )
        return ages[len(ages) // 2] if ages else 0.0

    def _own_report(self, until):
        """Return the newest own report from before a moment."""
        for at, reported in reversed(self.own_reports):
            if at <= until:
                return reported
        return self.own_reports[0][1] if self.own_reports else {}

    def admit(self, team, units, *, instances, now):
        """Charge a request to its team.

        Two bounds hold together. What all instances are estimated to have admitted
        stays within the limit; and what an instance admits before the others know of
        it stays within its share of the room that all of them see. Without the second
        bound a surge that reaches all instances at once would be admitted by each of
        them as if it were alone.

        A request that is larger than the room left is admitted at random, with a
        probability of room over size. This keeps small requests from starving large
        ones.

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
        limit = team.rate * self.window + team.burst
        target = max(MIN_ALLOWED, limit + HEADROOM_FRACTION * self.slack)
        even_part = target / max(1, instances)
        largest = LARGEST_DECAY * self.largest_requests.get(team.name, 0.0)
        self.largest_requests[team.name] = largest = max(units, largest)
        self.allowances[team.name] = max(MIN_ALLOWED, even_part)
        window = self.windows.get(team.name)
        if window is None:
            window = self.windows[team.name] = SlidingWindow(length=self.window)
            window.assume(INITIAL_FILL, now)
        others = self._others(team.name, target, instances, now)
        view = LimitView(target, instances, self._admitted(team.name, now), others)
        recent = window.admitted_since(now - others.lag)
        if REQUESTS_PER_PART * largest > even_part:
            bounds = self._bounds_of_few_requests(team.name, view, recent, units, now)
        else:
            bounds = self._bounds_of_many_requests(team.name, view, recent, now)
        if bounds.usage + bounds.chance * units > target:
            return self._retry_after(bounds.usage + units - target, bounds.usage)
        if recent + bounds.chance * units > bounds.unreported:
            return RANDOM_REFUSAL_RETRY_S
        self.totals[team.name] = self.totals.get(team.name, 0.0) + units
        return window.charge(units, allowed=target, now=now)

    def _bounds_of_many_requests(self, team, view, recent, now):
        """Return the bounds where each instance's part holds many requests.

        All instances divide the room that was left before the delay of the reports,
        so what they admit meanwhile adds up to that room.
        """
        share = self.share(team, view.instances, now)
        return AdmissionBounds(
            usage=view.own + view.others.estimated,
            unreported=share * self._settled_room(view, recent),
            chance=self._chance(team, view.others.lag, now),
        )

    def _settled_room(self, view, recent):
        """Return the room that was left before the delay of the reports."""
        most = view.target + (UNREPORTED_FRACTION - HEADROOM_FRACTION) * self.slack
        return most - view.others.settled - (view.own - recent)

    def _is_far_below(self, team, view, now):
        """Return whether what is expected of all instances fits into the room."""
        free = view.target - view.own - view.others.known
        demand = self.demands[team].rate(now) + view.others.demand
        return free > DEMAND_GROWTH_MARGIN * demand * view.others.lag

    def _bounds_of_few_requests(self, team, view, recent, units, now):
        """Return the bounds where some requests are larger than an instance's part.

        Requests are then rare at each instance, and few instances get any between two
        reports. So each may admit more than its part, as long as what is expected of
        all fits into the room.
        """
        free = view.target - view.own - view.others.known
        share = self.share(team, view.instances, now, own_age=0.0)
        unreported = max(
            self.share(team, view.instances, now) * self._settled_room(view, recent),
            PRESENT_SHARE_FRACTION * share * free,
        )
        if free > units and self._is_far_below(team, view, now):
            even_part = free / max(1, view.instances)
            unreported = max(unreported, MAX_ROOM_FACTOR * even_part)
        return AdmissionBounds(
            usage=view.own + view.others.known,
            unreported=unreported,
            chance=self.random.random(),
        )

    def _chance(self, team, lag, now):
        """Return a random number from 0 to 1, the same one for a delay of the reports.

        With a new one for each request, an instance with many requests would soon
        draw one that admits a large request.
        """
        drawn_at, chance = self.chances.get(team, (-math.inf, 0.0))
        if now - drawn_at >= lag:
            chance = self.random.random()
            self.chances[team] = (now, chance)
        return chance

    def _retry_after(self, excess, usage):
        """Return after how long an excess has left the window, if it leaves evenly."""
        seconds = self.window * excess / max(usage, MIN_ALLOWED)
        return min(self.window, max(MIN_RETRY_AFTER_S, seconds))

    def _others(self, team, target, instances, now):
        """Sum up what is known of a team's usage at the other instances."""
        summary = self.summaries.get(team)
        if summary is not None and 0.0 <= now - summary.at < SUMMARY_LIFE_S:
            return summary
        lag = self._report_lag(team, now)
        even_part = target / max(1, instances)
        unreported = max(0, instances - 1 - len(self.received))
        demand = 0.0
        known = settled = estimated = even_part * unreported
        for instance, reported in self.received.items():
            usage = reported.get(team, NO_USAGE)
            demand += usage.demand
            if instance in self.silent:
                # If it is cut off, it may go on using as much as before, or as much
                # as an even part.
                held = max(usage.admitted, even_part)
                known += held
                settled += held
                estimated += held
                continue
            history = self.histories[instance].get(team)
            if history is None:
                continue
            since = now - self.window
            left = history.admitted(since=since, until=now)
            age = max(0.0, now - self.received_at[instance])
            known += left
            settled += history.admitted(since=since, until=now - lag)
            estimated += left + history.rate() * age
        for instance, run in self.earlier_runs.items():
            history = run.histories.get(team)
            if history is None:
                continue
            # The present run reports what it knows or assumes of the one before.
            present = self.histories.get(instance, {}).get(team)
            if present is not None and present.is_complete:
                continue
            usage = self.received.get(instance, {}).get(team, NO_USAGE)
            reported = max(0.0, usage.admitted - usage.total)
            left = history.admitted(since=now - self.window, until=now)
            missing = max(0.0, left - reported)
            known += missing
            settled += missing
            estimated += missing
        summary = OthersUsage(now, demand, known, settled, estimated, lag)
        self.summaries[team] = summary
        return summary

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
            Units.
        """
        total = self._admitted(team, now) if team in self.windows else 0.0
        for histories in self.histories.values():
            if team in histories:
                total += histories[team].admitted(since=now - self.window, until=now)
        return total

    def demand_of_all(self, team, now):
        """Return the demand of a team at all instances, as far as it is known.

        Parameters
        ----------
        team : str
            Name of the team.
        now : float
            The present time, in seconds.

        Returns
        -------
        float
            Units per second.
        """
        own = self.demands[team].rate(now) if team in self.demands else 0.0
        others = (each.get(team, NO_USAGE).demand for each in self.received.values())
        return own + sum(others)

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
            max(now - self.received_at[instance], self.report_intervals[instance])
            for instance, reported in self.received.items()
            if instance not in self.silent and _has_usage(reported.get(team, NO_USAGE))
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
            self.totals[team] -= receipt.units
