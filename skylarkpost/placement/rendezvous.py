"""Rendezvous hashing: a stable choice among members that come and go."""

import zlib

__all__ = ["rendezvous_order"]


def rendezvous_order(key, members):
    """Order members by their hash with a key.

    Parameters
    ----------
    key : str
        What is placed.
    members : iterable of str
        The members.

    Returns
    -------
    list of str
        All members; the first is the key's home. When a member leaves, only
        the keys that were placed on it move.
    """
    return sorted(members, key=lambda member: (-_weight(key, member), member))


def _weight(key, member):
    mixed = zlib.crc32(f"{key}\x00{member}".encode())
    mixed = (mixed ^ (mixed >> 16)) * 0x7FEB352D & 0xFFFFFFFF
    mixed = (mixed ^ (mixed >> 15)) * 0x846CA68B & 0xFFFFFFFF
    return mixed ^ (mixed >> 16)
