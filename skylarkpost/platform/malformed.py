"""Result of decoding an invalid payload."""

from typing import NamedTuple

__all__ = ["Malformed"]


class Malformed(NamedTuple):
    """A payload that cannot be decoded.

    Attributes
    ----------
    detail : str
        Reason, for the log.
    """

    detail: str
