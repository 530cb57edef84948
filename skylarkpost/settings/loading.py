"""Reads and validates a settings file, and reports all faults at once."""

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
        Path of the file.
    key : str
        Dotted key; empty if the fault concerns the whole file.
    value : str
        ``repr`` of the value found; empty if there is none.
    problem : str
        Description of the fault, with the allowed range.
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
    """Read and validate a settings file.

    Parameters
    ----------
    path : str or pathlib.Path
        The TOML file.
    schema : type
        Pydantic model of the settings.

    Returns
    -------
    Settings or list of SettingsFault
        The settings, or all faults in the file.
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
