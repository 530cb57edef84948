"""Registry of queue orders, which select the request to serve next."""

__all__ = [
    "begins_in_time",
    "effective_urgency",
    "queue_order",
    "register_queue_order",
]

MAX_URGENCY = 9

_orders = {}


def register_queue_order(name, *, compares_goals=False):
    """Register a queue order.

    Parameters
    ----------
    name : str
        Its name in the settings.
    compares_goals : bool
        Whether requests of one team and urgency may overtake each other.

    Returns
    -------
    callable
        Decorator of a function that takes a `QueueEntry`, the `FairShares` of
        the teams, the ageing time, the entry's ``work`` in seconds of the engine and
        ``now``, and returns a sort key. The entry with the lowest key is served next.
    """

    def decorate(function):
        assert name not in _orders, f"queue order {name} is registered twice"
        function.compares_goals = compares_goals
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
def fair(entry, *, shares, ageing, work, now):
    """Order by urgency, then by weighted fair shares of teams, then by arrival."""
    urgency = effective_urgency(entry, ageing=ageing, now=now)
    return (-urgency, shares.start_tag(entry.request.team), entry.sequence)


@register_queue_order("first-come")
def first_come(entry, *, shares, ageing, work, now):
    """Order by arrival."""
    return (entry.sequence,)


@register_queue_order("least-loss", compares_goals=True)
def least_loss(entry, *, shares, ageing, work, now):
    """Order by what callers lose if a request waits on.

    Load pattern: for seconds more arrives than the engine can begin in time, of several
    kinds. Served by urgency and arrival alone, the urgent requests all begin late, and
    the others behind them too.

    Requests whose first token can still be in time go first, by urgency, the fair
    shares of teams and arrival. A late one loses nothing more by waiting, so it takes
    what room is left, by urgency and then by its work: a shorter one keeps others
    waiting for less.
    """
    request = entry.request
    if begins_in_time(request, work=work, now=now):
        return (0, -request.urgency, shares.start_tag(request.team), entry.sequence)
    urgency = effective_urgency(entry, ageing=ageing, now=now)
    return (1, -urgency, work, entry.sequence)


def begins_in_time(request, *, work, now):
    """Return whether a request would begin in time if it were served now.

    Parameters
    ----------
    request : TicketRequest
        The request.
    work : float
        Its prefill, in seconds.
    now : float
        Current time, in seconds.

    Returns
    -------
    bool
    """
    return now + work <= request.goal_at
