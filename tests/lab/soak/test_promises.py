"""Tests of the soak's promise checks."""

import pytest

from lab.soak.promises import (
    TEAM,
    Attempt,
    check_attempts,
    check_orders,
    check_shutdowns,
    check_signals,
)
from standins.gateway_target import (
    GatewayTargetStandIn,
    ReceivedOrder,
    ReceivedRequest,
    SaidSignal,
)

EVENTS = b"id: 1\n\nid: 2\n\n"


def attempt(kind="unsafe", status=200, **changes):
    body = b"booking" if kind == "unsafe" else b""
    received = b"p0:booking" if kind == "unsafe" else EVENTS
    expected = b"booking" if kind == "unsafe" else EVENTS
    made = Attempt("a-1", kind, 0, body, status, True, received, expected)
    return made._replace(**changes)


def executed(*requests):
    target = GatewayTargetStandIn(name="p0")
    for changes in requests:
        headers = {"x-attempt-id": "a-1", "x-tenant": TEAM} | changes
        target.executed.append(ReceivedRequest("POST / HTTP/1.1", headers, b"booking"))
    return [target]


def promises(attempts, targets):
    return [violation.promise for violation in check_attempts(attempts, targets)]


def test_a_proper_run_breaks_nothing():
    assert promises([attempt()], executed({})) == []
    assert promises([attempt(status=503)], executed()) == []
    interrupted = attempt("stream", received=EVENTS[:9], is_complete=False)
    assert promises([interrupted], []) == []


@pytest.mark.parametrize(
    ("attempts", "targets", "promise"),
    [
        ([attempt()], executed({}, {}), "runs at most once"),
        ([attempt(status=503)], executed({}), "a refusal has not run"),
        (
            [attempt()],
            executed({"authorization": "Bearer x"}),
            "no target sees a key",
        ),
        ([attempt()], executed({"x-tenant": "other"}), "runs for the key's team"),
        ([attempt(body=b"changed")], executed({}), "requests arrive unchanged"),
        ([], executed({}), "only what callers sent runs"),
        ([attempt(received=b"p0:other")], executed({}), "whole answers only"),
        ([attempt("stream", received=EVENTS[:9])], [], "whole answers only"),
    ],
)
def test_each_promise_is_checked(attempts, targets, promise):
    assert promise in promises(attempts, targets)


def test_an_event_that_comes_twice_is_found_in_a_stream_that_broke_too():
    twice = attempt("stream", received=b"id: 1\n\nid: 1\n\n", is_complete=False)
    assert promises([twice], []) == ["no event twice or missing"]


def test_two_stewards_without_a_pause_and_overloads_are_found():
    target = GatewayTargetStandIn(name="e0")
    target.orders = [ReceivedOrder(1.0, "a", 1), ReceivedOrder(5.0, "b", 2)]
    assert check_orders([target]) == []
    target.orders.append(ReceivedOrder(6.0, "a", 3))
    target.overloads = 1
    found = [violation.promise for violation in check_orders([target])]
    assert found == ["no engine is overloaded", "one steward at a time"]


@pytest.mark.parametrize(("holder", "number"), [("b", 7), ("a", 6)])
def test_a_fencing_number_used_twice_or_lower_is_found(holder, number):
    target = GatewayTargetStandIn(name="e0")
    target.orders = [ReceivedOrder(1.0, "a", 7), ReceivedOrder(2.0, "a", 7)]
    assert check_orders([target]) == []
    target.orders.append(ReceivedOrder(9.0, holder, number))
    [violation] = check_orders([target])
    assert violation.promise == "fencing numbers rise"


def signalling(pause, *received):
    target = GatewayTargetStandIn(name="p0")
    target.said = [SaidSignal(10.0, "a-1", "p0/1", pause)]
    target.received = [(10.0, "a-1", "p0/1"), *received]
    return target


def attempt_of(number, instance):
    return attempt(attempt_id=f"a-{number}", instance=instance)


def test_requests_against_the_word_of_a_target_are_found():
    attempts = [attempt_of(n, instance=0) for n in range(1, 6)]
    attempts.append(attempt_of(9, instance=1))
    leaving = signalling(None, (11.9, "a-2", "p0/1"), (12.5, "a-3", "p0/1"))
    [violation] = check_signals([leaving], attempts)
    assert violation.promise == "a leaving target gets nothing new"
    late = [(11.0 + number, f"a-{number}", "p0/1") for number in range(2, 5)]
    [violation] = check_signals([signalling(9.0, *late)], attempts)
    assert violation.promise == "a pause is kept"
    assert check_signals([signalling(9.0, *late[:2])], attempts) == []
    # Another instance, another run, and an instance that was restarted.
    others = [(15.0, "a-9", "p0/1"), (15.0, "a-2", "p0/2")]
    assert check_signals([signalling(None, *others)], attempts) == []
    assert check_signals([leaving], attempts, disturbed_instances={0}) == []


def test_a_request_that_was_read_may_not_be_cut_by_a_shutdown():
    # Seed 30: four requests crossed the close of idle connections and were never read.
    interrupted = [attempt("safe", status=None, is_complete=False)]
    assert (
        check_shutdowns(interrupted, ["event=attempt-sent request=a-2 target=p0"]) == []
    )
    found = check_shutdowns(interrupted, ["event=attempt-sent request=a-1 target=p0"])
    assert [each.promise for each in found] == ["a shutdown cuts no request"]
    # Seed 32: the deadline of the request passed while it waited for an engine.
    ended = "event=stream-broken request=a-1 target=e0 timed_out=true"
    assert check_shutdowns(interrupted, [ended]) == []
