"""Registry of request filters, filled by a decorator."""

import abc

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


def register_filter(name, *, order):
    """Register a filter class.

    Parameters
    ----------
    name : str
        Name in logs and explanations.
    order : int
        Place in the chain, lowest first.

    Returns
    -------
    callable
        The class decorator.
    """

    def decorate(cls):
        assert name not in _filters, f"filter {name} is registered twice"
        cls.name = name
        _filters[name] = (order, cls)
        return cls

    return decorate


def build_filters(*, services):
    """Build one of each registered filter.

    Parameters
    ----------
    services : skylarkpost.daemon.Services
        Handed to each filter.

    Returns
    -------
    list of Filter
        The filters in the order of the chain.
    """
    ordered = sorted(_filters.values(), key=lambda entry: entry[0])
    return [cls(services=services) for _, cls in ordered]
