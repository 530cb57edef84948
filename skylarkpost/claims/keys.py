"""Idempotency keys: UUIDs of version 7, which carry the time they were made."""

import hashlib
import uuid
from typing import NamedTuple

__all__ = ["InvalidKey", "KeyAgeLimits", "hash_key", "parse_key"]

VERSION = 7
MILLISECONDS_BITS = 48
UUID_BITS = 128
# Part of the retention by which a key is called too old before its claim can
# have expired, and the most seconds of it.
MARGIN_FRACTION = 0.25
MAX_MARGIN_S = 120.0


class InvalidKey(NamedTuple):
    """A key that is not accepted.

    Attributes
    ----------
    message : str
        What is wrong with it.
    """

    message: str


class KeyAgeLimits(NamedTuple):
    """How old a key may be.

    Attributes
    ----------
    retention : float
        Seconds that the log keeps a record.
    """

    retention: float

    @property
    def margin(self):
        """Seconds for clocks that differ and records that expire early."""
        return min(MAX_MARGIN_S, self.retention * MARGIN_FRACTION)

    def is_too_old(self, made_at, time):
        """Return whether a claim of the key may have expired already.

        Parameters
        ----------
        made_at : float
            When the key was made, in wall-clock seconds.
        time : float
            The present wall-clock time, in seconds.

        Returns
        -------
        bool
        """
        return time - made_at > self.retention - self.margin

    def is_in_future(self, made_at, time):
        """Return whether a key was made too far in the future.

        Parameters
        ----------
        made_at : float
            When the key was made, in wall-clock seconds.
        time : float
            The present wall-clock time, in seconds.

        Returns
        -------
        bool
            A key may be ahead by half of the margin. Its claims are then
            younger than the key by no more than that.
        """
        return made_at - time > self.margin / 2


def parse_key(text):
    """Read an idempotency key.

    Parameters
    ----------
    text : str
        The header's value.

    Returns
    -------
    float or InvalidKey
        When it was made, in seconds since the Unix epoch.

    Examples
    --------
    >>> parse_key("01890a5d-ac96-774b-bcce-b302099a8057")
    1688057982.102
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        return InvalidKey("The Idempotency-Key is not a UUID.")
    if str(key) != text.lower():
        return InvalidKey("The Idempotency-Key is not in the usual form of a UUID.")
    if key.version != VERSION:
        return InvalidKey("The Idempotency-Key is not a UUID of version 7.")
    return (key.int >> (UUID_BITS - MILLISECONDS_BITS)) / 1000.0


def hash_key(*, team, route, key):
    """Return the name under which a key is claimed.

    Parameters
    ----------
    team : str or None
        Team of the caller.
    route : str
        Name of the route.
    key : str
        The idempotency key.

    Returns
    -------
    str
        Hexadecimal hash; another one for another team or route.
    """
    text = "\0".join((team or "", route, key.lower()))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
