import logging
import sys

import pytest

from skylarkpost.eventlog import format_event
from skylarkpost.eventlog.keyvalue import KeyValueFormatter


@pytest.mark.parametrize(
    ("value", "written"),
    [
        ("plain", "plain"),
        ("two words", '"two words"'),
        ('say "no"', '"say \\"no\\""'),
        ("line\nbreak", '"line\\nbreak"'),
        ("", '""'),
        (True, "true"),
        (0.25, "0.25"),
    ],
)
def test_values_stay_on_one_line_and_are_unambiguous(value, written):
    assert format_event("x", {"key": value}) == f"event=x key={written}"


def test_none_is_left_out():
    assert format_event("x", {"a": None, "b": 1}) == "event=x b=1"


def test_messages_and_traces_of_libraries_become_one_line():
    try:
        raise OSError("no route")
    except OSError:
        info = sys.exc_info()
    record = logging.LogRecord("lib", logging.ERROR, "", 0, "went\nwrong", (), info)
    line = KeyValueFormatter(instance="entry-1").format(record)
    assert "\n" not in line
    assert 'event=library-message logger=lib message="went\\nwrong"' in line
    assert "no route" in line
