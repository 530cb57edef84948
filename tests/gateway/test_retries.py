import pytest

from skylarkpost.gateway.retries import (
    AttemptFailure,
    FailureKind,
    RetryPolicy,
    may_retry,
)
from skylarkpost.gateway.services import GatewayServices
from skylarkpost.relay.retry_budget import RetryBudget
from skylarkpost.routing import RouteKind
from skylarkpost.settings.gateway import GatewaySettings

SAFE = RetryPolicy(RouteKind.SAFE, False, 2)
UNSAFE = RetryPolicy(RouteKind.UNSAFE, False, 2)
STREAM = RetryPolicy(RouteKind.STREAM, False, 2)
RESUMABLE = RetryPolicy(RouteKind.STREAM, True, 2)


def is_retried(rule, kind, *, tried=1, left=1.0, budget=None):
    return may_retry(
        rule,
        AttemptFailure(kind, ""),
        targets_tried=tried,
        time_left=left,
        budget=budget or RetryBudget(ratio=0.2, reserve=5.0),
    )


@pytest.mark.parametrize(
    ("rule", "kind", "expected"),
    [
        (SAFE, FailureKind.UNKNOWN, True),
        (SAFE, FailureKind.FAILED, True),
        (RESUMABLE, FailureKind.UNKNOWN, True),
        (UNSAFE, FailureKind.UNKNOWN, False),
        (STREAM, FailureKind.UNKNOWN, False),
        (UNSAFE, FailureKind.NOT_EXECUTED, True),
        (STREAM, FailureKind.NOT_EXECUTED, True),
        (UNSAFE, FailureKind.NOT_SENT, True),
        (SAFE, FailureKind.TIMED_OUT, False),
    ],
)
def test_only_what_may_run_twice_is_repeated_after_an_unknown_end(rule, kind, expected):
    assert is_retried(rule, kind) is expected


def test_a_request_reaches_no_more_targets_than_its_route_allows():
    assert not is_retried(SAFE, FailureKind.FAILED, tried=2)
    assert is_retried(SAFE, FailureKind.NOT_SENT, tried=2)


def test_attempts_without_a_connection_are_bounded():
    """Load pattern: all connections to the last target of a pool are in use."""
    failure = AttemptFailure(FailureKind.NOT_SENT, "")
    budget = RetryBudget(ratio=0.2, reserve=5.0)
    tries = 1
    while may_retry(
        SAFE,
        failure,
        targets_tried=0,
        time_left=1.0,
        budget=budget,
        unsent_attempts=tries,
    ):
        tries += 1
    assert tries < 10


def test_nothing_is_repeated_after_the_deadline():
    assert not is_retried(SAFE, FailureKind.NOT_SENT, left=0.0)


def test_all_targets_failing_does_not_multiply_the_load():
    """Load pattern: every target fails a fraction of its requests."""
    budget = RetryBudget(ratio=0.1, reserve=7.0)
    arrivals = 0
    for _ in range(1000):
        budget.record_first_attempt()
        arrivals += 1
        tried = 1
        while is_retried(
            SAFE._replace(max_targets=5), FailureKind.FAILED, tried=tried, budget=budget
        ):
            tried += 1
            arrivals += 1
    assert arrivals <= 1000 * 1.1 + 7


class Fleet:
    def __init__(self, size):
        self.count = size

    def size(self):
        return self.count


def test_the_retry_reserve_is_divided_among_the_fleet():
    settings = GatewaySettings.model_validate(
        {
            "instance": {
                "id": "entry-1",
                "data_centre": "yaba",
                "front_address": "127.0.0.1:1",
                "ready_address": "127.0.0.1:2",
                "peer_address": "127.0.0.1:3",
                "metrics_address": "127.0.0.1:4",
            },
            "store": {"address": "127.0.0.1:5"},
            "bounds": {"retry_slack": 56.0},
        }
    )
    services = GatewayServices(settings=settings, store=None, seed=1)
    services.controllers["fleet"] = fleet = Fleet(1)
    assert services.retry_budget("plain").balance == 28.0
    fleet.count = 4
    assert services.retry_budget("plain").balance == 7.0
    fleet.count = 2
    assert services.retry_budget("plain").balance == 7.0
    assert services.retry_budget("plain").reserve == 14.0
