"""HTTP client of the platform's append-only log."""

import json
import time
from typing import Any

import aiohttp
import msgspec

from skylarkpost.decoding import Malformed, decode_json
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
MAX_EXTRA_READ_TIMEOUT_S = 30.0
EXTRA_READ_TIMEOUT_STEP_S = 0.1
JSON_HEADERS = {"Content-Type": "application/json"}
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
CLIENT_ERRORS = range(400, 500)

# Raised before any byte of the request was sent.
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
    """Client that appends to and reads from the streams of the log.

    Parameters
    ----------
    base_url : str
        ``http://IP:PORT`` of the log.
    session_source : callable
        Returns the pooled `aiohttp.ClientSession`.
    clock : callable
        Returns the current time in seconds.
    answer_timeout : float
        Timeout of a request, in seconds.

    Attributes
    ----------
    extra_read_timeout : float
        Seconds added to the timeout of reads. Grows with each read that times out,
        since a log that is always slower than the timeout could never be read, and
        shrinks with each answer.

    Examples
    --------
    ::

        log = LogClient(base_url=url, session_source=lambda: services.http)
        match await log.append("config", [{"type": "team"}]):
            case Appended(first_offset=offset):
                ...
            case AppendRefused():  # certainly not appended
                ...
            case AppendUnknown():  # read the stream before the next attempt
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
        self.extra_read_timeout = 0.0
        self.sessions = HttpSessions(session_source=session_source)

    async def append(self, stream, records):
        """Append records atomically.

        Parameters
        ----------
        stream : str
            Name of the stream.
        records : list of dict
            Records, each with a ``type``.

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
        decoded = decode_json(answer, AppendAnswer)
        if isinstance(decoded, Malformed):
            return AppendUnknown(detail=f"answer not understood: {decoded.detail}")
        return Appended(first_offset=decoded.first_offset)

    async def read(self, stream, *, from_offset, limit=READ_LIMIT, wait=0.0):
        """Read consecutive records of a stream.

        Parameters
        ----------
        stream : str
            Name of the stream.
        from_offset : int
            Offset to read from.
        limit : int
            Maximum number of records.
        wait : float
            Long-poll timeout in seconds, for a record at `from_offset`.

        Returns
        -------
        Records or LogUnavailable
        """
        path = (
            f"/streams/{stream}/records?from={from_offset}&limit={limit}&wait={wait:g}"
        )
        extra_timeout = self.extra_read_timeout
        try:
            status, answer = await self._call("GET", path, wait=wait + extra_timeout)
        except TimeoutError:
            self.extra_read_timeout = min(
                MAX_EXTRA_READ_TIMEOUT_S, 2.0 * extra_timeout + 1.0
            )
            return LogUnavailable(detail="no answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return LogUnavailable(detail=repr(error))
        if status != STATUS_OK:
            return LogUnavailable(detail=f"status {status}")
        try:
            decoded = _decode_read(answer)
        except ValueError as error:
            return LogUnavailable(detail=f"answer not understood: {error}")
        except RecursionError:
            return LogUnavailable(detail="nested too deeply", is_malformed=True)
        records = [_record(on_wire) for on_wire in decoded.records]
        self.extra_read_timeout = max(
            0.0, self.extra_read_timeout - EXTRA_READ_TIMEOUT_STEP_S
        )
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

    Strict decoders reject an unpaired surrogate. So that one such record does not
    hide all others, the character is replaced, in the same way on every instance.
    """
    try:
        return msgspec.json.decode(answer, type=ReadAnswer)
    except msgspec.ValidationError:
        raise
    except msgspec.DecodeError:
        text = json.dumps(json.loads(answer), ensure_ascii=False)
        return msgspec.json.decode(text.encode("utf-8", "replace"), type=ReadAnswer)


def _record(on_wire):
    """Convert a record; data that is not an object becomes an empty one.

    An error here would stop the stream at this record.
    """
    data = on_wire.data if isinstance(on_wire.data, dict) else {}
    return LogRecord(on_wire.offset, on_wire.time, data)
