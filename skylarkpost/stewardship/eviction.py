"""Registry of eviction policies: which idle adapter leaves its slot."""

from typing import NamedTuple

__all__ = ["AdapterUsage", "eviction_policy", "register_eviction"]

_policies = {}


class AdapterUsage(NamedTuple):
    """What an eviction policy knows of a resident adapter.

    Attributes
    ----------
    lora_name : str
        The adapter.
    demand : float
        Decayed count of its requests on this target.
    idle_for : float
        Seconds since its last request ended.
    load_cost : float
        Seconds that its last load took.
    """

    lora_name: str
    demand: float
    idle_for: float
    load_cost: float


def register_eviction(name):
    """Register an eviction policy.

    Parameters
    ----------
    name : str
        Its name in the settings.

    Returns
    -------
    callable
        Decorator of a function that takes an `AdapterUsage` and returns what
        the adapter is worth; the one that is worth least leaves.
    """

    def decorate(function):
        assert name not in _policies, f"eviction policy {name} is registered twice"
        _policies[name] = function
        return function

    return decorate


def eviction_policy(name):
    """Return a registered eviction policy.

    Parameters
    ----------
    name : str
        Its name.

    Returns
    -------
    callable
    """
    return _policies[name]


@register_eviction("worth")
def worth(usage):
    """Return decayed demand times the cost to load."""
    return (usage.demand * usage.load_cost, -usage.idle_for)


@register_eviction("least-recently-used")
def least_recently_used(usage):
    """Return more for adapters that were used later."""
    return (-usage.idle_for,)
