import json
import random

import pytest

from skylarkpost.relay.sequence import AnswerSequence, Diverged, Dropped, Forwarded, Gap


def event(text, request="r.1"):
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    return json.dumps({"id": request, "choices": [choice]}).encode()


def accept(sequence, number, text, attempt=1, request="r.1"):
    return sequence.accept(attempt=attempt, event_id=number, data=event(text, request))


@pytest.fixture
def begun():
    sequence = AnswerSequence()
    sequence.begin_attempt()
    for number, text in enumerate("abc", start=1):
        assert isinstance(accept(sequence, number, text), Forwarded)
    return sequence


def test_a_duplicate_is_dropped_and_a_gap_requests_a_resume(begun):
    assert accept(begun, 3, "c") == Dropped(reason="duplicate")
    assert accept(begun, 5, "e") == Gap(resume_after=3)
    assert isinstance(accept(begun, 4, "d"), Forwarded)


def test_a_repeated_attempt_continues_after_the_forwarded_events(begun):
    assert begun.begin_attempt() == 2
    for number, text in enumerate("abc", start=1):
        dropped = accept(begun, number, text, attempt=2, request="r.2")
        assert dropped == Dropped(reason="replayed")
    assert isinstance(accept(begun, 4, "d", attempt=2), Forwarded)
    assert accept(begun, 4, "x", attempt=1) == Dropped(reason="late")


def test_a_repeated_attempt_with_another_answer_is_noticed(begun):
    begun.begin_attempt()
    assert accept(begun, 1, "z", attempt=2) == Diverged()


@pytest.mark.parametrize("seed", range(50))
def test_the_caller_gets_each_event_once_and_in_order(seed):
    rng = random.Random(seed)
    answer = [f"t{n}" for n in range(30)]
    sequence = AnswerSequence()
    forwarded, sent_events = [], []
    attempt = sequence.begin_attempt()
    while len(forwarded) < len(answer):
        if rng.random() < 0.05:
            attempt = sequence.begin_attempt()
        if sent_events and rng.random() < 0.2:
            event_attempt, number = rng.choice(sent_events)
        else:
            skip = rng.choice([0, 0, 0, 0, 1, -1, -2])
            number = min(len(answer), max(1, sequence.received + 1 + skip))
            event_attempt = attempt
        sent_events.append((event_attempt, number))
        verdict = accept(sequence, number, answer[number - 1], attempt=event_attempt)
        if isinstance(verdict, Forwarded):
            forwarded.append(answer[number - 1])
    assert forwarded == answer
