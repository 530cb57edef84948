"""Exchanges crash reports with peers and stores quarantines in the log."""

import asyncio
import logging

import msgspec

from skylarkpost.controllers import Controller, register_controller
from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.eventlog import log_event
from skylarkpost.log import Appended
from skylarkpost.quarantine.suspects import (
    Crash,
    CrashReport,
    Quarantined,
    SuspectTracker,
)
from skylarkpost.rpc import call_peer, quarantine_pb2, quarantine_pb2_grpc

__all__ = ["QuarantineController"]

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 0.5
SUSPECT_LIMIT = 20_000
RECORD_TYPE = "quarantine"
TOPIC = "quarantine"
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 15.0


@register_controller("quarantine", order=50)
class QuarantineController(Controller):
    """Tracks the requests that run on each target and attributes its crashes.

    Attributes
    ----------
    tracker : SuspectTracker
        Decides which requests are suspects or quarantined.
    running : dict of Crash to set of skylarkpost.filters.Exchange
        Requests of this instance by the target and boot on which they run.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        settings = services.settings.quarantine
        self.tracker = SuspectTracker(
            suspect_life=settings.suspect_life,
            quarantine_life=settings.quarantine_life,
            limit=SUSPECT_LIMIT,
        )
        self.running = {}
        self.report_tasks = {}
        self.tasks = set()

    def add_to_server(self, server):
        """Register the servicer for crash reports. See `Controller.add_to_server`."""
        servicer = QuarantineServicer(controller=self)
        quarantine_pb2_grpc.add_QuarantineServicer_to_server(servicer, server)

    async def start(self):
        """Subscribe to quarantines of the log and of peers. See `Controller.start`."""
        self.services.state_log.subscribe(RECORD_TYPE, self._apply_record)
        self.services.controllers["membership"].subscribe(TOPIC, self._handle_digest)

    async def stop(self):
        """Cancel unfinished reports. See `Controller.stop`."""
        for task in self.tasks:
            task.cancel()

    def status(self):
        """Return counts. See `Controller.status`."""
        quarantined = [
            fingerprint
            for fingerprint, record in self.tracker.records.items()
            if record.quarantined_until is not None
        ]
        return {"known": len(self.tracker.records), "quarantined": quarantined}

    def verdict(self, fingerprint, *, now):
        """Return the verdict on a request. See `SuspectTracker.verdict`."""
        return self.tracker.verdict(fingerprint, now=now)

    def note_started(self, exchange, *, target, boot):
        """Record that a request is about to run on a target.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request.
        target, boot : str
            Target and boot on which it runs.
        """
        self.running.setdefault(Crash(target, boot), set()).add(exchange)

    def note_ended(self, exchange, *, target, boot):
        """Record that a request no longer runs on a target.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request.
        target, boot : str
            Target and boot on which it ran.
        """
        crash = Crash(target, boot)
        exchanges = self.running.get(crash, set())
        exchanges.discard(exchange)
        if not exchanges:
            self.running.pop(crash, None)

    async def target_crashed(self, *, target, boot):
        """Make all requests that ran on the target suspects and report to peers.

        Returns once every reachable peer has answered or timed out, so that
        peers know of the crash before the request is refused.

        Parameters
        ----------
        target, boot : str
            Target and the boot that ended in the crash.
        """
        crash = Crash(target, boot)
        if crash not in self.report_tasks:
            task = asyncio.create_task(self._report_crash(crash))
            self.report_tasks[crash] = task
            self._track_task(task)
            task.add_done_callback(lambda _: self.report_tasks.pop(crash, None))
        await asyncio.shield(self.report_tasks[crash])

    async def note_answered(self, exchange):
        """Clear a suspect that was answered completely.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request.
        """
        now = self.services.clock()
        for crash in self.tracker.note_answered(exchange.fingerprint, now=now):
            cleared = (exchange.fingerprint,)
            self._track_task(
                asyncio.create_task(
                    self._report_to_peers(CrashReport(crash, (), cleared, 0.0))
                )
            )

    async def handle_report(self, report):
        """Apply a crash report of this instance or a peer.

        Parameters
        ----------
        report : CrashReport
            The report.
        """
        now = self.services.clock()
        for fingerprint in self.tracker.add_report(report, now=now):
            log_event(
                logger,
                "request-quarantined",
                fingerprint=fingerprint,
                target=report.crash.target,
            )
            self.services.metrics.count_event("request-quarantined")
            self._publish()
            self._track_task(asyncio.create_task(self._write_record(fingerprint)))

    async def _report_crash(self, crash):
        exchanges = self.running.get(crash, set())
        for exchange in exchanges:
            exchange.suspect = True
        fingerprints = sorted({e.fingerprint for e in exchanges})
        log_event(
            logger,
            "target-crashed",
            target=crash.target,
            boot=crash.boot,
            suspects=len(fingerprints),
        )
        self.services.metrics.count_event("target-crashed")
        report = CrashReport(crash, tuple(fingerprints), (), 0.0)
        await self.handle_report(report)
        await self._report_to_peers(report)

    async def _report_to_peers(self, report):
        membership = self.services.controllers["membership"]
        now = self.services.clock()
        message = quarantine_pb2.CrashReport(
            target=report.crash.target,
            boot=report.crash.boot,
            fingerprints=report.fingerprints,
            cleared=report.cleared,
            age=report.age,
        )
        calls = [
            self._report_to_peer(member.address, message)
            for member in membership.reachable(now)
            if member.instance != self.services.instance
        ]
        await asyncio.gather(*calls)

    async def _report_to_peer(self, address, message):
        stub = quarantine_pb2_grpc.QuarantineStub(self.services.peers.get(address))
        await call_peer(stub.ReportCrash, message, timeout=REPORT_TIMEOUT_S)

    async def _write_record(self, fingerprint):
        settings = self.services.settings.quarantine
        record = {
            "type": RECORD_TYPE,
            "fingerprint": fingerprint,
            "seconds": settings.quarantine_life,
            "instance": self.services.instance,
        }
        retry_delay = FIRST_RETRY_S
        while isinstance(self._current_verdict(fingerprint), Quarantined):
            if isinstance(await self.services.state_log.append(record), Appended):
                return
            await asyncio.sleep(retry_delay)
            retry_delay = min(MAX_RETRY_S, retry_delay * 2.0)

    def _current_verdict(self, fingerprint):
        return self.tracker.verdict(fingerprint, now=self.services.clock())

    def _publish(self):
        """Publish all quarantines to the members, including later ones."""
        now, wall_now = self.services.clock(), self.services.wall_clock()
        expiries = {
            fingerprint: round(wall_now + verdict.seconds_left, 1)
            for fingerprint in self.tracker.records
            if isinstance(
                verdict := self.tracker.verdict(fingerprint, now=now), Quarantined
            )
        }
        payload = msgspec.json.encode(expiries)
        self.services.controllers["membership"].publish(TOPIC, payload)

    def _handle_digest(self, member, payload, now):
        expiries = decode_json(payload, dict[str, float])
        if isinstance(expiries, Malformed):
            self.services.metrics.count_event("malformed-digest")
            return
        for fingerprint, expires_at in expiries.items():
            seconds = expires_at - self.services.wall_clock()
            if seconds > 0.0:
                self.tracker.quarantine(fingerprint, seconds=seconds, now=now)

    def _apply_record(self, record, offset, time, now):
        age = max(0.0, self.services.wall_clock() - time)
        seconds = record["seconds"] - age
        if seconds > 0.0:
            self.tracker.quarantine(record["fingerprint"], seconds=seconds, now=now)

    def _track_task(self, task):
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class QuarantineServicer(quarantine_pb2_grpc.QuarantineServicer):
    """Receives crash reports of peers.

    Parameters
    ----------
    controller : QuarantineController
        Controller that applies them.
    """

    def __init__(self, *, controller):
        self.controller = controller

    async def ReportCrash(self, request, context):  # noqa: N802
        """Apply one report."""
        report = CrashReport(
            Crash(request.target, request.boot),
            tuple(request.fingerprints),
            tuple(request.cleared),
            request.age,
        )
        await self.controller.handle_report(report)
        return quarantine_pb2.ReportCrashReply()
