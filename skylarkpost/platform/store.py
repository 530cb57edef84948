"""Client of the platform's store."""

import asyncio
import base64
import logging
import re
import socket
import struct
import time
from typing import NamedTuple

import aiohttp
import msgspec

from skylarkpost.decoding import Malformed, decode_json
from skylarkpost.eventlog import log_event
from skylarkpost.log.keyed import (
    KeyedRecord,
    KeyedRecords,
    KeyedSnapshot,
    RecordsTrimmed,
    StoreAppended,
    StoreConflict,
    StoreUnavailable,
    StoreUnknown,
)
from skylarkpost.log.positions import MAX_ERA, era_of, make_position, offset_of
from skylarkpost.runtime.sessions import HttpSessions
from skylarkpost.transport.sockets import configure_socket

__all__ = ["OPERATOR_TOPIC", "TARGETS_TOPIC", "StoreClient"]

logger = logging.getLogger(__name__)

# Number of times that the store has come back from an older copy.
ERA_HEADER = "Store-Era"
ERA_FORMAT = re.compile("[0-9]{1,10}")
OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
# The only partition of each keyed topic.
PARTITION = "0"
# Several round trips. A network partition is noticed only after this time.
CONNECT_TIMEOUT_S = 1.0
# The store usually answers within milliseconds, and up to sixty times slower when
# it is degraded.
ANSWER_TIMEOUT_S = 2.0
# After this time beyond its wait, a read is repeated on a new connection; about
# twice the response time of a degraded store.
OVERDUE_S = 0.5
# Maximum time that sent bytes stay unacknowledged on a dead connection.
USER_TIMEOUT_S = 3.0
# Idle time before the first keep-alive probe: a long poll has to detect a dead
# connection soon.
KEEP_ALIVE_IDLE_S = 1
# The store's default and maximum response size.
READ_SIZE_KB = 1024
# Characters of a malformed header in the log.
MAX_LOGGED_HEADER = 40
READ_HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


class NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class NewestPage(msgspec.Struct, rename="camel"):
    items: list[NewestItem]
    has_more: bool
    end_offset: int


class StoreAnswer(NamedTuple):
    """An answer of the store, and the era in which it was given."""

    era: int
    status: int
    payload: bytes


class FirstOffset(msgspec.Struct):
    first: int | None = None


class TopicEnds(msgspec.Struct, rename="camel"):
    offset: int = 0
    end_offset: int = 0


class StoreClient:
    """Client of the store's keyed topics. Failures are returned, not raised.

    Offsets are positions, see `skylarkpost.log.positions`. An answer from an earlier
    era than one that was received before is discarded.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    clock : callable
        Returns the current time in seconds.

    Attributes
    ----------
    era : int
        Latest known era of the store.

    Notes
    -----
    A kept-alive connection can go silent for good while new ones work. A call without
    an answer makes the calls after it use new connections. A read that is overdue is
    repeated on one, so that the age of what is known stays bounded.
    """

    def __init__(self, *, address, clock=time.monotonic):
        self.base_url = f"http://{address}"
        self.clock = clock
        self.session = None
        self.sessions = HttpSessions(
            session_source=self._open_session, socket_factory=_make_socket
        )
        self.era = 0

    async def append(self, topic, records, *, expected_end=None):
        """Append keyed records, all or none of them.

        Parameters
        ----------
        topic : str
            The topic.
        records : list of KeyedRecord
            The records; their offsets are ignored.
        expected_end : int or None
            Append only if this is the end offset of the topic.

        Returns
        -------
        StoreAppended, StoreConflict, StoreUnavailable or StoreUnknown
        """
        query = {"topic": topic, "part": PARTITION}
        if expected_end is not None:
            if era_of(expected_end) < self.era:
                return StoreUnavailable("append: the store has been restored")
            query["asOf"] = str(offset_of(expected_end))
        body = b"".join(_encode_record(record) for record in records)
        answer = await self._call("POST", "/-/log-append", query, body=body)
        if isinstance(answer, StoreUnavailable | StoreUnknown):
            return answer
        if answer.status not in (200, 412):
            return StoreUnavailable(f"append: status {answer.status}")
        ends = decode_json(answer.payload, TopicEnds)
        if isinstance(ends, Malformed):
            return StoreUnknown(f"append: {ends.detail}")
        end = make_position(answer.era, ends.end_offset)
        if answer.status == 412:
            return StoreConflict(end)
        if expected_end is not None and answer.era != era_of(expected_end):
            # The same offset, but other records before it.
            return StoreUnknown("append: the store has been restored")
        return StoreAppended(make_position(answer.era, ends.offset), end)

    async def read(self, topic, start, *, wait):
        """Read records, waiting for the next one if there is none yet.

        Parameters
        ----------
        topic : str
            The topic.
        start : int
            Offset to read from.
        wait : float
            Long-poll timeout, in seconds.

        Returns
        -------
        KeyedRecords, RecordsTrimmed or StoreUnavailable
        """
        if era_of(start) < self.era:
            return RecordsTrimmed()
        query = {
            "topic": topic,
            "part": PARTITION,
            "from": str(offset_of(start)),
            "maxKb": str(READ_SIZE_KB),
        }
        answer = await self._get("/-/log-read", query, wait=wait)
        if isinstance(answer, StoreUnknown):
            return StoreUnavailable(answer.detail)
        if isinstance(answer, StoreUnavailable):
            return answer
        if answer.era < era_of(start):
            return StoreUnavailable("read: answered in an earlier era")
        if answer.era > era_of(start):
            return RecordsTrimmed()
        if answer.status == 410:
            return _trimmed(answer)
        size = len(answer.payload)
        if answer.status != 200 or size < READ_HEADER.size:
            return StoreUnavailable(f"read: status {answer.status}, {size} bytes")
        end, _ = READ_HEADER.unpack_from(answer.payload)
        records = _decode_records(answer.payload, start)
        return KeyedRecords(records, make_position(answer.era, end))

    async def newest(self, topic):
        """Read the newest record of each key.

        Parameters
        ----------
        topic : str
            The topic.

        Returns
        -------
        KeyedSnapshot or StoreUnavailable
            The end offset is that of the first page: records may be appended
            while later pages are read.
        """
        records, end, after, era = [], None, None, None
        while True:
            query = {"topic": topic, "part": PARTITION}
            if after is not None:
                query["after"] = after
            answer = await self._get("/-/log-newest", query, wait=0.0)
            if isinstance(answer, StoreUnknown):
                return StoreUnavailable(answer.detail)
            if isinstance(answer, StoreUnavailable):
                return answer
            if answer.status != 200:
                return StoreUnavailable(f"newest: status {answer.status}")
            era = answer.era if era is None else era
            if answer.era != era:
                return StoreUnavailable("newest: restored between two pages")
            page = decode_json(answer.payload, NewestPage)
            if isinstance(page, Malformed):
                return StoreUnavailable(f"newest: {page.detail}")
            try:
                records += [
                    KeyedRecord(
                        i.key, base64.b64decode(i.value), make_position(era, i.offset)
                    )
                    for i in page.items
                ]
            except ValueError as error:
                return StoreUnavailable(f"newest: {error}")
            if end is None:
                end = make_position(era, page.end_offset)
            if not page.has_more or not page.items:
                return KeyedSnapshot(tuple(records), end)
            after = page.items[-1].key

    async def close(self):
        """Close all connections."""
        await self.sessions.close()
        if self.session is not None:
            await self.session.close()

    async def _get(self, path, query, *, wait):
        """Read from the store; repeat a read that is overdue on a new connection."""
        first = self._start_get(path, query, wait)
        calls = {first}
        try:
            done, _ = await asyncio.wait(calls, timeout=wait + OVERDUE_S)
            if not done:
                log_event(logger, "store-read-overdue", path=path, wait=wait)
                self.sessions.note_silence(self.base_url, now=self.clock())
                calls.add(self._start_get(path, query, 0.0))
                done, _ = await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            answers = [call.result() for call in done]
            return next((each for each in answers if _is_answer(each)), answers[0])
        finally:
            unfinished = [call for call in calls if not call.done()]
            for call in unfinished:
                call.cancel()
            if unfinished:
                await asyncio.wait(unfinished)

    def _start_get(self, path, query, wait):
        query = query | {"waitMs": str(int(wait * 1000))} if wait else query
        return asyncio.ensure_future(self._call("GET", path, query, extra_timeout=wait))

    async def _call(self, method, path, query, *, body=None, extra_timeout=0.0):
        era_before = self.era
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S + extra_timeout, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            session = self.sessions.select(self.base_url, now=self.clock())
            async with session.request(
                method,
                self.base_url + path,
                params=query,
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                era = self._read_era(response.headers.get(ERA_HEADER), era_before)
                answer = StoreAnswer(era, response.status, await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return StoreUnavailable(f"not connected: {error!r}")
        except TimeoutError as error:
            self.sessions.note_silence(self.base_url, now=self.clock())
            return StoreUnknown(f"no answer: {error!r}")
        except (aiohttp.ClientError, OSError) as error:
            return StoreUnknown(f"no answer: {error!r}")
        if answer.era < self.era:
            log_event(logger, "store-answer-outdated", era=answer.era, known=self.era)
            return StoreUnknown("answered in an earlier era")
        return answer

    def _read_era(self, header, era_before):
        """Return the era that an answer names; without one, that of the request."""
        if header is None:
            return era_before
        if ERA_FORMAT.fullmatch(header) is None or int(header) > MAX_ERA:
            log_event(
                logger,
                "store-era-malformed",
                level=logging.WARNING,
                value=header[:MAX_LOGGED_HEADER],
            )
            return era_before
        era = int(header)
        if era > self.era:
            log_event(logger, "store-era", era=era, before=self.era)
            self.era = era
        return era

    def _open_session(self):
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0, socket_factory=_make_socket)
            self.session = aiohttp.ClientSession(connector=connector)
        return self.session


def _trimmed(answer):
    decoded = decode_json(answer.payload, FirstOffset)
    if isinstance(decoded, Malformed) or decoded.first is None or decoded.first < 0:
        return RecordsTrimmed()
    return RecordsTrimmed(make_position(answer.era, decoded.first))


def _is_answer(outcome):
    return not isinstance(outcome, StoreUnavailable | StoreUnknown)


def _make_socket(address):
    family, kind, protocol = address[0], address[1], address[2]
    sock = socket.socket(family=family, type=kind, proto=protocol)
    configure_socket(sock, user_timeout=USER_TIMEOUT_S, idle=KEEP_ALIVE_IDLE_S)
    return sock


def _encode_record(record):
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return RECORD_LENGTH.pack(len(content)) + content


def _decode_records(payload, start):
    records, at, offset = [], READ_HEADER.size, start
    while at + RECORD_LENGTH.size <= len(payload):
        (size,) = RECORD_LENGTH.unpack_from(payload, at)
        at += RECORD_LENGTH.size
        content = payload[at : at + size]
        at += size
        if len(content) == size and content and len(content) > content[0]:
            key = content[1 : 1 + content[0]].decode("utf-8", "replace")
            records.append(KeyedRecord(key, content[1 + content[0] :], offset))
        offset += 1
    return tuple(records)
