"""What a target says of itself."""

import enum
from typing import NamedTuple

__all__ = ["LoadedModel", "TargetEntry", "TargetState"]


class TargetState(enum.StrEnum):
    """Whether a target takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class LoadedModel(NamedTuple):
    """A base model in a target's memory.

    Attributes
    ----------
    name : str
        The base model.
    version : int
        Of its weights.
    adapters : dict of str to int
        Versions of the adapters that it holds, by adapter.
    """

    name: str
    version: int
    adapters: dict[str, int]


class TargetEntry(NamedTuple):
    """One target.

    Attributes
    ----------
    name : str
        Its id; a restarted target may have the same.
    service : str
        Its pool.
    address : str
        ``IP:PORT``. Another target may have it later.
    data_centre : str
        Where it runs.
    slots : int
        Requests that it runs at once.
    state : TargetState
        Whether it takes new work.
    started_at_ms : int
        Start of this run, in milliseconds since the Unix epoch.
    orders_accepted : int
        Orders that this run has accepted so far.
    models : tuple of LoadedModel
        What it holds; empty for a plain service.
    remaining_time : float or None
        Seconds that it has left, if it was given notice.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    state: TargetState
    started_at_ms: int
    orders_accepted: int
    models: tuple[LoadedModel, ...]
    remaining_time: float | None

    @property
    def boot(self):
        """Id of this run of the target."""
        return f"{self.name}/{self.started_at_ms}"
