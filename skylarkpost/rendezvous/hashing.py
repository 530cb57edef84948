"""Chooses members for a key, with little change as members come and go."""

import hashlib
import heapq

__all__ = ["choose_member", "choose_members"]

WEIGHT_BYTES = 8


def choose_member(key, members):
    """Choose one member for a key.

    Parameters
    ----------
    key : str
        What a member is wanted for, e.g. a team.
    members : iterable of str
        The candidates.

    Returns
    -------
    str or None
        The one with the highest hash; None without candidates. Another
        candidate more or less moves only the keys that it wins or held.

    Examples
    --------
    >>> choose_member("depot-north", ["entry-1"])
    'entry-1'
    """
    return max(members, key=lambda member: _weight(key, member), default=None)


def choose_members(key, members, count):
    """Choose several members for a key.

    Parameters
    ----------
    key : str
        What members are wanted for.
    members : iterable of str
        The candidates.
    count : int
        How many to choose.

    Returns
    -------
    list of str
        Best first. A candidate more or less changes one choice at most.
    """
    return heapq.nlargest(count, members, key=lambda member: _weight(key, member))


def _weight(key, member):
    text = f"{key}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest(), member
