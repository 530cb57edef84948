"""Writes the operators' page of all settings from the schema.

Run ``python -m skylarkpost.settings.reference > docs/operators/settings.md``.
"""

from skylarkpost.settings.schema import Settings

__all__ = ["settings_reference"]

INTRODUCTION = """# Settings

One TOML file an instance, given to `skylarkpostd --settings FILE`. Check it
without starting anything:

    skylarkpost check-settings FILE

All faults are told at once, each with the file, the key, the value and the
allowed range. Unknown keys are faults. A change needs a restart of the instance.
"""
BOUNDS = (("ge", "≥ "), ("gt", "> "), ("le", "≤ "), ("lt", "< "))


def settings_reference():
    """Return the page of all settings.

    Returns
    -------
    str
        Markdown: for each key its default, allowed values and meaning.
    """
    lines = [INTRODUCTION]
    for name, field in Settings.model_fields.items():
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


if __name__ == "__main__":
    print(settings_reference(), end="")
