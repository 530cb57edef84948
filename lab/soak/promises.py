"""What callers and targets of the soak must and must not see."""

import collections
from typing import NamedTuple

__all__ = [
    "PROBE_PREFIX",
    "Attempt",
    "Violation",
    "check_attempts",
    "check_orders",
    "check_shutdowns",
]

# They say that a request has not run, and never will.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
# Two stewards of one target keep this pause, less what a slow link may shorten.
STEWARD_PAUSE_S = 3.0 - 0.3
TEAM = "depot"
# Begins the ids of requests that only ask which version is in force.
PROBE_PREFIX = "probe-"


class Violation(NamedTuple):
    """A broken promise.

    Attributes
    ----------
    promise : str
        Its short name.
    detail : str
        What was seen.
    """

    promise: str
    detail: str


class Attempt(NamedTuple):
    """One request of a caller, and how it ended.

    Attributes
    ----------
    attempt_id, kind : str
        Id, and kind of route.
    instance : int
        Gateway that it was sent to.
    body : bytes
        What was sent.
    status : int or None
        None without an answer.
    is_complete : bool
        Whether the answer ended in order.
    received : bytes
        Of the answer's body.
    expected : bytes
        A whole body, after the name of the target where it leads.
    """

    attempt_id: str
    kind: str
    instance: int
    body: bytes
    status: int | None
    is_complete: bool
    received: bytes
    expected: bytes


def check_attempts(attempts, targets):
    """Compare what callers got with what targets ran.

    Parameters
    ----------
    attempts : list of Attempt
        All that have ended.
    targets : list of standins.gateway_target.GatewayTargetStandIn
        With all that they ran.

    Returns
    -------
    list of Violation
    """
    runs = collections.defaultdict(list)
    for target in targets:
        for request in target.executed:
            runs[request.headers.get("x-attempt-id")].append(request)
    found = []
    for attempt in attempts:
        found += _check_attempt(attempt, runs.pop(attempt.attempt_id, []))
    for attempt_id in runs:
        if attempt_id is not None and attempt_id.startswith(PROBE_PREFIX):
            continue
        found.append(Violation("only what callers sent runs", str(attempt_id)))
    return found


def _check_attempt(attempt, runs):
    name = f"{attempt.kind} {attempt.attempt_id}"
    is_repeatable = attempt.kind in ("safe", "resumable")
    if len(runs) > 1 and not is_repeatable:
        yield Violation("runs at most once", f"{name} ran {len(runs)} times")
    if runs and attempt.status in NOT_EXECUTED_STATUSES and not is_repeatable:
        yield Violation("a refusal has not run", f"{name} got {attempt.status}")
    for request in runs:
        if "authorization" in request.headers:
            yield Violation("no target sees a key", name)
        if request.headers.get("x-tenant") != TEAM:
            yield Violation("runs for the key's team", name)
        if request.body != attempt.body:
            yield Violation("requests arrive unchanged", name)
    if attempt.status == 200:
        yield from _check_body(attempt, name)


def _check_body(attempt, name):
    received = attempt.received
    if attempt.kind in ("safe", "unsafe"):
        received = received.partition(b":")[2] if attempt.is_complete else b""
    if attempt.is_complete and received != attempt.expected:
        yield Violation("whole answers only", f"{name} got {received[:80]!r}")
    if not attempt.expected.startswith(received):
        yield Violation("no event twice or missing", f"{name} got {received[-80:]!r}")


def check_shutdowns(interrupted, logs):
    """Find requests that a gateway had read when its shutdown cut them.

    A request that crosses the close of an idle connection is none: nobody read it,
    and its caller may repeat it. Nor is one whose own deadline had passed.

    Parameters
    ----------
    interrupted : list of Attempt
        Without an orderly end, while only shutdowns were under way.
    logs : list of str
        What all gateways have logged.

    Returns
    -------
    list of Violation
    """
    lines = [line for log in logs for line in log.splitlines()]
    found = []
    for each in interrupted:
        lines_of_request = [
            line for line in lines if f"request={each.attempt_id} " in line
        ]
        has_timed_out = any("timed_out=true" in line for line in lines_of_request)
        if lines_of_request and not has_timed_out:
            detail = f"{each.kind} {each.attempt_id} {each.status}"
            found.append(Violation("a shutdown cuts no request", detail))
    return found


def check_orders(targets):
    """Check that a target had one steward at a time, and room for what it loads.

    Parameters
    ----------
    targets : list of standins.gateway_target.GatewayTargetStandIn
        With the orders that they got.

    Returns
    -------
    list of Violation
    """
    found = []
    for target in targets:
        if target.overloads:
            found.append(Violation("no engine is overloaded", target.name))
        for before, after in zip(target.orders, target.orders[1:], strict=False):
            gap = after.at - before.at
            if before.holder != after.holder and gap < STEWARD_PAUSE_S:
                detail = f"{target.name}: {before.holder}, {after.holder} {gap:.2f} s"
                found.append(Violation("one steward at a time", detail))
    return found
