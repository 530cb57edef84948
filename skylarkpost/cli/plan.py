"""What has to change so that the configuration is as a file says."""

import tomllib
from dataclasses import dataclass
from typing import Any, NamedTuple

import msgspec

from skylarkpost.config.kinds import KINDS, build_item, check_body, item_body

__all__ = ["FileFaults", "PlannedChange", "plan_changes", "read_items_file"]

PUBLISHED_SEPARATELY = ("key",)


class PlannedChange(NamedTuple):
    """One item that differs.

    Attributes
    ----------
    kind, name : str
        The item.
    version : int
        Its present version; 0 if there is none.
    before, after : dict or None
        Its content with all fields; None if it does not exist.
    """

    kind: str
    name: str
    version: int
    before: dict[str, Any] | None
    after: dict[str, Any] | None

    def lines(self):
        """Return the difference, one line for each field."""
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
    """A file that cannot be applied.

    Parameters
    ----------
    faults : list of str
        All of them.
    """

    faults: list[str]


def read_items_file(path):
    """Read a file of items.

    Parameters
    ----------
    path : str or pathlib.Path
        A TOML file with a table for each kind in the plural, e.g.
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
    """Compare a file with the present configuration.

    Parameters
    ----------
    store : skylarkpost.config.ConfigStore
        What there is.
    items : dict
        Content by kind and name, from `read_items_file`.
    prune : bool
        Whether items of the kinds in the file that it does not name go.

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
