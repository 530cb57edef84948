"""Background tasks that report an unexpected end."""

import asyncio
import logging

from skylarkpost.eventlog import log_event

__all__ = ["BackgroundTask"]

logger = logging.getLogger(__name__)


class BackgroundTask:
    """One coroutine that runs until it is stopped.

    An exception in it is a broken invariant. It is passed to the event loop's
    exception handler, which decides whether the process continues.

    Parameters
    ----------
    name : str
        Name of the task in logs.
    """

    def __init__(self, *, name):
        self.name = name
        self.task = None

    def start(self, coroutine):
        """Start the coroutine.

        Parameters
        ----------
        coroutine : coroutine
            Runs until `stop` cancels it.
        """
        assert self.task is None, f"{self.name} is started twice"
        self.task = asyncio.get_running_loop().create_task(coroutine, name=self.name)
        self.task.add_done_callback(self._note_end)

    async def stop(self):
        """Cancel the coroutine and wait until it has ended."""
        if self.task is None:
            return
        self.task.cancel()
        await asyncio.wait([self.task])
        self.task = None

    def _note_end(self, task):
        if task.cancelled() or task.exception() is None:
            return
        log_event(
            logger,
            "background-task-failed",
            level=logging.CRITICAL,
            task=self.name,
            error=repr(task.exception()),
        )
        context = {"message": f"{self.name} failed", "exception": task.exception()}
        task.get_loop().call_exception_handler(context)
