"""Registry of controllers, the stateful components of an instance."""

__all__ = ["API", "GATEWAY", "Controller", "build_controllers", "register_controller"]

API = "api"
GATEWAY = "gateway"

_controllers = {}


class Controller:
    """Base class of an instance's components with state and background work.

    A controller does the I/O around a core that does none: it passes network
    events to the core and executes the commands that the core returns.

    Parameters
    ----------
    services : Services
        Shared clients and state of the instance. The controllers that were
        registered with a lower order are already in ``services.controllers``.
    """

    name = ""

    def __init__(self, *, services):
        self.services = services

    def add_to_server(self, server):
        """Register this controller's RPC methods on the peer server.

        Parameters
        ----------
        server : grpc.aio.Server
            Not yet started.
        """

    async def start(self):
        """Start background work; the peer server is already running."""

    async def leave(self):
        """Hand over state to other instances, before open streams have ended."""

    async def stop(self):
        """Stop background work, after all streams have ended."""

    def is_ready(self):
        """Return whether this controller is ready for the instance to serve.

        Returns
        -------
        bool
        """
        return True

    def degraded(self):
        """Return descriptions of what is currently degraded.

        Returns
        -------
        list of str
            One plain sentence each; empty if nothing is degraded.
        """
        return []

    def status(self):
        """Return the state that the `status` command shows.

        Returns
        -------
        dict
            JSON-serialisable values.
        """
        return {}


def register_controller(name, *, order, front_ends=(API,)):
    """Register a controller class.

    Parameters
    ----------
    name : str
        Its key in ``services.controllers``.
    order : int
        Controllers are built and started in ascending order and stopped in
        reverse.
    front_ends : tuple of str
        Front ends whose instances run the controller.

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
    """Instantiate the registered controllers into ``services.controllers``.

    Parameters
    ----------
    services : Services
        Passed to each controller.
    front_end : str
        The front end of this instance.
    """
    ordered = sorted(_controllers.items(), key=lambda item: item[1][0])
    for (required_front_end, name), (_, cls) in ordered:
        if required_front_end == front_end:
            services.controllers[name] = cls(services=services)
