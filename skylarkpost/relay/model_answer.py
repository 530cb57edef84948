"""Answers to model requests, across resumed streams and repeated attempts."""

import asyncio
import contextlib
import logging

from skylarkpost.eventlog import log_event
from skylarkpost.outcomes import Reason, RunState
from skylarkpost.quarantine import Quarantined, quarantine_refusal
from skylarkpost.relay.assembly import count_generated
from skylarkpost.relay.attempts import AttemptFailed, AttemptLedger, GiveUp
from skylarkpost.relay.engine_request import engine_body
from skylarkpost.relay.sequence import AnswerSequence, Diverged, Dropped, Forwarded, Gap
from skylarkpost.targets import (
    Accepted,
    Answered,
    NotRun,
    StreamBroken,
    StreamEvent,
    TargetHealth,
)

__all__ = ["ModelAnswer"]

logger = logging.getLogger(__name__)

DONE = b"[DONE]"
MAX_RESUMES = 5
CLIENT_ERRORS = range(400, 500)


class ModelAnswer:
    """The streamed answer to one model request.

    Parameters
    ----------
    exchange : skylarkpost.filters.Exchange
        The request, with its first ticket.
    services : skylarkpost.daemon.Services
        Objects shared by all components of the instance.
    relay : skylarkpost.relay.RelayController
        Clients and the retry budget.

    Attributes
    ----------
    refusal : Refused or None
        Why the answer is incomplete; None as long as it has not failed.
    sequence : AnswerSequence
        The events received so far.
    """

    def __init__(self, *, exchange, services, relay):
        self.exchange = exchange
        self.services = services
        self.relay = relay
        self.engines = relay.engines
        self.ledger = AttemptLedger(repeatable=True, budget=relay.budget)
        self.sequence = AnswerSequence()
        self.refusal = None
        self.complete = False
        self.failure = None
        self.stream = None
        self.break_reason = ""
        self.target = None

    async def events(self):
        """Yield the events of the answer, each once and in order.

        When the iteration ends, either the last event was ``[DONE]`` or
        `refusal` is set.

        Yields
        ------
        bytes
        """
        watcher = asyncio.create_task(self._watch_cancel())
        try:
            while self.refusal is None and not self.complete:
                async with contextlib.aclosing(self._attempt()) as attempt:
                    async for data in attempt:
                        yield data
                if not self.complete:
                    await self._retry_or_refuse()
        finally:
            watcher.cancel()

    async def _watch_cancel(self):
        await self.exchange.cancel_event.wait()
        if self.stream is not None:
            self.stream.close()

    async def _attempt(self):
        ticket = self.exchange.ticket
        self.target = ticket.target
        self.failure = None
        self._check_quarantine()
        if self.refusal is not None:
            self.relay.release_ticket(self.exchange, certain=True, succeeded=False)
            return
        if not self.services.controllers["stewardship"].may_dispatch(ticket):
            detail = "the ticket's lease ended"
            self._fail(Reason.TARGET_TIMEOUT, detail, ran=False, avoid=False)
            self.relay.release_ticket(self.exchange, certain=True, succeeded=False)
            return
        self.ledger.begin()
        number = self.sequence.begin_attempt()
        request_id = f"{self.exchange.request_id}.{number}"
        quarantine = self.services.controllers["quarantine"]
        target_boot = {"target": ticket.target, "boot": ticket.boot}
        quarantine.note_started(self.exchange, **target_boot)
        dispatched_before = self.exchange.dispatched
        self.exchange.dispatched = True
        try:
            opened = await self._open(ticket, request_id)
            if isinstance(opened, NotRun):
                self.exchange.dispatched = dispatched_before
                detail, avoid = (
                    f"target said {opened.code}",
                    opened.code != "wrong-boot",
                )
                self._fail(Reason.TARGET_FAILED, detail, ran=False, avoid=avoid)
                return
            async for data in self._read_with_resumes(
                opened, ticket, request_id, number
            ):
                yield data
        finally:
            quarantine.note_ended(self.exchange, **target_boot)
            self._end_attempt(ticket, request_id)

    def _check_quarantine(self):
        quarantine = self.services.controllers["quarantine"]
        verdict = quarantine.verdict(
            self.exchange.fingerprint, now=self.services.clock()
        )
        if isinstance(verdict, Quarantined):
            state = RunState.UNKNOWN if self.ledger.may_have_run else RunState.NOT_RUN
            self.refusal = quarantine_refusal(verdict, run_state=state)

    def _end_attempt(self, ticket, request_id):
        self.exchange.generated_tokens = count_generated(self.sequence.forwarded)
        not_run = self.failure is not None and not self.failure.may_have_run
        if not self.complete and not not_run:
            self.relay.cancel_in_background(ticket, request_id)
        certain = self.complete or not_run
        self.relay.release_ticket(
            self.exchange, certain=certain, succeeded=self.complete
        )

    async def _open(self, ticket, request_id):
        self._note("sent", f"{ticket.target} {ticket.lora_name} attempt {request_id}")
        return await self.engines.open_stream(
            ticket.address,
            path=self.exchange.path,
            body=engine_body(self.exchange, lora_name=ticket.lora_name),
            request_id=request_id,
            fencing_number=ticket.fencing_number,
            boot=ticket.boot,
        )

    async def _read_with_resumes(self, opened, ticket, request_id, number):
        resumes = 0
        while True:
            break_reason = "no answer in time"
            if isinstance(opened, Accepted):
                self.stream = opened.stream
                async with contextlib.aclosing(self._read_stream(number)) as items:
                    async for data in items:
                        yield data
                break_reason = self.break_reason
            elif isinstance(opened, Answered):
                self._fail_with_status(opened)
            if self.complete or self.failure is not None or self._is_stopped():
                return
            resumes += 1
            if resumes > MAX_RESUMES:
                self._fail(Reason.STREAM_BROKEN, "the stream broke too often", ran=True)
                return
            self.services.metrics.count_event("stream-resumed")
            self._note(
                "resuming", f"after event {self.sequence.received}: {break_reason}"
            )
            opened = await self.engines.resume(
                ticket.address, request_id=request_id, after=self.sequence.received
            )
            if not isinstance(opened, Accepted):
                await self._classify_lost_stream(ticket, break_reason)
                return

    async def _read_stream(self, number):
        self.break_reason = "the stream ended early"
        async with contextlib.aclosing(aiter(self.stream)) as items:
            async for item in items:
                if isinstance(item, StreamEvent):
                    verdict = self.sequence.accept(
                        attempt=number, event_id=item.id, data=item.data
                    )
                    if isinstance(verdict, Forwarded):
                        self._note_first_byte()
                        self.complete = item.data == DONE
                        yield item.data
                    elif not self._continue_after(verdict):
                        return
                elif isinstance(item, StreamBroken):
                    self.break_reason = item.detail
                if self._is_stopped():
                    return

    def _continue_after(self, verdict):
        if isinstance(verdict, Dropped):
            if verdict.reason != "replayed":
                self.services.metrics.count_event(f"event-dropped-{verdict.reason}")
            return True
        if isinstance(verdict, Gap):
            self.break_reason = "an event is missing"
        if isinstance(verdict, Diverged):
            self._fail(Reason.STREAM_BROKEN, "a repeated answer differs", ran=True)
            self.refusal = self.ledger.refusal(self.failure.reason, self.failure.detail)
        return False

    async def _classify_lost_stream(self, ticket, break_reason):
        """Check whether the target crashed; if so, report it to the quarantine."""
        health = await self.engines.health(ticket.address)
        same_boot = isinstance(health, TargetHealth) and health.boot == ticket.boot
        unreachable = not isinstance(health, TargetHealth)
        if same_boot or (unreachable and break_reason == "silent"):
            self._fail(Reason.TARGET_TIMEOUT, "the target went silent", ran=True)
            return
        self._fail(Reason.TARGET_FAILED, "the target crashed", ran=True)
        await self.services.controllers["quarantine"].target_crashed(
            target=ticket.target, boot=ticket.boot
        )

    async def _retry_or_refuse(self):
        if self.exchange.cancelled is not None:
            self.refusal = self.ledger.cancellation_refusal(
                self.exchange.cancelled, dispatched=self.exchange.dispatched
            )
            return
        if self.refusal is not None:
            return
        now = self.services.clock()
        if self.failure is None:
            self._fail(Reason.DEADLINE_PASSED, "the time for it is over", ran=True)
        self._note("failed", f"{self.target}: {self.failure.detail}")
        verdict = self.ledger.record_failure(
            self.failure, target=self.target, now=now, deadline=self.exchange.deadline
        )
        if isinstance(verdict, GiveUp):
            self.refusal = verdict.refusal
            return
        self.refusal = await self.relay.acquire_next_ticket(
            self.exchange, ledger=self.ledger
        )

    def _fail_with_status(self, answered):
        detail = f"the target answered with status {answered.status}"
        self._fail(Reason.TARGET_FAILED, detail, ran=True)
        if answered.status in CLIENT_ERRORS:
            self.ledger.may_have_run = True
            self.refusal = self.ledger.refusal(self.failure.reason, detail)

    def _fail(self, reason, detail, *, ran, avoid=True):
        self.failure = AttemptFailed(
            reason=reason, detail=detail, may_have_run=ran, avoid_target=avoid
        )

    def _is_stopped(self):
        late = self.services.clock() >= self.exchange.deadline
        return late or self.exchange.cancelled is not None

    def _note_first_byte(self):
        if self.exchange.first_byte_at is None:
            self.exchange.first_byte_at = self.services.clock()

    def _note(self, decision, detail):
        now = self.services.clock()
        self.exchange.note("dispatch", decision, now=now, detail=detail)
        log_event(
            logger,
            f"attempt-{decision}",
            level=logging.DEBUG,
            request=self.exchange.request_id,
            detail=detail,
        )
