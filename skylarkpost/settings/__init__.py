"""Settings of the daemon: a TOML file, checked before anything starts."""

from skylarkpost.settings.loading import SettingsFault, load_settings
from skylarkpost.settings.schema import Settings

__all__ = ["Settings", "SettingsFault", "load_settings"]
