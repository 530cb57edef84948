"""Pauses that targets ask for, read and kept."""

import pytest

from skylarkpost.placement.target_pauses import (
    MAX_PAUSE_S,
    MAX_PAUSED,
    TargetPauses,
    parse_pause,
)

MONDAY = 1_750_000_000.0


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("2", 2.0),
        (" 0.25 ", 0.25),
        (".5", 0.5),
        ("0", 0.0),
        ("9" * 400, MAX_PAUSE_S),
        ("Sun, 15 Jun 2025 15:06:50 GMT", 10.0),
        ("Sun, 15 Jun 2025 15:06:30 GMT", 0.0),
        ("Sun, 15 Jun 2098 15:06:30 GMT", MAX_PAUSE_S),
        ("-1", None),
        ("1e3", None),
        ("nan", None),
        ("inf", None),
        ("soon", None),
        ("", None),
        ("Sun, 99 Jun 2025 25:61:61 GMT", None),
        ("Sun, 15 Jun 99999 15:06:30 GMT", None),
        ("\xff\xfe", None),
    ],
)
def test_seconds_and_dates_are_read_and_nothing_else(text, seconds):
    assert parse_pause(text, MONDAY) == seconds


def test_a_pause_ends_when_it_said():
    pauses = TargetPauses()
    assert pauses.note_refusal("e0/1", "2", 10.0, wall_now=MONDAY) == 2.0
    assert pauses.left("e0/1", 11.5) == 0.5
    assert pauses.left("e0/1", 12.0) == 0.0
    assert pauses.left("e0/2", 10.0) == 0.0


def test_a_shorter_pause_does_not_end_a_longer_one():
    pauses = TargetPauses()
    pauses.note_refusal("e0/1", "5", 10.0, wall_now=MONDAY)
    pauses.note_refusal("e0/1", "1", 11.0, wall_now=MONDAY)
    assert pauses.left("e0/1", 11.0) == 4.0


@pytest.mark.parametrize("text", ["-3", "soon", "9" * 50])
def test_an_odd_value_is_logged(text, caplog):
    with caplog.at_level("WARNING"):
        TargetPauses().note_refusal("e0/1", text, 10.0, wall_now=MONDAY)
    assert "target-pause-odd" in caplog.text


def test_the_number_of_pauses_is_bounded():
    pauses = TargetPauses()
    for number in range(MAX_PAUSED + 50):
        pauses.note_refusal(f"e{number}/1", "9", float(number) / 1e6, wall_now=MONDAY)
    assert len(pauses.until) == MAX_PAUSED
    assert pauses.left(f"e{MAX_PAUSED + 49}/1", 1.0)
