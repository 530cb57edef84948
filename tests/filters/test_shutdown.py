from types import SimpleNamespace

from skylarkpost.filters import refuse_all
from skylarkpost.outcomes import Reason, RunState


def open_request(*, dispatched, cancelled=None):
    request = SimpleNamespace(dispatched=dispatched, cancelled=cancelled)
    request.cancel = lambda refusal: setattr(request, "cancelled", refusal)
    return request


def test_what_is_open_at_the_end_of_the_grace_gets_a_true_answer():
    """Guards against requests that a stop cuts without an answer (both front ends)."""
    waiting, running = open_request(dispatched=False), open_request(dispatched=True)
    left = open_request(dispatched=True, cancelled="the caller left")
    assert refuse_all([waiting, running, left]) == 2
    assert waiting.cancelled.run_state is RunState.NOT_RUN
    assert running.cancelled.run_state is RunState.UNKNOWN
    assert running.cancelled.reason is Reason.SHUTTING_DOWN
    assert left.cancelled == "the caller left"
