"""Controller that places requests on targets and stewards engines under leases."""

import asyncio
import contextlib
import logging
import math
import zlib

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.gateway.exchange import GatewayProfile
from skylarkpost.gateway.lease_manager import LeaseManager
from skylarkpost.gateway.steward_locator import StewardLocator
from skylarkpost.gateway.targets import TargetCatalogue
from skylarkpost.membership import MemberState
from skylarkpost.outcomes import Reason, Refused, RunState
from skylarkpost.placement.health import TargetHealthTracker
from skylarkpost.placement.outstanding import ServicePlacer
from skylarkpost.placement.placer import (
    PlacementPolicy,
    PlacementRequest,
    Placer,
)
from skylarkpost.placement.prefill_rate import PrefillRate
from skylarkpost.placement.scores import expected_wait
from skylarkpost.rpc import stewardship_pb2_grpc
from skylarkpost.runtime import BackgroundTask
from skylarkpost.stewardship.held_tickets import HeldTickets
from skylarkpost.stewardship.policy import StewardPolicy
from skylarkpost.stewardship.prefill import PROMPT_CACHE_FRACTION, Preamble
from skylarkpost.stewardship.service import StewardshipServicer
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

# Interval of the stewards' ticks, in seconds; short compared with an adapter load.
TICK_INTERVAL_S = 0.1
# Half of the heartbeat interval, so that each heartbeat carries a fresh summary.
PUBLISH_INTERVAL_S = 0.25
# Each report costs the engine one probe, and allows grants for three seconds.
POLL_INTERVAL_S = 1.4
POLL_CHECK_INTERVAL_S = 0.2
# Poll interval while a load ordered by an earlier steward is in progress, since
# requests may wait for it; about the duration of a load.
POLL_FOREIGN_LOADS_S = 0.3
# Short compared with the ticket lease.
RENEWAL_INTERVAL_S = 0.5
TOPIC = "targets"
# Longer than most streams; short enough that a slot whose ticket was lost is free
# again before its team notices.
TICKET_LEASE_S = 10.0
# Fraction of the shortest latency goal of the engines' routes for which a steward
# holds a request for a ticket before it has to be repeated. The timeout of the call
# decides how soon a steward that stopped answering is noticed.
TICKET_WAIT_FRACTION = 0.7
MIN_TICKET_WAIT_S = 0.05
MAX_TICKET_WAIT_S = 0.4
TICKET_REQUEST_TIMEOUT_S = 0.5
# Poll interval while no engine accepts requests.
NO_TARGET_POLL_S = 0.1
# About the interval of the targets' announcements.
NO_TARGET_RETRY_AFTER_S = 1.0
# With a shorter delay callers would retry before anything has changed.
MIN_RETRY_AFTER_S = 0.2
# Each attempt costs a round trip and, at worst, `TICKET_REQUEST_TIMEOUT_S`.
MAX_TARGETS_TRIED = 3
# If a steward expects a wait that is longer than the estimate made here by more
# than this, the next best target is tried.
TOLERATED_DELAY_S = 0.15
# A steward that is this late with a grant probably can't give orders at present;
# another target may start the request sooner.
TOLERATED_GRANT_DELAY_S = 0.4
# Longest wait for the first token, as a fraction of the time after which callers
# give up; a caller refused by then can still retry and be served.
MAX_WAIT_FRACTION = 0.75
# Expected load of an adapter until the first ones have ended.
INITIAL_LOAD_WAIT_S = 0.3
# Differences from the defaults: reports are some hundred milliseconds old; the
# weight store sustains eight loads at full speed over all engines; latency goals are
# under a second, so adapters in use are evicted sooner; demand changes within seconds.
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
    initial_load_cost=INITIAL_LOAD_WAIT_S,
    parallel_loads=2,
)


@register_controller("stewardship", order=60, front_ends=(GATEWAY,))
class GatewayStewardshipController(Controller):
    """Acquires a ticket for each request and runs the stewards of this instance.

    Stewards hold engines under leases in the store, see
    `skylarkpost.stewardship.leases`. Tickets, queues, residency and placement work
    as in the other front end.

    Parameters
    ----------
    services : Services
        Services shared by the instance's controllers.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.lease_manager = LeaseManager(
            services=services, policy=POLICY, max_ticket_wait=self._ticket_wait
        )
        self.locator = StewardLocator(
            table=self.lease_manager.table, find_member=self._find_member
        )
        self.catalogue = TargetCatalogue(directory=services.controllers["directory"])
        self.ticket_client = TicketClient(
            services=services,
            held_tickets=HeldTickets(lease=TICKET_LEASE_S, dispatch_margin=0.0),
            executors=self.lease_manager.executors,
            find_steward=self.find_steward,
            direct_fencing_number=self._number_without_steward,
            engines=self,
            retry_limits=RetryLimits(
                answer_timeout=TICKET_REQUEST_TIMEOUT_S, max_failures=0
            ),
            on_unanswered=self._note_unresponsive,
        )
        self.placer = Placer(
            data_centre=services.data_centre,
            policy=PlacementPolicy(load_wait=INITIAL_LOAD_WAIT_S),
        )
        self.prefill_rate = PrefillRate()
        self.health = TargetHealthTracker()
        self.service_placer = ServicePlacer(data_centre=services.data_centre)
        self.published_at = -math.inf
        self.polled_at = {}
        self.background = [
            BackgroundTask(name=f"stewardship-{name}")
            for name in ("tick", "poll", "renewals", "returns")
        ]

    def add_to_server(self, server):
        """Serve ticket requests from other instances."""
        servicer = StewardshipServicer(
            manager=self.lease_manager, clock=self.services.clock
        )
        stewardship_pb2_grpc.add_StewardshipServicer_to_server(servicer, server)

    async def start(self):
        """Start the background tasks."""
        self.membership.subscribe(TOPIC, self._note_digest, relayed=True)
        self.lease_manager.start()
        loops = (
            self._run_ticks(),
            self._run_polls(),
            self._run_renewals(),
            self.ticket_client.sender.run_returns(),
        )
        for task, loop in zip(self.background, loops, strict=True):
            task.start(loop)

    async def stop(self):
        """Stop the background tasks."""
        for task in self.background:
            await task.stop()
        await self.lease_manager.stop()

    def status(self):
        """Return the known lease holders by target."""
        return {
            "leases": {k: v.holder for k, v in self.lease_manager.table.leases.items()}
        }

    @property
    def membership(self):
        """The membership controller."""
        return self.services.controllers["membership"]

    @property
    def config(self):
        """The configuration controller."""
        return self.services.controllers["config"]

    async def acquire(self, exchange, *, avoid=frozenset(), now):
        """Acquire a ticket for a request, waiting for one if necessary.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        avoid : frozenset of str
            Targets to use only if there are no others.
        now : float
            The present time, in seconds.

        Returns
        -------
        Ticket or Refused
        """
        if not exchange.is_model_request:
            return await self._acquire_service(exchange, avoid, now)
        while True:
            outcome = await self._acquire_engine(exchange, avoid)
            is_final = getattr(outcome, "reason", None) is not Reason.NO_TARGET
            now = self.services.clock()
            give_up_at = exchange.received_at + self._max_wait(exchange)
            if is_final or now + NO_TARGET_POLL_S >= give_up_at:
                return outcome
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(exchange.cancel_event.wait(), NO_TARGET_POLL_S)

    def release(self, ticket, *, unused_tokens=0, certain=True, succeeded=True):
        """Release a ticket.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        unused_tokens : int
            Tokens that were charged and not used.
        certain : bool
            Ignored: engines let requests finish before they unload an adapter.
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
        """Return the steward that grants tickets of a target.

        Parameters
        ----------
        target : str
            The target.

        Returns
        -------
        StewardAddress or None
            None if the steward is unknown, silent or recently unresponsive.
        """
        return self.locator.find(target, self.services.clock())

    async def load_report(self, address):
        """Return a load report for an engine that has no reachable steward.

        Parameters
        ----------
        address : str
            The engine's address.

        Returns
        -------
        LoadReport or None
            Built from the engine's announcement and the requests sent from here.
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
        limits = self.services.controllers["target-limits"]
        service = self.config.state.configuration.services.get(entry.service)
        warm_ups = self.services.controllers["warm-ups"]
        is_warming_up = service is not None and warm_ups.is_limited(
            entry.boot, service, now
        )
        has_room = not is_warming_up and limits.admit(entry.boot, now) == 0.0
        return LoadReport(
            boot=entry.boot,
            taken_at=now,
            requested_at=now,
            answered_at=now,
            slots=0,
            resident=resident,
            loading=(),
            running=outstanding,
            waiting=0,
            batch_limit=entry.slots if has_room else 0,
            prompt_cache_hits=0,
            prompt_cache_tokens=0,
        )

    def profile_of(self, exchange):
        """Return what a request requires of an engine.

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

    def note_first_token(self, exchange, now):
        """Learn from the time to the first token of a request.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        now : float
            When its first event arrived, in seconds.
        """
        self.prefill_rate.note_first_token(
            exchange.prefill_tokens, now - exchange.sent_at
        )

    def note_result(self, ticket, *, reached, failed):
        """Record how a target handled a request.

        Parameters
        ----------
        ticket : Ticket
            The request's ticket.
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
        """Request a ticket from the best targets in turn until one is granted.

        The next target is tried if a steward expects a long wait.
        """
        exchange.profile = self.profile_of(exchange)
        request = _placement_request(exchange)
        give_up_at = exchange.received_at + self._max_wait(exchange)
        waits = {}
        tried = set()
        for attempts_left in reversed(range(MAX_TARGETS_TRIED)):
            now = self.services.clock()
            if exchange.cancelled is not None:
                return exchange.cancelled
            known = self.catalogue.of_service(exchange.service, now)
            self.placer.prompt_cache_capacity = (
                PROMPT_CACHE_FRACTION * exchange.service.engine.cache_tokens
            )
            avoided = avoid | self._targets_to_avoid(known, now) | tried
            targets, pause = self._takers(exchange, known, now)
            if pause and not targets:
                return _all_paused(pause)
            ranked = self.placer.rank(request, targets, now, avoid=avoided)
            if not ranked:
                return _no_target("No engine of this model is there.")
            name, view = ranked[0]
            if name in tried:
                break
            wait = expected_wait(view)
            waits[name] = wait
            if now + wait > give_up_at:
                break
            max_wait, wait_until = give_up_at - now, give_up_at
            if attempts_left and len(ranked) > len(avoided):
                max_wait = min(max_wait, wait + TOLERATED_DELAY_S)
                wait_until = min(wait_until, now + wait + TOLERATED_GRANT_DELAY_S)
            target = known.by_name[name]
            outcome = await self._request_ticket(
                exchange, request, target, max_wait=max_wait, wait_until=wait_until
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
        shortest_wait = min(waits.values(), default=math.inf)
        if math.isinf(shortest_wait):
            return _no_target("No engine of this model takes requests at present.")
        return _too_busy(self.services.clock() + shortest_wait - give_up_at)

    async def _request_ticket(self, exchange, request, target, *, max_wait, wait_until):
        requested = []

        def note_asked(name, ticket_id):
            requested.append(ticket_id)
            now = self.services.clock()
            self.placer.note_asked(name, ticket_id, request, now)

        details = RequestDetails(
            prompt_tokens=request.prompt_tokens,
            preambles=request.preambles,
            max_first_token=max_wait,
            deadline=wait_until,
            goal_at=exchange.received_at + exchange.route.latency_goal,
            give_up_at=exchange.received_at + self._max_wait(exchange),
        )
        outcome = await self.ticket_client.acquire(
            exchange, [target], on_requested=note_asked, details=details
        )
        if getattr(outcome, "target", None) is None:
            for ticket_id in requested:
                self.placer.note_ended(target.name, ticket_id)
        else:
            now = self.services.clock()
            exchange.prefill_tokens = self.placer.prefill_tokens(
                target.name, request, now
            )
            self.placer.note_started(target.name, request, now)
        return outcome

    def _ticket_wait(self):
        configuration = self.config.state.configuration
        engine_services = {
            service.name
            for service in configuration.services.values()
            if service.engine is not None
        }
        goals = [
            route.latency_goal
            for route in configuration.routes
            if any(each.service in engine_services for each in route.services)
        ]
        wait = TICKET_WAIT_FRACTION * min(goals, default=math.inf)
        return min(MAX_TICKET_WAIT_S, max(MIN_TICKET_WAIT_S, wait))

    def _max_wait(self, exchange):
        left = exchange.deadline - exchange.received_at
        return min(left, MAX_WAIT_FRACTION * exchange.route.abandon_timeout)

    def _targets_to_avoid(self, known, now):
        names_by_boot = known.names_by_boot
        avoided = {
            names_by_boot[boot]
            for boot in self.health.avoided(list(names_by_boot), now)
        }
        is_engine = known.service.engine is not None
        if is_engine and len(avoided) < len(known.targets):
            # A steward is often silent because its whole data centre is cut off.
            avoided.update(self.locator.without_steward(known.by_name, now))
        return frozenset(avoided)

    def _takers(self, exchange, known, now):
        """Return the targets that take a request, and the shortest pause of others."""
        targets, pause = self._without_paused(known, now)
        version = exchange.software_version
        if version is None:
            return targets, pause
        running = {
            entry.name for entry in known.entries if entry.software_version == version
        }
        return [each for each in targets if each.name in running], pause

    def _without_paused(self, known, now):
        """Return the targets that take requests, and the shortest pause of others."""
        pauses = self.services.controllers["target-signals"].pauses
        left = {
            name: seconds
            for boot, name in known.names_by_boot.items()
            if (seconds := pauses.left(boot, now))
        }
        if not left:
            return known.targets, 0.0
        targets = [target for target in known.targets if target.name not in left]
        return targets, min(left.values())

    async def _acquire_service(self, exchange, avoid, now):
        """Choose a plain target, and wait for room within its limit if it names one."""
        give_up_at = exchange.received_at + min(
            exchange.route.latency_goal, exchange.deadline - exchange.received_at
        )
        while True:
            outcome = self._choose_service(exchange, avoid, now)
            if not isinstance(outcome, float):
                return outcome
            if now + outcome > give_up_at:
                return _too_busy(outcome)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(exchange.cancel_event.wait(), outcome)
                return exchange.cancelled
            now = self.services.clock()

    def _choose_service(self, exchange, avoid, now):
        """Return a ticket, a refusal, or the seconds until a target has room."""
        known = self.catalogue.of_service(exchange.service, now)
        avoid = avoid | self._targets_to_avoid(known, now)
        limits = self.services.controllers["target-limits"]
        warm_ups = self.services.controllers["warm-ups"]
        directory = self.services.controllers["directory"]
        targets, pause = self._takers(exchange, known, now)
        if pause and not targets:
            return _all_paused(pause)
        waits = []
        while True:
            ticket = self.service_placer.choose(
                targets, request_id=exchange.request_id, avoid=avoid, now=now
            )
            if ticket is None:
                break
            boot = directory.targets.find(ticket.target, now).boot
            wait = warm_ups.admit(boot, exchange.service, now)
            if wait == 0.0:
                wait = limits.admit(boot, now)
            if wait == 0.0:
                return ticket._replace(boot=boot)
            self.service_placer.withdraw(ticket)
            waits.append(wait)
            targets = [each for each in targets if each.name != ticket.target]
        if waits:
            return min(waits)
        return _no_target("No target of this route takes requests at present.")

    def _find_member(self, instance, now):
        return self.membership.find(instance, now)

    def _number_without_steward(self, target):
        lease = self.lease_manager.table.leases.get(target.name)
        return 0 if lease is None else lease.number

    def _note_unresponsive(self, steward):
        self.locator.note_unresponsive(steward, self.services.clock())

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
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self):
        now = self.services.clock()
        self.placer.prefill_rate = self.prefill_rate.tokens_per_s
        limits = self.services.controllers["target-limits"]
        warm_ups = self.services.controllers["warm-ups"]
        for name, executor in self.lease_manager.executors.items():
            steward = executor.steward
            steward.prefill_rate = self.prefill_rate.tokens_per_s
            limits.pace(steward.pace, steward.boot, now)
            if name in self.lease_manager.engines:
                _, service = self.lease_manager.engines[name]
                warm_ups.pace(steward, service, now)
        self.lease_manager.tick(now)
        summaries = [
            executor.summary(now) for executor in self.lease_manager.executors.values()
        ]
        for summary in summaries:
            self.placer.note_summary(summary, now)
        if now - self.published_at >= PUBLISH_INTERVAL_S:
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
                for name, executor in self.lease_manager.executors.items()
                if self._is_poll_due(name, executor, now)
            ]
            for executor in due:
                self.polled_at[executor.steward.target.name] = now
            await asyncio.gather(*(executor.poll() for executor in due))
            await asyncio.sleep(POLL_CHECK_INTERVAL_S)

    def _is_poll_due(self, name, executor, now):
        has_foreign = executor.steward.slots.residency.has_foreign_loads()
        interval = POLL_FOREIGN_LOADS_S if has_foreign else POLL_INTERVAL_S
        is_due = now - self.polled_at.get(name, -math.inf) >= interval
        return is_due or executor.engines.needs_report(now)

    async def _run_renewals(self):
        while True:
            await asyncio.sleep(RENEWAL_INTERVAL_S)
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
        retry_after=NO_TARGET_RETRY_AFTER_S,
    )


def _all_paused(seconds):
    return Refused(
        reason=Reason.TARGETS_PAUSED,
        message="All targets have asked for a pause.",
        run_state=RunState.NOT_RUN,
        retry_after=seconds,
    )


def _too_busy(retry_after):
    return Refused(
        reason=Reason.QUEUE_FULL,
        message="No target could begin in time.",
        run_state=RunState.NOT_RUN,
        retry_after=max(MIN_RETRY_AFTER_S, retry_after),
    )
