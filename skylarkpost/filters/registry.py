"""Registry of request filters, populated by a decorator."""

import abc

from skylarkpost.controllers import API

__all__ = ["Filter", "build_filters", "register_filter"]

_filters = {}


class Filter(abc.ABC):
    """One step of the filter chain.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Objects shared by all components of the instance.
    """

    name = ""

    def __init__(self, *, services):
        self.services = services

    @abc.abstractmethod
    async def apply(self, exchange):
        """Process one request.

        Parameters
        ----------
        exchange : Exchange
            The request, with the state that earlier filters added.

        Returns
        -------
        Outcome or None
            None to continue with the next filter; an outcome ends the chain.
        """


def register_filter(name, *, order, front_ends=(API,)):
    """Register a filter class.

    Parameters
    ----------
    name : str
        Name in logs and in the output of the `explain` command.
    order : int
        Position in the chain, lowest first.
    front_ends : tuple of str
        Front ends whose chains include the filter.

    Returns
    -------
    callable
        The class decorator.
    """

    def decorate(cls):
        cls.name = name
        for front_end in front_ends:
            key = (front_end, name)
            assert key not in _filters, f"filter {key} is registered twice"
            _filters[key] = (order, cls)
        return cls

    return decorate


def build_filters(*, services, front_end=API):
    """Instantiate the filters registered for a front end.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Passed to each filter.
    front_end : str
        The front end of this instance.

    Returns
    -------
    list of Filter
        The filters in chain order.
    """
    ordered = sorted(_filters.items(), key=lambda item: item[1][0])
    return [
        cls(services=services)
        for (registered_for, _), (_, cls) in ordered
        if registered_for == front_end
    ]
