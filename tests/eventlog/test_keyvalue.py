import pytest

from skylarkpost.eventlog import format_event


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
def test_values_stay_on_one_line_and_can_be_told_apart(value, written):
    assert format_event("x", {"key": value}) == f"event=x key={written}"


def test_none_is_left_out():
    assert format_event("x", {"a": None, "b": 1}) == "event=x b=1"
