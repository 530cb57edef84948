"""Plans the changes that make the configuration match a file."""

import tomllib
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from skylarkpost.config.kinds import KINDS, build_item, check_body, item_body

__all__ = ["FileFaults", "PlannedChange", "plan_changes", "read_items_file"]

PUBLISHED_SEPARATELY = ("key",)


class PlannedChange(NamedTuple):
    """A planned change of one item.

    Attributes
    ----------
    kind, name : str
        The item.
    version : int
        Its current version; 0 if it does not exist.
    before, after : dict or None
        Its content with all fields before and after the change; None where it
        does not exist.
    """

    kind: str
    name: str
    version: int
    before: dict[str, Any] | None
    after: dict[str, Any] | None

    def lines(self):
        """Return the difference as text, with one line per changed field."""
        if self.before is None:
            return [f"+ {self.kind} {self.name}: {_format_fields(self.after)}"]
        if self.after is None:
            return [f"- {self.kind} {self.name}: {_format_fields(self.before)}"]
        changed = [
            f"    {field}: {_format_value(self.before[field])} -> {_format_value(value)}"
            for field, value in self.after.items()
            if self.before[field] != value
        ]
        return [f"~ {self.kind} {self.name} (version {self.version})", *changed]


@dataclass(frozen=True, kw_only=True)
class FileFaults:
    """Faults because of which a file cannot be applied.

    Parameters
    ----------
    faults : list of str
        One message per fault.
    """

    faults: list[str]


def read_items_file(path):
    """Read and validate a file of items.

    Parameters
    ----------
    path : str or pathlib.Path
        TOML file with one table per kind, named in the plural, e.g.
        ``[profiles.plan]``.

    Returns
    -------
    dict or FileFaults
        Content by kind and name.
    """
    try:
        with open(path, "rb") as file:
            tables = tomllib.load(file)
    except OSError as error:
        return FileFaults(faults=[f"{path}: cannot be read: {error.strerror}"])
    except tomllib.TOMLDecodeError as error:
        return FileFaults(faults=[f"{path}: is not TOML: {error}"])
    plurals = {f"{kind}s": kind for kind in KINDS if kind not in PUBLISHED_SEPARATELY}
    items, faults = {}, []
    for plural, table in tables.items():
        kind = plurals.get(plural)
        if kind is None or not isinstance(table, dict):
            allowed = ", ".join(sorted(plurals))
            faults.append(f"{path}: {plural}: is not one of the tables {allowed}")
            continue
        items[kind] = _read_items(path, kind, table, faults)
    return FileFaults(faults=faults) if faults else items


def plan_changes(store, items, *, prune):
    """Compare the items of a file with the current configuration.

    Parameters
    ----------
    store : skylarkpost.config.ConfigStore
        The current configuration.
    items : dict
        Content by kind and name, from `read_items_file`.
    prune : bool
        Whether to remove items that the file does not name, of the kinds that it
        contains.

    Returns
    -------
    list of PlannedChange
    """
    changes = []
    for kind, desired in items.items():
        for name, after in desired.items():
            before = _current_body(store, kind, name)
            if before != after:
                version = store.version(kind, name)
                changes.append(PlannedChange(kind, name, version, before, after))
        if prune:
            changes += _plan_removals(store, kind, desired)
    return changes


def _plan_removals(store, kind, desired):
    for name in sorted(store.tables[kind].names()):
        before = _current_body(store, kind, name)
        if before is not None and name not in desired:
            yield PlannedChange(kind, name, store.version(kind, name), before, None)


def _current_body(store, kind, name):
    item = store.item(kind, name)
    return None if item is None else _normalize_body(item_body(kind, item))


def _read_items(path, kind, table, faults):
    items = {}
    for name, body in table.items():
        try:
            checked = check_body(kind, msgspec.convert(body, dict))
        except msgspec.ValidationError as error:
            faults.append(f"{path}: {kind}s.{name}: {error}")
            continue
        item = build_item(kind, name, 0, checked)
        items[name] = _normalize_body(item_body(kind, item))
    return items


def _normalize_body(body):
    return {
        field: list(value) if isinstance(value, tuple) else value
        for field, value in body.items()
    }


def _format_fields(body):
    return ", ".join(f"{field}={_format_value(value)}" for field, value in body.items())


def _format_value(value):
    return msgspec.json.encode(value).decode()
