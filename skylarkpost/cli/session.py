"""Reads the configuration from the log and publishes changes to it."""

import asyncio
import time
import uuid
from dataclasses import dataclass

from skylarkpost.cli.history import History
from skylarkpost.config.records import DEFAULT_VALID_FOR_S
from skylarkpost.config.verdicts import Verdict
from skylarkpost.log import Appended, AppendUnknown, LogUnavailable

__all__ = ["ChangeResult", "ConfigSession", "NotPublished", "OutcomeUnknown"]

CONFIG_STREAM = "config"
READ_WAIT_S = 1.0
RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 3.0
UNAVAILABLE_AFTER_S = 10.0
BATCH_RECORDS = 100


@dataclass(frozen=True, kw_only=True)
class NotPublished:
    """Outcome of a change that certainly had no effect.

    Parameters
    ----------
    detail : str
        Why it could not be published.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown:
    """Outcome of a change that was sent and may have taken effect.

    Parameters
    ----------
    detail : str
        What happened.
    """

    detail: str


@dataclass(frozen=True, kw_only=True)
class ChangeResult:
    """Result of one change.

    Parameters
    ----------
    record : ChangeRecord
        The change record.
    outcome : Verdict or NotPublished or OutcomeUnknown
        Verdict, the same on all instances, or why it is not known.
    """

    record: dict
    outcome: Verdict | NotPublished | OutcomeUnknown


class ConfigSession:
    """One run of the tool against the log.

    Parameters
    ----------
    log : LogClient
        Client of the platform's log.
    author, reason : str
        Written into each change.
    wall_clock : callable
        Returns seconds since the Unix epoch.
    sleep : callable
        Coroutine function that waits for a number of seconds.
    valid_for : float
        Seconds within which the log must accept a change.
    """

    def __init__(
        self,
        *,
        log,
        author,
        reason,
        wall_clock=time.time,
        sleep=asyncio.sleep,
        valid_for=DEFAULT_VALID_FOR_S,
    ):
        self.log = log
        self.author = author
        self.reason = reason
        self.wall_clock = wall_clock
        self.sleep = sleep
        self.valid_for = valid_for
        self.history = None

    @property
    def store(self):
        """The configuration as read from the log so far."""
        return self.history.store

    async def load(self):
        """Read the stream to its end.

        Returns
        -------
        History or LogUnavailable
        """
        deadline = self.wall_clock() + UNAVAILABLE_AFTER_S
        while True:
            answer = await self.read_once(wait=0.0)
            if isinstance(answer, LogUnavailable):
                if self.wall_clock() >= deadline:
                    return answer
                await self.sleep(RETRY_DELAY_S)
            elif self.history.next_offset >= answer.next_offset:
                return self.history

    async def read_once(self, *, wait):
        """Read the next batch of records of the stream.

        Parameters
        ----------
        wait : float
            Seconds for which the log may wait for a new record.

        Returns
        -------
        Records or LogUnavailable
        """
        read_from = 0 if self.history is None else self.history.next_offset
        answer = await self.log.read(CONFIG_STREAM, from_offset=read_from, wait=wait)
        if isinstance(answer, LogUnavailable):
            return answer
        if self.history is None or answer.first_offset > read_from:
            self.history = History(first_offset=answer.first_offset)
        for record in answer.records:
            self.history.add(record)
        if self.history.next_offset >= answer.next_offset:
            self.history.finish()
        return answer

    def make_change(self, *, kind, name, expected_version, body):
        """Return a change record that is not published yet.

        Parameters
        ----------
        kind, name : str
            The item.
        expected_version : int or None
            Version that it must currently have; None for any.
        body : dict or None
            New content; None removes the item.

        Returns
        -------
        ChangeRecord
        """
        return {
            "type": "change",
            "change_id": uuid.uuid4().hex,
            "author": self.author,
            "reason": self.reason,
            "kind": kind,
            "name": name,
            "expected_version": expected_version,
            "body": body,
            "made_at": 0.0,
            "valid_for": self.valid_for,
        }

    async def publish(self, records, *, progress=lambda done: None):
        """Publish changes and wait for the verdict on each.

        Parameters
        ----------
        records : list of ChangeRecord
            From `make_change`.
        progress : callable
            Called with the number of changes processed so far.

        Returns
        -------
        list of ChangeResult
            In the order of `records`.
        """
        results = []
        for start in range(0, len(records), BATCH_RECORDS):
            batch = records[start : start + BATCH_RECORDS]
            results += await self._publish_batch(batch)
            progress(len(results))
        return results

    async def _publish_batch(self, batch):
        made_at = self.wall_clock()
        batch = [{**record, "made_at": made_at} for record in batch]
        deadline = made_at + self.valid_for
        from_offset = self.history.next_offset
        maybe_sent, detail = await self._append(batch, from_offset, deadline)
        if not maybe_sent:
            outcome = NotPublished(detail=detail)
            return [ChangeResult(record=r, outcome=outcome) for r in batch]
        await self._await_verdicts(batch, from_offset, deadline)
        return [self._result(record, from_offset) for record in batch]

    async def _append(self, batch, from_offset, deadline):
        """Append with retries until the batch is seen on the log.

        Duplicates do no harm, since they have the same change ids.
        """
        maybe_sent = False
        delay = RETRY_DELAY_S
        give_up_at = min(deadline, self.wall_clock() + UNAVAILABLE_AFTER_S)
        while True:
            answer = await self.log.append(CONFIG_STREAM, batch)
            if isinstance(answer, Appended):
                return True, ""
            maybe_sent = maybe_sent or isinstance(answer, AppendUnknown)
            if maybe_sent and await self._is_read_back(batch, from_offset):
                return True, ""
            if self.wall_clock() >= give_up_at:
                return maybe_sent, answer.detail
            await self.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY_S)

    async def _is_read_back(self, batch, from_offset):
        await self.read_once(wait=0.0)
        return all(self._verdict(record, from_offset) for record in batch)

    async def _await_verdicts(self, batch, from_offset, deadline):
        """Read until each change has a verdict or the log has passed the deadline."""
        while not all(self._verdict(record, from_offset) for record in batch):
            answer = await self.read_once(wait=READ_WAIT_S)
            expired = self.wall_clock() > deadline
            if isinstance(answer, LogUnavailable):
                if expired:
                    return
                await self.sleep(RETRY_DELAY_S)
            elif expired and self.history.next_offset >= answer.next_offset:
                return

    def _verdict(self, record, from_offset):
        return self.history.find_verdict(record["change_id"], from_offset=from_offset)

    def _result(self, record, from_offset):
        outcome = self._verdict(record, from_offset)
        if outcome is None:
            detail = "sent, but not seen on the log; run 'skylarkpost audit' later"
            outcome = OutcomeUnknown(detail=detail)
        return ChangeResult(record=record, outcome=outcome)
