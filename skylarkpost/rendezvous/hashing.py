"""Rendezvous hashing: membership changes move few keys."""

import hashlib
import heapq

__all__ = ["choose_member", "choose_members"]

WEIGHT_BYTES = 8


def choose_member(key, members):
    """Choose one member for a key.

    Parameters
    ----------
    key : str
        Key to assign to a member, e.g. a team.
    members : iterable of str
        The candidates.

    Returns
    -------
    str or None
        The member with the highest hash; None without candidates. Adding or
        removing a member moves only the keys that are assigned to it.

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
        Key to assign to the members.
    members : iterable of str
        The candidates.
    count : int
        Number of members to choose.

    Returns
    -------
    list of str
        Highest hash first. Adding or removing a candidate changes at most one
        choice.
    """
    return heapq.nlargest(count, members, key=lambda member: _weight(key, member))


def _weight(key, member):
    text = f"{key}\0{member}".encode()
    return hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest(), member
