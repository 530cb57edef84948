"""Claims stewardships, restates them, and hands them over."""

import asyncio
import logging

from skylarkpost.eventlog import log_event
from skylarkpost.log import Appended
from skylarkpost.rpc import CallFailed, call_peer, stewardship_pb2_grpc
from skylarkpost.stewardship.election import ClaimTarget
from skylarkpost.stewardship.seat import StewardSeat
from skylarkpost.stewardship.steward import Permissions, TargetSteward
from skylarkpost.stewardship.table import RELEASE, claim_record, release_record
from skylarkpost.stewardship.wire import book_to_wire

__all__ = ["SeatKeeper"]

logger = logging.getLogger(__name__)

HAND_OVER_TIMEOUT_S = 1.0
HAND_OVER_PATIENCE_S = 3.0
RESTATE_FRACTION = 0.4
LEAVE_POLL_S = 0.05


class SeatKeeper:
    """Keeps the stewards that run on this instance.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        What the instance shares between its parts.
    table : StewardshipTable
        Claims on the log.
    election : Election
        Decides what to claim and release.
    authority : Authority
        Whether the instance may act.
    policy : StewardPolicy
        For the stewards.
    engines : skylarkpost.targets.EngineClient
        Client of the engines.

    Attributes
    ----------
    seats : dict of str to StewardSeat
        By target.
    handing_over : dict of str to StewardSeat
        Retired stewards whose successor is not known yet.
    """

    def __init__(self, *, services, table, election, authority, policy, engines):
        self.services = services
        self.table = table
        self.election = election
        self.authority = authority
        self.policy = policy
        self.engines = engines
        self.seats = {}
        self.handing_over = {}
        self.busy = set()
        self.tasks = set()

    def read_record(self, record, offset, time, now):
        """Take in one record of the log.

        Parameters
        ----------
        record : dict
            The record.
        offset : int
            Its offset.
        time : float
            When it was appended, by the log's wall clock.
        now : float
            The present time, in seconds.
        """
        target = record.get("target")
        before = self.table.full.get(target) or self.table.limited.get(target)
        claim = self.table.apply(record, offset, time)
        if claim is None:
            return
        if record["type"] == RELEASE:
            return
        if self.election.is_own(claim):
            self._take_seat(claim, before)
            return
        seat = self.seats.get(claim.target)
        if seat is not None and claim.full_powers >= seat.claim.full_powers:
            self.drop(claim.target, reason="newer-claim")
        if claim.target in self.handing_over:
            self._keep(self._push_book(claim))

    async def act(self, targets, peers, now):
        """Claim and release what the election decides, and restate claims.

        Parameters
        ----------
        targets : list of skylarkpost.config.Target
            The engines.
        peers : list of Peer
            Live instances.
        now : float
            The present time, in seconds.
        """
        decisions = self.election.decide(targets, self.table, peers, now)
        records = []
        for decision in decisions:
            if isinstance(decision, ClaimTarget):
                records.append(self._claim(decision.target, decision.full_powers))
            elif decision.target not in self.busy:
                self._keep(self._release([decision.target]))
        records += self._restatements()
        if records:
            await self.services.log.append("state", records)

    async def leave(self):
        """Hand all stewardships over."""
        await self._release(list(self.seats))
        deadline = self.services.clock() + HAND_OVER_PATIENCE_S
        while self.handing_over and self.services.clock() < deadline:
            await asyncio.sleep(LEAVE_POLL_S)

    def stop(self):
        """End all work."""
        for task in self.tasks:
            task.cancel()
        for seat in (*self.seats.values(), *self.handing_over.values()):
            seat.close()

    def drop(self, target, *, reason):
        """Stop being steward at once.

        Parameters
        ----------
        target : str
            The target.
        reason : str
            For the log line.
        """
        seat = self.seats.pop(target, None)
        if seat is not None:
            seat.close()
            log_event(logger, "stewardship-ended", target=target, reason=reason)

    def take_book(self, book):
        """Take in the tickets that a predecessor hands over.

        Parameters
        ----------
        book : skylarkpost.rpc.stewardship_pb2.TicketBook
            What it knew.

        Returns
        -------
        bool
            Whether it was of use.
        """
        seat = self.seats.get(book.target)
        if seat is None:
            return False
        if seat.predecessor != book.released_number:
            return False
        seat.predecessor = None
        seat.take_over(book)
        log_event(
            logger, "book-taken-over", target=book.target, tickets=len(book.tickets)
        )
        return True

    def _take_seat(self, claim, before):
        known = self.seats.get(claim.target)
        if known is not None and known.claim.number == claim.number:
            known.claim = claim
            return
        target = self.services.controllers["config"].store.target(claim.target)
        if target is None or self.services.leaving:
            return
        if known is not None:
            self.drop(claim.target, reason="own-newer-claim")
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
        seat = StewardSeat(
            steward=steward,
            engines=self.engines,
            permits=self.services.controllers["limits"],
            clock=self.services.clock,
            claim=claim,
            on_stale=self._note_stale,
        )
        seat.predecessor = None if before is None else before.number
        self.seats[claim.target] = seat
        log_event(
            logger,
            "stewardship-began",
            target=claim.target,
            number=claim.number,
            permissions=steward.permissions,
        )

    def _note_stale(self, target):
        seat = self.seats.get(target)
        if seat is not None:
            self.election.disown(seat.claim)
            self.drop(target, reason="stale-fencing-number")

    async def _release(self, targets):
        targets = [t for t in targets if t in self.seats and t not in self.busy]
        self.busy.update(targets)
        try:
            await asyncio.gather(*(self.seats[t].retire() for t in targets))
            moved = [t for t in targets if t in self.seats]
            records = []
            for target in moved:
                seat = self.seats.pop(target)
                self.handing_over[target] = seat
                records.append(release_record(target=target, number=seat.claim.number))
            if records:
                outcome = await self.services.log.append("state", records)
                released = isinstance(outcome, Appended)
                log_event(logger, "stewardship-released", appended=released)
        finally:
            self.busy.difference_update(targets)

    async def _push_book(self, claim):
        seat = self.handing_over.pop(claim.target, None)
        if seat is None:
            return
        membership = self.services.controllers["membership"]
        members = membership.members(self.services.clock())
        address = next(
            (m.address for m in members if m.instance == claim.instance), None
        )
        book = book_to_wire(seat.steward, self.services.clock())
        seat.close()
        if address is None:
            return
        stub = stewardship_pb2_grpc.StewardshipStub(self.services.peers.get(address))
        deadline = self.services.clock() + HAND_OVER_PATIENCE_S
        while self.services.clock() < deadline:
            answer = await call_peer(stub.HandOver, book, timeout=HAND_OVER_TIMEOUT_S)
            if not isinstance(answer, CallFailed) and answer.taken:
                return
            await asyncio.sleep(LEAVE_POLL_S)

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
            if each.target in self.seats
        ]

    def _keep(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            task.get_loop().call_exception_handler(
                {"message": "hand-over failed", "exception": task.exception()}
            )
