"""Simulates instances, a log and one engine, with faults drawn from a seed."""

import heapq
import itertools
import random

from skylarkpost.stewardship import (
    Authority,
    FenceTarget,
    GrantTicket,
    LoadAdapter,
    Permissions,
    RefuseTicket,
    RequestLoadPermit,
    StewardPolicy,
    TargetSteward,
    TicketRequest,
    UnloadAdapter,
)
from skylarkpost.stewardship.election import ClaimTarget, Election, Peer
from skylarkpost.stewardship.held_tickets import HeldTickets, Ticket
from skylarkpost.stewardship.messages import HeldTicket
from skylarkpost.stewardship.table import (
    StewardshipTable,
    claim_record,
    release_record,
)
from tests.stewardship.fakes import FakeEngine

STEP_S = 0.05
ADAPTERS = [f"a{n}@{v}" for n in range(3) for v in (1, 2)]
POLICY = StewardPolicy()
ORDERS = (LoadAdapter, UnloadAdapter, FenceTarget)


class Node:
    """One instance: reads the log, holds tickets, and may be the steward."""

    def __init__(self, fleet, name, data_centre, boot):
        self.fleet, self.name, self.data_centre, self.boot = (
            fleet,
            name,
            data_centre,
            boot,
        )
        self.peer = Peer(name, boot, data_centre, False)
        self.table = StewardshipTable()
        self.election = Election(own=self.peer, silence=2.0, rank_delay=0.5)
        self.authority = Authority(lease=POLICY.authority_lease, settle=2.0, gap=1.0)
        self.holder = HeldTickets(lease=POLICY.ticket_lease, dispatch_margin=1.0)
        self.steward = None
        self.applied = 0
        self.paused_until = 0.0
        self.cut_until = 0.0
        self.alive = True
        self.inbox = []
        self.last_heartbeats = {}
        self.waiting = {}
        self.fresh_at = None

    @property
    def claim(self):
        """The claim that this instance follows when it sends requests."""
        target = self.fleet.target.name
        return self.table.full.get(target) or self.table.limited.get(target)

    def tick(self, now):
        for deliver in self.inbox:
            deliver(now)
        self.inbox.clear()
        self.read_log(now)
        self.confirm(now)
        self.elect(now)
        if self.steward is not None:
            self.execute(self.steward.tick(now), now)
            if self.fleet.chance(0.2):
                self.fleet.broadcast(self, now)
            if self.fleet.chance(0.2) and not self.is_cut(now):
                report = self.fleet.engine.report(now)
                steward = self.steward
                self.fleet.to_node(
                    self, lambda at: self.deliver_report(steward, report, at), now
                )
        self.run_as_member(now)

    def deliver_report(self, steward, report, now):
        if steward is self.steward:
            self.execute(steward.report(report, now), now)

    def is_cut(self, now):
        return now < self.cut_until

    def read_log(self, now):
        fleet = self.fleet
        if now < fleet.log_down_until or self.is_cut(now):
            return
        while self.applied < len(fleet.log):
            record, offset = fleet.log[self.applied], self.applied
            self.applied += 1
            before = self.claim
            claim = self.table.apply(record, offset, 0.0)
            if claim is None or record["type"] != "steward-claim":
                continue
            if self.election.is_own(claim):
                self.start_steward(claim, before, now)
            elif self.steward is not None and claim.full_powers:
                self.steward = None
        self.fresh_at = now

    def start_steward(self, claim, before, now):
        self.steward = TargetSteward(
            target=self.fleet.target,
            fencing_number=claim.number,
            instance=self.name,
            now=now,
            policy=POLICY,
            authority=self.authority,
            permissions=Permissions.FULL if claim.full_powers else Permissions.LIMITED,
            predecessor=before is not None,
        )
        self.fleet.counts["stewardships"] += 1

    def confirm(self, now):
        if self.fresh_at is not None and self.fresh_at > now - 1.0:
            self.authority.note_log_read(self.fresh_at, now)
            return
        neighbours = [
            self.last_heartbeats.get(n.name, -1.0)
            for n in self.fleet.nodes
            if n.alive and n is not self and n.data_centre == self.data_centre
        ]
        self.authority.note_neighbours(neighbours, now)

    def elect(self, now):
        peers = [self.peer]
        for node in self.fleet.nodes:
            if (
                node is not self
                and now - self.last_heartbeats.get(node.name, -9.0) < 2.0
            ):
                peers.append(node.peer)
        if now < self.fleet.log_down_until or self.is_cut(now) or now < 1.0:
            return
        target = self.fleet.target
        for decision in self.election.decide([target], self.table, peers, now):
            if isinstance(decision, ClaimTarget):
                record = claim_record(
                    target=target.name,
                    instance=self.name,
                    boot=self.boot,
                    data_centre=self.data_centre,
                    full_powers=decision.full_powers,
                )
            else:
                self.steward = None
                record = release_record(target=target.name, number=decision.number)
            self.fleet.log.append(record)

    def execute(self, commands, now):
        pending = list(commands)
        while pending:
            command = pending.pop(0)
            steward = self.steward
            if isinstance(command, GrantTicket | RefuseTicket):
                self.fleet.answer(command, steward, now)
            elif isinstance(command, RequestLoadPermit):
                pending += steward.permit_granted(now)
            elif isinstance(command, ORDERS):
                self.fleet.order(self, steward, command, now)

    def order_ended(self, steward, command, succeeded, certain, now):
        if steward is not self.steward:
            return
        if isinstance(command, FenceTarget):
            commands = steward.fence_ended(command, now, succeeded=succeeded)
        else:
            commands = steward.order_ended(
                command, now, succeeded=succeeded, certain=certain
            )
        self.execute(commands, now)

    def run_as_member(self, now):
        fleet = self.fleet
        if fleet.chance(0.02) and len(self.waiting) < 8:
            name = f"{self.name}-{self.boot}-{next(fleet.numbers)}"
            lora = fleet.random.choice(ADAPTERS)
            fleet.counts["asked"] += 1
            self.waiting[name] = TicketRequest(
                name, self.name, lora, "t", 1.0, 5, 100, now + 15.0
            )
        for request in list(self.waiting.values()):
            if request.deadline < now:
                del self.waiting[request.ticket_id]
                self.give_back(request.ticket_id, now)
            elif fleet.chance(0.1):
                fleet.send_request(self, request, now)
        for tickets in self.holder.due_renewals(now).values():
            fleet.renew(self, tickets, now)
        for returns in self.holder.due_returns(now).values():
            if fleet.chance(0.5):
                fleet.send_returns(self, returns, now)

    def granted(self, grant, sent_at, now):
        if grant.ticket_id in self.holder.tickets:
            return
        request = self.waiting.pop(grant.ticket_id, None)
        if request is None:
            self.give_back(grant.ticket_id, now)
            return
        target = self.fleet.target
        ticket = Ticket(
            grant.ticket_id,
            "engine",
            target.name,
            target.address,
            grant.boot,
            grant.lora_name,
            grant.fencing_number,
            sent_at + grant.lease,
        )
        self.holder.add(ticket)
        if not self.holder.may_dispatch(ticket.ticket_id, now) or self.is_cut(now):
            self.ended(ticket.ticket_id, True, now)
            return
        self.fleet.dispatch(self, ticket, now)

    def ended(self, ticket_id, certain, now):
        self.holder.end(ticket_id, unused_tokens=0, certain=certain, now=now)

    def give_back(self, ticket_id, now):
        self.holder.queue_return(
            ticket_id, self.fleet.target.name, 0, certain=True, now=now
        )


class Fleet:
    """All nodes, the network between them, and the injected faults."""

    def __init__(self, target, seed, *, faults):
        self.random = random.Random(seed)
        self.target = target
        self.faults = faults
        self.engine = FakeEngine(target, report_lag=0.8)
        self.log = []
        self.log_down_until = 0.0
        self.numbers = itertools.count(1)
        self.events = []
        self.counts = dict.fromkeys(
            (*faults, "stewardships", "asked", "run", "refused"), 0
        )
        locations = [("h-1", "dc-1"), ("h-2", "dc-1"), ("o-1", "dc-2"), ("o-2", "dc-3")]
        self.nodes = [Node(self, name, place, "b0") for name, place in locations]

    def chance(self, probability):
        return self.random.random() < probability

    def run(self, seconds):
        now = 0.0
        while now < seconds:
            now += STEP_S
            while self.events and self.events[0][0] <= now:
                at, _, action = heapq.heappop(self.events)
                action(max(at, now - STEP_S))
            for node in self.nodes:
                if node.alive and now >= node.paused_until:
                    node.tick(now)
            self.exchange_heartbeats(now)
            for fault in self.faults:
                if self.chance(0.002):
                    self.counts[fault] += 1
                    getattr(self, fault)(now)

    def at(self, when, action):
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def to_node(self, node, action, now):
        def deliver(at):
            if node.alive:
                node.inbox.append(action)

        if not self.chance(0.02):
            self.at(now + self.random.uniform(0.001, 0.05), deliver)

    def exchange_heartbeats(self, now):
        active = [n for n in self.nodes if n.alive and now >= n.paused_until]
        for one, other in itertools.permutations(active, 2):
            if self.reaches(one, other, now) and self.chance(0.3):
                other.last_heartbeats[one.name] = now

    def reaches(self, one, other, now):
        if one.data_centre == other.data_centre:
            return True
        return not one.is_cut(now) and not other.is_cut(now)

    def broadcast(self, node, now):
        number = node.steward.fencing_number
        if node.steward.permissions is not Permissions.FULL:
            return
        for other in self.nodes:
            if other is not node and self.reaches(node, other, now):
                self.to_node(
                    other, lambda at, o=other: self.receive_broadcast(o, number), now
                )

    def receive_broadcast(self, node, number):
        if node.steward is not None and node.steward.fencing_number < number:
            node.steward = None

    def steward_node(self, node, now):
        claim = node.claim
        for other in self.nodes:
            is_holder = claim is not None and other.name == claim.instance
            if is_holder and other.alive and self.reaches(node, other, now):
                return other
        return None

    def send_request(self, node, request, now):
        other = self.steward_node(node, now)

        def arrive(at):
            steward = other.steward
            if steward is not None:
                steward.sent_at = getattr(steward, "sent_at", {})
                steward.sent_at[request.ticket_id] = now
                other.execute(steward.request(request, at), at)

        if other is not None:
            self.to_node(other, arrive, now)

    def answer(self, command, steward, now):
        node = next((n for n in self.nodes if n.name == command.holder), None)
        if isinstance(command, RefuseTicket):
            self.counts["refused"] += 1
            self.to_node(node, lambda at: node.waiting.pop(command.ticket_id, 0), now)
            return
        sent_at = steward.sent_at[command.ticket_id]
        self.to_node(node, lambda at: node.granted(command, sent_at, at), now)

    def renew(self, node, tickets, now):
        other = self.steward_node(node, now)
        held = [
            (HeldTicket(t.ticket_id, node.name, t.lora_name, "t", 1.0, 1, 0, 0), t.boot)
            for t in tickets
        ]

        def arrive(at):
            steward = other.steward
            if steward is None:
                return
            renewed = steward.renew(held, at)
            number = steward.fencing_number
            self.to_node(node, lambda _: note(renewed, number), at)

        def note(renewed, number):
            node.holder.note_renewed(
                renewed, sent_at=now, steward=other.name, fencing_number=number
            )

        if other is not None:
            self.to_node(other, arrive, now)

    def send_returns(self, node, returns, now):
        other = self.steward_node(node, now)

        def arrive(at):
            if other.steward is None:
                return
            for each in returns:
                commands = other.steward.return_ticket(
                    each.ticket_id, at, certain=each.certain
                )
                other.execute(commands, at)
            ids = [each.ticket_id for each in returns]
            self.to_node(node, lambda _: node.holder.note_returned(ids), at)

        if other is not None:
            self.to_node(other, arrive, now)

    def dispatch(self, node, ticket, now):
        duration = self.random.choice([0.3, 1.0, 3.0, 25.0])

        def arrive(at):
            if not self.engine.run(
                ticket.ticket_id, ticket.lora_name, ticket.boot, ticket.fencing_number
            ):
                self.to_node(node, lambda _: node.ended(ticket.ticket_id, True, _), at)
                return
            self.counts["run"] += 1
            self.at(at + duration, finish)

        def finish(at):
            self.engine.end(ticket.ticket_id)
            self.to_node(node, lambda _: node.ended(ticket.ticket_id, True, _), at)

        self.at(now + self.random.uniform(0.001, 0.4), arrive)

    def order(self, node, steward, command, now):
        late = "late_orders" in self.faults and self.chance(0.05)
        twice = "late_orders" in self.faults and self.chance(0.05)
        delay = self.random.uniform(0.001, 0.3)
        if late:
            delay = self.random.uniform(POLICY.order_timeout, POLICY.order_linger)
            self.counts["late_orders"] += 1
        if twice:
            again = self.random.uniform(delay, delay + 0.2)
            self.at(now + again, lambda at: self.apply(command, at))

        def arrive(at):
            done = self.apply(command, at)
            if not late and not self.chance(0.02):
                end = lambda _: node.order_ended(steward, command, done, True, _)  # noqa: E731
                self.to_node(node, end, at)

        def give_up(at):
            node.order_ended(steward, command, False, False, at)

        self.at(now + delay, arrive)
        wait = now + POLICY.order_timeout
        self.at(wait, lambda at: node.alive and node.inbox.append(give_up))

    def apply(self, command, now):
        number = command.fencing_number
        if isinstance(command, FenceTarget):
            return self.engine.admits(command.boot, number)
        if isinstance(command, UnloadAdapter):
            return self.engine.unload(command.lora_name, command.boot, number)
        if "failed_load" in self.faults and self.chance(0.05):
            self.counts["failed_load"] += 1
            return False
        return self.engine.load(command.lora_name, command.boot, number)

    def late_orders(self, now):
        """Injected in `order`."""

    def failed_load(self, now):
        """Injected in `apply`."""

    def kill(self, now):
        node = self.random.choice(self.nodes)
        node.alive = False
        fresh = Node(self, node.name, node.data_centre, f"b{len(self.events)}{now:.2f}")
        place = self.nodes.index(node)
        fresh.paused_until = now + self.random.uniform(0.5, 20.0)
        self.nodes[place] = fresh

    def pause(self, now):
        stewards = [n for n in self.nodes if n.steward is not None]
        node = self.random.choice(stewards or self.nodes)
        node.paused_until = now + self.random.uniform(0.5, 25.0)

    def cut(self, now):
        place = self.random.choice(["dc-1", "dc-2", "dc-3"])
        until = now + self.random.uniform(1.0, 25.0)
        for node in self.nodes:
            if node.data_centre == place:
                node.cut_until = until if place != self.target.data_centre else 0.0

    def log_outage(self, now):
        self.log_down_until = now + self.random.uniform(1.0, 20.0)

    def restart(self, now):
        self.engine.restart(now)
