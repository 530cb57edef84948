"""What became of one record of the ``config`` stream."""

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
        Version of the item from now on.
    previous_version : int
        Version that it had; 0 if there was none.
    """

    version: int
    previous_version: int


@dataclass(frozen=True, kw_only=True)
class Conflict:
    """A change that expected another version than the present one.

    Parameters
    ----------
    expected_version, present_version : int
        What the author expected, and what there is; 0 means no such item.
    """

    expected_version: int
    present_version: int


@dataclass(frozen=True, kw_only=True)
class Duplicate:
    """Another copy of a change that was judged before.

    Parameters
    ----------
    first : Accepted or Conflict or None
        The verdict on the first copy; None if that was before this reader's
        history.
    """

    first: Accepted | Conflict | None


@dataclass(frozen=True, kw_only=True)
class Invalid:
    """A record that no instance applies.

    Parameters
    ----------
    problem : str
        What is wrong with it.
    """

    problem: str


@dataclass(frozen=True, kw_only=True)
class Restated:
    """A restatement.

    Parameters
    ----------
    confirmed, adopted, stale : int
        Items that are known as stated, that were not known before, and that
        were stated as they no longer are.
    """

    confirmed: int = 0
    adopted: int = 0
    stale: int = 0


@dataclass(frozen=True, kw_only=True)
class Stale:
    """A record that is older than what is known; it changes nothing."""


@dataclass(frozen=True, kw_only=True)
class Held:
    """A change that is judged when the history has been read to its end."""


Verdict = Accepted | Conflict | Duplicate | Invalid | Restated | Stale | Held
