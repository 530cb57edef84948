"""Controller that discovers the other instances and reads topics from them."""

import asyncio
import logging

import msgspec

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.decoding import Malformed, decode_json, is_address
from skylarkpost.eventlog import log_event
from skylarkpost.gateway.reader_queries import ReaderQueries
from skylarkpost.listing import InstanceList, ListedInstance
from skylarkpost.log.keyed import KeyedRecord, PeerRecords, StoreAppended
from skylarkpost.log.keyed_follower import KeyedFollower
from skylarkpost.log.positions import era_of
from skylarkpost.log.readers import TopicReaders
from skylarkpost.membership import MemberState
from skylarkpost.rpc import CallFailed, call_peer, fleet_pb2, fleet_pb2_grpc
from skylarkpost.runtime import BackgroundTask

__all__ = ["FleetController", "peer_records", "topic_answer"]

logger = logging.getLogger(__name__)

INSTANCES_TOPIC = "keyed.skylarkpost-instances"
# The list changes rarely, and a long read costs a single call.
READ_WAIT_S = 10.0
REGISTRATION_RETRY_S = 0.5
REGISTRATION_CHECK_S = 0.5
# Peers answer within milliseconds unless they are unreachable.
PEER_TIMEOUT_S = 0.5
# An instance that has been silent for this long is no longer counted.
FORGET_SILENT_AFTER_S = 10.0
# Instances queried while the store cannot be read. Querying a whole large fleet
# costs more than another round of queries.
MAX_PEERS_QUERIED = 4
# All topics have the same readers, so that one call carries the queries of all.
TOPIC_GROUP = "topics"
ROLE = "entry"
STATE = "live"


class InstanceRecord(msgspec.Struct):
    """Record of one instance in the store."""

    address: str
    data_centre: str
    boot: str


@register_controller("fleet", order=8, front_ends=(GATEWAY,))
class FleetController(Controller):
    """Registers this instance in the store, and lists the others.

    The membership controller uses it instead of the polled instance list.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.instances = {}
        self.subscribers = []
        self.silent_since = {}
        self.readers = TopicReaders(
            instance=services.instance, data_centre=services.data_centre
        )
        self.queries = ReaderQueries(
            find_reader=self._find_reader,
            ask=self._query_topics,
            note_failed=self.readers.note_failed,
            clock=services.clock,
        )
        self.registration = BackgroundTask(name="register")
        self.follower = KeyedFollower(
            store=services.store,
            topic=INSTANCES_TOPIC,
            clock=services.clock,
            random=services.random,
            on_record=self._apply_record,
            wait=lambda: READ_WAIT_S,
            peers=services.query_peers,
            relay=self.queries.query,
        )
        services.followers[INSTANCES_TOPIC] = self.follower
        services.instances = self

    @property
    def available(self):
        """Whether the list is up to date."""
        return self.follower.available

    def subscribe(self, callback):
        """Register a callback for each new list.

        Parameters
        ----------
        callback : callable
            Takes an `InstanceList` and ``now``.
        """
        self.subscribers.append(callback)
        if self.instances:
            callback(self._instance_list(), self.services.clock())

    def add_to_server(self, server):
        """Serve topic reads from other instances."""
        fleet_pb2_grpc.add_FleetServicer_to_server(
            FleetServicer(services=self.services), server
        )

    async def start(self):
        """Start following the list and registering this instance."""
        self.follower.start()
        self.registration.start(self._register())

    async def stop(self):
        """Stop registering and following."""
        await self.registration.stop()
        await self.follower.stop()
        await self.queries.stop()

    def status(self):
        """Return the ids of the known instances."""
        return {"instances": sorted(self.instances)}

    def size(self):
        """Return how many instances may be serving, including this one.

        Returns
        -------
        int
            A silent instance is counted for a while, since it may still be
            serving behind a network partition.
        """
        membership = self.services.controllers.get("membership")
        if membership is None:
            return 1
        now = self.services.clock()
        count = 1
        for member in membership.others(now):
            if member.state is not MemberState.SILENT:
                self.silent_since.pop(member.instance, None)
                count += 1
                continue
            since = self.silent_since.setdefault(member.instance, now)
            count += now - since < FORGET_SILENT_AFTER_S
        return count

    async def read_topic(self, topic, start):
        """Query other instances for the new records of a topic.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            First offset wanted; -1 for everything.

        Returns
        -------
        PeerRecords or None
            From the queried instance that has read furthest; None if none answered.
        """
        answers = await self.read_topic_everywhere(topic, start)
        return max(answers, key=lambda each: (each.end, -each.age), default=None)

    async def read_topic_everywhere(self, topic, start):
        """Query other instances for the new records of a topic.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            First position wanted; -1 for everything.

        Returns
        -------
        list of PeerRecords
            From each queried instance that knows the topic.
        """
        addresses = self._peer_addresses()
        if len(addresses) > MAX_PEERS_QUERIED:
            addresses = self.services.random.sample(addresses, MAX_PEERS_QUERIED)
        request = fleet_pb2.TopicAsk(topic=topic, start=start)
        answers = await asyncio.gather(*(self._query(a, request) for a in addresses))
        return [answer for answer in answers if answer is not None]

    def _find_reader(self, now):
        membership = self.services.controllers.get("membership")
        if membership is None:
            return None
        live = [
            member
            for member in membership.others(now)
            if member.state is MemberState.LIVE
        ]
        return self.readers.find_reader(TOPIC_GROUP, live, now)

    async def _query_topics(self, address, starts, wait):
        stub = fleet_pb2_grpc.FleetStub(self.services.peers.get(address))
        asked = [
            fleet_pb2.TopicAsk(topic=topic, start=start)
            for topic, start in starts.items()
        ]
        request = fleet_pb2.TopicsAsk(topics=asked, wait=wait)
        answer = await call_peer(
            stub.ReadTopics, request, timeout=PEER_TIMEOUT_S + wait
        )
        if isinstance(answer, CallFailed) or len(answer.topics) != len(starts):
            return None
        return {
            topic: peer_records(each)
            for topic, each in zip(starts, answer.topics, strict=True)
        }

    async def _query(self, address, request):
        stub = fleet_pb2_grpc.FleetStub(self.services.peers.get(address))
        answer = await call_peer(stub.ReadTopic, request, timeout=PEER_TIMEOUT_S)
        return None if isinstance(answer, CallFailed) else peer_records(answer)

    def _peer_addresses(self):
        own = self.services.peer_address
        found = set(self.services.settings.instance.seeds)
        found.update(each.address for each in self.instances.values())
        membership = self.services.controllers.get("membership")
        if membership is not None:
            found.update(m.address for m in membership.core.members())
        found.discard(own)
        return sorted(found)

    async def _register(self):
        services = self.services
        record = InstanceRecord(
            services.peer_address, services.data_centre, services.boot
        )
        entry = KeyedRecord(services.instance, msgspec.json.encode(record))
        while True:
            answer = await services.store.append(INSTANCES_TOPIC, [entry])
            log_event(logger, "instance-registered", outcome=type(answer).__name__)
            if isinstance(answer, StoreAppended):
                await self._wait_until_lost(entry, era_of(answer.end))
                # After a restore, many instances may have to register.
                await asyncio.sleep(services.random.uniform(0, REGISTRATION_RETRY_S))
            else:
                await asyncio.sleep(REGISTRATION_RETRY_S)

    async def _wait_until_lost(self, entry, era):
        """Wait until the store has lost a record that was appended in an era."""
        while True:
            await asyncio.sleep(REGISTRATION_CHECK_S)
            present_era = era_of(self.follower.reached)
            if present_era <= era:
                continue
            known = self.follower.records.get(entry.key)
            is_kept = known is not None and era_of(known.offset) == present_era
            if not is_kept or known.value != entry.value:
                return
            era = present_era

    def _apply_record(self, record, now):
        if not record.value:
            self.instances.pop(record.key, None)
            return
        entry = decode_json(record.value, InstanceRecord)
        if not isinstance(entry, Malformed) and not is_address(entry.address):
            entry = Malformed("no address")
        if isinstance(entry, Malformed):
            log_event(logger, "entry-malformed", key=record.key, detail=entry.detail)
            return
        for name, known in list(self.instances.items()):
            # Another instance has taken over the address.
            if known.address == entry.address and name != record.key:
                del self.instances[name]
        self.instances[record.key] = ListedInstance(
            record.key, ROLE, entry.address, entry.data_centre, STATE
        )
        for callback in self.subscribers:
            callback(self._instance_list(), now)

    def _instance_list(self):
        return InstanceList(
            as_of=self.services.wall_clock(), instances=dict(self.instances)
        )


class FleetServicer(fleet_pb2_grpc.FleetServicer):
    """Serves topic reads to other instances.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.
    """

    def __init__(self, *, services):
        self.services = services

    async def ReadTopic(self, request, context):  # noqa: N802
        """Return the known records of a topic. See ``fleet.proto``."""
        follower = self.services.followers.get(request.topic)
        return topic_answer(follower, request.start, self.services.clock())

    async def ReadTopics(self, request, context):  # noqa: N802
        """Return the new records of several topics. See ``fleet.proto``."""
        received_at = self.services.clock()
        asked = [
            (self.services.followers.get(each.topic), each.start)
            for each in request.topics
        ]
        for follower, _ in asked:
            if follower is not None:
                follower.note_relied_on(received_at)
        await _wait_for_any(asked, request.wait)
        answer = fleet_pb2.TopicsAnswer()
        for follower, start in asked:
            # The requester may be able to reach the store itself.
            usable = follower if follower is not None and follower.available else None
            answer.topics.append(topic_answer(usable, start, received_at))
        return answer


async def _wait_for_any(asked, wait):
    """Wait until one of the followers has records from its offset on."""
    followers = [
        (follower, start)
        for follower, start in asked
        if follower is not None and follower.next_offset is not None
    ]
    waits = [
        asyncio.ensure_future(follower.wait_for_update(start, wait))
        for follower, start in followers
    ]
    if not waits:
        return
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for each in waits:
            each.cancel()


def topic_answer(follower, start, received_at):
    """Encode what a follower knows of its topic from a position on.

    Parameters
    ----------
    follower : KeyedFollower or None
        The follower; None if the topic is not followed.
    start : int
        First position wanted; -1 for everything.
    received_at : float
        When the question arrived, in seconds.

    Returns
    -------
    TopicAnswer
    """
    if follower is None or follower.next_offset is None:
        return fleet_pb2.TopicAnswer(known=False)
    answer = fleet_pb2.TopicAnswer(
        known=True,
        end=follower.next_offset,
        age=received_at - follower.fresh_at,
        # What was deleted before this instance's snapshot shows in no record.
        has_all_keys=start < follower.deletions_from,
    )
    for record in follower.records.values():
        if answer.has_all_keys or record.offset >= start:
            answer.records.add(key=record.key, value=record.value, offset=record.offset)
    return answer


def peer_records(answer):
    """Decode the answer of another instance.

    Parameters
    ----------
    answer : TopicAnswer
        The answer.

    Returns
    -------
    PeerRecords or None
        None if the instance doesn't know the topic.
    """
    if not answer.known:
        return None
    records = tuple(KeyedRecord(r.key, r.value, r.offset) for r in answer.records)
    return PeerRecords(records, answer.end, answer.age, answer.has_all_keys)
