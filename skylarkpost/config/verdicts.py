"""Verdicts on records of the ``config`` stream."""

from dataclasses import dataclass

__all__ = [
    "Accepted",
    "Conflict",
    "Duplicate",
    "Held",
    "Invalid",
    "Restated",
    "Stale",
    "Verdict",
]


@dataclass(frozen=True, kw_only=True)
class Accepted:
    """A change that took effect.

    Parameters
    ----------
    version : int
        New version of the item.
    previous_version : int
        Previous version; 0 if the item did not exist.
    """

    version: int
    previous_version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """A change whose expected version is not the present one.

    Parameters
    ----------
    expected_version, present_version : int
        Version expected by the author, and present one; 0 means no such item.
    """

    expected_version: int
    present_version: int


@dataclass(frozen=True, kw_only=True)
class Duplicate:
    """A copy of a change that was already evaluated.

    Parameters
    ----------
    first : Accepted or Conflict or None
        Verdict on the first copy; None if that precedes the records that this
        reader has.
    """

    first: Accepted | Conflict | None


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """A record that no instance applies.

    Parameters
    ----------
    problem : str
        What is wrong with the record.
    """

    problem: str


@dataclass(frozen=True, kw_only=True)
class Restated:
    """A restatement that was applied.

    Parameters
    ----------
    confirmed, adopted, stale : int
        Number of items already known as stated, of new ones, and of ones whose
        stated version is outdated.
    """

    confirmed: int = 0
    adopted: int = 0
    stale: int = 0


@dataclass(frozen=True, kw_only=True)
class Stale:
    """A record at an offset that was already applied; it has no effect."""


@dataclass(frozen=True, kw_only=True)
class Held:
    """A change held back until the history has been read to its end."""


Verdict = Accepted | Conflict | Duplicate | Invalid | Restated | Stale | Held
