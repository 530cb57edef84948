"""Controller and filter that keep a stream at the software version that began it."""

import asyncio
import contextlib
import logging
import math
from typing import NamedTuple

import msgspec

from skylarkpost.controllers import GATEWAY, Controller, register_controller
from skylarkpost.decoding import Malformed, decode_msgpack
from skylarkpost.eventlog import log_event
from skylarkpost.filters import Filter, register_filter
from skylarkpost.log.keyed import (
    KeyedRecord,
    KeyedRecords,
    RecordsTrimmed,
    StoreAppended,
)
from skylarkpost.log.positions import make_position
from skylarkpost.outcomes import Reason, Refused
from skylarkpost.placement.stream_versions import (
    AnyVersion,
    BegunStream,
    StreamVersions,
    UnknownVersion,
    latest_unknown_begin,
)
from skylarkpost.runtime import BackgroundTask

__all__ = ["STREAMS_TOPIC", "StreamVersionController", "StreamVersionFilter"]

logger = logging.getLogger(__name__)

# Its records expire by themselves, so nothing has to be deleted.
STREAMS_TOPIC = "skylarkpost-stream-versions"
# Callers give a stream up before.
STREAM_LIFE_S = 20.0
MAX_STREAMS = 50_000
TICK_S = 0.1
# A stream that began within this time before all instances die is not taken up.
STORE_INTERVAL_S = 0.2
# Appends a second of all instances together, a fraction of what the store takes.
MAX_APPENDS_PER_S = 100.0
MAX_RECORDS_PER_APPEND = 2000
# A restore or a trim of the topic during a read.
MAX_READ_RESTARTS = 3
HISTORY_RETRY_S = 0.5
# Longer than a usual read of the store; a caller waits for it.
CATCH_UP_TIMEOUT_S = 0.3
# Within this time of its begin each instance that reaches the store has stored a stream
# of a service with several versions, and has been heard.
SETTLE_S = 0.6
# Tells the other instances whether this one can store its streams.
TOPIC = "stream-store"
# Of a stream of which the caller has received nothing.
FIRST_EVENT_ID = "0"
# Longer than records of streams that have just begun take to be stored.
UNKNOWN_RETRY_AFTER_S = 0.4
# Attempts with longer ids are not kept: a key of a record holds 255 bytes.
MAX_ATTEMPT_CHARS = 100
# Of what is left of the grace at a stop.
LAST_STORE_TIMEOUT_S = 0.2
# The key of a record that says that a service has several versions.
MIXED_KEY = ""


class StoredStream(NamedTuple):
    """Value of a record in the store.

    Attributes
    ----------
    service : str
        The service.
    version : str or None
        The software version that began the stream; None if it is not known.
    at : float
        When it began, in seconds of the time of day.
    """

    service: str
    version: str | None
    at: float


@register_controller("stream-versions", order=9, front_ends=(GATEWAY,))
class StreamVersionController(Controller):
    """Knows which software version began a stream.

    While the targets of a service have one software version, nothing is stored. Once
    there are several, each instance stores which version began its streams, in
    batches, so that they may be taken up after all instances have died.

    Parameters
    ----------
    services : GatewayServices
        Services shared by the instance's controllers.

    Attributes
    ----------
    streams : StreamVersions
        The streams.
    is_behind : bool
        Whether the last streams could not be stored.
    behind : dict of str to str
        Boots of the other instances of which the last streams could not be stored.
    """

    def __init__(self, *, services):
        super().__init__(services=services)
        self.streams = StreamVersions(life=STREAM_LIFE_S, capacity=MAX_STREAMS)
        self.next_offset = None
        self.read_lock = asyncio.Lock()
        self.refreshing = None
        self.refresh_began_at = -math.inf
        self.stored_at = services.clock()
        self.unstored_changes = set()
        self.is_behind = False
        self.behind = {}
        self.dropped = 0
        self.background = BackgroundTask(name="stream-versions")
        self.history = BackgroundTask(name="stream-history")

    async def start(self):
        """Start storing streams."""
        membership = self.services.controllers["membership"]
        membership.subscribe(TOPIC, self._receive_store_state, relayed=True)
        self.history.start(self._read_history())
        self.background.start(self._run())

    async def stop(self):
        """Stop storing streams, after the last ones have been stored."""
        await self.history.stop()
        await self.background.stop()
        if self.refreshing is not None:
            self.refreshing.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LAST_STORE_TIMEOUT_S):
                await self._store(self.services.clock())

    def status(self):
        """Return the number of known streams and the services with several versions."""
        now = self.services.clock()
        mixed = [name for name in self.streams.versions if self._is_mixed(name, now)]
        return {"streams": len(self.streams.begun), "mixed": sorted(mixed)}

    def software_version(self, ticket):
        """Return the software version of the run that a ticket names.

        Parameters
        ----------
        ticket : Ticket
            The ticket.

        Returns
        -------
        str or None
            None if that run is not announced.
        """
        targets = self.services.controllers["directory"].targets
        entry = targets.entries.get(ticket.target)
        if entry is None and ticket.target in targets.expired:
            entry = targets.expired[ticket.target][0]
        if entry is None or entry.boot != ticket.boot:
            return None
        return entry.software_version

    def is_other_version(self, exchange, ticket, now):
        """Return whether a stream must not go on at the target of a ticket.

        Parameters
        ----------
        exchange : GatewayExchange
            The request.
        ticket : Ticket
            The ticket.
        now : float
            The present time, in seconds.

        Returns
        -------
        bool
        """
        if exchange.software_version is not None:
            return self.software_version(ticket) != exchange.software_version
        if exchange.first_byte_at is None:
            return False
        # It began at a run that is not known.
        found = self.streams.find(None, exchange.service.name, now)
        return not isinstance(found, AnyVersion)

    def note_first_event(self, exchange, ticket, now):
        """Record which software version began a stream.

        Parameters
        ----------
        exchange : GatewayExchange
            The request; it stays at this version from now on.
        ticket : Ticket
            Ticket of its target.
        now : float
            The present time, in seconds.
        """
        if not exchange.route.is_resumable:
            return
        if exchange.software_version is None:
            # The entry may have gone since the request was sent, or come.
            version = exchange.run_version
            if version is None:
                version = self.software_version(ticket)
            exchange.software_version = version
        version = exchange.software_version
        for attempt in {exchange.request_id, exchange.metadata.resumes}:
            if attempt and len(attempt) <= MAX_ATTEMPT_CHARS:
                self.streams.note_begun(attempt, exchange.service.name, version, now)

    async def find(self, attempt, service, deadline):
        """Return which software version a stream may go on at.

        Parameters
        ----------
        attempt : str or None
            Attempt that brought its first event.
        service : str
            Service that the request is routed to.
        deadline : float
            Until when the answer is of use, in seconds.

        Returns
        -------
        BegunStream, SoleVersion, AnyVersion or UnknownVersion
        """
        now = self.services.clock()
        self._note_versions(now)
        found = self.streams.find(attempt, service, now)
        if isinstance(found, BegunStream):
            return found
        # Another instance may have begun it, at a version that this one has not heard
        # of while it was cut off or paused.
        if not await self._refresh(now):
            return UnknownVersion()
        now = self.services.clock()
        self._note_versions(now)
        found = self.streams.find(attempt, service, now)
        if isinstance(found, UnknownVersion) and now + SETTLE_S < deadline:
            return await self._find_unstored(attempt, service, now)
        return found

    async def _find_unstored(self, attempt, service, asked_at):
        """Find a stream that an instance began which has been silent since then."""
        begin = self._latest_unknown_begin(-math.inf, asked_at)
        found = self.streams.version_before(attempt, service, begin)
        if isinstance(found, UnknownVersion):
            return found
        await asyncio.sleep(SETTLE_S)
        now = self.services.clock()
        if not await self._refresh(now):
            return UnknownVersion()
        self._note_versions(now)
        found = self.streams.find(attempt, service, now)
        if not isinstance(found, UnknownVersion):
            return found
        begin = self._latest_unknown_begin(asked_at, now)
        return self.streams.version_before(attempt, service, begin)

    def _latest_unknown_begin(self, heard_since, now):
        membership = self.services.controllers["membership"]
        members = membership.others(now)
        boots = {member.instance: member.boot for member in members}
        behind = {
            instance
            for instance, boot in self.behind.items()
            if boots.get(instance) == boot
        }
        return latest_unknown_begin(
            members,
            behind=behind,
            heard_since=heard_since,
            interval=membership.heartbeat_interval,
            life=STREAM_LIFE_S,
            now=now,
        )

    def note_announced(self, entry, now):
        """Take note of the software version of an announced target.

        It may have gone again by the time at which the versions are looked at.

        Parameters
        ----------
        entry : TargetEntry
            The announcement.
        now : float
            The present time, in seconds.
        """
        known = self.streams.versions.get(entry.service)
        if known is not None and entry.software_version not in known:
            self.streams.note_mixed(entry.service, now)
            self.unstored_changes.add(entry.service)

    def _receive_store_state(self, member, payload, now):
        is_behind = decode_msgpack(payload, bool)
        if isinstance(is_behind, Malformed):
            self.services.metrics.count_event("malformed-digest")
        elif is_behind:
            self.behind[member.instance] = member.boot
        else:
            self.behind.pop(member.instance, None)

    def _note_store_state(self, is_behind):
        if is_behind is self.is_behind:
            return
        self.is_behind = is_behind
        membership = self.services.controllers["membership"]
        membership.publish(TOPIC, msgspec.msgpack.encode(is_behind))

    def _is_mixed(self, service, now):
        return self.streams.is_mixed(service, now)

    async def _read_history(self):
        started_at = self.services.clock()
        while not await self._read_to_end():
            now = self.services.clock()
            if now - started_at >= STREAM_LIFE_S:
                # Whatever began before the start has ended.
                break
            await asyncio.sleep(HISTORY_RETRY_S)
        self.streams.note_history(self.services.clock())

    async def _refresh(self, since):
        """Read the targets and the streams as they are in the store at a time or later.

        Calls at the same time share their reads.
        """
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                while True:
                    if self.refreshing is None or self.refreshing.done():
                        self.refresh_began_at = self.services.clock()
                        self.refreshing = asyncio.create_task(self._read_all())
                    refreshing, began_at = self.refreshing, self.refresh_began_at
                    await asyncio.wait([refreshing])
                    if began_at >= since:
                        return not refreshing.cancelled() and refreshing.result()
        except TimeoutError:
            return False

    async def _read_all(self):
        follower = self.services.controllers["directory"].follower
        return all(await asyncio.gather(follower.catch_up(), self._read_to_end()))

    async def _read_to_end(self):
        """Read the topic of streams to its end; return whether it was reached."""
        async with self.read_lock:
            return await self._read_records()

    async def _read_records(self):
        store = self.services.store
        restarts = 0
        while restarts <= MAX_READ_RESTARTS:
            start = self.next_offset
            if start is None:
                start = make_position(store.era, 0)
            answer = await store.read(STREAMS_TOPIC, start, wait=0.0)
            if isinstance(answer, RecordsTrimmed):
                self.next_offset = answer.first
                restarts += 1
                continue
            if not isinstance(answer, KeyedRecords):
                return False
            for record in answer.records:
                self._apply_record(record)
            last = answer.records[-1].offset + 1 if answer.records else start
            self.next_offset = last
            if last >= answer.end or not answer.records:
                return True
        return False

    def _apply_record(self, record):
        stored = decode_msgpack(record.value, StoredStream)
        if isinstance(stored, Malformed):
            log_event(logger, "entry-malformed", key=record.key, detail=stored.detail)
            return
        now = self.services.clock()
        age = max(0.0, self.services.wall_clock() - stored.at)
        if record.key == MIXED_KEY:
            self.streams.note_mixed(stored.service, now - age)
            return
        self.streams.note_begun_while_mixed(stored.service, now - age)
        if record.key not in self.streams.begun:
            self.streams.note_begun(
                record.key, stored.service, stored.version, now, is_stored=True
            )

    async def _run(self):
        while True:
            now = self.services.clock()
            self._note_versions(now)
            is_due = now - self.stored_at >= self._store_interval()
            if self.unstored_changes or is_due:
                await self._store(now)
            self._note_dropped()
            await asyncio.sleep(TICK_S)

    def _store_interval(self):
        fleet_interval = self.services.fleet_size() / MAX_APPENDS_PER_S
        return max(STORE_INTERVAL_S, fleet_interval)

    def _note_versions(self, now):
        """Take note of the announced versions."""
        targets = self.services.controllers["directory"].targets
        versions = {}
        for entry in targets.entries.values():
            versions.setdefault(entry.service, set()).add(entry.software_version)
        changed = [
            service
            for service, names in versions.items()
            if self.streams.note_versions(service, frozenset(names), now)
        ]
        self.unstored_changes.update(changed)
        for service in changed:
            log_event(
                logger,
                "software-versions",
                service=service,
                versions=",".join(sorted(versions[service])),
            )

    async def _store(self, now):
        self.stored_at = now
        due = dict(list(self.streams.due(now).items())[:MAX_RECORDS_PER_APPEND])
        wall_offset = self.services.wall_clock() - now
        changes = set(self.unstored_changes)
        records = [
            _record(MIXED_KEY, service, "", now + wall_offset) for service in changes
        ]
        records += [
            _record(attempt, stream.service, stream.version, stream.at + wall_offset)
            for attempt, stream in due.items()
        ]
        if not records:
            return
        answer = await self.services.store.append(STREAMS_TOPIC, records)
        self._note_store_state(not isinstance(answer, StoreAppended))
        if isinstance(answer, StoreAppended):
            self.streams.note_stored(due)
            self.unstored_changes -= changes
        else:
            log_event(
                logger,
                "stream-versions-unstored",
                streams=len(due),
                outcome=type(answer).__name__,
            )

    def _note_dropped(self):
        if self.streams.dropped > self.dropped:
            if not self.dropped:
                log_event(
                    logger,
                    "stream-versions-full",
                    level=logging.WARNING,
                    bound=MAX_STREAMS,
                )
            self.dropped = self.streams.dropped


def _record(key, service, version, at):
    return KeyedRecord(key, msgspec.msgpack.encode(StoredStream(service, version, at)))


@register_filter("stream-version", order=47, front_ends=(GATEWAY,))
class StreamVersionFilter(Filter):
    """Keeps a stream that is taken up at the software version that began it."""

    async def apply(self, exchange):
        """Set the software version, or refuse at once. See `Filter.apply`."""
        after = exchange.metadata.last_event_id or FIRST_EVENT_ID
        if not exchange.route.is_resumable or after.strip() == FIRST_EVENT_ID:
            return None
        controller = self.services.controllers["stream-versions"]
        attempt = exchange.metadata.resumes
        found = await controller.find(attempt, exchange.service.name, exchange.deadline)
        log_event(
            logger,
            "stream-taken-up",
            request=exchange.request_id,
            resumes=attempt,
            after=after,
            found=type(found).__name__,
            software=getattr(found, "version", None),
        )
        if isinstance(found, AnyVersion):
            return None
        if isinstance(found, UnknownVersion):
            return Refused(
                reason=Reason.STREAM_VERSION_UNKNOWN,
                message="It is not known which software version began the stream.",
                retry_after=UNKNOWN_RETRY_AFTER_S,
            )
        return self._restrict(exchange, found)

    def _restrict(self, exchange, found):
        exchange.software_version = found.version
        directory = self.services.controllers["directory"]
        entries = directory.usable_of_service(
            exchange.service.name, self.services.clock()
        )
        if any(entry.software_version == found.version for entry in entries):
            return None
        return Refused(
            reason=Reason.STREAM_VERSION_GONE,
            message="No target runs the software version that began the stream.",
        )
