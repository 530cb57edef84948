"""Configuration: profiles, keys, teams, routes and targets, from the log."""

from skylarkpost.config.catalogue import ItemChange
from skylarkpost.config.items import Key, Profile, Route, Target, Team
from skylarkpost.config.store import ConfigStore

__all__ = [
    "ConfigStore",
    "ItemChange",
    "Key",
    "Profile",
    "Route",
    "Target",
    "Team",
]
