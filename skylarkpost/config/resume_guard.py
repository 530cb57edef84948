"""Refreshes the configuration after a pause of the process."""

import asyncio
import logging

from skylarkpost.config.peers import read_from_peer
from skylarkpost.eventlog import log_event
from skylarkpost.log import LogUnavailable
from skylarkpost.rpc import CallFailed

__all__ = ["ResumeGuard"]

logger = logging.getLogger(__name__)

CONFIG_STREAM = "config"
CONFIRM_TIMEOUT_S = 2.0
NEVER_S = float("-inf")


class ResumeGuard:
    """Delays requests after a pause until the log or a peer has been read again.

    A paused process misses withdrawals of keys, and may handle requests that
    arrived meanwhile before it has read those withdrawals.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        The log and the channels to peers.
    replica : ConfigReplica
        Configuration of this instance.
    learner : PeerLearner
        Provides the membership.
    """

    def __init__(self, *, services, replica, learner):
        self.services = services
        self.replica = replica
        self.learner = learner
        self.confirmed_at = NEVER_S
        self._reading = None

    async def confirm(self):
        """Return once the configuration is confirmed since the last pause.

        Notes
        -----
        If neither the log nor a peer answers within `CONFIRM_TIMEOUT_S`, the
        instance continues with its current state, as it does without a pause.
        """
        membership = self.learner.membership
        resumed_at = None if membership is None else membership.last_resumed_at
        if resumed_at is None or resumed_at <= self.confirmed_at:
            return
        if self._reading is None:
            self._reading = asyncio.create_task(self._read_in_time())
        await asyncio.shield(self._reading)

    async def _read_in_time(self):
        started_at = self.services.clock()
        source = None
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                source = await self._read_log() or await self._read_peers()
        except TimeoutError:
            self.services.metrics.count_event("config-unconfirmed-after-pause")
        finally:
            self.confirmed_at = started_at
            self._reading = None
        log_event(
            logger,
            "config-confirmed-after-pause",
            source=source or "nothing",
            applied_offset=self.replica.applied_offset,
        )

    async def _read_log(self):
        while True:
            wanted = self.replica.next_offset
            answer = await self.services.log.read(
                CONFIG_STREAM, from_offset=wanted, wait=0.0
            )
            if isinstance(answer, LogUnavailable) or answer.first_offset > wanted:
                return None
            self._apply_records(answer.records)
            if self.replica.next_offset >= answer.next_offset:
                return "log"

    async def _read_peers(self):
        now = self.services.clock()
        for instance, member in self.learner.reachable(now).items():
            answer = await read_from_peer(
                self.services.peers,
                member.address,
                from_offset=self.replica.next_offset,
                snapshot=False,
            )
            if isinstance(answer, CallFailed):
                continue
            self._apply_records(answer.records)
            if answer.snapshot is not None:
                self.replica.apply_snapshot(answer.snapshot, now=now)
            return instance
        return None

    def _apply_records(self, records):
        now = self.services.clock()
        for record in records:
            self.replica.receive(
                record=record.data, offset=record.offset, time=record.time, now=now
            )
