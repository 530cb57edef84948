"""Checks of the promises to callers and targets during the soak."""

import collections
from typing import NamedTuple

__all__ = [
    "PROBE_PREFIX",
    "Attempt",
    "Violation",
    "check_attempts",
    "check_orders",
    "check_shutdowns",
    "check_signals",
]

# Statuses that guarantee that the request has not run and will not run.
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}
# Minimum gap between orders of two stewards, less the delay of a slow link.
MIN_STEWARD_GAP_S = 3.0 - 0.3
TEAM = "depot"
# From an answer that says that the target leaves until its last request.
DRAIN_S = 2.0
# From a refusal that names a pause until it holds, and the requests tolerated in it.
PAUSE_GRACE_S = 0.5
TOLERATED_IN_PAUSE = 2
# Prefix of the ids of requests that only probe the active configuration version.
PROBE_PREFIX = "probe-"


class Violation(NamedTuple):
    """A broken promise.

    Attributes
    ----------
    promise : str
        Short name of the promise.
    detail : str
        Observation that breaks it.
    """

    promise: str
    detail: str


class Attempt(NamedTuple):
    """A caller's request and its outcome.

    Attributes
    ----------
    attempt_id, kind : str
        Id of the attempt, and kind of the route.
    instance : int
        Number of the gateway that it was sent to.
    body : bytes
        Request body.
    status : int or None
        HTTP status; None without an answer.
    is_complete : bool
        Whether the answer ended properly.
    received : bytes
        Received part of the answer's body.
    expected : bytes
        Complete body, without the name of the target that may precede it.
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
    """Compare the answers to callers with the requests that targets ran.

    Parameters
    ----------
    attempts : list of Attempt
        All completed attempts.
    targets : list of standins.gateway_target.GatewayTargetStandIn
        Targets with the requests that they ran.

    Returns
    -------
    list of Violation
    """
    runs = collections.defaultdict(list)
    for target in targets:
        for request in target.executed:
            runs[request.headers.get("x-attempt-id")].append(request)
    violations = []
    for attempt in attempts:
        violations += _check_attempt(attempt, runs.pop(attempt.attempt_id, []))
    for attempt_id in runs:
        if attempt_id is not None and attempt_id.startswith(PROBE_PREFIX):
            continue
        violations.append(Violation("only what callers sent runs", str(attempt_id)))
    return violations


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
    """Find requests that a gateway had read and its shutdown interrupted.

    A request that crosses the close of an idle connection does not count, since no
    gateway read it and the caller may retry it. Nor does one whose deadline passed.

    Parameters
    ----------
    interrupted : list of Attempt
        Attempts without an orderly end while only shutdowns were in progress.
    logs : list of str
        Logs of all gateways.

    Returns
    -------
    list of Violation
    """
    lines = [line for log in logs for line in log.splitlines()]
    violations = []
    for each in interrupted:
        lines_of_request = [
            line for line in lines if f"request={each.attempt_id} " in line
        ]
        has_timed_out = any("timed_out=true" in line for line in lines_of_request)
        if lines_of_request and not has_timed_out:
            detail = f"{each.kind} {each.attempt_id} {each.status}"
            violations.append(Violation("a shutdown cuts no request", detail))
    return violations


def check_orders(targets):
    """Check that each target had one steward at a time and was not overloaded.

    The fencing numbers of its orders may not go back, nor be used by two holders.

    Parameters
    ----------
    targets : list of standins.gateway_target.GatewayTargetStandIn
        Targets with the orders that they received.

    Returns
    -------
    list of Violation
    """
    violations = []
    for target in targets:
        if target.overloads:
            violations.append(Violation("no engine is overloaded", target.name))
        for before, after in zip(target.orders, target.orders[1:], strict=False):
            gap = after.at - before.at
            if before.holder != after.holder and gap < MIN_STEWARD_GAP_S:
                detail = f"{target.name}: {before.holder}, {after.holder} {gap:.2f} s"
                violations.append(Violation("one steward at a time", detail))
        violations += _check_fencing_numbers(target)
    return violations


def _check_fencing_numbers(target):
    highest, holder = -1, None
    for order in target.orders:
        is_same_holder = order.holder == holder
        is_repeated = order.fencing_number == highest and not is_same_holder
        if order.fencing_number < highest or is_repeated:
            detail = (
                f"{target.name}: {order.fencing_number} from {order.holder} after "
                f"{highest} from {holder}"
            )
            yield Violation("fencing numbers rise", detail)
        elif order.fencing_number > highest:
            highest, holder = order.fencing_number, order.holder


def check_signals(targets, attempts, *, disturbed_instances=(), disturbed_targets=()):
    """Check that targets got nothing against what they had said of themselves.

    Parameters
    ----------
    targets : list of standins.gateway_target.GatewayTargetStandIn
        Targets with the requests that they received and what they said.
    attempts : list of Attempt
        All completed attempts, which tell the instance of a request.
    disturbed_instances : collection of int
        Instances that were stopped or frozen, which may not remember.
    disturbed_targets : collection of str
        Targets whose answers may have been lost, and whose requests held up.

    Returns
    -------
    list of Violation
    """
    instance_of = {
        attempt.attempt_id: attempt.instance
        for attempt in attempts
        if attempt.instance not in disturbed_instances
    }
    violations = []
    for target in targets:
        if target.name not in disturbed_targets:
            violations += _check_leaving(target, instance_of)
            violations += _check_pauses(target, instance_of)
    return violations


def _check_leaving(target, instance_of):
    told = {}
    for signal in target.said:
        if signal.pause is None and signal.attempt_id in instance_of:
            told.setdefault((instance_of[signal.attempt_id], signal.boot), signal.at)
    for at, attempt_id, boot in target.received:
        since = told.get((instance_of.get(attempt_id), boot))
        if since is not None and at > since + DRAIN_S:
            detail = f"{target.name}: {attempt_id} {at - since:.2f} s after its word"
            yield Violation("a leaving target gets nothing new", detail)


def _check_pauses(target, instance_of):
    for signal in target.said:
        instance = instance_of.get(signal.attempt_id)
        if signal.pause is None or instance is None:
            continue
        against = [
            attempt_id
            for at, attempt_id, boot in target.received
            if boot == signal.boot
            and instance_of.get(attempt_id) == instance
            and signal.at + PAUSE_GRACE_S < at <= signal.at + signal.pause
        ]
        if len(against) > TOLERATED_IN_PAUSE:
            detail = f"{target.name}: {len(against)} requests from entry-{instance}"
            yield Violation("a pause is kept", detail)
