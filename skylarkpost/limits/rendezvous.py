"""Choice of one instance for a name that all instances make alike."""

import hashlib

__all__ = ["choose_instance"]


def choose_instance(name, instances):
    """Choose an instance by rendezvous hashing.

    Parameters
    ----------
    name : str
        What an instance is wanted for, e.g. a team.
    instances : iterable of str
        Ids of the candidates.

    Returns
    -------
    str or None
        The id with the highest hash; None without candidates. Another
        candidate more or less moves only the names that it wins or held.

    Examples
    --------
    >>> choose_instance("depot-north", ["entry-1"])
    'entry-1'
    """
    return max(instances, key=lambda instance: _weight(name, instance), default=None)


def _weight(name, instance):
    text = f"{name}\0{instance}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), instance
