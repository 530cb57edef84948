"""Settings of the operators' tool: addresses of the log and the instances."""

import os
import tomllib
from typing import Annotated

import pydantic
from pydantic import BaseModel, ConfigDict, Field

__all__ = ["ToolSettings", "load_tool_settings"]

SETTINGS_VARIABLE = "SKYLARKPOST_TOOL_SETTINGS"
LOG_VARIABLE = "SKYLARKPOST_LOG_URL"
INSTANCES_VARIABLE = "SKYLARKPOST_INSTANCES"
AUTHOR_VARIABLE = "SKYLARKPOST_AUTHOR"

Url = Annotated[str, Field(pattern=r"^http://[0-9.\[\]:a-f]+:[0-9]{1,5}$")]


class ToolSettings(BaseModel):
    """Settings of the operators' tool.

    Attributes
    ----------
    log_url : str or None
        URL of the platform's log.
    instances : list of str
        ``http://IP:PORT`` of each instance, for `status` and `explain`.
    author : str or None
        Author of published changes.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    log_url: Url | None = None
    instances: list[Url] = []
    author: str | None = None


def load_tool_settings(*, options, environment=None):
    """Merge and validate the tool's settings.

    Parameters
    ----------
    options : dict of str to object
        Command-line options. They take precedence over the environment, which
        takes precedence over the file named by ``SKYLARKPOST_TOOL_SETTINGS``.
    environment : mapping or None
        Environment variables; None for those of the process.

    Returns
    -------
    ToolSettings or list of str
        The settings, or all faults.
    """
    environment = os.environ if environment is None else environment
    path = environment.get(SETTINGS_VARIABLE)
    try:
        values = _read_file(path) if path else {}
    except OSError as error:
        return [f"{path}: cannot be read: {error.strerror}"]
    except tomllib.TOMLDecodeError as error:
        return [f"{path}: is not TOML: {error}"]
    values |= _from_environment(environment)
    values |= {key: value for key, value in options.items() if value}
    try:
        return ToolSettings.model_validate(values)
    except pydantic.ValidationError as error:
        return [_fault(detail) for detail in error.errors()]


def _read_file(path):
    with open(path, "rb") as file:
        return tomllib.load(file)


def _from_environment(environment):
    values = {
        "log_url": environment.get(LOG_VARIABLE),
        "author": environment.get(AUTHOR_VARIABLE),
        "instances": [
            url for url in environment.get(INSTANCES_VARIABLE, "").split(",") if url
        ],
    }
    return {key: value for key, value in values.items() if value}


def _fault(detail):
    key = ".".join(str(part) for part in detail["loc"])
    return f"{key} = {detail['input']!r}: {detail['msg']}"
