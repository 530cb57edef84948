"""Reads a settings file and reports all of its faults at once."""

import tomllib
from typing import NamedTuple

import pydantic

from skylarkpost.settings.schema import Settings

__all__ = ["SettingsFault", "load_settings"]


class SettingsFault(NamedTuple):
    """One fault in a settings file.

    Attributes
    ----------
    path : str
        The file.
    key : str
        Dotted key, empty if the whole file is at fault.
    value : str
        The value found, as Python would print it.
    problem : str
        What is wrong, with the allowed range.
    """

    path: str
    key: str
    value: str
    problem: str

    def __str__(self):
        where = f"{self.path}: {self.key}" if self.key else self.path
        found = f" = {self.value}" if self.value else ""
        return f"{where}{found}: {self.problem}"


def load_settings(path, *, schema=Settings):
    """Read and check a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        The TOML file.
    schema : type
        The settings' model.

    Returns
    -------
    Settings or list of SettingsFault
        The settings, or every fault found in the file.
    """
    try:
        with open(path, "rb") as file:
            values = tomllib.load(file)
    except OSError as error:
        return [SettingsFault(str(path), "", "", f"cannot be read: {error.strerror}")]
    except tomllib.TOMLDecodeError as error:
        return [SettingsFault(str(path), "", "", f"is not TOML: {error}")]
    try:
        return schema.model_validate(values)
    except pydantic.ValidationError as error:
        return [_fault(str(path), detail) for detail in error.errors()]


def _fault(path, detail):
    key = ".".join(str(part) for part in detail["loc"])
    value = "" if detail["type"] == "missing" else repr(detail["input"])
    return SettingsFault(path, key, value, detail["msg"])
