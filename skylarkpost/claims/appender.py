"""Appends records to the log in batches."""

import asyncio

from skylarkpost.log import AppendRefused

__all__ = ["BatchAppender"]

BATCH_DELAY_S = 0.003
MAX_BATCH = 200
MAX_WAITING = 2000


class BatchAppender:
    """Collects records for a few milliseconds and appends them in one call.

    Parameters
    ----------
    log : skylarkpost.log.LogClient
        Client of the log.
    stream : str
        Name of the stream.

    Notes
    -----
    With `MAX_WAITING` records pending, an append is refused at once.
    """

    def __init__(self, *, log, stream):
        self.log = log
        self.stream = stream
        self.waiting = []
        self.flush_timer = None
        self.calls = set()

    async def append(self, record):
        """Append one record as part of a batch.

        Parameters
        ----------
        record : dict
            The record, with a ``type``.

        Returns
        -------
        Appended or AppendUnknown or AppendRefused
            Outcome of the whole batch; the offset of `Appended` is not this record's.
        """
        if len(self.waiting) >= MAX_WAITING:
            return AppendRefused(detail="too many records wait for the log")
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self.waiting.append((record, future))
        if self.flush_timer is None:
            self.flush_timer = loop.call_later(BATCH_DELAY_S, self._flush)
        return await future

    def close(self):
        """Cancel all pending and running appends."""
        if self.flush_timer is not None:
            self.flush_timer.cancel()
        for call in self.calls:
            call.cancel()

    def _flush(self):
        batch, self.waiting = self.waiting[:MAX_BATCH], self.waiting[MAX_BATCH:]
        loop = asyncio.get_running_loop()
        self.flush_timer = (
            loop.call_later(BATCH_DELAY_S, self._flush) if self.waiting else None
        )
        call = loop.create_task(self._append_batch(batch))
        self.calls.add(call)
        call.add_done_callback(self.calls.discard)

    async def _append_batch(self, batch):
        outcome = await self.log.append(self.stream, [record for record, _ in batch])
        for _, future in batch:
            if not future.done():
                future.set_result(outcome)
