"""Rendezvous (highest random weight) hashing that ranks all members."""

import zlib

__all__ = ["rendezvous_order"]


def rendezvous_order(key, members):
    """Rank members by their rendezvous weight for a key.

    Parameters
    ----------
    key : str
        Key to place, e.g. an adapter.
    members : iterable of str
        Candidate members.

    Returns
    -------
    list of str
        All members, the preferred one first. When a member leaves, only the
        keys that were placed on it move.
    """
    return sorted(members, key=lambda member: (-_weight(key, member), member))


def _weight(key, member):
    mixed = zlib.crc32(f"{key}\x00{member}".encode())
    mixed = (mixed ^ (mixed >> 16)) * 0x7FEB352D & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 15)) * 0x846CA68B & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)
