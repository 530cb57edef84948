import random

import pytest

from skylarkpost.outcomes import Reason, RunState
from skylarkpost.relay import RetryBudget
from skylarkpost.relay.attempts import (
    MAX_ATTEMPTS,
    AttemptFailed,
    AttemptLedger,
    GiveUp,
    Retry,
)


def make_ledger(*, repeatable=True, reserve=100.0):
    budget = RetryBudget(ratio=0.1, reserve=reserve)
    return AttemptLedger(repeatable=repeatable, budget=budget)


def fail(ledger, *, may_have_run, now=0.0):
    ledger.begin()
    failure = AttemptFailed(
        reason=Reason.TARGET_FAILED, detail="x", may_have_run=may_have_run
    )
    return ledger.record_failure(failure, target="t", now=now, deadline=10.0)


def test_an_unrepeatable_request_is_not_retried_once_it_may_have_run():
    ledger = make_ledger(repeatable=False)
    assert isinstance(fail(ledger, may_have_run=False), Retry)
    given_up = fail(ledger, may_have_run=True)
    assert given_up.refusal.run_state is RunState.UNKNOWN
    with pytest.raises(AssertionError):
        ledger.begin()


def test_attempts_deadline_and_budget_limit_retries():
    ledger = make_ledger()
    verdicts = [fail(ledger, may_have_run=False) for _ in range(MAX_ATTEMPTS)]
    assert isinstance(verdicts[-1], GiveUp)
    assert isinstance(fail(make_ledger(), may_have_run=False, now=10.0), GiveUp)
    assert isinstance(fail(make_ledger(reserve=0.0), may_have_run=False), GiveUp)


@pytest.mark.parametrize("seed", range(30))
def test_not_run_is_reported_only_if_no_attempt_may_have_run(seed):
    rng = random.Random(seed)
    ledger = make_ledger(reserve=rng.choice([0.0, 1.0, 100.0]))
    ran = False
    for _ in range(MAX_ATTEMPTS):
        may_have_run = rng.random() < 0.3
        ran |= may_have_run
        verdict = fail(ledger, may_have_run=may_have_run)
        if isinstance(verdict, GiveUp):
            assert (verdict.refusal.run_state is RunState.NOT_RUN) == (not ran)
            break
