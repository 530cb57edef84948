"""Registry of queue orders, which select the request to serve next."""

__all__ = ["effective_urgency", "queue_order", "register_queue_order"]

MAX_URGENCY = 9

_orders = {}


def register_queue_order(name):
    """Register a queue order.

    Parameters
    ----------
    name : str
        Its name in the settings.

    Returns
    -------
    callable
        Decorator of a function that takes a `QueueEntry`, the `FairShares` of
        the teams, the ageing time and ``now``, and returns a sort key. The
        entry with the lowest key is served next.
    """

    def decorate(function):
        assert name not in _orders, f"queue order {name} is registered twice"
        _orders[name] = function
        return function

    return decorate


def queue_order(name):
    """Return a registered queue order.

    Parameters
    ----------
    name : str
        Its name.

    Returns
    -------
    callable
    """
    return _orders[name]


def effective_urgency(entry, *, ageing, now):
    """Return the urgency of an entry, raised by its waiting time.

    Parameters
    ----------
    entry : QueueEntry
        The entry.
    ageing : float
        Seconds of waiting that raise the urgency by one.
    now : float
        Current time, in seconds.

    Returns
    -------
    int
    """
    raised = entry.request.urgency + int((now - entry.queued_at) / ageing)
    return min(MAX_URGENCY, raised)


@register_queue_order("fair")
def fair(entry, *, shares, ageing, now):
    """Order by urgency, then by weighted fair shares of teams, then by arrival."""
    urgency = effective_urgency(entry, ageing=ageing, now=now)
    return (-urgency, shares.start_tag(entry.request.team), entry.sequence)


@register_queue_order("first-come")
def first_come(entry, *, shares, ageing, now):
    """Order by arrival."""
    return (entry.sequence,)
