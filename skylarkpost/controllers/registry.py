"""Registry of controllers: the parts of an instance that keep state."""

__all__ = ["API", "GATEWAY", "Controller", "build_controllers", "register_controller"]

API = "api"
GATEWAY = "gateway"

_controllers = {}


class Controller:
    """One part of an instance, with state and background work.

    A controller is a thin shell: it feeds events from the network into a core
    that does no I/O, and carries out what the core returns.

    Parameters
    ----------
    services : Services
        What the instance shares between its parts. The controllers that were
        registered with a lower order are already in ``services.controllers``.
    """

    name = ""

    def __init__(self, *, services):
        self.services = services

    def add_to_server(self, server):
        """Add this controller's methods to the server for peers.

        Parameters
        ----------
        server : grpc.aio.Server
            Not yet started.
        """

    async def start(self):
        """Start the background work. The peer server is running already."""

    async def leave(self):
        """Hand over to the other instances, before the last stream ends."""

    async def stop(self):
        """End the background work, after the last stream has ended."""

    def is_ready(self):
        """Return whether the instance may serve, as far as this part knows.

        Returns
        -------
        bool
        """
        return True

    def degraded(self):
        """Return what does not work fully at present.

        Returns
        -------
        list of str
            One plain sentence each; empty when all is well.
        """
        return []

    def status(self):
        """Return the state for the `status` command.

        Returns
        -------
        dict
            Plain values that can be written as JSON.
        """
        return {}


def register_controller(name, *, order, front_ends=(API,)):
    """Register a controller class.

    Parameters
    ----------
    name : str
        Its key in ``services.controllers``.
    order : int
        Controllers are built and started lowest first, stopped in reverse.
    front_ends : tuple of str
        Front ends of which instances have the controller.

    Returns
    -------
    callable
        The class decorator.
    """

    def decorate(cls):
        cls.name = name
        for front_end in front_ends:
            key = (front_end, name)
            assert key not in _controllers, f"controller {key} is registered twice"
            _controllers[key] = (order, cls)
        return cls

    return decorate


def build_controllers(*, services, front_end=API):
    """Build one of each registered controller into ``services.controllers``.

    Parameters
    ----------
    services : Services
        Handed to each controller.
    front_end : str
        The front end of this instance.
    """
    ordered = sorted(_controllers.items(), key=lambda item: item[1][0])
    for (required_front_end, name), (_, cls) in ordered:
        if required_front_end == front_end:
            services.controllers[name] = cls(services=services)
