"""Formats events as key=value lines for the standard logging module."""

import logging
import sys
import time

__all__ = ["configure_logging", "format_event", "log_event"]

EVENT_PREFIX = "event="
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"
QUIET_LOGGERS = ("grpc", "uvicorn", "asyncio")
QUOTED_CHARACTERS = frozenset(" \t\"'=\\")


def format_event(event, fields):
    """Return an event as one key=value line.

    Parameters
    ----------
    event : str
        Name of the event, e.g. ``"request-refused"``.
    fields : dict of str to object
        Values by key. Fields that are None are left out.

    Returns
    -------
    str
        ``event=NAME key=value ...``; values with spaces, quotes, line breaks
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
        Logger to write to.
    event : str
        Name of the event.
    level : int
        Level of the standard logging module.
    **fields
        Values by key.
    """
    if logger.isEnabledFor(level):
        logger.log(level, "%s", format_event(event, fields))


def configure_logging(*, instance, level, handler=None):
    """Send all log records to one handler, tagged with the instance id.

    Parameters
    ----------
    instance : str
        Id of this instance.
    level : str
        Name of the lowest level to write, e.g. ``"INFO"``.
    handler : logging.Handler or None
        Destination; standard error by default.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(instance=instance))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level)
    for name in QUIET_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)


class KeyValueFormatter(logging.Formatter):
    """Formats each log record as one line, including those of libraries.

    Parameters
    ----------
    instance : str
        Id of this instance.
    """

    def __init__(self, *, instance):
        super().__init__()
        self.instance = instance

    def format(self, record):
        """Return one record as one line."""
        message = record.getMessage()
        if not message.startswith(EVENT_PREFIX):
            fields = {"logger": record.name, "message": message}
            message = format_event("library-message", fields)
        if record.exc_info:
            trace = self.formatException(record.exc_info)
            message = f"{message} trace={_format_value(trace)}"
        timestamp = time.strftime(TIME_FORMAT, time.gmtime(record.created))
        milliseconds = int(record.msecs)
        return (
            f"time={timestamp}.{milliseconds:03d}Z level={record.levelname}"
            f" instance={self.instance} {message}"
        )


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
