"""Follows one stream of the log and hands its records to subscribers."""

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
# Lets records that come close together arrive in one answer.
PAUSE_AFTER_RECORDS_S = 0.01

# What a handler may raise for a record that is not as it should be.
MALFORMED_RECORD_ERRORS = (KeyError, TypeError, ValueError, msgspec.MsgspecError)


class LogFollower:
    """Reads a stream in order, for ever, from a given offset.

    Parameters
    ----------
    log : LogClient
        The log.
    stream : str
        Name of the stream.
    clock : callable
        Returns the present time in seconds.
    random : random.Random
        For the jitter of the backoff.
    from_offset : int
        First offset wanted.
    long_poll : float
        Seconds that the log may wait for new records.
    on_gap : callable or None
        ``on_gap(wanted, first_offset)``: retention passed over unread offsets,
        and reading goes on at `first_offset`.

    Attributes
    ----------
    applied_offset : int
        Next offset to read; all before it have been handed on.
    end_offset : int
        End of the stream as last seen.
    first_offset : int
        Oldest offset that the log keeps, as last seen.
    fresh_at : float or None
        When the last read was started that reached the end of the stream.
    available : bool
        Whether the last read was answered.
    malformed : int
        Records that a handler could not make sense of.
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
        self.handlers = {}
        self.background = BackgroundTask(name=f"follow-{stream}")

    def subscribe(self, record_type, handler):
        """Call a handler for each record of one type.

        Parameters
        ----------
        record_type : str or None
            The record's ``type``; None stands for all types.
        handler : callable
            ``handler(record, offset, time, now)``: the record, its offset, the
            log's wall clock when it was appended, and the present time. A
            record for which it raises an error of lookup, type or value is
            logged and skipped; an `AssertionError` stops the process.
        """
        self.handlers.setdefault(record_type, []).append(handler)

    def skip_to(self, offset):
        """Go on reading at a later offset, e.g. after taking over a snapshot.

        Parameters
        ----------
        offset : int
            Next offset to read; an earlier one than the present is ignored.
        """
        self.applied_offset = max(self.applied_offset, offset)

    async def append(self, record):
        """Append one record to the stream.

        Parameters
        ----------
        record : dict
            With a ``type``.

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
        """Read one piece of the stream and hand its records on.

        Returns
        -------
        float
            Seconds to pause before the next read.
        """
        started_at = self.clock()
        wanted = self.applied_offset
        answer = await self.log.read(
            self.stream, from_offset=wanted, limit=READ_LIMIT, wait=self.long_poll
        )
        if isinstance(answer, LogUnavailable):
            return self._back_off(answer.detail)
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
        assert record.offset == self.applied_offset, "the stream has a hole"
        # A handler that looks at `applied_offset` sees this record as applied.
        self.applied_offset = record.offset + 1
        kind = record.data.get("type")
        handlers = self.handlers.get(kind, ()) if isinstance(kind, str) else ()
        now = self.clock()
        for handler in (*handlers, *self.handlers.get(None, ())):
            try:
                handler(record.data, record.offset, record.time, now)
            except MALFORMED_RECORD_ERRORS as error:
                self._note_malformed(record, error)

    def _note_malformed(self, record, error):
        # Every instance skips the same record, and goes on with the next one.
        self.malformed += 1
        log_event(
            logger,
            "log-record-malformed",
            level=logging.ERROR,
            stream=self.stream,
            offset=record.offset,
            error=repr(error),
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
