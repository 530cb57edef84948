"""Controller and filter that enforce team limits across all instances."""

import asyncio
import contextlib
import logging
from typing import NamedTuple

import msgspec

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.decoding import Malformed, decode_msgpack
from skylarkpost.eventlog import log_event
from skylarkpost.filters import Filter, register_filter
from skylarkpost.gateway.usage_store import UsageStore
from skylarkpost.limits.demand_share import DemandShares, TeamUsage
from skylarkpost.limits.report_clock import ReportClock
from skylarkpost.outcomes import Reason, Refused
from skylarkpost.rendezvous import choose_members
from skylarkpost.runtime import BackgroundTask

__all__ = ["MAX_LIMIT_WAIT_S", "QuotaController", "QuotaFilter", "request_units"]

logger = logging.getLogger(__name__)

TOPIC = "demand"
# Tells restarted instances what they have admitted before.
EARLIER_TOPIC = "earlier-usage"
PUBLISH_INTERVAL_S = 0.4
# A restarted instance is told by some of the others; what one of them tells stays a
# small part of its heartbeats.
TELLERS_PER_INSTANCE = 3
MAX_INSTANCES_TOLD = 8
MAX_TEAMS_TOLD = 8
# Longest wait for room in a limit; a fraction of the shortest latency goals.
MAX_LIMIT_WAIT_S = 0.2
# Usage is logged once a second, of teams that use more than this part of their limit.
USAGE_LOG_INTERVAL_S = 1.0
LOGGED_USAGE_FRACTION = 0.5
# The store usually answers within milliseconds. Where it doesn't, an instance serves
# with what it assumes of its earlier run.
RESTORE_WAIT_S = 1.0
RESTORE_RETRY_S = 0.2
STORE_CHECK_S = 0.1
# Of what is left of the grace at a stop.
LAST_STORE_TIMEOUT_S = 0.2


class UsageReport(NamedTuple):
    """Usage at one instance, as published to the other instances.

    Attributes
    ----------
    made_at : float
        Seconds of the sender's clock.
    usage : dict of str to TeamUsage
        Usage by team.
    """

    made_at: float
    usage: dict[str, TeamUsage]


class EarlierUsage(NamedTuple):
    """What runs that have ended had admitted, as known to another instance.

    Attributes
    ----------
    made_at : float
        Seconds of the sender's clock.
    charges : dict of str to dict of str to list of (float, float)
        Age in seconds and units of the charges, by instance and team.
    """

    made_at: float
    charges: dict[str, dict[str, list[tuple[float, float]]]]


@register_controller("quota", order=30, front_ends=(GATEWAY,))
class QuotaController(Controller):
    """Exchanges the teams' demand with the other instances.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.shares = DemandShares(
            own=services.instance,
            random=services.random,
            slack=services.settings.bounds.quota_slack,
            window=services.settings.bounds.quota_window_s,
        )
        self.usage_store = UsageStore(services=services, shares=self.shares)
        self.started_at = services.clock()
        self.report_clock = ReportClock()
        self.published = None
        self.has_published_earlier = False
        self.left_out = LeftOut(0, 0)
        self.background = BackgroundTask(name="quota")
        self.restoring = BackgroundTask(name="restore-usage")
        self.storing = BackgroundTask(name="store-usage")
        self.usage_logged_at = services.clock()

    async def start(self):
        """Start publishing the demand."""
        membership = self.services.controllers["membership"]
        membership.subscribe(TOPIC, self._receive_usage, relayed=True)
        membership.subscribe(EARLIER_TOPIC, self._receive_earlier, relayed=True)
        self.restoring.start(self._restore())
        self.storing.start(self._store())
        self.background.start(self._run())

    async def stop(self):
        """Stop publishing the demand, after the usage was stored for the next run."""
        await self.restoring.stop()
        await self.storing.stop()
        await self.background.stop()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_STORE_TIMEOUT_S):
                await self.usage_store.store(self.services.clock())

    def is_ready(self):
        """Return whether the usage of the earlier run is known, or waited for enough."""
        waited = self.services.clock() - self.started_at
        return self.usage_store.is_read or waited >= RESTORE_WAIT_S

    def status(self):
        """Return this instance's demand and admitted units by team."""
        now = self.services.clock()
        return {team: each._asdict() for team, each in self.shares.report(now).items()}

    def admit(self, team, units, now):
        """Charge a request; see `DemandShares.admit`."""
        instances = max(self.services.fleet_size(), 1 + len(self.shares.received))
        return self.shares.admit(team, units, instances=instances, now=now)

    def _receive_usage(self, member, payload, now):
        report = decode_msgpack(payload, UsageReport)
        if isinstance(report, Malformed):
            self.services.metrics.count_event("malformed-digest")
            return
        if self.report_clock.is_restarted(member.instance, member.boot):
            # It counts its totals anew.
            self.shares.note_restarted(member.instance, now)
        made_at = self.report_clock.convert(
            member.instance, member.boot, report.made_at, now
        )
        self.shares.receive(member.instance, report.usage, made_at)

    def _receive_earlier(self, member, payload, now):
        earlier = decode_msgpack(payload, EarlierUsage)
        if isinstance(earlier, Malformed):
            self.services.metrics.count_event("malformed-digest")
            return
        charges = earlier.charges.get(self.services.instance, {})
        if not charges:
            return
        made_at = self.report_clock.convert(
            member.instance, member.boot, earlier.made_at, now
        )
        timed = {
            team: [(made_at - age, units) for age, units in found]
            for team, found in charges.items()
        }
        self.usage_store.count_restored(
            timed, told_by=member.instance, record_age=now - made_at, now=now
        )

    def _publish_earlier(self, now):
        membership = self.services.controllers["membership"]
        live = sorted({self.services.instance, *membership.heard(now)})
        known = {
            instance: teams
            for instance, teams in self.shares.earlier_charges(now).items()
            if self.services.instance
            in choose_members(instance, live, TELLERS_PER_INSTANCE)
        }
        charges, left_out = bounded_charges(known)
        if left_out != self.left_out:
            self.left_out = left_out
            log_event(
                logger,
                "earlier-usage-left-out",
                instances=left_out.instances,
                teams=left_out.teams,
                told=len(charges),
            )
        if charges or self.has_published_earlier:
            self.has_published_earlier = bool(charges)
            payload = msgspec.msgpack.encode(EarlierUsage(round(now, 3), charges))
            membership.publish(EARLIER_TOPIC, payload)

    async def _restore(self):
        while not await self.usage_store.restore():
            if self.services.clock() - self.started_at >= self.shares.window:
                return
            await asyncio.sleep(RESTORE_RETRY_S)

    async def _store(self):
        # A slow store must not hold back the reports.
        while True:
            await asyncio.sleep(STORE_CHECK_S)
            await self.usage_store.store_if_due(self.services.clock())

    async def _run(self):
        membership = self.services.controllers["membership"]
        while True:
            now = self.services.clock()
            usage = {
                team: TeamUsage(*(round(number) for number in each))
                for team, each in self.shares.report(now).items()
            }
            # The others are told of changes only.
            if usage != self.published:
                self.published = usage
                report = UsageReport(round(now, 3), usage)
                membership.publish(TOPIC, msgspec.msgpack.encode(report))
            self.shares.note_heard(membership.heard(now), now)
            self._publish_earlier(now)
            self.report_clock.retain(self.shares.received)
            if now - self.usage_logged_at >= USAGE_LOG_INTERVAL_S:
                self.usage_logged_at = now
                self._log_usage(now)
            await asyncio.sleep(PUBLISH_INTERVAL_S)

    def _log_usage(self, now):
        known = self.services.controllers["config"].state.configuration
        for name, reported in self.shares.reported.items():
            team = None if known is None else known.teams.get(name)
            if team is None or team.rate <= 0:
                continue
            limit = team.rate * self.shares.window + team.burst
            admitted = self.shares.admitted_by_all(name, now)
            if admitted < LOGGED_USAGE_FRACTION * limit:
                continue
            log_event(
                logger,
                "team-usage",
                team=name,
                limit=limit,
                admitted=admitted,
                own=reported.admitted,
                demand=reported.demand,
                heard=len(self.shares.received) - len(self.shares.silent),
                silent=len(self.shares.silent),
            )


class LeftOut(NamedTuple):
    """What restarted instances are not told by this one.

    Attributes
    ----------
    instances : int
        Restarted instances beyond those that one instance tells.
    teams : int
        Teams of the told ones beyond those with most units.
    """

    instances: int
    teams: int


def bounded_charges(known):
    """Return what one instance tells restarted instances of their earlier runs.

    Parameters
    ----------
    known : dict of str to dict of str to list of (float, float)
        Age in seconds and units of the charges, by instance and team.

    Returns
    -------
    dict
        The same, of the teams with most units of some instances.
    LeftOut
        How many are missing.
    """
    told = {
        instance: _largest(known[instance])
        for instance in list(known)[:MAX_INSTANCES_TOLD]
    }
    teams = sum(len(known[instance]) - len(told[instance]) for instance in told)
    return told, LeftOut(instances=len(known) - len(told), teams=teams)


def _largest(teams):
    """Return the charges of the teams with most units."""
    units = {team: sum(each for _, each in charges) for team, charges in teams.items()}
    names = sorted(units, key=lambda team: -units[team])[:MAX_TEAMS_TOLD]
    return {team: teams[team] for team in names}


def request_units(team, metadata):
    """Return the units that a request counts against its team's limit.

    Parameters
    ----------
    team : skylarkpost.routing.GatewayTeam
        The team.
    metadata : RequestMetadata
        Metadata from the request's headers.

    Returns
    -------
    float
    """
    if not team.counts_tokens:
        return 1.0
    if metadata.prompt_tokens is None:
        return float(team.plain_tokens)
    return float(metadata.prompt_tokens + (metadata.output_tokens or 0))


@register_filter("quota", order=50, front_ends=(GATEWAY,))
class QuotaFilter(Filter):
    """Refuses requests that exceed their team's limit."""

    async def apply(self, exchange):
        """Charge the request to its team's limit. See `Filter.apply`."""
        if exchange.team is None:
            return None
        team = exchange.table.configuration.teams[exchange.team]
        if team.rate <= 0:
            return None
        now = self.services.clock()
        controller = self.services.controllers["quota"]
        units = request_units(team, exchange.metadata)
        outcome = controller.admit(team, units, now)
        if isinstance(outcome, float) and outcome <= MAX_LIMIT_WAIT_S:
            # A short wait here is quicker than a retry by the caller.
            await asyncio.sleep(outcome)
            outcome = controller.admit(team, units, self.services.clock())
        if isinstance(outcome, float):
            return Refused(
                reason=Reason.OVER_RATE,
                message="The team has used up its rate and burst.",
                retry_after=outcome,
            )
        exchange.quota_receipt = outcome
        exchange.on_finish(self._refund)
        return None

    async def _refund(self, exchange):
        if exchange.dispatched:
            return
        controller = self.services.controllers["quota"]
        controller.shares.refund(exchange.team, exchange.quota_receipt)
