"""Discrete-event simulation of a network of membership cores."""

import heapq
import itertools
import random

from skylarkpost.listing import ListedInstance
from skylarkpost.membership import MembershipCore

TIMEOUT_S = 0.5
TICK_S = 0.1


class Node:
    def __init__(self, core, now):
        self.core = core
        self.started_at = now
        self.ended_at = None
        self.paused_until = None
        self.received = []


class Simulation:
    def __init__(self, places, *, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.order = itertools.count()
        self.queue = []
        self.places = dict(places)
        self.nodes = {}
        self.boots = {}
        self.connections = {}
        self.cut = set()
        self.loss = 0.0
        self.longest_delay = 0.005
        self.clock_error = 0.0
        self.listed = True
        self.unlisted = set()
        for name in self.places:
            self.start(name)
        self.at(0.0, self.publish_list)

    def at(self, time, action, *arguments):
        heapq.heappush(self.queue, (time, next(self.order), action, arguments))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.queue)
            action(*arguments)
        self.now = end

    def start(self, name):
        boot = f"{int((1000 + self.now + self.clock_error) * 1000):x}-{next(self.order):04x}"
        core = MembershipCore(
            instance=name,
            boot=boot,
            address=f"ip:{name}",
            data_centre=self.places[name],
            random=self.random,
        )
        node = Node(core, self.now)
        self.nodes[name] = node
        self.boots[name, boot] = node
        self.at(self.now, self.tick, node)
        return node

    def end(self, name):
        self.nodes[name].ended_at = self.now

    def restart(self, name):
        self.end(name)
        return self.start(name)

    def pause(self, name, seconds):
        self.nodes[name].paused_until = self.now + seconds

    def silence(self, source, destination):
        """Drop all traffic on the open connection; a new one works."""
        self.connections[source, destination] = "silent"

    def publish_list(self):
        entries = [
            ListedInstance(name, "entry", f"ip:{name}", place, "live")
            for name, place in self.places.items()
            if name not in self.unlisted
        ]
        for name, node in self.nodes.items():
            if (
                node.ended_at is None
                and self.listed
                and self.places[name] not in self.cut
            ):
                node.core.apply_instance_list(entries, now=self.now)
        self.at(self.now + 0.5, self.publish_list)

    def when_awake(self, node, action, *arguments):
        if node.ended_at is not None:
            return
        if node.paused_until is not None and node.paused_until > self.now:
            self.at(node.paused_until, self.when_awake, node, action, *arguments)
            return
        action(*arguments)

    def tick(self, node):
        self.when_awake(node, self.do_tick, node)

    def do_tick(self, node):
        for command in node.core.tick(now=self.now):
            self.send(node, command)
        self.check(node)
        self.at(self.now + TICK_S, self.tick, node)

    def send(self, node, command):
        source, destination = node.core.instance, command.instance
        if command.on_new_connection:
            self.connections.pop((source, destination), None)
        settled = []
        self.at(
            self.now + TIMEOUT_S,
            self.when_awake,
            node,
            self.miss,
            node,
            command,
            settled,
        )
        self.at(self.now + self.delay(), self.deliver, node, command, settled)

    def deliver(self, node, command, settled):
        receiver = self.nodes[command.instance]
        if self.is_lost(node.core.instance, command.instance):
            return
        self.when_awake(receiver, self.answer, node, receiver, command, settled)

    def answer(self, node, receiver, command, settled):
        reply, digests = receiver.core.handle_heartbeat(command.heartbeat, now=self.now)
        receiver.received += [(node.core.instance, d) for d in digests]
        self.receive_digests(receiver)
        if self.is_lost(command.instance, node.core.instance):
            return
        self.at(
            self.now + self.delay(),
            self.when_awake,
            node,
            self.reply,
            node,
            command,
            reply,
            settled,
        )

    def reply(self, node, command, reply, settled):
        if not settled:
            settled.append(True)
            node.core.handle_reply(command, reply, now=self.now)
            self.receive_digests(node)
            self.check(node)

    def receive_digests(self, node):
        digests = node.core.pop_digests()
        node.received += [(each.instance, each.digest) for each in digests]

    def miss(self, node, command, settled):
        if not settled:
            settled.append(True)
            node.core.handle_miss(command, now=self.now)

    def delay(self):
        return self.random.uniform(0.0005, self.longest_delay)

    def is_lost(self, source, destination):
        if self.connections.get((source, destination)) == "silent":
            return True
        between = {self.places[source], self.places[destination]}
        is_cut = len(between) == 2 and between & self.cut
        return bool(is_cut) or self.random.random() < self.loss

    def check(self, node):
        """Check that no instance is believed alive at a time when it did not run."""
        for record in node.core.roster.records.values():
            if record.heard_at is None:
                continue
            peer = self.boots[record.instance, record.boot]
            assert record.heard_at <= self.now
            assert peer.ended_at is None or record.heard_at <= peer.ended_at
            assert record.heard_at >= peer.started_at - TIMEOUT_S

    def states(self, name):
        members = self.nodes[name].core.members()
        return {member.instance: member.state.value for member in members}
