"""Start of a gateway's process."""

import os
import pathlib
import re
import subprocess
import sys

import pytest

from skylarkpost.gateway import run as gateway_run
from skylarkpost.runtime import EXIT_BAD_SETTINGS

pytestmark = pytest.mark.processes

OTHER_FRONT_END = """
import sys
from skylarkpost.gateway.run import import_parts
import_parts()
unwanted = ("skylarkpost.frontend", "skylarkpost.cli", "uvicorn", "starlette", "cappa")
print([name for name in sys.modules if name.startswith(unwanted)])
"""


def run(*arguments, **variables):
    return subprocess.run(
        [sys.executable, *arguments],
        env=os.environ | variables,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_a_gateway_needs_nothing_of_the_other_front_end():
    assert run("-c", OTHER_FRONT_END).stdout.strip() == "[]"


def test_without_a_settings_file_in_the_environment_the_start_says_so():
    ended = run("-m", "skylarkpost.gateway", SKYLARKPOST_SETTINGS="")
    assert ended.returncode == EXIT_BAD_SETTINGS
    assert "SKYLARKPOST_SETTINGS" in ended.stderr


def test_a_faulty_settings_file_ends_the_start_with_its_faults(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text("[instance]\n")
    ended = run("-m", "skylarkpost.gateway", SKYLARKPOST_SETTINGS=str(path))
    assert ended.returncode == EXIT_BAD_SETTINGS
    assert "instance.id" in ended.stderr


def test_a_started_process_imports_every_part_that_registers_itself():
    folder = pathlib.Path(gateway_run.__file__).parent
    registering = {
        f"skylarkpost.gateway.{path.stem}"
        for path in folder.glob("*.py")
        if re.search(r"^@register_(controller|filter)\(", path.read_text(), re.M)
    }
    assert registering
    assert registering <= set(gateway_run.PARTS)
