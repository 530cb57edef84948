"""Simulates instances of the team limits on a lossy network, in virtual time."""

import collections
import copy
import heapq
import itertools
import random

from skylarkpost.limits import (
    UNKNOWN_OWNER,
    AppendRecord,
    DrawGranted,
    Neighbour,
    PoolHolder,
    ShareExchange,
    ShareLender,
    SlotManager,
    SlotOwner,
    SlotTable,
    TeamLimit,
)

LEASE_S = 2.0
AUTHORITY_S = 3.0
DRAW_DEADLINE_S = 0.25
REACHABLE_TIMEOUT_S = 1.0
INSTANCES = {"e1": "a", "e2": "a", "e3": "b", "e4": "c"}
SLOTS = {"a": ["a/0", "a/1"], "b": ["b/0"], "c": ["c/0"]}


class Node:
    def __init__(self, fleet, name, boot):
        self.fleet, self.name, self.dc = fleet, name, INSTANCES[name]
        self.owner = SlotOwner(name, f"boot{boot}")
        self.paused_until = 0.0
        self.dead = False
        self.received_at, self.leaving_owners, self.requested_members = {}, set(), []
        self.applied = 0
        ids = f"{name}-{boot}"
        self.table = SlotTable(retention=fleet.retention)
        self.slot_manager = SlotManager(
            owner=self.owner,
            slots=SLOTS[self.dc],
            table=self.table,
            authority=AUTHORITY_S,
            lease=LEASE_S,
            retention=fleet.retention,
            now=fleet.now,
        )
        lender = ShareLender(owner=ids, total_slots=4, lease=LEASE_S)
        pools = PoolHolder(holder=ids, lease=LEASE_S)
        self.core = ShareExchange(
            owner=self.owner, slot_manager=self.slot_manager, lender=lender, pools=pools
        )
        for team, limit in fleet.present_limits.items():
            lender.set_team(team, limit, now=fleet.now)
        for period, job in (
            (0.1, self.tick),
            (0.05, self.read_log),
            (0.25, self.beat),
            (0.5, self.request_all),
        ):
            self.every(period, job)

    def every(self, period, job):
        def repeat():
            job()
            self.fleet.at(self.fleet.now + period, self, repeat)

        self.fleet.at(
            self.fleet.now + self.fleet.random.random() * period, self, repeat
        )

    def reachable(self):
        """Return the reachable instances, including those that are leaving."""
        now = self.fleet.now
        names = {
            n
            for (n, _), at in self.received_at.items()
            if now - at <= REACHABLE_TIMEOUT_S
        }
        return sorted(names | {self.name})

    def members(self):
        """Return the instances that may hold pools."""
        latest = {}
        for owner in sorted(self.received_at, key=lambda owner: int(owner.boot[4:])):
            latest[owner.instance] = owner
        gone = {
            owner.instance for owner in latest.values() if owner in self.leaving_owners
        }
        if self.core.leaving:
            gone.add(self.name)
        return [name for name in self.reachable() if name not in gone]

    def beat(self):
        for other in list(self.fleet.nodes.values()):
            if other is not self:
                self.fleet.send(self, other, self._receive_heartbeat_at(other))

    def _receive_heartbeat_at(self, other):
        is_leaving = self.core.leaving

        def receive():
            other.received_at[self.owner] = self.fleet.now
            if is_leaving:
                other.leaving_owners.add(self.owner)

        return receive

    def tick(self):
        fleet = self.fleet
        neighbours = [
            Neighbour(owner, at)
            for owner, at in self.received_at.items()
            if INSTANCES[owner.instance] == self.dc
        ]
        commands = self.slot_manager.tick(
            fleet.now, log_time=fleet.now, neighbours=neighbours
        )
        self.core.sync(fleet.now)
        fleet.note_slots()
        if self.members() != self.requested_members:
            self.requested_members = self.members()
            self.request_all()
        for command in commands:
            if isinstance(command, AppendRecord):
                fleet.append(self, command.record)
            else:
                self.request_yield(command)

    def request_yield(self, command):
        for other in list(self.fleet.nodes.values()):
            if command.owner in (other.owner, UNKNOWN_OWNER) and other.dc == self.dc:
                self.fleet.send(self, other, lambda o=other: self._yield_at(o, command))

    def _yield_at(self, other, command):
        other.slot_manager.yield_slot(command.slot, command.claim)
        self.fleet.send(
            other,
            self,
            lambda: self.slot_manager.note_yielded(
                command.slot, other.owner, self.fleet.now
            ),
        )

    def read_log(self):
        fleet, started = self.fleet, self.fleet.now
        if fleet.log_reachable(self):
            fleet.at(fleet.now + fleet.delay(), self, lambda: self._apply(started))

    def _apply(self, started):
        fleet = self.fleet
        first = fleet.first_offset()
        if first > self.applied:
            self.applied = first
            self.table.note_gap()
        while self.applied < len(fleet.log):
            time, record = fleet.log[self.applied]
            self.table.apply(record, self.applied, time)
            self.applied += 1
        self.table.note_caught_up()
        self.slot_manager.note_log_read(started, fleet.now)

    def request_all(self):
        members = self.members()
        for name in self.reachable():
            other = self.fleet.nodes[name]
            for message in self.core.collect_returns(name, members, now=self.fleet.now):
                self.send_return(other, message)
            share_request = self.core.build_request(name, members)
            if share_request is not None:
                requested_at = self.fleet.now
                self.fleet.send(
                    self, other, self._answer_at(other, share_request, requested_at)
                )

    def _answer_at(self, other, share_request, requested_at):
        def answer():
            reply = other.core.answer(
                share_request, other.members(), now=self.fleet.now
            )
            tokens = collections.Counter()
            for team, grant in reply.lent:
                tokens[team] += grant.level
            self.fleet.send(
                other,
                self,
                lambda: self._handle_reply(other, reply, requested_at),
                tokens,
            )

        return answer

    def _handle_reply(self, other, reply, requested_at):
        returns = self.core.handle_answer(
            other.name, reply, requested_at=requested_at, now=self.fleet.now
        )
        for message in returns:
            self.send_return(other, message)

    def send_return(self, other, message):
        self.fleet.send(
            self,
            other,
            lambda: other.core.handle_return(message, now=self.fleet.now),
            {message.lease.team: message.tokens},
        )

    def request(self, team, tokens):
        requested_at, done = self.fleet.now, []
        members = self.members() or [self.name]
        holder = self.fleet.nodes[self.core.holder_of(team, members)]

        def finish(answer, at):
            if not done and self.fleet.now - requested_at <= DRAW_DEADLINE_S:
                done.append(1)
                if isinstance(answer, DrawGranted):
                    self.fleet.admit(team, at, tokens, holder, answer.receipt)
                else:
                    self.draw_local(team, tokens)

        def draw():
            answer = holder.core.draw_pooled(team, tokens, now=self.fleet.now)
            at = self.fleet.now
            if isinstance(answer, DrawGranted):
                self.fleet.charged[team] += tokens
            self.fleet.send(holder, self, lambda: finish(answer, at))

        def time_out():
            if not done:
                done.append(1)
                self.draw_local(team, tokens)

        self.fleet.send(self, holder, draw)
        self.fleet.at(requested_at + DRAW_DEADLINE_S, self, time_out)

    def draw_local(self, team, tokens):
        now = self.fleet.now
        receipt = self.core.draw_local(team, tokens, now=now)
        if receipt is None:
            self.fleet.refused[team].append((now, tokens))
        else:
            self.fleet.charged[team] += tokens
            self.fleet.admit(team, now, tokens, self, receipt)

    def leave(self):
        """Release the slots, then stop and restart."""
        self.slot_manager.releasing = self.core.leaving = True
        self.beat()
        self.request_all()
        self.fleet.at(self.fleet.now + LEASE_S * 2, self, self._release)

    def _release(self):
        lender, now = self.core.lender, self.fleet.now
        lender.advance(now)
        for slot in list(self.slot_manager.active_slots()):
            if slot in lender.slots and not lender.is_lent(slot):
                balances = lender.release_slot(slot, now=now)
                self.fleet.append(
                    self, self.slot_manager.release(slot, balances).record
                )
                self.fleet.in_flight.update(balances)
        self.fleet.at(now + 0.1, None, lambda: self.fleet.restart(self.name))

    def tokens(self, team):
        """Return the tokens that could still be charged at this instance."""
        now, lender, pools = self.fleet.now, self.core.lender, self.core.pools
        if self.paused_until > now or self.superseded():
            lender, pools = copy.deepcopy((lender, pools))
            lender.set_slots(
                {s: v for s, v in lender.slots.items() if s not in self.superseded()},
                now=now,
            )
        lender.advance(now)
        pools.advance(team, now=now)
        local_bucket = lender.teams[team].bucket
        local_bucket.advance(now)
        pool = pools.pools.get(team)
        return local_bucket.level + (pool.bucket.level if pool else 0.0)

    def superseded(self):
        """Return the own slots that another instance uses under a later claim."""
        return {
            slot
            for slot, share in self.core.lender.slots.items()
            for other in self.fleet.nodes.values()
            if other is not self and slot in other.core.lender.slots
            if other.core.lender.slots[slot].claim > share.claim
        }


class Fleet:
    def __init__(self, *, seed, limits, retention=3600.0, faults=(), fault_interval=8):
        self.random = random.Random(seed)
        self.now = 1000.0
        # The maximum limits during the run, and the present ones.
        self.limits, self.present_limits = limits, dict(limits)
        self.refunds = self.random.choice([0.0, 0.7])
        self.retention, self.fault_interval = retention, fault_interval
        self.heap, self.numbers = [], itertools.count()
        self.log, self.log_down_until = [], 0.0
        self.cuts, self.loss, self.late = {}, 0.0, 0.0
        self.charged, self.in_flight = collections.Counter(), collections.Counter()
        self.highest, self.used_slots, self.seen_shares = {}, set(), set()
        self.admitted = {team: [] for team in limits}
        self.refused = {team: [] for team in limits}
        self.nodes, self.boots = {}, itertools.count()
        self.faults = collections.Counter()
        for name in INSTANCES:
            self.start(name)
        self.at(self.now, None, self._audit_again)
        for kind in faults:
            # Each kind of fault occurs at least once in a run of two minutes.
            self.at(self.now + self.random.uniform(5, 100), None, self._fault_job(kind))

    def start(self, name):
        if name in self.nodes and not self.nodes[name].dead:
            return
        self.nodes[name] = Node(self, name, next(self.boots))

    def change_limits(self, part):
        for team, limit in self.limits.items():
            changed = TeamLimit(limit.rate * part, limit.burst * part)
            self.present_limits[team] = changed
            for node in self.nodes.values():
                self.at(
                    self.now + self.random.uniform(0, 2),
                    node,
                    lambda lender=node.core.lender, team=team, changed=changed: (
                        lender.set_team(team, changed, now=self.now)
                    ),
                )

    def restart(self, name, gap=0.05):
        self.nodes[name].dead = True
        self.at(self.now + gap, None, lambda: self.start(name))

    def at(self, time, node, job):
        heapq.heappush(self.heap, (time, next(self.numbers), node, job))

    def run(self, seconds):
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            time, _, node, job = heapq.heappop(self.heap)
            self.now = max(self.now, time)
            if node is not None and node.dead:
                continue
            if node is not None and node.paused_until > self.now:
                self.at(node.paused_until, node, job)
                continue
            job()
        self.now = end

    def delay(self):
        if self.random.random() < self.late:
            return self.random.uniform(0.1, 4.0)
        return self.random.uniform(0.0005, 0.003)

    def send(self, source, target, job, tokens=None):
        if source is target:
            return self.at(self.now, target, job)
        apart = source.dc != target.dc
        if apart and {source.dc, target.dc} & self.active_cuts():
            return None
        # Within a data centre messages are never lost, but may be delayed.
        if apart and self.random.random() < self.loss:
            return None
        carried_tokens = collections.Counter(tokens or {})
        self.in_flight.update(carried_tokens)

        def arrive():
            self.in_flight.subtract(carried_tokens)
            job()

        return self.at(self.now + self.delay(), target, arrive)

    def audit(self):
        """Check that the fleet's tokens grow no faster than the rate.

        Unlike the check of the admissions, this detects created tokens at once,
        whether or not they are spent.
        """
        self.note_slots()
        for team, limit in self.limits.items():
            tokens = sum(node.tokens(team) for node in self.nodes.values())
            tokens += self.in_flight[team] + self.charged[team]
            # Slots that have not been used yet count as full.
            tokens += (4 - len(self.used_slots)) / 4 * limit.burst
            surplus = tokens - limit.rate * self.now
            highest = self.highest.get(team, surplus)
            assert surplus <= highest + 1e-3, f"{surplus - highest:.1f} tokens created"
            self.highest[team] = surplus

    def note_slots(self):
        for node in self.nodes.values():
            for slot, share in node.core.lender.slots.items():
                if (slot, share.claim) not in self.seen_shares:
                    self.seen_shares.add((slot, share.claim))
                    self.used_slots.add(slot)
                    self.in_flight.subtract(share.balances)

    def _audit_again(self):
        self.audit()
        self.at(self.now + 0.25, None, self._audit_again)

    def active_cuts(self):
        return {dc for dc, until in self.cuts.items() if until > self.now}

    def log_reachable(self, node):
        cut = self.active_cuts() | {
            dc[4:] for dc in self.active_cuts() if dc.startswith("log-")
        }
        return node.dc not in cut and self.log_down_until <= self.now

    def append(self, node, record):
        if self.log_reachable(node):
            self.at(
                self.now + self.delay(),
                None,
                lambda: self.log.append((self.now, record)),
            )

    def first_offset(self):
        oldest = self.now - self.retention
        return next(
            (i for i, (t, _) in enumerate(self.log) if t > oldest), len(self.log)
        )

    def admit(self, team, at, tokens, node, receipt):
        entry = [at, tokens]
        self.admitted[team].append(entry)
        unused = tokens * self.random.random()

        def refund():
            if not node.dead:
                refunded = node.core.refund(team, receipt, unused, now=self.now)
                entry[1] -= refunded
                self.charged[team] -= refunded

        if self.random.random() < self.refunds:
            self.at(self.now + self.random.expovariate(0.5), node, refund)

    def traffic(self, team, *, names, interval, tokens, seconds):
        def send_request():
            node = self.nodes[self.random.choice(names(self.now))]
            if not node.dead and node.paused_until <= self.now:
                node.request(team, self.random.uniform(*tokens))
            if self.now < end:
                self.at(self.now + interval, None, send_request)

        end = self.now + seconds
        self.at(self.now + interval, None, send_request)

    def check(self, team, limit):
        """Check the limit over every interval of the admissions, in one pass."""
        total, lowest = 0.0, float("inf")
        for at, tokens in sorted(self.admitted[team], key=lambda entry: entry[0]):
            lowest = min(lowest, total - limit.rate * at)
            total += tokens
            over = total - limit.rate * at - lowest - limit.burst
            assert over <= 1e-3, f"{over:.1f} tokens too many up to {at:.2f}"

    def _fault_job(self, kind):
        return lambda: self._inject_fault(kind)

    def _inject_fault(self, kind):
        self.faults[kind] += 1
        name = self.random.choice(sorted(self.nodes))
        node, until = self.nodes[name], self.now + self.random.uniform(0.3, 15)
        if kind == "pause":
            node.paused_until = max(node.paused_until, until)
        elif kind in ("restart", "restarts in a row"):
            in_a_row = kind == "restarts in a row"
            self.restart(name, 0.05 if in_a_row else self.random.uniform(0, 12))
        elif kind == "limit change":
            self.change_limits(self.random.uniform(0.3, 1.0))
        elif kind == "leave" and not node.core.leaving:
            node.leave()
        elif kind == "cut":
            self.cuts[node.dc] = until
        elif kind == "platform cut":
            self.cuts["log-" + node.dc] = until
        elif kind == "log outage":
            self.log_down_until = until
        elif kind == "loss":
            self.loss = self.random.choice([0.0, 0.3])
        elif kind == "late":
            self.late = self.random.choice([0.0, 0.05])
        wait = self.random.expovariate(1 / self.fault_interval)
        self.at(self.now + wait, None, self._fault_job(kind))
