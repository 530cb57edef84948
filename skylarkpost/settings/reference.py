"""Generates the operators' settings reference from the schemas.

Run ``python -m skylarkpost.settings.reference`` in the root of the repository.
"""

import pathlib

from skylarkpost.settings.gateway import GatewaySettings
from skylarkpost.settings.schema import Settings

__all__ = ["PAGES", "settings_reference"]

INTRODUCTION = """# Settings

One TOML file an instance, given to `skylarkpostd --settings FILE`. Check it
without starting anything:

    skylarkpost check-settings FILE

All faults are told at once, each with the file, the key, the value and the
allowed range. Unknown keys are faults. A change needs a restart of the instance.
"""
GATEWAY_INTRODUCTION = """# Settings of the gateway

One TOML file an instance, given to `python -m skylarkpost.gateway.main --settings
FILE` or, with `python -m skylarkpost.gateway`, by the variable
`SKYLARKPOST_SETTINGS`; `deploy/settings.toml` is the template that the users'
platform fills in.
Check a file without starting anything:

    skylarkpost check-settings --front-end gateway FILE

All faults are told at once. Unknown keys are left alone, since a deployment may
add some before this version knows them. SIGHUP reads the file again: the seeds and
the time for a shutdown change at once, all else needs a restart.
"""
BOUNDS = (("ge", "≥ "), ("gt", "> "), ("le", "≤ "), ("lt", "< "))


def settings_reference(*, schema=Settings, introduction=INTRODUCTION):
    """Return the reference page of a schema.

    Parameters
    ----------
    schema : type
        Pydantic model of the settings.
    introduction : str
        Text at the head of the page.

    Returns
    -------
    str
        Markdown with the default, allowed values and meaning of each key.
    """
    lines = [introduction]
    for name, field in schema.model_fields.items():
        lines += _section(name, field.annotation)
    return "\n".join(lines)


def _section(name, section):
    purpose = section.__doc__.split(": ", 1)[-1].strip()
    lines = [f"## `[{name}]`", "", purpose.capitalize(), ""]
    lines += ["| key | default | allowed | meaning |", "|---|---|---|---|"]
    for key, field in section.model_fields.items():
        default = "required" if field.is_required() else f"`{field.default}`"
        allowed = ", ".join(_bounds(field.metadata)) or "-"
        lines.append(f"| `{key}` | {default} | {allowed} | {field.description} |")
    return [*lines, ""]


def _bounds(metadata):
    for item in metadata:
        pattern = getattr(item, "pattern", None)
        if pattern is not None:
            escaped = pattern.replace("|", r"\|")
            yield f"`{escaped}`"
        for attribute, sign in BOUNDS:
            bound = getattr(item, attribute, None)
            if bound is not None:
                yield f"{sign}{bound:g}"


PAGES = {
    "settings.md": settings_reference(),
    "gateway-settings.md": settings_reference(
        schema=GatewaySettings, introduction=GATEWAY_INTRODUCTION
    ),
}


if __name__ == "__main__":
    for page, text in PAGES.items():
        (pathlib.Path("docs") / "operators" / page).write_text(text)
