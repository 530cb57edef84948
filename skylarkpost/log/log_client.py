"""HTTP client of the platform's append-only log."""

import json
import time
from typing import Any

import aiohttp
import msgspec

from skylarkpost.log.outcomes import (
    Appended,
    AppendRefused,
    AppendUnknown,
    LogRecord,
    LogUnavailable,
    Records,
)
from skylarkpost.runtime.sessions import HttpSessions

__all__ = ["LogClient"]

CONNECT_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 2.0
READ_LIMIT = 500
MAX_READ_PATIENCE_S = 30.0
READ_PATIENCE_STEP_S = 0.1
JSON_HEADERS = {"Content-Type": "application/json"}
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
CLIENT_ERRORS = range(400, 500)

# Raised before a byte of the request was sent.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class AppendAnswer(msgspec.Struct):
    """Answer to an append on the wire."""

    first_offset: int


class RecordOnWire(msgspec.Struct):
    """One record on the wire."""

    offset: int
    time: float
    data: Any


class ReadAnswer(msgspec.Struct):
    """Answer to a read on the wire."""

    first_offset: int
    next_offset: int
    records: list[RecordOnWire]


class LogClient:
    """Appends to and reads from the streams of the log.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT`` of the log.
    session_source : callable
        Returns the pooled `aiohttp.ClientSession`.
    clock : callable
        Returns the present time in seconds.
    answer_timeout : float
        Seconds until a request without an answer is given up.

    Attributes
    ----------
    read_patience : float
        Seconds that reads wait longer. They grow while a slow log lets reads
        time out, since a read that is given up too early each time would never
        bring anything, and shrink again with each answer.

    Examples
    --------
    ::

        log = LogClient(base_url=url, session_source=lambda: services.http)
        match await log.append("config", [{"type": "team"}]):
            case Appended(first_offset=offset):
                ...
            case AppendRefused():  # certainly not on the log
                ...
            case AppendUnknown():  # read back before the next attempt
                ...
    """

    def __init__(
        self,
        *,
        base_url,
        session_source,
        clock=time.monotonic,
        answer_timeout=ANSWER_TIMEOUT_S,
    ):
        self.base_url = base_url
        self.clock = clock
        self.answer_timeout = answer_timeout
        self.read_patience = 0.0
        self.sessions = HttpSessions(session_source=session_source)

    async def append(self, stream, records):
        """Append records, all or none.

        Parameters
        ----------
        stream : str
            Name of the stream.
        records : list of dict
            Each with a ``type``.

        Returns
        -------
        Appended or AppendUnknown or AppendRefused
        """
        body = msgspec.json.encode({"records": records})
        try:
            status, answer = await self._call(
                "POST", f"/streams/{stream}/records", wait=0.0, data=body
            )
        except NOT_SENT_ERRORS as error:
            return AppendRefused(detail=f"not connected: {error}")
        except TimeoutError:
            return AppendUnknown(detail="no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return AppendUnknown(detail=f"connection lost: {error!r}")
        if status == STATUS_UNAVAILABLE or status in CLIENT_ERRORS:
            return AppendRefused(detail=f"status {status}")
        if status != STATUS_OK:
            return AppendUnknown(detail=f"status {status}")
        try:
            decoded = msgspec.json.decode(answer, type=AppendAnswer)
        except msgspec.DecodeError as error:
            return AppendUnknown(detail=f"answer not understood: {error}")
        return Appended(first_offset=decoded.first_offset)

    async def read(self, stream, *, from_offset, limit=READ_LIMIT, wait=0.0):
        """Read a piece of a stream.

        Parameters
        ----------
        stream : str
            Name of the stream.
        from_offset : int
            First offset wanted.
        limit : int
            Most records returned.
        wait : float
            Seconds that the log may wait for a record at `from_offset`.

        Returns
        -------
        Records or LogUnavailable
        """
        path = (
            f"/streams/{stream}/records?from={from_offset}&limit={limit}&wait={wait:g}"
        )
        patience = self.read_patience
        try:
            status, answer = await self._call("GET", path, wait=wait + patience)
        except TimeoutError:
            self.read_patience = min(MAX_READ_PATIENCE_S, 2.0 * patience + 1.0)
            return LogUnavailable(detail="no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return LogUnavailable(detail=repr(error))
        if status != STATUS_OK:
            return LogUnavailable(detail=f"status {status}")
        try:
            decoded = _decode_read(answer)
        except ValueError as error:
            return LogUnavailable(detail=f"answer not understood: {error}")
        records = [_record(on_wire) for on_wire in decoded.records]
        self.read_patience = max(0.0, self.read_patience - READ_PATIENCE_STEP_S)
        return Records(
            first_offset=decoded.first_offset,
            next_offset=decoded.next_offset,
            records=records,
        )

    async def close(self):
        """Close the connections that this client opened itself."""
        await self.sessions.close()

    async def _call(self, method, path, *, wait, data=None):
        session = self.sessions.select(self.base_url, now=self.clock())
        timeout = aiohttp.ClientTimeout(
            total=wait + self.answer_timeout, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with session.request(
                method,
                self.base_url + path,
                data=data,
                headers=JSON_HEADERS if data is not None else None,
                timeout=timeout,
            ) as response:
                return response.status, await response.read()
        except TimeoutError:
            self.sessions.note_silence(self.base_url, now=self.clock())
            raise


def _decode_read(answer):
    """Decode the answer to a read.

    A record with half of a surrogate pair, which strict decoders refuse, must
    not hide all others: such characters are replaced, alike on every instance.
    """
    try:
        return msgspec.json.decode(answer, type=ReadAnswer)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        text = json.dumps(json.loads(answer), ensure_ascii=False)
        return msgspec.json.decode(text.encode("utf-8", "replace"), type=ReadAnswer)


def _record(on_wire):
    """Return a record; what is no object cannot stop those after it."""
    data = on_wire.data if isinstance(on_wire.data, dict) else {}
    return LogRecord(on_wire.offset, on_wire.time, data)
