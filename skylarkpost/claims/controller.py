"""Claims idempotency keys through the log."""

import asyncio
import logging
import uuid

from skylarkpost.claims.appender import BatchAppender
from skylarkpost.claims.keys import KeyAgeLimits
from skylarkpost.claims.records import CLAIM, ENDS
from skylarkpost.claims.request_claim import RequestClaim, Stage
from skylarkpost.claims.table import ClaimTable
from skylarkpost.controllers import Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.log import AppendRefused, LogFollower

__all__ = ["ClaimsController"]

logger = logging.getLogger(__name__)

CLAIMS_STREAM = "claims"
MAX_END_RECORDS = 2000


@register_controller("claims", order=40)
class ClaimsController(Controller):
    """Follows the ``claims`` stream and claims keys for requests.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Shared services of the instance.

    Attributes
    ----------
    table : ClaimTable
        The first claim on each key.
    age_limits : KeyAgeLimits
        Bounds on the age of keys.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.settings = services.settings.claims
        self.age_limits = KeyAgeLimits(services.settings.platform.log_retention)
        self.table = ClaimTable(
            age_limits=self.age_limits, max_answer_bytes=self.settings.max_answer_bytes
        )
        self.follower = LogFollower(
            log=services.log,
            stream=CLAIMS_STREAM,
            clock=services.clock,
            random=services.random,
        )
        for record_type in (CLAIM, *ENDS):
            self.follower.subscribe(record_type, self._apply_record)
        self.appender = BatchAppender(log=services.log, stream=CLAIMS_STREAM)
        self.pending_claims = {}
        self.tasks = set()

    async def start(self):
        """Start following the stream. See `Controller.start`."""
        self.follower.start()

    async def stop(self):
        """Wait for pending end records, then stop. See `Controller.stop`."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=self.settings.window)
        await self.follower.stop()
        self.appender.close()

    def degraded(self):
        """Return whether claims are unavailable. See `Controller.degraded`."""
        if self.follower.available:
            return []
        return ["Work that may not be repeated is refused: no log (stream claims)."]

    def status(self):
        """Return offsets and table sizes. See `Controller.status`."""
        return {
            "applied_offset": self.follower.applied_offset,
            "end_offset": self.follower.end_offset,
            "keys": len(self.table.states),
            "answer_bytes": self.table.answer_bytes,
            "claiming": len(self.pending_claims),
        }

    async def claim(self, *, key, made_at, fingerprint):
        """Claim a key for a request.

        Parameters
        ----------
        key : str
            Hash of the key.
        made_at : float
            When the key was made, in wall-clock seconds.
        fingerprint : str
            Hash of the request.

        Returns
        -------
        RequestClaim
            Won, lost, refused by the log, or given up when the log was too slow.
        """
        clock = self.services.clock
        request_claim = RequestClaim(
            claim=uuid.uuid4().hex,
            key=key,
            made_at=made_at,
            fingerprint=fingerprint,
            now=clock(),
            window=self.settings.window,
            life=self.settings.window + self.services.settings.requests.deadline,
        )
        read_back = asyncio.get_running_loop().create_future()
        self.pending_claims[request_claim.claim] = read_back
        try:
            await self._append_and_read_back(request_claim, read_back)
        finally:
            del self.pending_claims[request_claim.claim]
            if request_claim.stage is Stage.CLAIMING:
                request_claim.give_up()
                self.note_end(request_claim, certainly_not_run=True, answer=None)
        return request_claim

    async def _append_and_read_back(self, request_claim, read_back):
        outcome = await self.appender.append(request_claim.claim_record())
        if isinstance(outcome, AppendRefused):
            request_claim.note_refused()
            return
        wait = max(0.0, request_claim.send_by - self.services.clock())
        try:
            request_claim.apply_verdict(await asyncio.wait_for(read_back, wait))
        except TimeoutError:
            self.services.metrics.count_event("claim-not-read-back")

    def note_end(self, request_claim, *, certainly_not_run, answer):
        """Append the record of how a claimed request ended.

        Parameters
        ----------
        request_claim : RequestClaim
            The claim.
        certainly_not_run : bool
            Whether no target has run or can still run it.
        answer : skylarkpost.filters.Answer or None
            The complete answer, if any.
        """
        record = request_claim.end(certainly_not_run=certainly_not_run, answer=answer)
        if record is None:
            return
        if len(self.tasks) >= MAX_END_RECORDS:
            self.services.metrics.count_event("claim-end-dropped")
            return
        task = asyncio.get_running_loop().create_task(self._append_end(record))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _append_end(self, record):
        outcome = await self.appender.append(record)
        log_event(
            logger,
            record["type"],
            key=record["key"],
            claim=record["claim"],
            outcome=type(outcome).__name__,
        )

    def _apply_record(self, record, offset, time, now):
        verdict = self.table.apply(record, time)
        if verdict is None:
            return
        read_back = self.pending_claims.get(record["claim"])
        if read_back is not None and not read_back.done():
            read_back.set_result(verdict)
