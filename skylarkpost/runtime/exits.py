"""Exit statuses of the daemons, and the end of a process on a broken invariant."""

import logging
import os
import traceback

from skylarkpost.eventlog import log_event

__all__ = ["EXIT_BAD_SETTINGS", "EXIT_BROKEN_INVARIANT", "handle_loop_error"]

logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2
EXIT_BROKEN_INVARIANT = 70


def handle_loop_error(loop, context):
    """Log an event loop error; exit at once if an invariant is broken."""
    error = context.get("exception")
    broken = isinstance(error, AssertionError)
    log_event(
        logger,
        "invariant-broken" if broken else "loop-error",
        level=logging.CRITICAL if broken else logging.ERROR,
        message=context.get("message"),
        error=repr(error),
    )
    if broken:
        traceback.print_exception(error)
        os._exit(EXIT_BROKEN_INVARIANT)
