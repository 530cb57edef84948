"""Generates ``requirements.txt`` from ``pyproject.toml``."""

import pathlib
import tomllib

__all__ = ["requirements_text"]

ROOT = pathlib.Path(__file__).parent.parent
HEAD = "# Written from pyproject.toml by `make requirements`.\n"


def requirements_text():
    """Return the text of ``requirements.txt``.

    Returns
    -------
    str
        The run-time dependencies, one per line.
    """
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    return HEAD + "\n".join(project["dependencies"]) + "\n"


if __name__ == "__main__":
    (ROOT / "requirements.txt").write_text(requirements_text())
