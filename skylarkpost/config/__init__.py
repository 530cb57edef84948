"""Configuration: profiles, keys, teams, routes and targets, from the log."""

from skylarkpost.config.items import Key, Profile, Route, Target, Team
from skylarkpost.config.store import ConfigStore, ItemChange

__all__ = [
    "ConfigStore",
    "ItemChange",
    "Key",
    "Profile",
    "Route",
    "Target",
    "Team",
]
