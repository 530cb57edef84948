"""Registry of replayable systems."""

__all__ = ["register_system", "systems"]

systems = {}


def register_system(name):
    """Register a system class.

    Parameters
    ----------
    name : str
        Name on the command line and in tables.

    Returns
    -------
    callable
        The class decorator.
    """

    def decorate(cls):
        assert name not in systems, f"system {name} is registered twice"
        systems[name] = cls
        return cls

    return decorate
