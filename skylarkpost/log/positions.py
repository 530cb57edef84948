"""Positions of records in topics of a store that may be restored from a copy.

A restored store gives out offsets again. Each restore begins an era, and a position
is the era and the offset as one integer, so that positions of a topic never repeat
and a later record always has the higher one.
"""

__all__ = ["MAX_ERA", "describe_position", "era_of", "make_position", "offset_of"]

OFFSET_BITS = 32
# Positions are used as fencing numbers, which receivers may hold as doubles: they
# stay below 2**53.
MAX_ERA = 2**20


def make_position(era, offset):
    """Return the position of an offset in an era.

    Parameters
    ----------
    era : int
        Era of the store, from 0 to `MAX_ERA`.
    offset : int
        Offset in the topic.

    Returns
    -------
    int
    """
    return (era << OFFSET_BITS) + offset


def era_of(position):
    """Return the era of a position.

    Parameters
    ----------
    position : int
        The position.

    Returns
    -------
    int
    """
    return position >> OFFSET_BITS


def offset_of(position):
    """Return the offset of a position in its era.

    Parameters
    ----------
    position : int
        The position.

    Returns
    -------
    int
    """
    return position & ((1 << OFFSET_BITS) - 1)


def describe_position(position):
    """Return a position as it is logged, ``ERA:OFFSET``.

    Parameters
    ----------
    position : int or None
        The position.

    Returns
    -------
    str or None
    """
    if position is None:
        return None
    return f"{era_of(position)}:{offset_of(position)}"
