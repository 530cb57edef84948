"""Shares crash reports between instances and keeps quarantines on the log."""

import asyncio
import logging

import msgspec

from skylarkpost.controllers import Controller, register_controller
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
    """Knows which requests run on which target, and what crashed them.

    Attributes
    ----------
    tracker : SuspectTracker
        The decisions.
    running : dict of Crash to set of skylarkpost.filters.Exchange
        Requests of this instance, by the target and boot that they run on.
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
        self.reported = {}
        self.tasks = set()

    def add_to_server(self, server):
        """Serve crash reports of peers. See `Controller.add_to_server`."""
        servicer = QuarantineServicer(controller=self)
        quarantine_pb2_grpc.add_QuarantineServicer_to_server(servicer, server)

    async def start(self):
        """Read quarantines from the log. See `Controller.start`."""
        self.services.state_log.subscribe(RECORD_TYPE, self._apply_record)
        self.services.controllers["membership"].subscribe(TOPIC, self._handle_digest)

    async def stop(self):
        """End open reports. See `Controller.stop`."""
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
        """Judge one request. See `SuspectTracker.verdict`."""
        return self.tracker.verdict(fingerprint, now=now)

    def note_started(self, exchange, *, target, boot):
        """Note that a request is about to run on a target.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request.
        target, boot : str
            Where it runs.
        """
        self.running.setdefault(Crash(target, boot), set()).add(exchange)

    def note_ended(self, exchange, *, target, boot):
        """Note that a request does not run on a target any more.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request.
        target, boot : str
            Where it ran.
        """
        crash = Crash(target, boot)
        exchanges = self.running.get(crash, set())
        exchanges.discard(exchange)
        if not exchanges:
            self.running.pop(crash, None)

    async def target_crashed(self, *, target, boot):
        """Hold a crash against all requests that ran there, and tell the peers.

        Returns when each reachable peer has been told or has not answered in
        time, so that a request that is refused afterwards is known everywhere.

        Parameters
        ----------
        target, boot : str
            The run of the target that ended.
        """
        crash = Crash(target, boot)
        if crash not in self.reported:
            task = asyncio.create_task(self._report_crash(crash))
            self.reported[crash] = task
            self._track_task(task)
            task.add_done_callback(lambda _: self.reported.pop(crash, None))
        await asyncio.shield(self.reported[crash])

    async def note_answered(self, exchange):
        """Clear a suspect whose answer came in full.

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
        """Take in a crash report, of this instance or a peer.

        Parameters
        ----------
        report : CrashReport
            What was seen.
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
        pause = FIRST_RETRY_S
        while isinstance(self._current_verdict(fingerprint), Quarantined):
            if isinstance(await self.services.state_log.append(record), Appended):
                return
            await asyncio.sleep(pause)
            pause = min(MAX_RETRY_S, pause * 2.0)

    def _current_verdict(self, fingerprint):
        return self.tracker.verdict(fingerprint, now=self.services.clock())

    def _publish(self):
        """Tell all members what is quarantined, also those that start later."""
        now, wall_now = self.services.clock(), self.services.wall_clock()
        ends = {
            fingerprint: round(wall_now + verdict.seconds_left, 1)
            for fingerprint in self.tracker.records
            if isinstance(
                verdict := self.tracker.verdict(fingerprint, now=now), Quarantined
            )
        }
        payload = msgspec.json.encode(ends)
        self.services.controllers["membership"].publish(TOPIC, payload)

    def _handle_digest(self, member, payload, now):
        ends = msgspec.json.decode(payload, type=dict[str, float])
        for fingerprint, ends_at in ends.items():
            seconds = ends_at - self.services.wall_clock()
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
    """Takes crash reports of peers.

    Parameters
    ----------
    controller : QuarantineController
        Where they go.
    """

    def __init__(self, *, controller):
        self.controller = controller

    async def ReportCrash(self, request, context):  # noqa: N802
        """Take in one report."""
        report = CrashReport(
            Crash(request.target, request.boot),
            tuple(request.fingerprints),
            tuple(request.cleared),
            request.age,
        )
        await self.controller.handle_report(report)
        return quarantine_pb2.ReportCrashReply()
