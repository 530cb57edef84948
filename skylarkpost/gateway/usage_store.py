"""Keeps the usage of teams near their limits in the store, for the next run."""

import logging

import msgspec

from skylarkpost.decoding import Malformed, decode_msgpack
from skylarkpost.eventlog import log_event
from skylarkpost.limits.usage_records import (
    StoredUsage,
    restored_charges,
    stored_usage,
)
from skylarkpost.log.keyed import KeyedRecord, KeyedSnapshot, StoreAppended

__all__ = ["USAGE_TOPIC", "UsageStore"]

logger = logging.getLogger(__name__)

USAGE_TOPIC = "keyed.skylarkpost-usage"
# Used part of a limit from which a team's usage is stored. A team below it is covered
# by what a restarted instance assumes.
STORED_FRACTION = 0.7
STORE_INTERVAL_S = 0.5
# A team that turns hot is stored before it gets there: an interval, and the age of the
# others' reports.
LOOK_AHEAD_S = 1.0
# Appends a second of all instances together, a fraction of what the store takes.
MAX_APPENDS_PER_S = 20.0


class UsageStore:
    """Stores this instance's usage, and restores that of its earlier run.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.
    shares : DemandShares
        Usage of the teams.

    Attributes
    ----------
    is_read : bool
        Whether the record of the earlier run was read.
    stored_at : float
        When the usage was last stored, in seconds.
    stored_charges : dict of str to tuple
        The last charge that was stored, by team.
    """

    def __init__(self, *, services, shares):
        self.services = services
        self.shares = shares
        self.is_read = False
        self.stored_at = services.clock()
        self.stored_charges = {}

    def interval(self):
        """Return the time between two records, in seconds."""
        return max(STORE_INTERVAL_S, self.services.fleet_size() / MAX_APPENDS_PER_S)

    def near_limit(self, now):
        """Return the teams whose usage has to be stored.

        Parameters
        ----------
        now : float
            The present time, in seconds.

        Returns
        -------
        list of str
        """
        known = self.services.controllers["config"].state.configuration
        teams = {} if known is None else known.teams
        found = []
        for name, window in self.shares.windows.items():
            team = teams.get(name)
            if team is None or team.rate <= 0 or not window.admitted(now):
                continue
            limit = team.rate * self.shares.window + team.burst
            if limit <= self.shares.slack:
                # The tolerated excess covers a second limit.
                continue
            expected = self.shares.admitted_by_all(name, now)
            expected += self.shares.demand_of_all(name, now) * LOOK_AHEAD_S
            if expected >= STORED_FRACTION * limit:
                found.append(name)
        return found

    async def store_if_due(self, now):
        """Store the usage of teams near their limits.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        if now - self.stored_at >= self.interval():
            await self.store(now)

    async def store(self, now):
        """Store the usage of teams near their limits at once.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        """
        teams = self.near_limit(now)
        last_charges = {team: self.shares.windows[team].charges[-1] for team in teams}
        # A record that says nothing new ages by itself.
        if not teams or last_charges == self.stored_charges:
            return
        self.stored_at = now
        self.stored_charges = last_charges
        usage = stored_usage(
            {team: self.shares.windows[team] for team in teams},
            interval=self.interval(),
            wall_time=self.services.wall_clock(),
            now=now,
        )
        record = KeyedRecord(self.services.instance, msgspec.msgpack.encode(usage))
        answer = await self.services.store.append(USAGE_TOPIC, [record])
        if not isinstance(answer, StoreAppended):
            log_event(
                logger,
                "usage-unstored",
                teams=len(teams),
                outcome=type(answer).__name__,
            )

    async def restore(self):
        """Read the record of the earlier run.

        Returns
        -------
        bool
            Whether the store answered.
        """
        answer = await self.services.store.newest(USAGE_TOPIC)
        if not isinstance(answer, KeyedSnapshot):
            return False
        self.is_read = True
        own = self.services.instance
        for record in answer.records:
            if record.key == own and record.value:
                self._apply(record)
        return True

    def _apply(self, record):
        usage = decode_msgpack(record.value, StoredUsage)
        if isinstance(usage, Malformed):
            log_event(logger, "entry-malformed", key=record.key, detail=usage.detail)
            return
        now, wall_time = self.services.clock(), self.services.wall_clock()
        charges = restored_charges(
            usage, window=self.shares.window, wall_time=wall_time, now=now
        )
        record_age = max(0.0, wall_time - usage.made_at)
        self.count_restored(charges, told_by="store", record_age=record_age, now=now)

    def count_restored(self, charges, *, told_by, record_age, now):
        """Count what an earlier run of this instance has admitted.

        Parameters
        ----------
        charges : dict of str to list of (float, float)
            Time in seconds and units of the charges, by team.
        told_by : str
            ``store``, or the instance that tells it.
        record_age : float
            Age of what is told, in seconds.
        now : float
            The present time, in seconds.
        """
        for team, found in charges.items():
            if self.shares.restore(team, found, now):
                log_event(
                    logger,
                    "usage-restored",
                    team=team,
                    units=sum(units for _, units in found),
                    told_by=told_by,
                    record_age=record_age,
                )
