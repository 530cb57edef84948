"""The command ``apply``."""

import pathlib
from dataclasses import dataclass
from typing import Annotated

import cappa

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.options import ChangeOptions, CommandFailed
from skylarkpost.cli.plan import FileFaults, plan_changes, read_items_file
from skylarkpost.cli.results import exit_code_for, result_content, result_line

__all__ = ["ApplyCommand"]


@cappa.command(name="apply", help="Publish profiles, teams, routes, targets.")
@dataclass(kw_only=True)
class ApplyCommand(ChangeOptions):
    """Compare a file with the configuration and publish the differences."""

    file: Annotated[pathlib.Path, cappa.Arg(help="TOML file with the items.")]
    dry_run: Annotated[
        bool, cappa.Arg(long=True, help="Show the differences; publish nothing.")
    ] = False
    prune: Annotated[
        bool,
        cappa.Arg(long=True, help="Remove items that the file's tables don't name."),
    ] = False

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        items = read_items_file(self.file)
        if isinstance(items, FileFaults):
            raise CommandFailed(ExitCode.USAGE, *items.faults)
        async with self.open_session(output) as session:
            changes = plan_changes(session.store, items, prune=self.prune)
            if not self.json or self.dry_run:
                self._show(changes, output)
            if self.dry_run or not changes:
                if self.json and not self.dry_run:
                    output.result([], [])
                return ExitCode.OK
            results = await self._publish(session, changes, output)
        output.result(
            [result_content(result) for result in results],
            [result_line(result) for result in results],
        )
        return exit_code_for(results)

    def _show(self, changes, output):
        lines = [line for change in changes for line in change.lines()]
        content = [change._asdict() for change in changes]
        output.result(content, lines or ["nothing to change"])

    async def _publish(self, session, changes, output):
        records = [
            session.make_change(
                kind=change.kind,
                name=change.name,
                expected_version=change.version,
                body=change.after,
            )
            for change in changes
        ]
        total = len(records)
        return await session.publish(
            records,
            progress=lambda done: output.progress(f"published {done} of {total}"),
        )
