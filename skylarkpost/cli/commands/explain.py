"""The command ``explain``."""

from dataclasses import dataclass
from typing import Annotated
from urllib.parse import quote

import cappa

from skylarkpost.cli.admin_client import query_instances
from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.options import CommandFailed, InstanceOptions
from skylarkpost.cli.output import align

__all__ = ["ExplainCommand"]


@cappa.command(name="explain", help="Show what was decided about a request.")
@dataclass(kw_only=True)
class ExplainCommand(InstanceOptions):
    """Show every decision about one request, and what became of it."""

    request_id: Annotated[str, cappa.Arg(help="The X-Request-Id of its answer.")]

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        path = f"/admin/explain/{quote(self.request_id, safe='')}"
        answers = await query_instances(self.urls(), path)
        for answer in answers:
            if answer.content is not None:
                output.result(answer.content, explain_lines(answer))
                return ExitCode.OK
        problems = [f"{a.url}: {a.problem}" for a in answers if a.problem]
        if problems:
            raise CommandFailed(ExitCode.UNAVAILABLE, *problems)
        message = f"no instance knows request {self.request_id!r} any more"
        raise CommandFailed(ExitCode.REFUSED, message)


def explain_lines(answer):
    """Return the decisions about a request as lines of text.

    Parameters
    ----------
    answer : skylarkpost.cli.admin_client.InstanceResponse
        Response of ``/admin/explain``.

    Returns
    -------
    list of str
    """
    content = answer.content
    lines = [
        f"request {content['request_id']} on {answer.url}",
        f"team {content.get('team') or '-'}, profile {content.get('profile') or '-'},"
        f" route {content.get('route') or '-'}",
    ]
    decisions = content.get("decisions", [])
    started_at = decisions[0]["at"] if decisions else 0.0
    rows = [
        (
            f"+{1000 * (item['at'] - started_at):.0f} ms",
            item["filter"],
            item["decision"],
            str(item["detail"]),
        )
        for item in decisions
    ]
    lines += align(rows) if rows else []
    run_state = content.get("run_state")
    ending = f"outcome: {content.get('outcome')}"
    return [*lines, f"{ending} ({run_state})" if run_state else ending]
