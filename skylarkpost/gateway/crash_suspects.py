"""Controller and filter that keep requests from crashing one target after the other."""

import asyncio
import logging
import math

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.filters import Filter, register_filter
from skylarkpost.gateway.cause_store import CauseStore
from skylarkpost.gateway.crash_detection import CrashDetector, LostRequest
from skylarkpost.outcomes import Reason, Refused, RunState
from skylarkpost.quarantine import (
    Clear,
    CrashEvidence,
    OnTrial,
    Quarantined,
    TrialRegister,
    begun_traits,
    shared_part_traits,
    traits_of,
)
from skylarkpost.quarantine.crash_news import CrashNews, SeenCrash, decode, encode
from skylarkpost.rendezvous import choose_member
from skylarkpost.rpc import (
    CallFailed,
    call_peer,
    quarantine_pb2,
    quarantine_pb2_grpc,
)
from skylarkpost.runtime import BackgroundTask

__all__ = ["CrashSuspectController", "CrashSuspectFilter"]

logger = logging.getLogger(__name__)

DIGEST_TOPIC = "crashes"
TICK_INTERVAL_S = 0.5
# Digests carry ages, which must not get much older than this on an idle connection.
REFRESH_INTERVAL_S = 5.0
# Longer than most requests wait for their answer to begin.
TRIAL_LEASE_S = 5.0
# About the time until an answer begins.
TRIAL_RETRY_AFTER_S = 1.0
PEER_TIMEOUT_S = 0.5
# Beyond this many instances, the others learn of a crash from digests.
MAX_PEERS_TOLD = 128
# Together these keep a digest below the bound of the heartbeats.
MAX_OWN_CRASHES = 24
MAX_TRAITS_PER_CRASH = 128
MAX_OWN_ANSWERS = 256


@register_controller("crash-suspects", order=40, front_ends=(GATEWAY,))
class CrashSuspectController(Controller):
    """Exchanges evidence on crashes with the other instances, and judges requests.

    Each instance tells the others of the crashes that it saw, at once and with the
    heartbeats. Quarantined traits are kept in the store, so that they outlast the
    loss of all instances.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.

    Attributes
    ----------
    evidence : CrashEvidence
        Judges requests.
    trials : TrialRegister
        Trials granted by this instance.
    own_crashes : dict of str to tuple of (float, dict of str to float)
        Crashes that this instance saw: their time, and when requests with each trait
        were sent, by boot of the target.
    own_answers : dict of str to float
        When an answer here cleared a trait.
    store : CauseStore
        Records of the quarantined traits.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.evidence = CrashEvidence()
        self.trials = TrialRegister(lease=TRIAL_LEASE_S)
        self.detector = CrashDetector(services=services, on_crash=self._note_crash)
        self.own_crashes = {}
        self.own_answers = {}
        self.store = CauseStore(
            services=services, evidence=self.evidence, on_change=self._update
        )
        self.quarantined = {}
        self.dropped_traits = 0
        self.published_at = -math.inf
        self.tasks = set()
        self.background = BackgroundTask(name="crash-suspects")

    def add_to_server(self, server):
        """Receive news and requests for trials from other instances."""
        quarantine_pb2_grpc.add_CrashSuspectsServicer_to_server(
            CrashSuspectsServicer(controller=self), server
        )

    async def start(self):
        """Start following the store and exchanging digests."""
        self.membership.subscribe(DIGEST_TOPIC, self._receive_digest, relayed=True)
        self.store.follower.start()
        self.background.start(self._run())

    async def stop(self):
        """Stop following and exchanging."""
        await self.background.stop()
        await self.store.follower.stop()
        await self.detector.stop()
        for task in self.tasks:
            task.cancel()

    def is_ready(self):
        """Return whether the quarantined traits are known."""
        return self.store.follower.synced.is_set()

    def status(self):
        """Return the quarantined traits."""
        return {"quarantined": sorted(self.quarantined)}

    @property
    def membership(self):
        """The membership controller."""
        return self.services.controllers["membership"]

    def verdict(self, exchange, now):
        """Judge a request.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        now : float
            The present time, in seconds.

        Returns
        -------
        Clear, OnTrial or Quarantined
        """
        if not self.evidence.crashes:
            return Clear()
        traits = _traits(exchange)
        return self.evidence.verdict(traits | begun_traits(traits), now)

    def note_answered(self, exchange, now):
        """Record that the answer to a request has begun.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        now : float
            The present time, in seconds.
        """
        if not self.evidence.crashes:
            # Remembered for ties with a part that was never answered.
            self.evidence.note_answered(shared_part_traits(exchange), now)
            return
        self._clear(exchange, _traits(exchange), now)

    def _clear(self, exchange, traits, now):
        cleared = self.evidence.note_answered(traits, now)
        if not cleared:
            return
        self.own_answers.update(dict.fromkeys(cleared, now))
        log_event(
            logger,
            "crash-suspects-cleared",
            request=exchange.request_id,
            traits=",".join(sorted(cleared)),
        )
        if self.quarantined.keys() & cleared or exchange.trial is not None:
            self._tell_peers(now)
        self._update(now)

    def note_completed(self, exchange, now):
        """Record that an answer that had begun has ended as it should.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        now : float
            The present time, in seconds.
        """
        if self.evidence.crashes:
            self._clear(exchange, begun_traits(_traits(exchange)), now)
        else:
            parts = begun_traits(shared_part_traits(exchange))
            self.evidence.note_answered(parts, now)

    def note_lost(self, exchange, ticket, now, *, has_begun):
        """Record that a request's connection broke before its answer had ended.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        ticket : Ticket
            Its ticket.
        now : float
            The present time, in seconds.
        has_begun : bool
            Whether the caller has received a part of the answer.

        Returns
        -------
        asyncio.Task or None
            Ends when it is known whether the target crashed, if that can be found out.
        """
        if exchange.timed_out or exchange.cancelled is not None:
            return None
        traits = _traits(exchange)
        if has_begun:
            traits = begun_traits(traits)
        request = LostRequest(traits, exchange.sent_at)
        return self.detector.note_lost(ticket, exchange.service, request, now)

    async def begin_trial(self, exchange, trait):
        """Request that a request may show whether a trait crashes targets.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        trait : str
            The trait.

        Returns
        -------
        bool
            Whether this is the only request on trial.
        """
        return await self._call_grantor(trait, exchange.request_id, ended=False)

    async def end_trial(self, exchange):
        """Report that a request on trial has ended.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        """
        trait, exchange.trial = exchange.trial, None
        if trait is not None:
            await self._call_grantor(trait, exchange.request_id, ended=True)

    def handle_trial(self, trait, request, now, *, ended):
        """Handle the request for a trial of this or another instance.

        Parameters
        ----------
        trait, request : str
            The trait, and the id of the request.
        now : float
            The present time, in seconds.
        ended : bool
            Whether the trial has ended.

        Returns
        -------
        bool
            Whether the trial is granted.
        """
        if ended:
            self.trials.end(trait, request)
            return False
        return self.trials.grant(trait, request, now)

    def receive_news(self, payload, now):
        """Apply the digest of another instance.

        Parameters
        ----------
        payload : bytes
            A `CrashNews`.
        now : float
            The present time, in seconds.
        """
        news = decode(payload, CrashNews)
        if news is None:
            self.services.metrics.count_event("malformed-digest")
            return
        for crash in news.crashes:
            sent_at = {trait: now - age for trait, age in crash.sent_ages.items()}
            self.evidence.add_crash(crash.crash_id, sent_at, now - crash.age)
        for trait, age in news.answers.items():
            self.evidence.note_answered([trait], now - age)
        self._update(now)

    def _receive_digest(self, member, payload, now):
        self.receive_news(payload, now)

    def _note_crash(self, boot, requests, crashed_at):
        # Requests that are lost later may belong to the same crash.
        first_at, known = self.own_crashes.pop(boot, (crashed_at, {}))
        sent_at, dropped = self._sent_times(requests, known)
        self.services.metrics.count_event("target-crashed")
        log_event(
            logger,
            "target-crashed",
            boot=boot,
            waiting=len(requests),
            traits=",".join(sorted(sent_at)),
            traits_dropped=dropped,
        )
        self.own_crashes[boot] = (first_at, sent_at)
        while len(self.own_crashes) > MAX_OWN_CRASHES:
            del self.own_crashes[next(iter(self.own_crashes))]
        self.evidence.add_crash(boot, sent_at, first_at)
        now = self.services.clock()
        self._tell_peers(now)
        self._update(now)

    def _sent_times(self, requests, known):
        """Return when requests with each trait were sent last, and traits dropped."""
        sent_at = dict(known)
        for request in requests:
            for trait in request.traits:
                sent_at[trait] = max(request.sent_at, sent_at.get(trait, 0.0))
        # A trait that was on a crashed target before and never answered is suspected most.
        kept = sorted(
            sent_at,
            key=lambda trait: (
                trait not in self.evidence.crashes,
                trait in self.evidence.answered_at,
                trait,
            ),
        )[:MAX_TRAITS_PER_CRASH]
        return {trait: sent_at[trait] for trait in kept}, len(sent_at) - len(kept)

    def _update(self, now):
        """Log changes of the quarantined traits, and stop open requests with them."""
        quarantined = self.evidence.quarantined(now)
        added = quarantined.keys() - self.quarantined.keys()
        for trait in sorted(quarantined.keys() ^ self.quarantined.keys()):
            log_event(
                logger,
                "crash-suspect",
                trait=trait,
                quarantined=trait in quarantined,
                crashes=len(self.evidence.crashes.get(trait, ())),
                seconds=max(0.0, quarantined.get(trait, now) - now),
            )
        self.quarantined = quarantined
        if self.evidence.dropped > self.dropped_traits:
            log_event(
                logger,
                "crash-evidence-dropped",
                level=logging.WARNING,
                traits=self.evidence.dropped - self.dropped_traits,
            )
            self.dropped_traits = self.evidence.dropped
        if added:
            self._stop_open_requests(now)

    def _stop_open_requests(self, now):
        for exchange in list(self.services.exchanges.values()):
            if exchange.first_byte_at is not None or exchange.cancelled is not None:
                continue
            verdict = self.verdict(exchange, now)
            if isinstance(verdict, Quarantined):
                ran = RunState.UNKNOWN if exchange.dispatched else RunState.NOT_RUN
                exchange.cancel(_refusal(verdict.seconds_left, ran))

    def _news(self, now):
        return CrashNews(
            crashes=[
                SeenCrash(
                    boot,
                    round(now - crashed_at, 3),
                    {trait: round(now - sent, 3) for trait, sent in sent_at.items()},
                )
                for boot, (crashed_at, sent_at) in self.own_crashes.items()
            ],
            answers={
                trait: round(now - at, 3)
                for trait, at in (self._answers_before() | self.own_answers).items()
            },
        )

    def _answers_before(self):
        """Return when traits of the own crashes were last answered before."""
        answered_at = self.evidence.answered_at
        return {
            trait: answered_at[trait]
            for _, sent_at in self.own_crashes.values()
            for trait in sent_at
            if trait in answered_at
        }

    def _tell_peers(self, now):
        """Send the news at once, since heartbeats take a second or more."""
        self._publish(now)
        payload = encode(self._news(now))
        message = quarantine_pb2.CrashNews(
            instance=self.services.instance, payload=payload
        )
        own = self.services.data_centre
        members = [
            member
            for member in self.membership.reachable(now)
            if member.instance != self.services.instance
        ]
        members.sort(key=lambda member: member.data_centre != own)
        for member in members[:MAX_PEERS_TOLD]:
            self._start_task(self._tell_peer(member.address, message))

    async def _tell_peer(self, address, message):
        stub = quarantine_pb2_grpc.CrashSuspectsStub(self.services.peers.get(address))
        await call_peer(stub.ShareNews, message, timeout=PEER_TIMEOUT_S)

    async def _call_grantor(self, trait, request, *, ended):
        now = self.services.clock()
        members = {
            member.instance: member.address for member in self.membership.reachable(now)
        }
        grantor = choose_member(trait, members)
        if grantor is None or grantor == self.services.instance:
            return self.handle_trial(trait, request, now, ended=ended)
        channel = self.services.peers.get(members[grantor])
        stub = quarantine_pb2_grpc.CrashSuspectsStub(channel)
        message = quarantine_pb2.TrialRequest(trait=trait, request=request, ended=ended)
        answer = await call_peer(stub.RequestTrial, message, timeout=PEER_TIMEOUT_S)
        return not isinstance(answer, CallFailed) and answer.granted

    def _start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self):
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = self.services.clock()
            self.detector.check_directory(now)
            self._forget(now)
            if now - self.published_at >= REFRESH_INTERVAL_S:
                self._publish(now)
            live = {member.instance for member in self.membership.reachable(now)}
            await self.store.update(self.quarantined, self.own_crashes, live, now)

    def _publish(self, now):
        self.published_at = now
        self.membership.publish(DIGEST_TOPIC, encode(self._news(now)))

    def _forget(self, now):
        if self.evidence.crashes:
            self.evidence.expire(now)
            self._update(now)
        life = self.evidence.policy.crash_life
        for boot, (crashed_at, sent_at) in list(self.own_crashes.items()):
            is_counted = any(
                boot in self.evidence.crashes.get(trait, ()) for trait in sent_at
            )
            if not is_counted and now - crashed_at >= life:
                del self.own_crashes[boot]
        for trait, at in list(self.own_answers.items()):
            if now - at >= life or len(self.own_answers) > MAX_OWN_ANSWERS:
                del self.own_answers[trait]


class CrashSuspectsServicer(quarantine_pb2_grpc.CrashSuspectsServicer):
    """Serves the other instances.

    Parameters
    ----------
    controller : CrashSuspectController
        Handles the calls.
    """

    def __init__(self, *, controller):
        self.controller = controller

    async def ShareNews(self, request, context):  # noqa: N802
        """Apply the news of another instance."""
        self.controller.receive_news(request.payload, self.controller.services.clock())
        return quarantine_pb2.CrashNewsReply()

    async def RequestTrial(self, request, context):  # noqa: N802
        """Grant or end a trial."""
        granted = self.controller.handle_trial(
            request.trait,
            request.request,
            self.controller.services.clock(),
            ended=request.ended,
        )
        return quarantine_pb2.TrialReply(granted=granted)


@register_filter("crash-suspects", order=45, front_ends=(GATEWAY,))
class CrashSuspectFilter(Filter):
    """Refuses requests whose traits have crashed targets."""

    async def apply(self, exchange):
        """Judge one request. See `Filter.apply`."""
        controller = self.services.controllers["crash-suspects"]
        verdict = controller.verdict(exchange, self.services.clock())
        if isinstance(verdict, Quarantined):
            return _refusal(verdict.seconds_left, RunState.NOT_RUN)
        if not isinstance(verdict, OnTrial):
            return None
        if not await controller.begin_trial(exchange, verdict.trait):
            return _refusal(TRIAL_RETRY_AFTER_S, RunState.NOT_RUN)
        log_event(
            logger,
            "request-on-trial",
            request=exchange.request_id,
            trait=verdict.trait,
        )
        exchange.trial = verdict.trait
        exchange.on_finish(controller.end_trial)
        return None


def _traits(exchange):
    if exchange.traits is None:
        exchange.traits = traits_of(exchange)
    return exchange.traits


def _refusal(retry_after, run_state):
    return Refused(
        reason=Reason.CRASH_SUSPECT,
        message="Targets crashed while requests like this one ran on them.",
        run_state=run_state,
        retry_after=retry_after,
    )
