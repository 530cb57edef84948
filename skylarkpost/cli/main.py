"""Entry point of the command-line tool ``skylarkpost``."""

import asyncio
import sys
from dataclasses import dataclass

import cappa

from skylarkpost import __version__
from skylarkpost.cli.commands import (
    ApplyCommand,
    AuditCommand,
    CheckSettingsCommand,
    ExplainCommand,
    GetCommand,
    KeyCommand,
    ListCommand,
    StatusCommand,
)
from skylarkpost.cli.options import CommandFailed
from skylarkpost.cli.output import Output

__all__ = ["SkylarkpostCommand", "main", "run"]


@cappa.command(name="skylarkpost", help="Operate skylarkpost.")
@dataclass(kw_only=True)
class SkylarkpostCommand:
    """Operate skylarkpost."""

    command: cappa.Subcommands[
        ApplyCommand
        | GetCommand
        | ListCommand
        | KeyCommand
        | AuditCommand
        | StatusCommand
        | ExplainCommand
        | CheckSettingsCommand
    ]


async def run(argv, *, stdout=None, stderr=None):
    """Run one command.

    Parameters
    ----------
    argv : list of str
        Arguments after the program's name.
    stdout, stderr : file
        Output files; those of the process by default.

    Returns
    -------
    ExitCode
        Result of the command. Invalid arguments exit the process with status 2.
    """
    command = cappa.parse(SkylarkpostCommand, argv=argv, version=__version__).command
    output = Output(json=command.json, stdout=stdout, stderr=stderr)
    try:
        return await command.run(output)
    except CommandFailed as failure:
        for message in failure.messages:
            output.error(message)
        return failure.code


def main():
    """Run the command given by the process's arguments, then exit."""
    sys.exit(asyncio.run(run(sys.argv[1:])))
