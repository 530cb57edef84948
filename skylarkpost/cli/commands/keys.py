"""The commands ``key issue`` and ``key withdraw``."""

import re
import sys
from dataclasses import dataclass
from typing import Annotated

import cappa

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.options import ChangeOptions, CommandFailed
from skylarkpost.cli.results import exit_code_for, result_content, result_line
from skylarkpost.config.keys import hash_key, make_key

__all__ = ["KeyCommand"]

HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
MIN_HASH_PREFIX = 8


@cappa.command(name="issue", help="Issue a key and print it once.")
@dataclass(kw_only=True)
class IssueCommand(ChangeOptions):
    """Issue a key; only its hash is published."""

    team: Annotated[str, cappa.Arg(long=True, help="Team that the key is for.")]
    label: Annotated[
        str, cappa.Arg(long=True, help="Whose key it is, for operators.")
    ] = ""

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        key = make_key()
        key_hash = hash_key(key)
        async with self.open_session(output) as session:
            if session.store.team(self.team) is None:
                message = f"there is no team {self.team!r}"
                raise CommandFailed(ExitCode.REFUSED, message)
            record = session.make_change(
                kind="key",
                name=key_hash,
                expected_version=0,
                body={"team": self.team, "label": self.label},
            )
            (result,) = await session.publish([record])
        code = exit_code_for([result])
        content = result_content(result)
        if code == ExitCode.OK:
            content["key"] = key
            output.result(content, [f"key:  {key}", f"hash: {key_hash}"])
        else:
            output.result(content, [result_line(result)])
        return code


@cappa.command(name="withdraw", help="Withdraw a key; it stops within seconds.")
@dataclass(kw_only=True)
class WithdrawCommand(ChangeOptions):
    """Withdraw a key, whoever else has changed it."""

    key_hash: Annotated[
        str,
        cappa.Arg(
            help="Hash of the key or its first characters; - reads the key itself"
            " from standard input."
        ),
    ]

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        hash_or_prefix = self.key_hash
        if hash_or_prefix == "-":
            hash_or_prefix = hash_key(sys.stdin.readline().strip())
        async with self.open_session(output) as session:
            record = session.make_change(
                kind="key",
                name=_find_hash(session.store, hash_or_prefix),
                expected_version=None,
                body=None,
            )
            (result,) = await session.publish([record])
        output.result(result_content(result), [result_line(result)])
        return exit_code_for([result])


@cappa.command(name="key", help="Issue and withdraw keys.")
@dataclass(kw_only=True)
class KeyCommand:
    """Issue and withdraw keys."""

    command: cappa.Subcommands[IssueCommand | WithdrawCommand]

    @property
    def json(self):
        """Whether the output is JSON."""
        return self.command.json

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        return await self.command.run(output)


def _find_hash(store, hash_or_prefix):
    if HASH_PATTERN.fullmatch(hash_or_prefix):
        return hash_or_prefix
    if len(hash_or_prefix) < MIN_HASH_PREFIX:
        message = f"give at least {MIN_HASH_PREFIX} characters of the hash"
        raise CommandFailed(ExitCode.USAGE, message)
    names = store.tables["key"].names()
    found = [name for name in names if name.startswith(hash_or_prefix)]
    if len(found) != 1:
        message = f"{len(found)} keys have a hash that begins with {hash_or_prefix!r}"
        raise CommandFailed(ExitCode.REFUSED, message)
    return found[0]
