"""Controller for tickets, leases of engines, and places for requests."""

import asyncio
import contextlib
import logging
import math
import zlib

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.gateway.exchange import GatewayProfile
from skylarkpost.gateway.lease_keeper import LeaseKeeper
from skylarkpost.gateway.targets import target_of
from skylarkpost.membership import MemberState
from skylarkpost.outcomes import Reason, Refused, RunState
from skylarkpost.placement.health import TargetHealthTracker
from skylarkpost.placement.outstanding import ServicePlacer
from skylarkpost.placement.placer import (
    PlacementPolicy,
    PlacementRequest,
    Placer,
)
from skylarkpost.placement.scores import expected_wait
from skylarkpost.rpc import stewardship_pb2_grpc
from skylarkpost.runtime import BackgroundTask
from skylarkpost.stewardship.directory import StewardAddress
from skylarkpost.stewardship.held_tickets import HeldTickets
from skylarkpost.stewardship.policy import StewardPolicy
from skylarkpost.stewardship.prefill import Preamble
from skylarkpost.stewardship.servicer import StewardshipServicer
from skylarkpost.stewardship.summary import decode_summaries, encode_summaries
from skylarkpost.stewardship.ticket_client import (
    RequestDetails,
    RetryLimits,
    TicketClient,
    lora_name_of,
)
from skylarkpost.targets import LoadReport
from skylarkpost.targets.reports import ResidentLoad

__all__ = ["GatewayStewardshipController"]

logger = logging.getLogger(__name__)

# Seconds between two looks at the queues; a small part of a load.
TICK_S = 0.05
# Half of the heartbeats' interval, so that each one carries a fresh summary.
PUBLISH_S = 0.25
# Each report costs the engine a probe; a report permits grants for three seconds.
POLL_S = 1.4
POLL_CHECK_S = 0.1
# While a load that an earlier steward ordered is on its way, requests may wait for
# it: about the time of a load.
POLL_FOUND_LOADS_S = 0.3
# A small part of a ticket's lease.
RENEWAL_CHECK_S = 0.5
TOPIC = "targets"
# Longer than most streams, shorter than a team notices a lost slot.
TICKET_LEASE_S = 10.0
# An ask waits for less than the shortest goal, so that a request whose steward
# fell silent can still be served in time elsewhere.
ASK_WAIT_S = 0.25
ASK_TIMEOUT_S = 0.5
# Two heartbeats: by then membership knows whether it is silent.
STEWARD_DISTRUST_S = 1.0
# Between two looks for an engine when none takes requests.
NO_TARGET_PAUSE_S = 0.1
# About the time in which announcements of targets come.
NO_TARGET_RETRY_S = 1.0
# Shorter pauses would bring callers back before anything has changed.
LEAST_RETRY_S = 0.2
# Each ask costs a round trip and, at worst, `ASK_TIMEOUT_S`.
TARGETS_ASKED = 3
# A steward that expects this much more than was expected here is left for the
# next best target.
TOLERATED_DELAY_S = 0.15
# A steward that has not granted so long after it was expected to cannot give
# orders at present; another target may begin sooner.
TOLERATED_SILENCE_S = 0.4
# Part of the time after which callers give up that a request may wait for its
# first token; a caller that is refused by then can come back and be served.
WAIT_PART = 0.75
# Measured on the engines of the first deployments; they read about 40 tokens
# of a prompt in a millisecond, and take a quarter of a second for an adapter.
PREFILL_RATE = 40_000.0
LOAD_WAIT_S = 0.27
# What differs from the defaults: a report is some hundred milliseconds old; the
# weight store takes eight loads at full speed over all engines; latency goals are
# under a second, so adapters in use make way sooner; demand moves within seconds.
POLICY = StewardPolicy(
    ticket_lease=TICKET_LEASE_S,
    report_lag=0.4,
    order_linger=5.0,
    max_concurrent_loads=2,
    drain_after=0.3,
    min_residence=0.5,
    demand_half_life=10.0,
    engine_drains_on_unload=True,
    one_version=True,
    initial_load_cost=LOAD_WAIT_S,
    parallel_loads=2,
)


@register_controller("stewardship", order=60, front_ends=(GATEWAY,))
class GatewayStewardshipController(Controller):
    """Finds a place for each request.

    Engines are stewarded on leases of the store, see
    `skylarkpost.stewardship.leases`; tickets, queues, residency and placement
    are those of the other front end.

    Parameters
    ----------
    services : Services
        What the instance shares between its parts.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.keeper = LeaseKeeper(services=services, policy=POLICY, ask_wait=ASK_WAIT_S)
        self.distrusted_until = {}
        self.ticket_client = TicketClient(
            services=services,
            holder=HeldTickets(lease=TICKET_LEASE_S, dispatch_margin=0.0),
            executors=self.keeper.executors,
            find_steward=self.find_steward,
            direct_fencing_number=self._number_alone,
            engines=self,
            retry_limits=RetryLimits(answer_timeout=ASK_TIMEOUT_S, max_failures=0),
            on_unanswered=self._note_silent,
        )
        self.placer = Placer(
            data_centre=services.data_centre,
            policy=PlacementPolicy(prefill_rate=PREFILL_RATE, load_wait=LOAD_WAIT_S),
        )
        self.health = TargetHealthTracker()
        self.service_placer = ServicePlacer(data_centre=services.data_centre)
        self.published_at = -math.inf
        self.polled_at = {}
        self.background = [
            BackgroundTask(name=f"stewardship-{name}")
            for name in ("tick", "poll", "renewals", "returns")
        ]

    def add_to_server(self, server):
        """Serve asks for tickets of other instances."""
        servicer = StewardshipServicer(manager=self.keeper, clock=self.services.clock)
        stewardship_pb2_grpc.add_StewardshipServicer_to_server(servicer, server)

    async def start(self):
        """Start the background work."""
        self.membership.subscribe(TOPIC, self._note_digest, relayed=True)
        self.keeper.start()
        loops = (
            self._run_ticks(),
            self._run_polls(),
            self._run_renewals(),
            self.ticket_client.sender.run_returns(),
        )
        for task, loop in zip(self.background, loops, strict=True):
            task.start(loop)

    async def stop(self):
        """Stop the background work."""
        for task in self.background:
            await task.stop()
        await self.keeper.stop()

    def status(self):
        """Return the leases."""
        return {"leases": {k: v.holder for k, v in self.keeper.table.leases.items()}}

    @property
    def membership(self):
        """The membership controller."""
        return self.services.controllers["membership"]

    @property
    def config(self):
        """The configuration controller."""
        return self.services.controllers["config"]

    async def acquire(self, exchange, *, avoid=frozenset(), now):
        """Find a place for a request; waits for it if need be.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        avoid : frozenset of str
            Targets to use only if there is no other.
        now : float
            The present time, in seconds.

        Returns
        -------
        Ticket or Refused
        """
        if not exchange.is_model_request:
            return self._acquire_service(exchange, avoid, now)
        while True:
            outcome = await self._acquire_engine(exchange, avoid)
            is_final = getattr(outcome, "reason", None) is not Reason.NO_TARGET
            now = self.services.clock()
            give_up_at = exchange.received_at + self._longest_wait(exchange)
            if is_final or now + NO_TARGET_PAUSE_S >= give_up_at:
                return outcome
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(exchange.cancel_event.wait(), NO_TARGET_PAUSE_S)

    def release(self, ticket, *, unused_tokens=0, certain=True, succeeded=True):
        """Give a ticket back.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        unused_tokens : int
            Tokens that were charged and not used.
        certain : bool
            Ignored: engines let runs finish before they unload.
        succeeded : bool
            Whether the target answered.
        """
        now = self.services.clock()
        if ticket.kind == "service":
            self.service_placer.note_finished(ticket, succeeded=succeeded, now=now)
            return
        self.placer.note_ended(ticket.target, ticket.ticket_id)
        self.ticket_client.release(ticket, unused_tokens=unused_tokens, certain=True)

    def find_steward(self, target):
        """Return the steward to ask for a target.

        Parameters
        ----------
        target : str
            The target.

        Returns
        -------
        StewardAddress or None
        """
        holder = self.keeper.table.holder(target)
        if holder is None:
            return None
        now = self.services.clock()
        if self.distrusted_until.get(holder, -math.inf) > now:
            return None
        member = self.membership.find(holder, now)
        if member is None or member.state is MemberState.SILENT:
            return None
        number = self.keeper.table.leases[target].number
        return StewardAddress(holder, member.address, number)

    async def load_report(self, address):
        """Return what is known of an engine without its steward.

        Parameters
        ----------
        address : str
            The engine's.

        Returns
        -------
        LoadReport or None
        """
        now = self.services.clock()
        targets = self.services.controllers["directory"].targets.usable(now)
        entry = next((each for each in targets if each.address == address), None)
        if entry is None:
            return None
        resident = {
            f"{name}@{version}": ResidentLoad(0, 0)
            for model in entry.models
            for name, version in model.adapters.items()
        }
        outstanding = len(self.placer.sent.get(entry.name, ()))
        return LoadReport(
            boot=entry.boot,
            taken_at=now,
            asked_at=now,
            answered_at=now,
            slots=0,
            resident=resident,
            loading=(),
            running=outstanding,
            waiting=0,
            batch_limit=entry.slots,
            prompt_cache_hits=0,
            prompt_cache_tokens=0,
        )

    def profile_of(self, exchange):
        """Return what a request asks of an engine.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.

        Returns
        -------
        GatewayProfile
        """
        metadata = exchange.metadata
        version = 0
        if metadata.adapter is not None:
            version = self.config.adapter_version(metadata.model, metadata.adapter)
        model = metadata.model or exchange.service.engine.models[0].name
        return GatewayProfile(model, metadata.adapter, version, exchange.urgency)

    def note_result(self, ticket, *, reached, failed):
        """Note how a target dealt with a request.

        Parameters
        ----------
        ticket : Ticket
            Of the request.
        reached : bool
            Whether the target answered at all.
        failed : bool
            Whether its answer was a failure of the target.
        """
        now = self.services.clock()
        if reached:
            self.health.note_answer(ticket.boot, now, failed=failed)
        else:
            self.health.note_unreachable(ticket.boot, now)

    async def _acquire_engine(self, exchange, avoid):
        """Ask the best targets, the next one if a steward expects a long wait."""
        exchange.profile = self.profile_of(exchange)
        request = _placement_request(exchange)
        give_up_at = exchange.received_at + self._longest_wait(exchange)
        waits = {}
        tried = set()
        for asks_left in reversed(range(TARGETS_ASKED)):
            now = self.services.clock()
            if exchange.cancelled is not None:
                return exchange.cancelled
            targets = self._engines(exchange.service, now)
            left_alone = avoid | self._avoided(targets, now) | tried
            ranked = self.placer.rank(request, targets, now, avoid=left_alone)
            if not ranked:
                return _no_target("No engine of this model is there.")
            name, view = ranked[0]
            if name in tried:
                break
            wait = expected_wait(view)
            waits[name] = wait
            if now + wait > give_up_at:
                break
            tolerated, ask_until = give_up_at - now, give_up_at
            if asks_left and len(ranked) > len(left_alone):
                tolerated = min(tolerated, wait + TOLERATED_DELAY_S)
                ask_until = min(ask_until, now + wait + TOLERATED_SILENCE_S)
            target = next(each for each in targets if each.name == name)
            outcome = await self._ask(
                exchange, request, target, tolerated=tolerated, ask_until=ask_until
            )
            if not isinstance(outcome, Refused):
                return outcome
            now = self.services.clock()
            if outcome.reason is not Reason.QUEUE_FULL:
                waits[name] = math.inf
                tried.add(name)
                continue
            waits[name] = outcome.retry_after
            self.placer.note_wait(
                name, outcome.retry_after, now, urgency=exchange.urgency
            )
            if now + outcome.retry_after > give_up_at:
                tried.add(name)
        least = min(waits.values(), default=math.inf)
        if math.isinf(least):
            return _no_target("No engine of this model takes requests at present.")
        return _too_busy(self.services.clock() + least - give_up_at)

    async def _ask(self, exchange, request, target, *, tolerated, ask_until):
        asked = []

        def note_asked(name, ticket_id):
            asked.append(ticket_id)
            now = self.services.clock()
            self.placer.note_asked(name, ticket_id, request, now)

        details = RequestDetails(
            prompt_tokens=request.prompt_tokens,
            preambles=request.preambles,
            max_first_token=tolerated,
            deadline=ask_until,
        )
        outcome = await self.ticket_client.acquire(
            exchange, [target], on_requested=note_asked, details=details
        )
        if getattr(outcome, "target", None) is None:
            for ticket_id in asked:
                self.placer.note_ended(target.name, ticket_id)
        else:
            self.placer.note_started(target.name, request, self.services.clock())
        return outcome

    def _longest_wait(self, exchange):
        left = exchange.deadline - exchange.received_at
        return min(left, WAIT_PART * exchange.route.abandon_timeout)

    def _avoided(self, targets, now):
        boots = self._boots(targets)
        avoided = {boots[boot] for boot in self.health.avoided(list(boots), now)}
        if len(avoided) < len(targets):
            # The silence of a steward is often that of its data centre.
            avoided.update(
                each.name
                for each in targets
                if each.kind == "engine" and self.find_steward(each.name) is None
            )
        return frozenset(avoided)

    def _boots(self, targets):
        entries = self.services.controllers["directory"].targets.entries
        return {
            entries[each.name].boot: each.name
            for each in targets
            if each.name in entries
        }

    def _acquire_service(self, exchange, avoid, now):
        directory = self.services.controllers["directory"]
        targets = [
            target_of(entry, exchange.service)
            for entry in directory.of_service(exchange.service.name, now)
        ]
        avoid = avoid | self._avoided(targets, now)
        ticket = self.service_placer.choose(
            targets, request_id=exchange.request_id, avoid=avoid, now=now
        )
        if ticket is not None:
            boot = directory.targets.find(ticket.target, now).boot
            return ticket._replace(boot=boot)
        return _no_target("No target of this route takes requests at present.")

    def _engines(self, service, now):
        directory = self.services.controllers["directory"]
        model = service.engine.models[0].name
        return [
            target_of(entry, service)
            for entry in directory.of_service(service.name, now)
            if any(held.name == model for held in entry.models)
        ]

    def _number_alone(self, target):
        lease = self.keeper.table.leases.get(target.name)
        return 0 if lease is None else lease.number

    def _note_silent(self, steward):
        now = self.services.clock()
        self.distrusted_until[steward.instance] = now + STEWARD_DISTRUST_S
        log_event(logger, "steward-silent", steward=steward.instance)

    def _note_digest(self, member, payload, now):
        summaries = decode_summaries(payload)
        if summaries is None:
            self.services.metrics.count_event("malformed-digest")
            return
        for summary in summaries:
            self.placer.note_summary(summary, now)

    async def _run_ticks(self):
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    def _tick(self):
        now = self.services.clock()
        self.keeper.tick(now)
        summaries = [
            executor.summary(now) for executor in self.keeper.executors.values()
        ]
        for summary in summaries:
            self.placer.note_summary(summary, now)
        if now - self.published_at >= PUBLISH_S:
            self.published_at = now
            self._note_alive(now)
            self.membership.publish(TOPIC, encode_summaries(summaries))

    def _note_alive(self, now):
        members = {
            member.instance
            for member in self.membership.members(now)
            if member.state is not MemberState.SILENT
        }
        for target, summary in self.placer.summaries.items():
            if summary.steward in members:
                self.placer.note_alive(target, now)

    async def _run_polls(self):
        while True:
            now = self.services.clock()
            due = [
                executor
                for name, executor in self.keeper.executors.items()
                if self._is_poll_due(name, executor, now)
            ]
            for executor in due:
                self.polled_at[executor.steward.target.name] = now
            await asyncio.gather(*(executor.poll() for executor in due))
            await asyncio.sleep(POLL_CHECK_S)

    def _is_poll_due(self, name, executor, now):
        has_found = executor.steward.slots.residency.has_foreign_loads()
        interval = POLL_FOUND_LOADS_S if has_found else POLL_S
        is_due = now - self.polled_at.get(name, -math.inf) >= interval
        return is_due or executor.engines.needs_report(now)

    async def _run_renewals(self):
        while True:
            await asyncio.sleep(RENEWAL_CHECK_S)
            await self.ticket_client.sender.renew()


def _placement_request(exchange):
    metadata = exchange.metadata
    lora_name = lora_name_of(exchange.profile)
    preambles, tokens = [], 0
    chain = lora_name
    for part in metadata.prompt_parts:
        chain = f"{chain}/{part.part_id}"
        tokens += part.tokens
        preambles.append(Preamble(zlib.crc32(chain.encode()), tokens))
    return PlacementRequest(
        lora_name=lora_name,
        needs_adapter=bool(exchange.profile.adapter),
        urgency=exchange.urgency,
        prompt_tokens=metadata.prompt_tokens or 0,
        preambles=tuple(preambles),
    )


def _no_target(message):
    return Refused(
        reason=Reason.NO_TARGET,
        message=message,
        run_state=RunState.NOT_RUN,
        retry_after=NO_TARGET_RETRY_S,
    )


def _too_busy(retry_after):
    return Refused(
        reason=Reason.QUEUE_FULL,
        message="No engine could begin in time.",
        run_state=RunState.NOT_RUN,
        retry_after=max(LEAST_RETRY_S, retry_after),
    )
