"""Formats the results of published changes."""

from skylarkpost.cli.exit_codes import ExitCode
from skylarkpost.cli.history import describe_verdict
from skylarkpost.cli.session import NotPublished, OutcomeUnknown
from skylarkpost.config.verdicts import Accepted

__all__ = ["exit_code_for", "result_content", "result_line"]


def describe_outcome(outcome):
    """Return an outcome as a status word and details.

    Parameters
    ----------
    outcome : Verdict or NotPublished or OutcomeUnknown
        Outcome of one change.

    Returns
    -------
    str
        Status word.
    str
        Details.
    """
    if isinstance(outcome, NotPublished):
        return "not-published", outcome.detail
    if isinstance(outcome, OutcomeUnknown):
        return "unknown", outcome.detail
    return describe_verdict(outcome)


def result_content(result):
    """Return the result of one change as a dict for JSON output."""
    status, detail = describe_outcome(result.outcome)
    content = {
        "kind": result.record["kind"],
        "name": result.record["name"],
        "change_id": result.record["change_id"],
        "status": status,
        "detail": detail,
    }
    if isinstance(result.outcome, Accepted):
        content["version"] = result.outcome.version
    return content


def result_line(result):
    """Return the result of one change as a line of text."""
    status, detail = describe_outcome(result.outcome)
    return f"{status}: {result.record['kind']} {result.record['name']} ({detail})"


def exit_code_for(results):
    """Return the exit code of a command that published changes.

    Parameters
    ----------
    results : list of ChangeResult
        Results of all changes.

    Returns
    -------
    ExitCode
        An unknown outcome takes precedence over an unpublished change, and that
        over a refused one.
    """
    outcomes = [result.outcome for result in results]
    if any(isinstance(outcome, OutcomeUnknown) for outcome in outcomes):
        return ExitCode.UNKNOWN
    if any(isinstance(outcome, NotPublished) for outcome in outcomes):
        return ExitCode.UNAVAILABLE
    if all(isinstance(outcome, Accepted) for outcome in outcomes):
        return ExitCode.OK
    return ExitCode.REFUSED
