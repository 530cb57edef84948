"""Imports every part that registers a filter or a controller."""

import importlib

__all__ = ["PARTS", "import_parts"]

PARTS = (
    "skylarkpost.claims.controller",
    "skylarkpost.claims.filter",
    "skylarkpost.config.controller",
    "skylarkpost.config.key_filter",
    "skylarkpost.config.profile_filter",
    "skylarkpost.frontend.identify",
    "skylarkpost.limits.controller",
    "skylarkpost.limits.filter",
    "skylarkpost.listing.controller",
    "skylarkpost.log.controller",
    "skylarkpost.membership.controller",
    "skylarkpost.placement.filter",
    "skylarkpost.quarantine.controller",
    "skylarkpost.quarantine.filter",
    "skylarkpost.relay.controller",
    "skylarkpost.relay.filter",
    "skylarkpost.stewardship.controller",
)


def import_parts():
    """Import all parts, so that their decorators fill the registries."""
    for name in PARTS:
        importlib.import_module(name)
