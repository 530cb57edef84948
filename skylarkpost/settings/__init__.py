"""Settings of the daemon, from a TOML file that is validated before startup."""

from skylarkpost.settings.loading import SettingsFault, load_settings
from skylarkpost.settings.schema import Settings

__all__ = ["Settings", "SettingsFault", "load_settings"]
