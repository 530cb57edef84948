"""What an instance knows of another one."""

import enum
from typing import NamedTuple

__all__ = ["Member", "MemberState", "TargetState", "is_newer_boot"]


class MemberState(enum.StrEnum):
    """State of an instance, as another one sees it."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"


class TargetState(enum.StrEnum):
    """State of a target, as the platform's list shows it."""

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
        Id of its run; empty if it was listed and never heard.
    address : str
        ``IP:PORT`` for peers.
    data_centre : str
        Where it runs.
    state : MemberState
        As this instance sees it.
    last_seen_at : float or None
        Latest moment at which it certainly ran, in seconds of this instance's
        clock; None if it was never heard.
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
        Boot ids; they begin with the wall clock at the start, in milliseconds,
        as a hexadecimal number, and a hyphen.

    Returns
    -------
    bool
        An empty id is older than all others.

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
