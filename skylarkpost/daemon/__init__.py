"""The daemon: joins the controllers, the filters and the network."""

from skylarkpost.daemon.services import Services

__all__ = ["Services"]
