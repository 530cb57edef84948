"""Follower of a stream of the log, which delivers records to subscribers."""

import asyncio
import logging

import msgspec

from skylarkpost.eventlog import log_event
from skylarkpost.log.log_client import READ_LIMIT
from skylarkpost.log.outcomes import LogUnavailable
from skylarkpost.runtime.tasks import BackgroundTask

__all__ = ["LogFollower"]

logger = logging.getLogger(__name__)

LONG_POLL_S = 1.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
# Batches records that are appended in quick succession into one answer.
PAUSE_AFTER_RECORDS_S = 0.01

# Errors of a handler that mark the record as malformed.
MALFORMED_RECORD_ERRORS = (KeyError, TypeError, ValueError, msgspec.MsgspecError)


class LogFollower:
    """Reads a stream in order from a given offset until it is stopped.

    Parameters
    ----------
    log : LogClient
        The log.
    stream : str
        Name of the stream.
    clock : callable
        Returns the current time in seconds.
    random : random.Random
        For the jitter of the backoff.
    from_offset : int
        Offset to start from.
    long_poll : float
        Long-poll timeout, in seconds.
    on_gap : callable or None
        ``on_gap(wanted, first_offset)``, called if retention deleted unread records;
        reading continues at `first_offset`.

    Attributes
    ----------
    applied_offset : int
        Next offset to read; all earlier records have been delivered.
    end_offset : int
        End offset of the stream in the last answer.
    first_offset : int
        Oldest retained offset in the last answer.
    fresh_at : float or None
        Start of the last read that reached the end of the stream, in seconds of
        `clock`.
    available : bool
        Whether the last read was answered.
    malformed : int
        Number of records for which a handler raised an error.
    """

    def __init__(
        self,
        *,
        log,
        stream,
        clock,
        random,
        from_offset=0,
        long_poll=LONG_POLL_S,
        on_gap=None,
    ):
        self.log = log
        self.stream = stream
        self.clock = clock
        self.random = random
        self.long_poll = long_poll
        self.on_gap = on_gap
        self.applied_offset = from_offset
        self.end_offset = from_offset
        self.first_offset = 0
        self.fresh_at = None
        self.available = False
        self.failures = 0
        self.malformed = 0
        self.reads_singly = False
        self.handlers = {}
        self.background = BackgroundTask(name=f"follow-{stream}")

    def subscribe(self, record_type, handler):
        """Register a handler for the records of a type.

        Parameters
        ----------
        record_type : str or None
            The record's ``type``; None stands for all types.
        handler : callable
            ``handler(record, offset, time, now)``: the record, its offset, the
            log's wall clock when it was appended, and the current time. If it
            raises a lookup, type or value error, the record is logged and
            skipped; an `AssertionError` stops the process.
        """
        self.handlers.setdefault(record_type, []).append(handler)

    def skip_to(self, offset):
        """Continue at a later offset, e.g. after applying a snapshot.

        Parameters
        ----------
        offset : int
            Next offset to read; ignored if it is before the current one.
        """
        self.applied_offset = max(self.applied_offset, offset)

    async def append(self, record):
        """Append one record to the stream.

        Parameters
        ----------
        record : dict
            Record with a ``type``.

        Returns
        -------
        Appended or AppendUnknown or AppendRefused
        """
        return await self.log.append(self.stream, [record])

    def start(self):
        """Start following in the background."""
        self.background.start(self._run())

    async def stop(self):
        """Stop following."""
        await self.background.stop()

    async def read_once(self):
        """Read the stream once and deliver the records.

        Returns
        -------
        float
            Seconds to pause before the next read.
        """
        started_at = self.clock()
        wanted = self.applied_offset
        limit = 1 if self.reads_singly else READ_LIMIT
        answer = await self.log.read(
            self.stream, from_offset=wanted, limit=limit, wait=self.long_poll
        )
        if isinstance(answer, LogUnavailable):
            if not answer.is_malformed or self.applied_offset != wanted:
                return self._back_off(answer.detail)
            if self.reads_singly:
                # Every instance skips the same record.
                self._note_malformed(wanted, answer.detail)
                self.applied_offset = wanted + 1
            self.reads_singly = not self.reads_singly
            return PAUSE_AFTER_RECORDS_S
        self.reads_singly = self.reads_singly and bool(answer.records)
        self._note_answered()
        if self.applied_offset != wanted:
            return 0.0
        self.first_offset = answer.first_offset
        self.end_offset = answer.next_offset
        if answer.first_offset > wanted:
            self._skip_gap(wanted, answer.first_offset)
        for record in answer.records:
            self._deliver(record)
        if self.applied_offset >= answer.next_offset:
            self.fresh_at = started_at
        return PAUSE_AFTER_RECORDS_S if answer.records else 0.0

    async def _run(self):
        while True:
            await asyncio.sleep(await self.read_once())

    def _deliver(self, record):
        if record.offset < self.applied_offset:
            return
        assert record.offset == self.applied_offset, "the stream skips an offset"
        # Handlers that read `applied_offset` see this record as applied.
        self.applied_offset = record.offset + 1
        kind = record.data.get("type")
        handlers = self.handlers.get(kind, ()) if isinstance(kind, str) else ()
        now = self.clock()
        for handler in (*handlers, *self.handlers.get(None, ())):
            try:
                handler(record.data, record.offset, record.time, now)
            except MALFORMED_RECORD_ERRORS as error:
                # Every instance skips the same record and continues with the next one.
                self._note_malformed(record.offset, repr(error))

    def _note_malformed(self, offset, error):
        self.malformed += 1
        log_event(
            logger,
            "log-record-malformed",
            level=logging.ERROR,
            stream=self.stream,
            offset=offset,
            error=error,
        )

    def _skip_gap(self, wanted, first_offset):
        self.applied_offset = first_offset
        log_event(
            logger,
            "log-gap",
            stream=self.stream,
            wanted=wanted,
            first_offset=first_offset,
        )
        if self.on_gap is not None:
            self.on_gap(wanted, first_offset)

    def _note_answered(self):
        if not self.available and self.failures:
            log_event(logger, "log-available", stream=self.stream)
        self.available = True
        self.failures = 0

    def _back_off(self, detail):
        if self.failures == 0:
            log_event(
                logger,
                "log-unavailable",
                level=logging.WARNING,
                stream=self.stream,
                detail=detail,
            )
        self.available = False
        bound = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** min(self.failures, 16))
        self.failures += 1
        return self.random.uniform(bound / 2, bound)
