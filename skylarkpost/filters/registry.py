"""Registry of request filters, filled by a decorator."""

import abc

from skylarkpost.controllers import API

__all__ = ["Filter", "build_filters", "register_filter"]

_filters = {}


class Filter(abc.ABC):
    """One step of the filter chain.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        What the instance shares between its parts.
    """

    name = ""

    def __init__(self, *, services):
        self.services = services

    @abc.abstractmethod
    async def apply(self, exchange):
        """Judge one request.

        Parameters
        ----------
        exchange : Exchange
            The request and what earlier filters found out about it.

        Returns
        -------
        Outcome or None
            None passes the request on to the next filter; an outcome ends it.
        """


def register_filter(name, *, order, front_ends=(API,)):
    """Register a filter class.

    Parameters
    ----------
    name : str
        Name in logs and explanations.
    order : int
        Place in the chain, lowest first.
    front_ends : tuple of str
        Front ends whose chains have the filter.

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
    """Build one of each registered filter.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Handed to each filter.
    front_end : str
        The front end of this instance.

    Returns
    -------
    list of Filter
        The filters in the order of the chain.
    """
    ordered = sorted(_filters.items(), key=lambda item: item[1][0])
    return [cls(services=services) for (of, _), (_, cls) in ordered if of == front_end]
