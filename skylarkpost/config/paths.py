"""Paths of calls to plain services."""

__all__ = ["route_name"]

SERVICES_PREFIX = "/services/"


def route_name(path):
    """Return the name of the route that a path belongs to.

    Parameters
    ----------
    path : str
        Path of the request.

    Returns
    -------
    str or None
        None if the path does not lead to a plain service.

    Examples
    --------
    >>> route_name("/services/bookings/slots/7")
    'bookings'
    >>> route_name("/v1/models") is None
    True
    """
    if not path.startswith(SERVICES_PREFIX):
        return None
    return path[len(SERVICES_PREFIX) :].partition("/")[0] or None
