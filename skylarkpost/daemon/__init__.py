"""The daemon: joins the controllers, the filters and the network."""

from skylarkpost.daemon.controllers import (
    Controller,
    build_controllers,
    register_controller,
)
from skylarkpost.daemon.services import Services

__all__ = ["Controller", "Services", "build_controllers", "register_controller"]
