"""Registry of the kinds of items, with the schema of their content."""

from collections.abc import Callable
from typing import Annotated, Any, Literal, NamedTuple, NotRequired, TypedDict

import msgspec
from msgspec import Meta

from skylarkpost.config.items import Key, Profile, Route, Target, Team

__all__ = ["KINDS", "Kind", "build_item", "check_body", "item_body", "register_kind"]

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
    item : type
        The `NamedTuple` of the item: its name, the fields of its content, and
        what `tail` adds.
    fields : tuple of str
        Names of the fields of its content.
    defaults : dict of str to object
        Values of the fields that may be left out.
    tail : callable
        Returns the item's last values for a version.
    values_type : type
        Tuple type of the values of the fields.
    decoder : msgspec.msgpack.Decoder
        Decoder of the values, or None for a tombstone.
    """

    name: str
    body: type
    item: type
    fields: tuple[str, ...]
    defaults: dict[str, Any]
    tail: Callable
    values_type: type
    decoder: msgspec.msgpack.Decoder

    def restore(self, name, version, values):
        """Return an item of this kind from the values of its fields."""
        return self.item._make((name, *values, *self.tail(version)))


def register_kind(name, *, item, defaults, tail=lambda version: ()):
    """Register a kind of item.

    Parameters
    ----------
    name : str
        Name in records and on the command line.
    item : type
        The `NamedTuple` of the item.
    defaults : dict of str to object
        Values of the fields that may be left out.
    tail : callable
        Returns the item's last values for a version.

    Returns
    -------
    callable
        Decorator for the `TypedDict` of the content.
    """

    def decorate(body):
        assert name not in KINDS, f"kind {name} is registered twice"
        fields = tuple(body.__annotations__)
        assert item._fields[1 : 1 + len(fields)] == fields, f"fields of {name} differ"
        values = tuple[tuple(item.__annotations__[field] for field in fields)]
        decoder = msgspec.msgpack.Decoder(values | None)
        KINDS[name] = Kind(name, body, item, fields, defaults, tail, values, decoder)
        return body

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
    unknown = sorted(set(body) - set(KINDS[kind].fields))
    if unknown:
        raise msgspec.ValidationError(f"unknown field {unknown[0]!r} in a {kind}")
    return msgspec.convert(body, KINDS[kind].body)


def build_item(kind, name, version, body):
    """Build an item.

    Parameters
    ----------
    kind, name : str
        Kind and name of the item.
    version : int
        Its version.
    body : dict
        Its checked content.

    Returns
    -------
    Profile or Key or Team or Route or Target
    """
    definition = KINDS[kind]
    full = definition.defaults | body
    values = [full[field] for field in definition.fields]
    values = msgspec.convert(values, definition.values_type)
    return definition.restore(name, version, values)


def item_body(kind, item, *, with_defaults=True):
    """Return the content of an item.

    Parameters
    ----------
    kind : str
        A registered kind.
    item : NamedTuple
        An item of that kind.
    with_defaults : bool
        Whether to include fields that have their default value.

    Returns
    -------
    dict
    """
    definition = KINDS[kind]
    body = {field: getattr(item, field) for field in definition.fields}
    if with_defaults:
        return body
    defaults = definition.defaults
    return {f: v for f, v in body.items() if f not in defaults or defaults[f] != v}


@register_kind(
    "profile",
    item=Profile,
    defaults={"adapter": "", "version": "", "urgency": 5},
    tail=lambda version: (version,),
)
class ProfileBody(TypedDict):
    """Content of a profile."""

    base_model: Name
    adapter: NotRequired[OptionalName]
    version: NotRequired[OptionalName]
    teams: list[Name]
    urgency: NotRequired[Annotated[int, Meta(ge=0, le=9)]]


@register_kind("key", item=Key, defaults={"label": ""}, tail=lambda version: (False,))
class KeyBody(TypedDict):
    """Content of a key; its name is the hash."""

    team: Name
    label: NotRequired[Annotated[str, Meta(max_length=200)]]


@register_kind("team", item=Team, defaults={"weight": 1.0})
class TeamBody(TypedDict):
    """Content of a team."""

    rate: Positive
    burst: Positive
    weight: NotRequired[Positive]


@register_kind(
    "route",
    item=Route,
    defaults={"repeatable": False, "open": False, "methods": ("GET", "POST")},
)
class RouteBody(TypedDict):
    """Content of a route."""

    pool: Name
    repeatable: NotRequired[bool]
    open: NotRequired[bool]
    methods: NotRequired[list[Method]]


@register_kind(
    "target",
    item=Target,
    defaults={"fencing": False, "slots": 0, "batch_limit": 1},
)
class TargetBody(TypedDict):
    """Content of a target."""

    kind: Literal["engine", "service"]
    pool: Name
    address: Address
    data_centre: Name
    fencing: NotRequired[bool]
    slots: NotRequired[Annotated[int, Meta(ge=0, le=100_000)]]
    batch_limit: NotRequired[Annotated[int, Meta(ge=1, le=100_000)]]
