"""Registry of controllers: the parts of an instance that keep state."""

from skylarkpost.controllers.registry import (
    API,
    GATEWAY,
    Controller,
    build_controllers,
    register_controller,
)

__all__ = ["API", "GATEWAY", "Controller", "build_controllers", "register_controller"]
