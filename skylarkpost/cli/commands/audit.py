"""The command ``audit``."""

import datetime
from dataclasses import dataclass
from typing import Annotated

import cappa

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.history import describe_verdict
from skylarkpost.cli.options import LogOptions

__all__ = ["AuditCommand"]


@cappa.command(name="audit", help="Show who changed what, when and why.")
@dataclass(kw_only=True)
class AuditCommand(LogOptions):
    """Show all changes that the log still keeps, with the verdict on each."""

    kind: Annotated[
        str | None, cappa.Arg(long=True, help="Only items of this kind.")
    ] = None
    name: Annotated[
        str | None, cappa.Arg(long=True, help="Only the item of this name.")
    ] = None

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        async with self.open_session(output) as session:
            entries = list(session.history.entries.values())
        shown = [entry for entry in entries if self._matches(entry.record)]
        output.result(
            [audit_content(entry) for entry in shown],
            [line for entry in shown for line in audit_lines(entry)]
            or ["no changes on the log"],
        )
        return ExitCode.OK

    def _matches(self, record):
        kind_matches = self.kind is None or record.get("kind") == self.kind
        return kind_matches and (self.name is None or record.get("name") == self.name)


def audit_content(entry):
    """Return one entry as a dict for JSON output.

    Parameters
    ----------
    entry : skylarkpost.cli.history.AuditEntry
        A change and its verdict.

    Returns
    -------
    dict
    """
    status, detail = describe_verdict(entry.verdict)
    record = entry.record
    return {
        "offset": entry.offset,
        "time": _timestamp(entry.time),
        "author": record.get("author"),
        "reason": record.get("reason"),
        "kind": record.get("kind"),
        "name": record.get("name"),
        "change_id": record.get("change_id"),
        "expected_version": record.get("expected_version"),
        "body": record.get("body"),
        "verdict": status,
        "detail": detail,
    }


def audit_lines(entry):
    """Return one entry as two lines of text.

    Parameters
    ----------
    entry : skylarkpost.cli.history.AuditEntry
        A change and its verdict.

    Returns
    -------
    list of str
    """
    content = audit_content(entry)
    action = "removes" if content["body"] is None else "sets"
    what = f"{content['author']} {action} {content['kind']} {content['name']}"
    verdict = f"{content['verdict']} ({content['detail']})"
    reason = content["reason"] or "no reason given"
    return [
        f"{content['time']} #{entry.offset} {what}: {verdict}",
        f"    reason: {reason}",
    ]


def _timestamp(seconds):
    moment = datetime.datetime.fromtimestamp(seconds, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")
