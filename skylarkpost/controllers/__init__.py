"""Registry of controllers, the stateful components of an instance."""

from skylarkpost.controllers.registry import (
    API,
    GATEWAY,
    Controller,
    build_controllers,
    register_controller,
)

__all__ = ["API", "GATEWAY", "Controller", "build_controllers", "register_controller"]
