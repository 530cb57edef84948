"""Keeps the configuration of an instance up to date."""

import asyncio
import logging

from skylarkpost.config.peer_learner import PeerLearner
from skylarkpost.config.peers import ConfigService
from skylarkpost.config.replica import ConfigReplica
from skylarkpost.config.restating import Restater, choose_restater
from skylarkpost.config.resume_guard import ResumeGuard
from skylarkpost.config.verdicts import Invalid
from skylarkpost.config.withdrawals import WithdrawalHandler
from skylarkpost.controllers import Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.log import Appended, LogFollower
from skylarkpost.rpc import config_pb2_grpc
from skylarkpost.runtime import BackgroundTask

__all__ = ["CONFIG_STREAM", "ConfigController"]

logger = logging.getLogger(__name__)

CONFIG_STREAM = "config"
TICK_S = 0.1
RESTATE_INTERVAL_S = 1.0
NEVER_S = float("-inf")


@register_controller("config", order=20)
class ConfigController(Controller):
    """Follows the ``config`` stream, and reads from peers when the log fails.

    Parameters
    ----------
    services : Services
        Shared services of the instance.

    Attributes
    ----------
    replica : ConfigReplica
        The configuration state.
    follower : LogFollower
        Reads the stream.
    learner : PeerLearner
        Reads from peers.
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
        self.follower.subscribe(None, self._apply_record)
        self.learner = PeerLearner(services=services, replica=self.replica)
        self.resume_guard = ResumeGuard(
            services=services, replica=self.replica, learner=self.learner
        )
        self.restater = Restater(
            writer=services.instance,
            retention=services.settings.platform.log_retention,
        )
        self.restated_at = NEVER_S
        self.withdrawals = WithdrawalHandler(services=services)
        self.store.subscribe("key", self.withdrawals.note_key_change)
        self.task = BackgroundTask(name="config")

    @property
    def store(self):
        """The configuration that is served; always the same object."""
        return self.replica.store

    def add_to_server(self, server):
        """Serve the configuration to peers."""
        service = ConfigService(replica=self.replica)
        config_pb2_grpc.add_ConfigServicer_to_server(service, server)

    async def start(self):
        """Start following the stream."""
        self.follower.start()
        self.task.start(self._run())

    async def stop(self):
        """Stop following the stream."""
        await self.task.stop()
        await self.follower.stop()

    def is_ready(self):
        """Return whether the configuration has been complete once."""
        return self.replica.ready

    def degraded(self):
        """Return one sentence for each reason why it may be out of date."""
        found = []
        if not self.replica.ready:
            found.append("The configuration has not been read yet.")
        if not self.follower.available:
            found.append("The platform's log cannot be read (stream config).")
        if self.replica.building is not None and self.replica.ready:
            found.append("Configuration records expired unread; reading it anew.")
        return found

    def status(self):
        """Return the offsets and the number of items by kind."""
        counts = {kind: len(table) for kind, table in self.store.tables.items()}
        return {
            "applied_offset": self.replica.applied_offset,
            "end_offset": self.follower.end_offset,
            "items": counts,
        }

    def profiles_for(self, team):
        """Return the profiles that a team may use.

        Parameters
        ----------
        team : str
            Name of the team.

        Returns
        -------
        list of Profile
            In order of their names.
        """
        profiles = self.store.tables["profile"].items_with(team)
        return sorted(profile for profile in profiles if team in profile.teams)

    async def confirm_after_pause(self):
        """Return once the configuration is up to date after a pause, if any."""
        await self.resume_guard.confirm()
        self.follower.skip_to(self.replica.next_offset)

    async def tick(self):
        """Run the periodic work; called every `TICK_S`."""
        now = self.services.clock()
        if self._at_end() and self.learner.may_trust_log(now):
            self._note_end(now)
        await self._learn()
        self.learner.announce()
        if now >= self.restated_at + RESTATE_INTERVAL_S:
            self.restated_at = now
            await self._restate(now)

    async def _run(self):
        while True:
            await self.tick()
            await asyncio.sleep(TICK_S)

    def _apply_record(self, record, offset, time, now):
        verdict = self.replica.receive(record=record, offset=offset, time=time, now=now)
        if isinstance(verdict, Invalid):
            self.services.metrics.count_event("config-record-invalid")
            log_event(
                logger, "config-record-invalid", offset=offset, problem=verdict.problem
            )

    def _note_gap(self, wanted, first_offset):
        self.replica.note_gap(first_offset)

    def _at_end(self):
        follower = self.follower
        if not follower.available or follower.fresh_at is None:
            return False
        return follower.applied_offset >= follower.end_offset

    def _note_end(self, now):
        was_complete = self.replica.ready and self.replica.building is None
        self.replica.note_end(now=now)
        if not was_complete:
            self._log_complete("log")

    async def _learn(self):
        before = self.replica.applied_offset
        peer = await self.learner.learn(log_fresh_at=self.follower.fresh_at)
        if peer is None:
            return
        self.follower.skip_to(self.replica.next_offset)
        self.services.metrics.count_event("config-learned-from-peer")
        if self.replica.applied_offset > before:
            self._log_complete(peer)

    def _log_complete(self, source):
        offset = self.replica.applied_offset
        log_event(logger, "config-complete", applied_offset=offset, source=source)

    async def _restate(self, now):
        complete = self.replica.ready and self.replica.building is None
        if not complete or not self._at_end():
            return
        members = [self.services.instance, *self.learner.reachable(now)]
        records = self.restater.step(
            self.store,
            first_offset=self.follower.first_offset,
            log_time=self.services.wall_clock(),
            chosen=choose_restater(members) == self.services.instance,
            interval=RESTATE_INTERVAL_S,
        )
        if records:
            answer = await self.services.log.append(CONFIG_STREAM, records)
            if isinstance(answer, Appended):
                self.services.metrics.count_event("config-restated")
