"""Imports every module that registers a filter or a controller."""

import importlib

__all__ = ["COMPONENT_MODULES", "import_components"]

COMPONENT_MODULES = (
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


def import_components():
    """Import all component modules, so that their decorators register them."""
    for name in COMPONENT_MODULES:
        importlib.import_module(name)
