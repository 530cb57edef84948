"""Exit codes of the operators' tool."""

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """How a command ended.

    Attributes
    ----------
    OK
        Done as asked.
    REFUSED
        Refused: a conflict, an invalid change, or no such item or request.
    USAGE
        The arguments or a file are at fault; nothing was sent.
    UNAVAILABLE
        The log or the instances did not answer; nothing was changed.
    UNKNOWN
        A change was sent, and it is not known whether it took effect.
    """

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4
