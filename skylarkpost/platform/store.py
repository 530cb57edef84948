"""Client of the platform's store."""

import base64
import logging
import socket
import struct

import aiohttp
import msgspec

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
from skylarkpost.transport.sockets import configure_socket

__all__ = ["OPERATOR_TOPIC", "TARGETS_TOPIC", "StoreClient"]

logger = logging.getLogger(__name__)

# Number of times that the store has come back from an older copy.
ERA_HEADER = "Store-Era"
OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
# The only partition of each keyed topic.
PARTITION = "0"
# Several round trips. A network partition is noticed only after this time.
CONNECT_TIMEOUT_S = 1.0
# The store usually answers within milliseconds, and up to sixty times slower when
# it is degraded.
ANSWER_TIMEOUT_S = 2.0
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


class TopicEnds(msgspec.Struct, rename="camel"):
    offset: int = 0
    end_offset: int = 0


class StoreClient:
    """Client of the store's keyed topics. Failures are returned, not raised.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.

    Attributes
    ----------
    era : int
        Highest era in an answer so far.
    """

    def __init__(self, *, address):
        self.base_url = f"http://{address}"
        self.session = None
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
            query["asOf"] = str(expected_end)
        body = b"".join(_encode_record(record) for record in records)
        answer = await self._call("POST", "/-/log-append", query, body=body)
        if isinstance(answer, StoreUnavailable | StoreUnknown):
            return answer
        status, payload = answer
        if status not in (200, 412):
            return StoreUnavailable(f"append: status {status}")
        try:
            ends = msgspec.json.decode(payload, type=TopicEnds)
        except msgspec.DecodeError as error:
            return StoreUnknown(f"append: {error}")
        if status == 412:
            return StoreConflict(ends.end_offset)
        return StoreAppended(ends.offset, ends.end_offset)

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
        query = {
            "topic": topic,
            "part": PARTITION,
            "from": str(start),
            "maxKb": str(READ_SIZE_KB),
            "waitMs": str(int(wait * 1000)),
        }
        answer = await self._call("GET", "/-/log-read", query, extra_timeout=wait)
        if isinstance(answer, StoreUnknown):
            return StoreUnavailable(answer.detail)
        if isinstance(answer, StoreUnavailable):
            return answer
        status, payload = answer
        if status == 410:
            return RecordsTrimmed()
        if status != 200 or len(payload) < READ_HEADER.size:
            return StoreUnavailable(f"read: status {status}, {len(payload)} bytes")
        end, _ = READ_HEADER.unpack_from(payload)
        return KeyedRecords(_decode_records(payload, start), end)

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
        records, end, after = [], None, None
        while True:
            query = {"topic": topic, "part": PARTITION}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", "/-/log-newest", query)
            if isinstance(answer, StoreUnknown):
                return StoreUnavailable(answer.detail)
            if isinstance(answer, StoreUnavailable):
                return answer
            status, payload = answer
            if status != 200:
                return StoreUnavailable(f"newest: status {status}")
            try:
                page = msgspec.json.decode(payload, type=NewestPage)
                records += [
                    KeyedRecord(i.key, base64.b64decode(i.value), i.offset)
                    for i in page.items
                ]
            except (msgspec.DecodeError, ValueError) as error:
                return StoreUnavailable(f"newest: {error}")
            end = page.end_offset if end is None else end
            if not page.has_more or not page.items:
                return KeyedSnapshot(tuple(records), end)
            after = page.items[-1].key

    async def close(self):
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    async def _call(self, method, path, query, *, body=None, extra_timeout=0.0):
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_TIMEOUT_S + extra_timeout, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._open_session().request(
                method,
                self.base_url + path,
                params=query,
                data=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                self._note_era(response.headers.get(ERA_HEADER))
                return response.status, await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return StoreUnavailable(f"not connected: {error!r}")
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return StoreUnknown(f"no answer: {error!r}")

    def _note_era(self, header):
        if header is None:
            return
        if not header.isascii() or not header.isdigit():
            log_event(
                logger,
                "store-era-malformed",
                level=logging.WARNING,
                value=header[:MAX_LOGGED_HEADER],
            )
            return
        era = int(header)
        if era > self.era:
            log_event(logger, "store-era", era=era, before=self.era)
            self.era = era

    def _open_session(self):
        if self.session is None:
            connector = aiohttp.TCPConnector(limit=0, socket_factory=_make_socket)
            self.session = aiohttp.ClientSession(connector=connector)
        return self.session


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
