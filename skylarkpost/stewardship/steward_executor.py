"""Executes the commands of one target's steward."""

import asyncio
import logging

from skylarkpost.eventlog import log_event
from skylarkpost.stewardship.conversion import report_from_client, ticket_from_wire
from skylarkpost.stewardship.messages import (
    FenceTarget,
    GrantTicket,
    LoadAdapter,
    RefuseTicket,
    RequestLoadPermit,
    ReturnLoadPermit,
    UnloadAdapter,
)
from skylarkpost.targets import (
    LoadReport,
    OrderDone,
    OrderFailed,
    OrderNotGiven,
    OrderRefused,
    TargetHealth,
)

__all__ = ["StewardExecutor"]

logger = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 2.0
ABANDONED_AFTER_S = 6.0
UNLOAD_TIMEOUT_S = 1.5
LOAD_TIMEOUT_S = 30.0
PERMIT_RETRY_S = 0.2
UPTIME_INTERVAL_S = 60.0
FENCE_NAME = "skylarkpost-fence@0"
STALE_FENCING_NUMBER = "stale-fencing-number"


class StewardExecutor:
    """Connects one `TargetSteward` to its engine and to ticket requests.

    Parameters
    ----------
    steward : TargetSteward
        The steward, which performs no I/O itself.
    engines : skylarkpost.targets.EngineClient
        Client of the engines.
    permits : skylarkpost.limits.LimitsController
        Issues permits for loads from the weight store.
    clock : callable
        Returns the current time in seconds.
    claim : Claim
        The claim under which the steward acts.
    on_stale : callable
        Called with the target's name when the engine has received a newer fencing
        number.
    answer_timeout : float
        Longest time that one request for a ticket waits, in seconds.

    Attributes
    ----------
    silent_since : float or None
        When the engine stopped answering, in seconds; None while it answers.
    last_report : skylarkpost.targets.LoadReport or None
        Last load report of the engine.
    predecessor : int or None
        Number of the previous claim, whose steward may hand over its tickets.
    """

    def __init__(
        self,
        *,
        steward,
        engines,
        permits,
        clock,
        claim,
        on_stale,
        answer_timeout=ANSWER_TIMEOUT_S,
    ):
        self.steward = steward
        self.engines = engines
        self.permits = permits
        self.clock = clock
        self.claim = claim
        self.on_stale = on_stale
        self.answer_timeout = answer_timeout
        self.silent_since = None
        self.last_report = None
        self.predecessor = None
        self.last_summary = None
        self.uptime_boot = None
        self.uptime_at = None
        self.tasks = set()
        self.closed = False
        self._waiters = {}
        self._requested_at = {}
        self._held_permits = []
        self._handlers = {
            GrantTicket: self._resolve_waiter,
            RefuseTicket: self._resolve_waiter,
            RequestLoadPermit: self._start_permit,
            ReturnLoadPermit: self._return_permit,
            LoadAdapter: self._start_load,
            UnloadAdapter: self._start_unload,
            FenceTarget: self._start_fence,
        }

    async def request_ticket(self, request):
        """Request a ticket, and wait up to the timeout for the decision.

        Parameters
        ----------
        request : TicketRequest
            The request.

        Returns
        -------
        GrantTicket or RefuseTicket or None
            None if the request is still queued; the caller has to repeat it soon.
        """
        if self.closed:
            return None
        ticket_id = request.ticket_id
        waiter = self._waiters.get(ticket_id)
        if waiter is None:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters[ticket_id] = waiter
        now = self.clock()
        self._requested_at[ticket_id] = now
        self.execute(self.steward.request(request, now))
        try:
            return await asyncio.wait_for(asyncio.shield(waiter), self.answer_timeout)
        except TimeoutError:
            return None

    def release_ticket(self, ticket_id, *, unused_tokens, certain):
        """Release a ticket, or withdraw a queued request.

        Parameters
        ----------
        ticket_id : str
            The ticket.
        unused_tokens : int
            Tokens that were charged and not used.
        certain : bool
            Whether the engine has certainly ended the request.
        """
        self._drop_waiter(ticket_id)
        self.execute(
            self.steward.return_ticket(
                ticket_id, self.clock(), unused_tokens=unused_tokens, certain=certain
            )
        )

    def renew(self, messages):
        """Renew tickets, or adopt those of an earlier steward.

        Parameters
        ----------
        messages : list of skylarkpost.rpc.stewardship_pb2.HeldTicket
            The tickets, all for this target.

        Returns
        -------
        list of str
            Ids of the tickets that remain valid.
        """
        now = self.clock()
        tickets = [(ticket_from_wire(each, now), each.boot) for each in messages]
        return self.steward.renew(tickets, now)

    def adopt_handover(self, handover):
        """Adopt the tickets that a predecessor handed over.

        Parameters
        ----------
        handover : skylarkpost.rpc.stewardship_pb2.TicketBook
            The predecessor's tickets and barred adapters.
        """
        now = self.clock()
        tickets = [ticket_from_wire(each, now) for each in handover.tickets]
        self.steward.adopt_tickets(tickets, handover.boot, now)
        for each in handover.barred:
            self.steward.slots.bar(each.lora_name, now + each.remaining)

    def summary(self, now):
        """Return the steward's summary; the previous object if nothing changed.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        TargetSummary
        """
        made = self.steward.summary(now)
        known = self.last_summary
        if known is None or made != known._replace(made_at=now):
            self.last_summary = made
        return self.last_summary

    def tick(self):
        """Run the steward's periodic work, and drop abandoned requests."""
        now = self.clock()
        for ticket_id, requested_at in list(self._requested_at.items()):
            if now - requested_at > ABANDONED_AFTER_S:
                self.release_ticket(ticket_id, unused_tokens=0, certain=True)
        self.execute(self.steward.tick(now))

    async def poll(self):
        """Poll the engine's load once."""
        report = await self.engines.load_report(self.steward.target.address)
        now = self.clock()
        if not isinstance(report, LoadReport):
            if self.silent_since is None:
                self.silent_since = now
            return
        self.silent_since = None
        self.last_report = report
        boot = self.steward.boot
        self.execute(self.steward.report(report_from_client(report), now))
        if boot not in (None, self.steward.boot):
            log_event(
                logger,
                "engine-restarted",
                target=self.steward.target.name,
                boot=self.steward.boot,
            )
        await self._poll_uptime(report.boot)

    async def _poll_uptime(self, boot):
        is_known = boot == self.uptime_boot
        if is_known and self.clock() - self.uptime_at < UPTIME_INTERVAL_S:
            return
        health = await self.engines.health(self.steward.target.address)
        if isinstance(health, TargetHealth) and health.uptime is not None:
            self.uptime_boot = health.boot
            self.uptime_at = health.answered_at
            self.steward.slots.residency.note_uptime(
                health.boot, health.uptime, requested_at=health.requested_at
            )

    def execute(self, commands):
        """Execute the commands of the steward.

        Parameters
        ----------
        commands : list of Command
            Returned by the steward's methods.
        """
        for command in commands:
            self._handlers[type(command)](command)

    async def retire(self):
        """Stop granting and ordering, and wait for the orders in flight."""
        self.execute(self.steward.retire(self.clock()))
        deadline = self.clock() + UNLOAD_TIMEOUT_S
        while self.steward.slots.has_orders() and self.clock() < deadline:
            await asyncio.sleep(0.05)

    def close(self):
        """Cancel all work; waiting requests look for another steward."""
        self.closed = True
        for task in self.tasks:
            task.cancel()
        for waiter in self._waiters.values():
            if not waiter.done():
                waiter.set_result(None)
        self._return_permits(len(self._held_permits))

    def _resolve_waiter(self, command):
        waiter = self._waiters.pop(command.ticket_id, None)
        self._requested_at.pop(command.ticket_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(command)

    def _drop_waiter(self, ticket_id):
        self._requested_at.pop(ticket_id, None)
        waiter = self._waiters.pop(ticket_id, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _start_permit(self, command):
        self._create_task(self._acquire_permit(command))

    async def _acquire_permit(self, command):
        permit = await self.permits.acquire_load_permit(
            urgency=command.urgency, waiting=command.waiting
        )
        if permit is None:
            await asyncio.sleep(PERMIT_RETRY_S)
            self.execute(self.steward.permit_denied(self.clock()))
            return
        self._held_permits.append(permit)
        self.execute(self.steward.permit_granted(self.clock()))

    def _return_permit(self, command):
        self._return_permits(1)

    def _return_permits(self, count):
        for _ in range(min(count, len(self._held_permits))):
            self._held_permits.pop().release(unused=True)

    def _start_load(self, command):
        permit = self._held_permits.pop() if self._held_permits else None
        self._create_task(self._load(command, permit))

    async def _load(self, command, permit):
        name, version = split_lora_name(command.lora_name)
        outcome = None
        try:
            outcome = await self.engines.load(
                self.steward.target.address,
                weight_name=name,
                version=version,
                fencing_number=command.fencing_number,
                boot=command.boot,
                timeout=LOAD_TIMEOUT_S,
            )
        finally:
            if permit is not None:
                permit.release(unused=isinstance(outcome, OrderRefused))
        self._end_order(command, outcome)

    def _start_unload(self, command):
        self._create_task(self._unload(command))

    async def _unload(self, command):
        outcome = await self.engines.unload(
            self.steward.target.address,
            lora_name=command.lora_name,
            fencing_number=command.fencing_number,
            boot=command.boot,
            timeout=UNLOAD_TIMEOUT_S,
        )
        self._end_order(command, outcome)

    def _end_order(self, command, outcome):
        log_event(
            logger,
            "order-ended",
            target=self.steward.target.name,
            order=type(command).__name__,
            adapter=command.lora_name,
            outcome=type(outcome).__name__,
            code=getattr(outcome, "code", None),
        )
        if isinstance(outcome, OrderNotGiven):
            self.execute(self.steward.order_withdrawn(command, self.clock()))
            return
        succeeded = isinstance(outcome, OrderDone)
        certain = isinstance(outcome, OrderDone | OrderFailed | OrderRefused)
        self.execute(
            self.steward.order_ended(
                command, self.clock(), succeeded=succeeded, certain=certain
            )
        )
        self._check_fencing(outcome)

    def _start_fence(self, command):
        self._create_task(self._fence(command))

    async def _fence(self, command):
        outcome = await self.engines.unload(
            self.steward.target.address,
            lora_name=FENCE_NAME,
            fencing_number=command.fencing_number,
            boot=command.boot,
            timeout=UNLOAD_TIMEOUT_S,
        )
        seen = isinstance(outcome, OrderDone | OrderFailed)
        self.execute(self.steward.fence_ended(command, self.clock(), succeeded=seen))
        self._check_fencing(outcome)

    def _check_fencing(self, outcome):
        if isinstance(outcome, OrderRefused) and outcome.code == STALE_FENCING_NUMBER:
            self.on_stale(self.steward.target.name)

    def _create_task(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._note_finished)

    def _note_finished(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            task.get_loop().call_exception_handler(
                {"message": "steward's task failed", "exception": task.exception()}
            )


def split_lora_name(lora_name):
    """Split an adapter's name into adapter and version.

    Parameters
    ----------
    lora_name : str
        ``ADAPTER@VERSION``.

    Returns
    -------
    tuple of str
    """
    name, _, version = lora_name.rpartition("@")
    return name, version
