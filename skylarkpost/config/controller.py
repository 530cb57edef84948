"""Keeps the configuration of one instance up to date."""

import asyncio
import logging

from skylarkpost.config.replica import ConfigReplica
from skylarkpost.config.verdicts import Invalid
from skylarkpost.config.withdrawals import WithdrawalWatch
from skylarkpost.daemon.controllers import Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.platform import BackgroundTask, LogFollower

__all__ = ["CONFIG_STREAM", "ConfigController"]

logger = logging.getLogger(__name__)

CONFIG_STREAM = "config"
TICK_S = 0.1


@register_controller("config", order=20)
class ConfigController(Controller):
    """Follows the ``config`` stream.

    Parameters
    ----------
    services : Services
        What the instance shares between its parts.

    Attributes
    ----------
    replica : ConfigReplica
        The core.
    follower : LogFollower
        Reads the stream.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.replica = ConfigReplica()
        self.follower = LogFollower(
            log=services.log,
            stream=CONFIG_STREAM,
            clock=services.clock,
            random=services.random,
            on_gap=self._note_gap,
        )
        self.follower.subscribe(None, self._take)
        self.withdrawals = WithdrawalWatch(services=services)
        self.store.subscribe("key", self.withdrawals.note_key_change)
        self.task = BackgroundTask(name="config")

    @property
    def store(self):
        """The configuration that is served; always the same object."""
        return self.replica.store

    async def start(self):
        """Start following the stream."""
        self.follower.start()
        self.task.start(self._run())

    async def stop(self):
        """Stop following the stream."""
        await self.task.stop()
        await self.follower.stop()

    def is_ready(self):
        """Return whether the configuration was complete once."""
        return self.replica.ready

    def degraded(self):
        """Return what is not up to date."""
        found = []
        if not self.replica.ready:
            found.append("The configuration has not been read yet.")
        if not self.follower.available:
            found.append("The platform's log cannot be read (stream config).")
        if self.replica.building is not None and self.replica.ready:
            found.append("Configuration records expired unread; reading it anew.")
        return found

    def status(self):
        """Return how far the configuration is applied and what it holds."""
        counts = {kind: len(table) for kind, table in self.store.tables.items()}
        return {
            "applied_offset": self.replica.applied_offset,
            "end_offset": self.follower.end_offset,
            "items": counts,
        }

    def profiles_for(self, team):
        """Return the names of the profiles that a team may use.

        Parameters
        ----------
        team : str
            Name of the team.

        Returns
        -------
        list of str
            In order of their names.
        """
        profiles = self.store.items("profile")
        return sorted(profile.name for profile in profiles if team in profile.teams)

    def _take(self, record, offset, time, now):
        verdict = self.replica.take(record=record, offset=offset, time=time, now=now)
        if isinstance(verdict, Invalid):
            self.services.metrics.count_event("config-record-invalid")
            log_event(
                logger, "config-record-invalid", offset=offset, problem=verdict.problem
            )

    def _note_gap(self, wanted, first_offset):
        self.replica.note_gap(first_offset)

    async def _run(self):
        while True:
            await self.tick()
            await asyncio.sleep(TICK_S)

    async def tick(self):
        """Look after what is not driven by a record; called every `TICK_S`."""
        follower = self.follower
        at_end = follower.applied_offset >= follower.end_offset
        if follower.available and follower.fresh_at is not None and at_end:
            self._note_end()

    def _note_end(self):
        first = not self.replica.ready
        self.replica.note_end(now=self.services.clock())
        if first:
            offset = self.replica.applied_offset
            log_event(logger, "config-ready", applied_offset=offset, source="log")
