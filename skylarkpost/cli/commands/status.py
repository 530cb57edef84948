"""The command ``status``."""

from dataclasses import dataclass

import cappa
import msgspec

from skylarkpost.cli.admin_client import query_instances
from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.options import InstanceOptions

__all__ = ["StatusCommand"]


@cappa.command(name="status", help="Show the state of every instance.")
@dataclass(kw_only=True)
class StatusCommand(InstanceOptions):
    """Show what each instance has applied, holds, and lacks."""

    async def run(self, output):
        """Run the command and return its `ExitCode`."""
        answers = await query_instances(self.urls(), "/admin/status")
        content = [
            {"url": answer.url, "problem": answer.problem, "status": answer.content}
            for answer in answers
        ]
        lines = [line for answer in answers for line in status_lines(answer)]
        output.result(content, lines)
        missing = any(answer.content is None for answer in answers)
        return ExitCode.UNAVAILABLE if missing else ExitCode.OK


def status_lines(answer):
    """Return the state of one instance as lines of text.

    Parameters
    ----------
    answer : skylarkpost.cli.admin_client.InstanceResponse
        Response of ``/admin/status``.

    Returns
    -------
    list of str
    """
    if answer.content is None:
        return [f"{answer.url}: {answer.problem or 'no status'}"]
    status = answer.content
    state = "leaving" if status.get("leaving") else "ready"
    if not status.get("ready") and state == "ready":
        state = "not ready"
    lines = [
        f"{status.get('instance')} in {status.get('data_centre')} ({answer.url}):"
        f" {state}, boot {status.get('boot')}"
    ]
    lines += [f"  degraded: {text}" for text in status.get("degraded", [])]
    for name, part in status.get("controllers", {}).items():
        if part:
            pairs = [f"{key}={_format_value(value)}" for key, value in part.items()]
            lines.append(f"  {name}: {' '.join(pairs)}")
    return lines


def _format_value(value):
    return value if isinstance(value, str) else msgspec.json.encode(value).decode()
