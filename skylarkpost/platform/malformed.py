"""What becomes of bytes that cannot be decoded."""

from typing import NamedTuple

__all__ = ["Malformed"]


class Malformed(NamedTuple):
    """An entry that names nothing to use.

    Attributes
    ----------
    detail : str
        What is wrong with it, for the log.
    """

    detail: str
