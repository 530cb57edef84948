"""Types of target announcements."""

import enum
from typing import NamedTuple

__all__ = ["LoadedModel", "TargetEntry", "TargetState"]


class TargetState(enum.StrEnum):
    """Whether a target accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


class LoadedModel(NamedTuple):
    """A base model that a target has loaded.

    Attributes
    ----------
    name : str
        Name of the base model.
    version : int
        Version of its weights.
    adapters : dict of str to int
        Version of each loaded adapter, by name.
    """

    name: str
    version: int
    adapters: dict[str, int]


class TargetEntry(NamedTuple):
    """Announcement of a target.

    Attributes
    ----------
    name : str
        Id of the target; a restart may keep it.
    service : str
        Pool that the target belongs to.
    address : str
        ``IP:PORT``; may be reused by another target later.
    data_centre : str
        Data centre that it runs in.
    slots : int
        Maximum number of concurrent requests.
    state : TargetState
        Whether it accepts new requests.
    started_at_ms : int
        Start of this run, in milliseconds since the Unix epoch.
    orders_accepted : int
        Number of orders that this run has accepted so far.
    models : tuple of LoadedModel
        Loaded base models; empty for a service without engines.
    remaining_time : float or None
        Seconds until it shuts down, if that was announced.
    warm_up_left : float
        Seconds until it has warmed up, when it was announced.
    software_version : str
        Version of its software, a name without order; empty if it names none.
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
    warm_up_left: float = 0.0
    software_version: str = ""

    @property
    def boot(self):
        """Id of this run of the target."""
        return f"{self.name}/{self.started_at_ms}"
