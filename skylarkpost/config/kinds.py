"""Registry of the kinds of items, with the content that each may have."""

from collections.abc import Callable
from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

import msgspec
from msgspec import Meta

from skylarkpost.config.items import Key, Profile, Route, Target, Team

__all__ = [
    "KINDS",
    "Kind",
    "build_item",
    "check_body",
    "item_body",
    "register_kind",
]

Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$")]
OptionalName = Annotated[str, Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9._:-]{0,127})?$")]
Address = Annotated[
    str,
    Meta(pattern=r"^([0-9]{1,3}(\.[0-9]{1,3}){3}|\[[0-9a-f:.]+\]):[0-9]{1,5}$"),
]
Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
Positive = Annotated[float, Meta(gt=0.0, le=1e12)]

KINDS = {}


class Kind(NamedTuple):
    """One kind of item.

    Attributes
    ----------
    name : str
        Name of the kind.
    body : type
        The `TypedDict` of its content.
    build : callable
        Makes the item from its name, version and checked content.
    """

    name: str
    body: type
    build: Callable


def register_kind(name, *, body):
    """Register a kind of item.

    Parameters
    ----------
    name : str
        Name in records and on the command line.
    body : type
        The `TypedDict` of its content.

    Returns
    -------
    callable
        Decorator for the function that builds an item.
    """

    def decorate(build):
        assert name not in KINDS, f"kind {name} is registered twice"
        KINDS[name] = Kind(name, body, build)
        return build

    return decorate


def check_body(kind, body):
    """Check the content of an item.

    Parameters
    ----------
    kind : str
        A registered kind.
    body : dict
        The content.

    Returns
    -------
    dict
        The checked content.

    Raises
    ------
    msgspec.ValidationError
        If it is not valid for this kind.
    """
    body_type = KINDS[kind].body
    unknown = sorted(set(body) - set(body_type.__annotations__))
    if unknown:
        raise msgspec.ValidationError(f"unknown field {unknown[0]!r} in a {kind}")
    return msgspec.convert(body, body_type)


def build_item(kind, name, version, body):
    """Build an item.

    Parameters
    ----------
    kind, name : str
        Which item.
    version : int
        Its version.
    body : dict
        Its checked content.

    Returns
    -------
    Profile or Key or Team or Route or Target
    """
    return KINDS[kind].build(name, version, body)


def item_body(kind, item):
    """Return the content of an item, with all fields.

    Parameters
    ----------
    kind : str
        A registered kind.
    item : NamedTuple
        An item of it.

    Returns
    -------
    dict
    """
    return {field: getattr(item, field) for field in KINDS[kind].body.__annotations__}


class ProfileBody(TypedDict):
    """Content of a profile."""

    base_model: Name
    adapter: NotRequired[OptionalName]
    version: NotRequired[OptionalName]
    teams: list[Name]
    urgency: NotRequired[Annotated[int, Meta(ge=0, le=9)]]


class KeyBody(TypedDict):
    """Content of a key; its name is the hash."""

    team: Name
    label: NotRequired[Annotated[str, Meta(max_length=200)]]


class TeamBody(TypedDict):
    """Content of a team."""

    rate: Positive
    burst: Positive
    weight: NotRequired[Positive]


class RouteBody(TypedDict):
    """Content of a route."""

    pool: Name
    repeatable: NotRequired[bool]
    open: NotRequired[bool]
    methods: NotRequired[list[Method]]


class TargetBody(TypedDict):
    """Content of a target."""

    kind: Literal["engine", "service"]
    pool: Name
    address: Address
    data_centre: Name
    fencing: NotRequired[bool]
    slots: NotRequired[Annotated[int, Meta(ge=0, le=100_000)]]
    batch_limit: NotRequired[Annotated[int, Meta(ge=1, le=100_000)]]


@register_kind("profile", body=ProfileBody)
def _build_profile(name, version, body):
    return Profile(
        name=name,
        base_model=body["base_model"],
        adapter=body.get("adapter", ""),
        version=body.get("version", ""),
        teams=tuple(body["teams"]),
        urgency=body.get("urgency", 5),
        config_version=version,
    )


@register_kind("key", body=KeyBody)
def _build_key(name, version, body):
    return Key(name, body["team"], False, body.get("label", ""))


@register_kind("team", body=TeamBody)
def _build_team(name, version, body):
    return Team(name, body["rate"], body["burst"], body.get("weight", 1.0))


@register_kind("route", body=RouteBody)
def _build_route(name, version, body):
    methods = tuple(body.get("methods", ("GET", "POST")))
    repeatable = body.get("repeatable", False)
    return Route(name, body["pool"], repeatable, body.get("open", False), methods)


@register_kind("target", body=TargetBody)
def _build_target(name, version, body):
    return Target(
        name=name,
        kind=body["kind"],
        pool=body["pool"],
        address=body["address"],
        data_centre=body["data_centre"],
        fencing=body.get("fencing", False),
        slots=body.get("slots", 0),
        batch_limit=body.get("batch_limit", 1),
    )
