"""Idempotency keys: version 7 UUIDs, which carry their creation time."""

import hashlib
import uuid
from typing import NamedTuple

__all__ = ["InvalidKey", "KeyAgeLimits", "hash_key", "parse_key"]

VERSION = 7
MILLISECONDS_BITS = 48
UUID_BITS = 128
# A key is rejected as too old this fraction of the retention before its claim can
# have expired, but at most this many seconds before.
MARGIN_FRACTION = 0.25
MAX_MARGIN_S = 120.0


class InvalidKey(NamedTuple):
    """A malformed key.

    Attributes
    ----------
    message : str
        What is wrong with the key.
    """

    message: str


class KeyAgeLimits(NamedTuple):
    """Bounds on the age of a key.

    Attributes
    ----------
    retention : float
        Seconds that the log keeps a record.
    """

    retention: float

    @property
    def margin(self):
        """Seconds allowed for clock skew and records that expire early."""
        return min(MAX_MARGIN_S, self.retention * MARGIN_FRACTION)

    def is_too_old(self, made_at, time):
        """Return whether a claim of the key may have expired already.

        Parameters
        ----------
        made_at : float
            Creation time of the key, in wall-clock seconds.
        time : float
            Current wall-clock time, in seconds.

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
            Creation time of the key, in wall-clock seconds.
        time : float
            Current wall-clock time, in seconds.

        Returns
        -------
        bool
            A key may be ahead by half of the margin, so a claim is at most that
            much older than its key's timestamp.
        """
        return made_at - time > self.margin / 2


def parse_key(text):
    """Parse an idempotency key.

    Parameters
    ----------
    text : str
        The header's value.

    Returns
    -------
    float or InvalidKey
        Creation time, in seconds since the Unix epoch.

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
    """Return the hash under which a key is claimed.

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
        Hexadecimal hash; it differs between teams and routes.
    """
    text = "\0".join((team or "", route, key.lower()))
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
