"""Fills in the settings template of the deploy file, as ``DEPLOY.md`` describes it."""

import json
import re

__all__ = ["render"]

TAG = re.compile(r"\{\{([#^/]?)([^{}|]+)(\|json)?\}\}")


def render(text, values):
    """Return the text with its placeholders and sections filled in."""
    rendered, position = _render(text, 0, [values], None, True)
    assert position == len(text)
    return rendered


def _lookup(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def _render(text, position, scopes, section, shown, last=True):
    parts = []
    while True:
        match = TAG.search(text, position)
        if match is None:
            assert section is None, f"section {section} is not closed"
            parts.append(text[position:])
            return "".join(parts) if shown else "", len(text)
        parts.append(text[position : match.start()])
        position = match.end()
        mark, name, as_json = match.groups()
        if mark == "/":
            assert name == section, name
            return "".join(parts) if shown else "", position
        if mark:
            value = _lookup(name, scopes)
            items = value if isinstance(value, list) else [value] if value else []
            if mark == "^":
                items = [] if value else [value]
            begin = position
            _, position = _render(text, begin, scopes, name, False)
            for number, item in enumerate(items):
                is_last = number == len(items) - 1
                inner, _ = _render(text, begin, [*scopes, item], name, True, is_last)
                parts.append(inner)
        elif name == ",":
            parts.append("" if last else ",")
        else:
            value = _lookup(name, scopes)
            if as_json:
                parts.append(json.dumps(value))
            elif value is not None:
                parts.append(str(value))
