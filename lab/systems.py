"""Registry of the systems that can be replayed."""

__all__ = ["register_system", "systems"]

systems = {}


def register_system(name):
    """Register a class of systems.

    Parameters
    ----------
    name : str
        For the command line and for tables.

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
