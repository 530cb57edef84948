"""Formats events as key=value lines on the standard logging module."""

import logging
import sys

__all__ = ["configure_logging", "format_event", "log_event"]

QUOTED_CHARACTERS = frozenset(" \t\"'=\\")


def format_event(event, fields):
    """Return one line for an event.

    Parameters
    ----------
    event : str
        Name of the event, e.g. ``"request-refused"``.
    fields : dict of str to object
        Values by key. Fields that are None are left out.

    Returns
    -------
    str
        ``event=NAME key=value ...``; values with blanks, quotes, line breaks
        or other control characters are quoted and escaped.

    Examples
    --------
    >>> format_event("load-failed", {"adapter": "a 1", "attempt": 2})
    'event=load-failed adapter="a 1" attempt=2'
    """
    pairs = [f"event={event}"]
    for key, value in fields.items():
        if value is not None:
            pairs.append(f"{key}={_format_value(value)}")
    return " ".join(pairs)


def log_event(logger, event, *, level=logging.INFO, **fields):
    """Log one event.

    Parameters
    ----------
    logger : logging.Logger
        Where the line goes.
    event : str
        Name of the event.
    level : int
        Level of the standard logging module.
    **fields
        Values by key.
    """
    if logger.isEnabledFor(level):
        logger.log(level, "%s", format_event(event, fields))


def configure_logging(*, instance, level):
    """Send all log lines to standard error, each stamped with the instance.

    Parameters
    ----------
    instance : str
        Id of this instance.
    level : str
        Name of the lowest level to write, e.g. ``"INFO"``.
    """
    handler = logging.StreamHandler(sys.stderr)
    line = f"time=%(asctime)s level=%(levelname)s instance={instance} %(message)s"
    handler.setFormatter(logging.Formatter(line, datefmt="%Y-%m-%dT%H:%M:%S"))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)


def _format_value(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    plain = text.isprintable() and not any(c in QUOTED_CHARACTERS for c in text)
    if text and plain:
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = "".join(c if c.isprintable() else repr(c)[1:-1] for c in escaped)
    return f'"{escaped}"'
