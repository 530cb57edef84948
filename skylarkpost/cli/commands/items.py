"""The commands ``get`` and ``list``."""

from dataclasses import dataclass
from typing import Annotated, Literal

import cappa
import msgspec

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.options import CommandFailed, LogOptions
from skylarkpost.cli.output import align
from skylarkpost.config.kinds import item_body

__all__ = ["GetCommand", "ListCommand"]

KindName = Literal["profile", "key", "team", "route", "target"]


@cappa.command(name="get", help="Show one item.")
@dataclass(kw_only=True)
class GetCommand(LogOptions):
    """Show one item of the configuration."""

    kind: Annotated[KindName, cappa.Arg(help="Kind of item.")]
    name: Annotated[str, cappa.Arg(help="Its name; for a key its hash.")]

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        async with self.open_session(output) as session:
            content = describe_item(session.store, self.kind, self.name)
        if content is None:
            message = f"there is no {self.kind} {self.name!r}"
            raise CommandFailed(ExitCode.REFUSED, message)
        lines = [
            f"{field} = {_format_value(value)}" for field, value in content.items()
        ]
        output.result(content, lines)
        return ExitCode.OK


@cappa.command(name="list", help="List all items of a kind.")
@dataclass(kw_only=True)
class ListCommand(LogOptions):
    """List all items of a kind."""

    kind: Annotated[KindName, cappa.Arg(help="Kind of items.")]

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        async with self.open_session(output) as session:
            store = session.store
            names = sorted(store.tables[self.kind].names())
            found = [describe_item(store, self.kind, name) for name in names]
        items = [content for content in found if content is not None]
        output.result(items, self._lines(items))
        return ExitCode.OK

    def _lines(self, items):
        if not items:
            return [f"no {self.kind}s"]
        rows = [[field for field in items[0] if field != "item"]]
        for content in items:
            rows.append([_format_value(content[field]) for field in rows[0]])
        return align(rows)


def describe_item(store, kind, name):
    """Return an item's content and version for output.

    Parameters
    ----------
    store : skylarkpost.config.ConfigStore
        The configuration.
    kind, name : str
        The item.

    Returns
    -------
    dict or None
        None if there is no such item. A withdrawn key that the store still
        records is included, with ``withdrawn`` set.
    """
    item = store.key(name) if kind == "key" else store.item(kind, name)
    if item is None:
        return None
    content = {"item": kind, "name": name}
    content["config_version"] = store.version(kind, name)
    content |= item_body(kind, item)
    if kind == "key":
        content["withdrawn"] = item.withdrawn
    return content


def _format_value(value):
    if isinstance(value, str):
        return value or "-"
    return msgspec.json.encode(value).decode()
