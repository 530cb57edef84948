"""Imports every part that registers a filter or a controller."""

import importlib

__all__ = ["PARTS", "import_parts"]

PARTS = (
    "skylarkpost.frontend.identify",
    "skylarkpost.platform.controllers",
    "skylarkpost.quarantine.controller",
    "skylarkpost.quarantine.filter",
)


def import_parts():
    """Import all parts, so that their decorators fill the registries."""
    for name in PARTS:
        importlib.import_module(name)
