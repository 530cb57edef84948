"""Holds the operators' pages to what the code does."""

import doctest
import pathlib
import re

import pytest

from skylarkpost.outcomes import Reason
from skylarkpost.settings.reference import PAGES

ROOT = pathlib.Path(__file__).parent.parent
OPERATORS = ROOT / "docs" / "operators"
EVENT = re.compile(r'log_event\(\s*logger,\s*(f?)"([^"]+)"')


def logged_events():
    found = set()
    for path in (ROOT / "skylarkpost").rglob("*.py"):
        for formatted, name in EVENT.findall(path.read_text()):
            found.add(name.split("{")[0] if formatted else name)
    return found


@pytest.mark.parametrize("page", PAGES)
def test_the_pages_of_settings_are_the_schemas(page):
    assert (OPERATORS / page).read_text() == PAGES[page]


def test_each_event_is_described():
    text = (OPERATORS / "events.md").read_text()
    missing = [name for name in sorted(logged_events()) if f"`{name}" not in text]
    assert missing == []


@pytest.mark.parametrize("reason", list(Reason))
def test_each_refusal_is_described(reason):
    text = (OPERATORS / "refusals.md").read_text()
    assert f"| `{reason}` | {reason.status} |" in text


def test_links_between_pages_lead_somewhere():
    link = re.compile(r"\]\(([^)#:]+)")
    broken = [
        (page.name, target)
        for page in [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
        for target in link.findall(page.read_text())
        if not (page.parent / target).exists()
    ]
    assert broken == []


def test_each_test_named_by_the_promises_exists():
    text = (ROOT / "docs" / "PROMISES.md").read_text()
    named = re.findall(r"`(tests/[^`]+\.py)::(\w+)`", text)
    assert named
    missing = [
        f"{path}::{name}"
        for path, name in named
        if not re.search(
            rf"^(async )?def {name}\(", (ROOT / path).read_text(), re.MULTILINE
        )
    ]
    assert missing == []


@pytest.mark.parametrize(
    "page", sorted((ROOT / "docs").glob("*.md")), ids=lambda page: page.stem
)
def test_worked_examples_give_what_they_show(page):
    text = re.sub(r"^```.*$", "", page.read_text(), flags=re.MULTILINE)
    examples = doctest.DocTestParser().get_doctest(text, {}, page.name, str(page), 0)
    runner = doctest.DocTestRunner(optionflags=doctest.ELLIPSIS)
    failures = []
    runner.run(examples, out=failures.append)
    assert runner.failures == 0, "".join(failures)
