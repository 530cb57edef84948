"""The daemon: runs the controllers, filters and servers in one process."""

from skylarkpost.daemon.services import Services

__all__ = ["Services"]
