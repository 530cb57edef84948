"""Members and their states, as one instance sees them."""

import enum
from typing import NamedTuple

__all__ = ["Member", "MemberState", "TargetState", "is_newer_boot"]


class MemberState(enum.StrEnum):
    """State of an instance, as observed by another one."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


class TargetState(enum.StrEnum):
    """State of a target, according to the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"
    ABSENT = "absent"
    UNKNOWN = "unknown"


class Member(NamedTuple):
    """One instance.

    Attributes
    ----------
    instance : str
        Its id.
    boot : str
        Id of its current run; empty if it is listed but was never seen.
    address : str
        ``IP:PORT`` of its peer interface.
    data_centre : str
        Its data centre.
    state : MemberState
        State as observed by this instance.
    last_seen_at : float or None
        Latest time at which it was certainly alive, in seconds of this instance's
        clock; None if it was never seen.
    """

    instance: str
    boot: str
    address: str
    data_centre: str
    state: MemberState
    last_seen_at: float | None


def is_newer_boot(boot, other):
    """Return whether one run of an instance started after another.

    Parameters
    ----------
    boot, other : str
        Boot ids. They begin with the wall-clock start time in milliseconds, as a
        hexadecimal number, and a hyphen.

    Returns
    -------
    bool
        An empty id is older than any other.

    Examples
    --------
    >>> is_newer_boot("1a-ffff", "9-0000")
    True
    """
    return _boot_key(boot) > _boot_key(other)


def _boot_key(boot):
    if not boot:
        return (-1, "")
    started, _, rest = boot.partition("-")
    return (int(started, 16), rest)
