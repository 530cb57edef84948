"""Claims stewardships, renews their records, and hands them over."""

import asyncio
import logging

from skylarkpost.eventlog import log_event
from skylarkpost.log import Appended
from skylarkpost.rpc import CallFailed, call_peer, stewardship_pb2_grpc
from skylarkpost.stewardship.conversion import handover_to_wire
from skylarkpost.stewardship.election import ClaimTarget
from skylarkpost.stewardship.steward import Permissions, TargetSteward
from skylarkpost.stewardship.steward_executor import StewardExecutor
from skylarkpost.stewardship.table import RELEASE, claim_record, release_record

__all__ = ["StewardManager"]

logger = logging.getLogger(__name__)

HAND_OVER_TIMEOUT_S = 1.0
HAND_OVER_LIMIT_S = 3.0
RESTATE_FRACTION = 0.4
HAND_OVER_RETRY_S = 0.05


class StewardManager:
    """Starts, ends and hands over the stewards on this instance.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Shared services of the instance.
    table : StewardshipTable
        Claims on the log.
    election : Election
        Decides which targets to claim and release.
    authority : Authority
        Authority of the instance to act as a steward.
    policy : StewardPolicy
        Policy of the stewards.
    engines : skylarkpost.targets.EngineClient
        Client of the engines.

    Attributes
    ----------
    executors : dict of str to StewardExecutor
        Executors of the active stewards, by target.
    handing_over : dict of str to StewardExecutor
        Executors of retired stewards whose successor is not known yet, by target.
    """

    def __init__(self, *, services, table, election, authority, policy, engines):
        self.services = services
        self.table = table
        self.election = election
        self.authority = authority
        self.policy = policy
        self.engines = engines
        self.executors = {}
        self.handing_over = {}
        self.releasing = set()
        self.tasks = set()

    def apply_record(self, record, offset, time, now):
        """Apply one record of the log.

        Parameters
        ----------
        record : dict
            The record.
        offset : int
            Its offset.
        time : float
            When it was appended, by the log's wall clock.
        now : float
            Current time, in seconds.
        """
        target = record.get("target")
        before = self.table.full.get(target) or self.table.limited.get(target)
        claim = self.table.apply(record, offset, time)
        if claim is None:
            return
        if record["type"] == RELEASE:
            return
        if self.election.is_own(claim):
            self._start_steward(claim, before)
            return
        executor = self.executors.get(claim.target)
        if executor is not None and claim.full_powers >= executor.claim.full_powers:
            self.end_stewardship(claim.target, reason="newer-claim")
        if claim.target in self.handing_over:
            self._create_task(self._send_handover(claim))

    async def run_election(self, targets, peers, now):
        """Claim and release as the election decides, and restate old claims.

        Parameters
        ----------
        targets : list of skylarkpost.config.Target
            The engines.
        peers : list of Peer
            Live instances.
        now : float
            Current time, in seconds.
        """
        decisions = self.election.decide(targets, self.table, peers, now)
        records = []
        for decision in decisions:
            if isinstance(decision, ClaimTarget):
                records.append(self._claim(decision.target, decision.full_powers))
            elif decision.target not in self.releasing:
                self._create_task(self._release([decision.target]))
        records += self._restatements()
        if records:
            await self.services.log.append("state", records)

    async def leave(self):
        """Hand all stewardships over."""
        await self._release(list(self.executors))
        deadline = self.services.clock() + HAND_OVER_LIMIT_S
        while self.handing_over and self.services.clock() < deadline:
            await asyncio.sleep(HAND_OVER_RETRY_S)

    def stop(self):
        """Cancel all work."""
        for task in self.tasks:
            task.cancel()
        for executor in (*self.executors.values(), *self.handing_over.values()):
            executor.close()

    def end_stewardship(self, target, *, reason):
        """Stop being steward of a target without a handover.

        Parameters
        ----------
        target : str
            The target.
        reason : str
            Reason for the log event.
        """
        executor = self.executors.pop(target, None)
        if executor is not None:
            executor.close()
            log_event(logger, "stewardship-ended", target=target, reason=reason)

    def receive_handover(self, handover):
        """Adopt the tickets that a predecessor hands over.

        Parameters
        ----------
        handover : skylarkpost.rpc.stewardship_pb2.TicketBook
            The predecessor's tickets and barred adapters.

        Returns
        -------
        bool
            Whether this instance has accepted it as the expected successor.
        """
        executor = self.executors.get(handover.target)
        if executor is None:
            return False
        if executor.predecessor != handover.released_number:
            return False
        executor.predecessor = None
        executor.adopt_handover(handover)
        log_event(
            logger,
            "book-taken-over",
            target=handover.target,
            tickets=len(handover.tickets),
        )
        return True

    def _start_steward(self, claim, before):
        known = self.executors.get(claim.target)
        if known is not None and known.claim.number == claim.number:
            known.claim = claim
            return
        target = self.services.controllers["config"].store.target(claim.target)
        if target is None or self.services.leaving:
            return
        if known is not None:
            self.end_stewardship(claim.target, reason="own-newer-claim")
        log = self.services.state_log
        is_first = before is None and log.first_offset == 0
        steward = TargetSteward(
            target=target,
            fencing_number=claim.number,
            instance=self.services.instance,
            now=self.services.clock(),
            policy=self.policy,
            authority=self.authority,
            permissions=Permissions.FULL if claim.full_powers else Permissions.LIMITED,
            predecessor=not is_first,
        )
        executor = StewardExecutor(
            steward=steward,
            engines=self.engines,
            permits=self.services.controllers["limits"],
            clock=self.services.clock,
            claim=claim,
            on_stale=self._note_stale,
        )
        executor.predecessor = None if before is None else before.number
        self.executors[claim.target] = executor
        log_event(
            logger,
            "stewardship-began",
            target=claim.target,
            number=claim.number,
            permissions=steward.permissions,
        )

    def _note_stale(self, target):
        executor = self.executors.get(target)
        if executor is not None:
            self.election.invalidate(executor.claim)
            self.end_stewardship(target, reason="stale-fencing-number")

    async def _release(self, targets):
        targets = [
            t for t in targets if t in self.executors and t not in self.releasing
        ]
        self.releasing.update(targets)
        try:
            await asyncio.gather(*(self.executors[t].retire() for t in targets))
            moved = [t for t in targets if t in self.executors]
            records = []
            for target in moved:
                executor = self.executors.pop(target)
                self.handing_over[target] = executor
                records.append(
                    release_record(target=target, number=executor.claim.number)
                )
            if records:
                outcome = await self.services.log.append("state", records)
                released = isinstance(outcome, Appended)
                log_event(logger, "stewardship-released", appended=released)
        finally:
            self.releasing.difference_update(targets)

    async def _send_handover(self, claim):
        executor = self.handing_over.pop(claim.target, None)
        if executor is None:
            return
        membership = self.services.controllers["membership"]
        members = membership.members(self.services.clock())
        address = next(
            (m.address for m in members if m.instance == claim.instance), None
        )
        handover = handover_to_wire(executor.steward, self.services.clock())
        executor.close()
        if address is None:
            return
        stub = stewardship_pb2_grpc.StewardshipStub(self.services.peers.get(address))
        deadline = self.services.clock() + HAND_OVER_LIMIT_S
        while self.services.clock() < deadline:
            answer = await call_peer(
                stub.HandOver, handover, timeout=HAND_OVER_TIMEOUT_S
            )
            if not isinstance(answer, CallFailed) and answer.taken:
                return
            await asyncio.sleep(HAND_OVER_RETRY_S)

    def _claim(self, target, full_powers):
        return claim_record(
            target=target,
            instance=self.services.instance,
            boot=self.services.boot,
            data_centre=self.services.data_centre,
            full_powers=full_powers,
        )

    def _restatements(self):
        retention = self.services.settings.platform.log_retention
        due = self.table.due_restatements(
            instance=self.services.instance,
            boot=self.services.boot,
            stated_before=self.services.wall_clock() - retention * RESTATE_FRACTION,
        )
        return [
            self._claim(each.target, each.full_powers) | {"restates": each.number}
            for each in due
            if each.target in self.executors
        ]

    def _create_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._note_finished)

    def _note_finished(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            task.get_loop().call_exception_handler(
                {"message": "hand-over failed", "exception": task.exception()}
            )
