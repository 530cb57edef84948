"""Configuration items: profiles, keys, teams, routes and targets."""

from typing import NamedTuple

__all__ = ["Key", "Profile", "Route", "Target", "Team"]


class Profile(NamedTuple):
    """A named adapter selection for model requests.

    Attributes
    ----------
    name : str
        Value that callers send as ``model``.
    base_model : str
        Base model of the adapter.
    adapter, version : str
        Adapter and version to serve; the adapter is empty for the base model.
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
    """A caller's key, stored only as its hash.

    Attributes
    ----------
    key_hash : str
        SHA-256 of the key, in hexadecimal.
    team : str
        Team that it was issued to; empty once it is withdrawn.
    label : str
        The operators' note on the key's owner.
    withdrawn : bool
        Whether it was withdrawn.
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
        Name of the route; its calls have the path ``/services/{name}/``.
    pool : str
        Pool of targets that serve it.
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
        Its data centre.
    fencing : bool
        Whether it refuses orders with an outdated fencing number.
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
