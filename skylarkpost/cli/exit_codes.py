"""Exit codes of the operators' tool."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Result of a command.

    Attributes
    ----------
    OK
        Completed.
    REFUSED
        A conflict, an invalid change, or no such item or request.
    USAGE
        Invalid arguments or an invalid file; nothing was sent.
    UNAVAILABLE
        The log or the instances did not respond; nothing was changed.
    UNKNOWN
        A change was sent, but whether it took effect is not known.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4
