"""What operators configure: profiles, keys, teams, routes and targets."""

from typing import NamedTuple

__all__ = ["Key", "Profile", "Route", "Target", "Team"]


class Profile(NamedTuple):
    """A named choice of adapter for model requests.

    Attributes
    ----------
    name : str
        What callers send as ``model``.
    base_model : str
        The model that the adapter belongs to.
    adapter, version : str
        Adapter and version that answer; the adapter is empty for the base model.
    teams : tuple of str
        Teams that may use it.
    urgency : int
        0 (may wait) to 9 (most urgent).
    config_version : int
        Version of this item, see `skylarkpost.config.ConfigStore`.
    """

    name: str
    base_model: str
    adapter: str
    version: str
    teams: tuple[str, ...]
    urgency: int
    config_version: int


class Key(NamedTuple):
    """A caller's key, known by its hash only.

    Attributes
    ----------
    key_hash : str
        SHA-256 of the key, in hexadecimal.
    team : str
        Team that it was issued to; empty once it is withdrawn.
    label : str
        The operators' note on whose key it is.
    withdrawn : bool
        Whether it no longer works.
    """

    key_hash: str
    team: str
    label: str
    withdrawn: bool


class Team(NamedTuple):
    """A tenant with its share of the fleet.

    Attributes
    ----------
    name : str
        Name of the team.
    rate : float
        Tokens per second, over all instances together.
    burst : float
        Tokens that may be used at once.
    weight : float
        Share of a contended target, relative to the other teams.
    """

    name: str
    rate: float
    burst: float
    weight: float


class Route(NamedTuple):
    """A path to a pool of plain services.

    Attributes
    ----------
    name : str
        Calls come in under ``/services/{name}/``.
    pool : str
        The targets that answer.
    repeatable : bool
        Whether a call may run more than once.
    open : bool
        Whether it is open to callers without a key.
    methods : tuple of str
        HTTP methods allowed.
    """

    name: str
    pool: str
    repeatable: bool
    open: bool
    methods: tuple[str, ...]


class Target(NamedTuple):
    """An engine or a plain service.

    Attributes
    ----------
    name : str
        Id in the platform's instance list.
    kind : str
        ``"engine"`` or ``"service"``.
    pool : str
        The pool that it belongs to.
    address : str
        ``IP:PORT``.
    data_centre : str
        Where it runs.
    fencing : bool
        Whether it refuses orders with an old fencing number.
    slots : int
        Adapters that it holds at once; 0 for a plain service.
    batch_limit : int
        Requests that it runs at once.
    """

    name: str
    kind: str
    pool: str
    address: str
    data_centre: str
    fencing: bool
    slots: int
    batch_limit: int
