"""Connects stewardship and placement to the network, the log and the peers."""

import asyncio
import contextlib
import logging
import math

from skylarkpost.controllers import Controller, register_controller
from skylarkpost.outcomes import Reason, Refused, RunState
from skylarkpost.placement.outstanding import ServicePlacer
from skylarkpost.placement.placer import (
    PlacementPolicy,
    PlacementRequest,
    Placer,
)
from skylarkpost.placement.preamble import preamble_hash, prompt_text
from skylarkpost.rpc import stewardship_pb2_grpc
from skylarkpost.runtime import BackgroundTask
from skylarkpost.stewardship.authority import Authority
from skylarkpost.stewardship.directory import StewardDirectory
from skylarkpost.stewardship.election import Election, Peer
from skylarkpost.stewardship.held_tickets import HeldTickets
from skylarkpost.stewardship.membership_view import MembershipView
from skylarkpost.stewardship.policy import StewardPolicy
from skylarkpost.stewardship.prefill import Preamble
from skylarkpost.stewardship.service import StewardshipServicer
from skylarkpost.stewardship.steward_manager import StewardManager
from skylarkpost.stewardship.summary import decode_summaries, encode_summaries
from skylarkpost.stewardship.table import CLAIM, RELEASE, StewardshipTable
from skylarkpost.stewardship.ticket_client import TicketClient, lora_name_of
from skylarkpost.targets import EngineClient

__all__ = ["StewardshipController"]

logger = logging.getLogger(__name__)

TICK_S = 0.1
PUBLISH_S = 0.5
RENEWAL_CHECK_S = 0.5
PAUSE_GAP_S = 1.0
DISPATCH_MARGIN_S = 1.0
RANK_DELAY_S = 1.0
START_SETTLE_S = 1.0
NO_TARGET_TIMEOUT_S = 5.0
NO_TARGET_RETRY_S = 0.2
TOPIC = "targets"
NEVER = float("-inf")
UNAVAILABLE_STATES = ("leaving", "absent")


@register_controller("stewardship", order=60)
class StewardshipController(Controller):
    """Tickets and placement of this instance, and its stewards.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Shared services of the instance.

    Attributes
    ----------
    manager : StewardManager
        Manages the stewards on this instance.
    ticket_client : TicketClient
        Requests tickets for this instance's requests.
    placer : Placer
        Ranks the engines.
    service_placer : ServicePlacer
        Selects targets of plain services.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        settings = services.settings.stewardship
        self.settings = settings
        self.policy = StewardPolicy(
            ticket_lease=settings.ticket_lease,
            authority_lease=settings.authority_lease,
            order_linger=settings.order_linger,
            report_lag=settings.report_lag,
            queue_limit=settings.queue_limit,
            queue_order=settings.queue_order,
            eviction=settings.eviction,
        )
        self.table = StewardshipTable()
        self.directory = StewardDirectory(table=self.table)
        self.authority = Authority(
            lease=settings.authority_lease,
            settle=settings.authority_lease + settings.order_linger,
            gap=PAUSE_GAP_S,
        )
        self.engines = EngineClient(
            session_source=lambda: services.http, clock=services.clock
        )
        self.view = MembershipView(
            services=services,
            table=self.table,
            authority=self.authority,
            order_timeout=settings.authority_lease
            + settings.order_linger
            + settings.silence,
        )
        self.manager = StewardManager(
            services=services,
            table=self.table,
            election=Election(
                own=Peer(services.instance, services.boot, services.data_centre, False),
                silence=settings.silence,
                rank_delay=RANK_DELAY_S,
            ),
            authority=self.authority,
            policy=self.policy,
            engines=self.engines,
        )
        self.ticket_client = TicketClient(
            services=services,
            held_tickets=HeldTickets(
                lease=settings.ticket_lease, dispatch_margin=DISPATCH_MARGIN_S
            ),
            executors=self.manager.executors,
            find_steward=self.find_steward,
            direct_fencing_number=self.view.number_without_steward,
            engines=self.engines,
        )
        placement = services.settings.placement
        self.placer = Placer(
            data_centre=services.data_centre,
            policy=PlacementPolicy(
                score=placement.score,
                prefill_rate=placement.prefill_rate,
            ),
        )
        self.service_placer = ServicePlacer(data_centre=services.data_centre)
        self.started_at = services.clock()
        self.published_at = -math.inf
        self.background = [
            BackgroundTask(name=f"stewardship-{name}")
            for name in ("tick", "poll", "claims", "renewals", "returns")
        ]

    def add_to_server(self, server):
        """Register the gRPC service. See `Controller.add_to_server`."""
        servicer = StewardshipServicer(manager=self.manager, clock=self.services.clock)
        stewardship_pb2_grpc.add_StewardshipServicer_to_server(servicer, server)

    async def start(self):
        """Start all background work. See `Controller.start`."""
        for record_type in (CLAIM, RELEASE):
            self.services.state_log.subscribe(record_type, self.manager.apply_record)
        self.membership.subscribe(TOPIC, self._note_digest)
        loops = (
            self._run_ticks(),
            self._run_polls(),
            self._run_claims(),
            self._run_renewals(),
            self.ticket_client.sender.run_returns(),
        )
        for task, loop in zip(self.background, loops, strict=True):
            task.start(loop)

    async def leave(self):
        """Hand over the stewardships. See `Controller.leave`."""
        await self.manager.leave()

    async def stop(self):
        """Return all tickets and stop. See `Controller.stop`."""
        await self.ticket_client.sender.flush_returns()
        for task in self.background:
            await task.stop()
        self.manager.stop()
        await self.engines.close()

    def degraded(self):
        """Return descriptions of degraded functions. See `Controller.degraded`."""
        now = self.services.clock()
        found = []
        if self.manager.executors and not self.authority.is_valid(now):
            found.append("Stewardships are not confirmed; no tickets, no orders.")
        members = self.view.members()
        without_steward = [
            target.name
            for target in self._engines()
            if self.directory.steward(target.name, members) is None
        ]
        if without_steward:
            found.append(
                f"No steward is known for: {', '.join(sorted(without_steward))}."
            )
        found += [
            f"Engine {name} does not answer."
            for name, executor in self.manager.executors.items()
            if executor.silent_since is not None
        ]
        return found

    def status(self):
        """Return stewardships and tickets. See `Controller.status`."""
        now = self.services.clock()
        members = self.view.members()
        stewards = {}
        for target in self._engines():
            found = self.directory.steward(target.name, members)
            stewards[target.name] = None if found is None else found.instance
        return {
            "stewards": stewards,
            "own": {
                name: _steward_status(executor, now)
                for name, executor in sorted(self.manager.executors.items())
            },
            "tickets_held": len(self.ticket_client.held_tickets.tickets),
            "authority": self.authority.is_valid(now),
        }

    @property
    def membership(self):
        """The membership controller."""
        return self.services.controllers["membership"]

    async def acquire(self, exchange, *, avoid=frozenset(), now):
        """Get a ticket for a request to an engine or a plain service.

        Parameters
        ----------
        exchange : skylarkpost.filters.Exchange
            The request.
        avoid : frozenset of str
            Targets that have failed the request.
        now : float
            Current time, in seconds.

        Returns
        -------
        Ticket or Refused
        """
        if not exchange.is_model_request:
            return self._acquire_service(exchange, avoid, now)
        deadline = min(exchange.deadline, now + NO_TARGET_TIMEOUT_S)
        while True:
            outcome = await self._acquire_engine(exchange, avoid)
            is_final = getattr(outcome, "reason", None) is not Reason.NO_TARGET
            is_late = self.services.clock() + NO_TARGET_RETRY_S >= deadline
            if is_final or is_late or not self._engines_of(exchange):
                return outcome
            await _wait_for_cancel(exchange, NO_TARGET_RETRY_S)

    def release(self, ticket, *, unused_tokens=0, certain=True, succeeded=True):
        """Release a ticket.

        Parameters
        ----------
        ticket : Ticket
            From `acquire`.
        unused_tokens : int
            Tokens that were charged and not generated.
        certain : bool
            Whether the target has certainly ended the request, or never
            started it. If not, the adapter counts as in use until a load report
            shows that it is idle.
        succeeded : bool
            Whether the target answered; used to select plain services.
        """
        now = self.services.clock()
        if ticket.kind == "service":
            self.service_placer.note_finished(ticket, succeeded=succeeded, now=now)
            return
        self.placer.note_ended(ticket.target, ticket.ticket_id)
        self.ticket_client.release(ticket, unused_tokens=unused_tokens, certain=certain)

    def may_dispatch(self, ticket):
        """Return whether a request may be sent on a ticket now.

        Parameters
        ----------
        ticket : Ticket
            From `acquire`.

        Returns
        -------
        bool
            Call this right before sending. If the ticket is about to expire,
            release it and acquire a new one.
        """
        if ticket.kind == "service":
            return True
        now = self.services.clock()
        return self.ticket_client.held_tickets.may_dispatch(ticket.ticket_id, now)

    def find_steward(self, target):
        """Return the steward of a target.

        Parameters
        ----------
        target : str
            The target.

        Returns
        -------
        StewardAddress or None
        """
        return self.directory.steward(target, self.view.members())

    async def _acquire_engine(self, exchange, avoid):
        now = self.services.clock()
        request = self._placement_request(exchange)
        engines = self._engines_of(exchange)
        ranked = self.placer.rank(request, engines, now, avoid=avoid)
        by_name = {target.name: target for target in engines}
        requested = {}

        def note_requested(target, ticket_id):
            requested[target] = ticket_id
            self.placer.note_sent(target, ticket_id, request, self.services.clock())

        outcome = await self.ticket_client.acquire(
            exchange, [by_name[name] for name, _ in ranked], on_requested=note_requested
        )
        chosen = getattr(outcome, "target", None)
        for target, ticket_id in requested.items():
            if target != chosen:
                self.placer.note_ended(target, ticket_id)
        return outcome

    def _engines_of(self, exchange):
        return [
            target
            for target in self._engines()
            if target.pool == exchange.profile.base_model
            and self._accepts_requests(target.name)
        ]

    def _acquire_service(self, exchange, avoid, now):
        store = self.services.controllers["config"].store
        targets = [
            target
            for target in store.items("target")
            if target.kind == "service"
            and target.pool == exchange.route.pool
            and self._accepts_requests(target.name)
        ]
        ticket = self.service_placer.choose(
            targets, request_id=exchange.request_id, avoid=avoid, now=now
        )
        if ticket is not None:
            return ticket
        return Refused(
            reason=Reason.NO_TARGET,
            message="No target of this route takes calls at present.",
            run_state=RunState.NOT_RUN,
            retry_after=1.0,
        )

    def _placement_request(self, exchange):
        profile = exchange.profile
        lora_name = lora_name_of(profile)
        prompt = prompt_text(exchange.content)
        share = self.services.settings.placement.preamble_share
        preamble = Preamble(
            preamble_hash(f"{lora_name}\n{prompt}"), share * exchange.prompt_tokens
        )
        return PlacementRequest(
            lora_name=lora_name,
            needs_adapter=bool(profile.adapter),
            urgency=profile.urgency,
            prompt_tokens=exchange.prompt_tokens,
            preambles=(preamble,),
        )

    def _engines(self):
        store = self.services.controllers["config"].store
        return [target for target in store.items("target") if target.kind == "engine"]

    def _accepts_requests(self, target):
        return self.membership.target_state(target) not in UNAVAILABLE_STATES

    def _note_digest(self, member, payload, now):
        summaries = decode_summaries(payload)
        if summaries is None:
            self.services.metrics.count_event("malformed-digest")
            return
        for summary in summaries:
            self.directory.note_summary(summary)
            self.placer.note_summary(summary, now)
            executor = self.manager.executors.get(summary.target)
            if executor is None or not summary.full_powers:
                continue
            if summary.fencing_number > executor.claim.number:
                self.manager.end_stewardship(
                    summary.target, reason="newer-steward-heard"
                )

    async def _run_ticks(self):
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    def _tick(self):
        now = self.services.clock()
        self.view.confirm_authority(now)
        for name, executor in list(self.manager.executors.items()):
            executor.steward.closed = not self._accepts_requests(name)
            executor.tick()
        summaries = [
            executor.summary(now) for executor in self.manager.executors.values()
        ]
        for summary in summaries:
            self.directory.note_summary(summary)
            self.placer.note_summary(summary, now)
        members = self.view.members()
        for target, summary in self.placer.summaries.items():
            if summary.steward in members:
                self.placer.note_alive(target, now)
        if now - self.published_at >= PUBLISH_S:
            self.published_at = now
            self.membership.publish(TOPIC, encode_summaries(summaries))

    async def _run_polls(self):
        while True:
            executors = list(self.manager.executors.values())
            polls = asyncio.gather(*(executor.poll() for executor in executors))
            await polls
            for name, executor in self.manager.executors.items():
                if executor.last_report is not None:
                    self.services.metrics.note_engine(name, executor.last_report)
            await asyncio.sleep(self.settings.poll_interval)

    async def _run_claims(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = self.services.clock()
            if now - self.started_at < START_SETTLE_S or self.services.leaving:
                continue
            if self.services.state_log.fresh_at is None:
                continue
            targets = [
                target
                for target in self._engines()
                if self.membership.target_state(target.name) != "absent"
            ]
            await self.manager.run_election(targets, self.view.peers(), now)

    async def _run_renewals(self):
        while True:
            await asyncio.sleep(RENEWAL_CHECK_S)
            await self.ticket_client.sender.renew()


async def _wait_for_cancel(exchange, seconds):
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(exchange.cancel_event.wait(), seconds)


def _steward_status(executor, now):
    steward = executor.steward
    return {
        "number": steward.fencing_number,
        "powers": str(steward.permissions),
        "boot": steward.boot,
        "tickets": len(steward.ledger),
        "lapsed": len(steward.ledger.expired),
        "queued": len(steward.queue),
        "resident": sorted(steward.slots.residency.usable()),
        "evictions": steward.slots.evictions,
        "expected_wait": round(steward.expected_wait(5, now), 3),
        "silent_for": None
        if executor.silent_since is None
        else round(now - executor.silent_since, 3),
    }
