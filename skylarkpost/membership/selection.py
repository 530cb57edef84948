"""Chooses with which members of other data centres heartbeats are exchanged."""

import hashlib

__all__ = ["choose", "rank"]


def rank(chooser, candidate, salt=""):
    """Return the rank of a candidate (rendezvous hashing).

    Parameters
    ----------
    chooser, candidate : str
        Ids of instances.
    salt : str
        Another one gives another order.

    Returns
    -------
    bytes
        The highest rank is chosen first.
    """
    text = f"{chooser}\n{candidate}\n{salt}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


def choose(chooser, candidates, count, salt=""):
    """Return the best candidates of one chooser.

    Parameters
    ----------
    chooser : str
        Id of the instance that chooses.
    candidates : iterable of str
        Ids of instances.
    count : int
        How many to choose.
    salt : str
        Another one gives another choice.

    Returns
    -------
    list of str
        Best first. A candidate more or less changes one choice at most.
    """
    ranked = sorted(candidates, key=lambda c: rank(chooser, c, salt), reverse=True)
    return ranked[:count]
