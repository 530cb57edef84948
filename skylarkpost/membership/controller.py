"""Connects the membership core to the network, and serves its views."""

import asyncio
import logging
import math

from skylarkpost.controllers import API, GATEWAY, Controller, register_controller
from skylarkpost.eventlog import log_event
from skylarkpost.membership.core import MembershipCore
from skylarkpost.membership.digests import MAX_RELAYED_ORIGINS
from skylarkpost.membership.listing import TargetListing
from skylarkpost.membership.member import Member, MemberState
from skylarkpost.membership.messages import (
    decode_heartbeat,
    decode_reply,
    encode_heartbeat,
    encode_reply,
)
from skylarkpost.membership.pause import PauseDetector
from skylarkpost.rpc import (
    CallFailed,
    call_peer,
    membership_pb2_grpc,
)
from skylarkpost.runtime.tasks import BackgroundTask

__all__ = ["MembershipController"]

logger = logging.getLogger(__name__)

TICK_S = 0.1
HEARTBEAT_TIMEOUT_S = 0.5
LIST_TOPIC = "instance-list"


@register_controller("membership", order=10, front_ends=(API, GATEWAY))
class MembershipController(Controller):
    """Exchanges heartbeats with other instances and tracks their states.

    Parameters
    ----------
    services : Services
        Shared services of the instance.

    Attributes
    ----------
    core : MembershipCore
        Decides which instances are live.
    listing : TargetListing
        Decides which targets are live.
    pauses : PauseDetector
        Detects pauses of this process.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.core = MembershipCore(
            instance=services.instance,
            boot=services.boot,
            address=services.peer_address,
            data_centre=services.data_centre,
            random=services.random,
        )
        self.listing = TargetListing()
        self.pauses = PauseDetector(now=services.clock())
        self.cached_members = []
        self.cached_at = -math.inf
        self.subscribers = {}
        self.state_callbacks = []
        self.heartbeat_tasks = set()
        self.relays_dropped = 0
        self.ticker = BackgroundTask(name="membership-tick")
        self.subscribe(LIST_TOPIC, self._handle_list_changes)

    def add_to_server(self, server):
        """Register the heartbeat service."""
        servicer = MembershipServicer(controller=self)
        membership_pb2_grpc.add_MembershipServicer_to_server(servicer, server)

    async def start(self):
        """Start sending heartbeats."""
        self.pauses = PauseDetector(now=self.services.clock())
        self.services.instances.subscribe(self._handle_list)
        self.ticker.start(self._run())

    async def leave(self):
        """Announce to the other instances that this one is leaving."""
        commands = self.core.leave(now=self.services.clock())
        await asyncio.gather(*(self._send(command) for command in commands))

    async def stop(self):
        """Stop sending heartbeats."""
        await self.ticker.stop()
        for task in self.heartbeat_tasks:
            task.cancel()
        if self.heartbeat_tasks:
            await asyncio.wait(self.heartbeat_tasks)

    def is_ready(self):
        """Return whether no other boot has replaced this one."""
        return not self.core.superseded

    def degraded(self):
        """Return one sentence for each silent instance, and one if superseded."""
        sentences = [
            f"Instance {member.instance} in {member.data_centre} does not answer."
            for member in self.core.members()
            if member.state is MemberState.SILENT
        ]
        if self.core.superseded:
            sentences.append("Another process runs as this instance.")
        return sentences

    def status(self):
        """Return the members and the number of pauses."""
        now = self.services.clock()
        return {
            "members": [
                {
                    "instance": m.instance,
                    "boot": m.boot,
                    "data_centre": m.data_centre,
                    "state": m.state.value,
                    "heard_ago": None
                    if m.last_seen_at is None
                    else now - m.last_seen_at,
                }
                for m in self.members(now)
            ],
            "pauses": self.pauses.pauses,
        }

    @property
    def last_resumed_at(self):
        """When this process resumed from its last pause, or None.

        After a pause, a request may be handled before the timer that detects
        pauses runs, so this checks for a pause first.
        """
        self._check_for_pause(self.services.clock())
        return self.pauses.last_resumed_at

    def members(self, now):
        """Return all instances that are not known to be dead.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Member
            This instance first.
        """
        return [self._own(now), *self.others(now)]

    def others(self, now):
        """Return the other instances that are not known to be dead.

        The list is cached for one tick, since each request needs it several times
        and states change only with ticks.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Member
        """
        if not self.cached_at <= now < self.cached_at + TICK_S:
            self.cached_members = self.core.members()
            self.cached_at = now
        return self.cached_members

    def find(self, instance, now):
        """Return one instance; cheaper than searching `members`.

        Parameters
        ----------
        instance : str
            Its id.
        now : float
            Current time, in seconds.

        Returns
        -------
        Member or None
        """
        if instance == self.core.instance:
            return self._own(now)
        if instance not in self.core.roster.records:
            return None
        return self.core.member(instance)

    def _own(self, now):
        state = MemberState.LEAVING if self.core.leaving else MemberState.LIVE
        return Member(
            self.core.instance,
            self.core.boot,
            self.core.address,
            self.core.data_centre,
            state,
            now,
        )

    def reachable(self, now):
        """Return the live instances, this one included.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Member
        """
        return [m for m in self.members(now) if m.state is MemberState.LIVE]

    def heard(self, now):
        """Return the other instances from which messages arrive.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        set of str
            Their ids.
        """
        return {
            member.instance
            for member in self.others(now)
            if member.state is not MemberState.SILENT
        }

    @property
    def heartbeat_interval(self):
        """Longest time between two heartbeats of a live instance, in seconds."""
        partners = self.core.partners
        return max(partners.local_interval, partners.remote_interval)

    def neighbours(self, now):
        """Return the other instances of this data centre not known to be dead.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        list of Member
            Includes silent ones, and listed ones that never answered.
        """
        own = self.services.data_centre
        return [m for m in self.core.members() if m.data_centre == own]

    def target_state(self, target_id):
        """Return the state of a target; see `TargetListing.target_state`."""
        return self.listing.target_state(target_id)

    def publish(self, topic, payload):
        """Publish a payload to the other instances with the next heartbeats.

        Parameters
        ----------
        topic : str
            Name of the topic.
        payload : bytes
            Replaces the previous payload; an unchanged one is not sent again.
        """
        self.core.digests.publish(topic, payload)

    def subscribe(self, topic, callback, *, relayed=False):
        """Register a callback for new payloads of other instances.

        Parameters
        ----------
        topic : str
            Name of the topic.
        callback : callable
            ``callback(member, payload, now)``; called immediately for payloads
            that were received before.
        relayed : bool
            Whether every instance needs the payloads of all others, including
            those that send it no heartbeats.
        """
        if relayed:
            self.core.digests.relayed_topics.add(topic)
        self.subscribers.setdefault(topic, []).append(callback)
        now = self.services.clock()
        for member in self.core.members():
            topics = self.core.digests.received.get((member.instance, member.boot), {})
            if topic in topics:
                callback(member, topics[topic].payload, now)

    def on_state_change(self, callback):
        """Register a callback for state changes of other instances.

        Parameters
        ----------
        callback : callable
            ``callback(member, before, now)``; `before` is the previous state, or
            None when the member is first seen.
        """
        self.state_callbacks.append(callback)

    def handle_heartbeat(self, heartbeat):
        """Answer a heartbeat of another instance.

        Parameters
        ----------
        heartbeat : Heartbeat
            The received heartbeat.

        Returns
        -------
        HeartbeatReply
        """
        now = self.services.clock()
        reply, digests = self.core.handle_heartbeat(heartbeat, now=now)
        for digest in digests:
            self._notify_subscribers(heartbeat.sender.instance, digest, now)
        self._notify_digests(now)
        return reply

    def _notify_digests(self, now):
        for each in self.core.pop_digests():
            self._notify_subscribers(each.instance, each.digest, now)

    def _notify_subscribers(self, instance, digest, now):
        member = self.core.member(instance)
        for callback in self.subscribers.get(digest.topic, ()):
            callback(member, digest.payload, now)

    async def _run(self):
        while True:
            now = self.services.clock()
            self._check_for_pause(now)
            if not self.services.instances.available:
                self.core.note_list_unavailable()
            for command in self.core.tick(now=now):
                task = asyncio.create_task(self._send(command))
                self.heartbeat_tasks.add(task)
                task.add_done_callback(self._note_sent)
            self._notify_state_changes(now)
            self._note_dropped_relays()
            await asyncio.sleep(TICK_S)

    def _note_dropped_relays(self):
        dropped = self.core.digests.relays_dropped
        if dropped == self.relays_dropped:
            return
        if not self.relays_dropped:
            log_event(
                logger,
                "relays-dropped",
                level=logging.WARNING,
                origins=MAX_RELAYED_ORIGINS,
            )
        self.services.metrics.events.add(
            {"name": "relay-dropped"}, dropped - self.relays_dropped
        )
        self.relays_dropped = dropped

    async def _send(self, command):
        try:
            answer = await self._call(command)
            if isinstance(answer, CallFailed):
                self.services.metrics.count_event("heartbeat-missed")
            else:
                self._handle_reply(command, decode_reply(answer))
        finally:
            # Has no effect if the answer was already handled.
            self.core.handle_miss(command, now=self.services.clock())

    async def _call(self, command):
        peers = self.services.peers
        if command.on_new_connection:
            peers.renew(command.address)
            self.services.metrics.count_event("peer-channel-renewed")
        stub = membership_pb2_grpc.MembershipStub(peers.get(command.address))
        message = encode_heartbeat(command.heartbeat)
        return await call_peer(stub.Beat, message, timeout=HEARTBEAT_TIMEOUT_S)

    def _handle_reply(self, command, reply):
        now = self.services.clock()
        if not self.core.handle_reply(command, reply, now=now):
            self.services.metrics.count_event("heartbeat-answer-dropped")
        self._notify_digests(now)

    def _note_sent(self, task):
        self.heartbeat_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            context = {"message": "heartbeat failed", "exception": task.exception()}
            asyncio.get_running_loop().call_exception_handler(context)

    def _check_for_pause(self, now):
        pause = self.pauses.observe(now=now)
        if pause > 0.0:
            log_event(logger, "process-resumed", level=logging.WARNING, pause=pause)
            self.services.metrics.count_event("process-resumed")

    def _notify_state_changes(self, now):
        for member, before in self.core.pop_changes():
            log_event(
                logger,
                "member-state",
                member=member.instance,
                boot=member.boot,
                data_centre=member.data_centre,
                state=member.state,
                before=before,
            )
            for callback in self.state_callbacks:
                callback(member, before, now)

    def _handle_list(self, listing, now):
        self.listing.apply_list(listing.instances, listing.as_of)
        self.core.apply_instance_list(self.listing.instances(), now=now)
        self.publish(LIST_TOPIC, self.listing.encode_changes())

    def _handle_list_changes(self, member, payload, now):
        self.listing.apply_changes(payload)
        self.publish(LIST_TOPIC, self.listing.encode_changes())


class MembershipServicer(membership_pb2_grpc.MembershipServicer):
    """Answers heartbeats.

    Parameters
    ----------
    controller : MembershipController
        Handles the heartbeats.
    """

    def __init__(self, *, controller):
        self.controller = controller

    async def Beat(self, request, context):  # noqa: N802
        """Answer one heartbeat."""
        reply = self.controller.handle_heartbeat(decode_heartbeat(request))
        return encode_reply(reply)
