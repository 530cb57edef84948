"""Registry of eviction policies: which idle adapter leaves its slot."""

from typing import NamedTuple

__all__ = [
    "AdapterUsage",
    "eviction_policy",
    "expected_rate",
    "register_eviction",
]

# Callers tend to ask several times in a row.
FOLLOW_UP_RATE_PER_S = 0.02
FOLLOW_UP_HALF_LIFE_S = 30.0

_policies = {}


class AdapterUsage(NamedTuple):
    """What an eviction policy knows of a resident adapter.

    Attributes
    ----------
    lora_name : str
        The adapter.
    rate : float
        Requests a second on this target over the last minutes.
    idle_for : float
        Seconds since its last request ended.
    load_cost : float
        Seconds that its last load took.
    """

    lora_name: str
    rate: float
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


def expected_rate(usage):
    """Return how often an adapter is expected to be asked for from now on.

    Parameters
    ----------
    usage : AdapterUsage
        What is known of it.

    Returns
    -------
    float
        Requests a second: its usual rate, and the follow-up requests of a
        caller that has just used it, which grow unlikely with time.
    """
    follow_up = 0.5 ** (usage.idle_for / FOLLOW_UP_HALF_LIFE_S)
    return usage.rate + FOLLOW_UP_RATE_PER_S * follow_up


@register_eviction("worth")
def expected_reload_cost(usage):
    """Return the expected requests times the cost to load."""
    return (expected_rate(usage) * usage.load_cost, -usage.idle_for)


@register_eviction("least-recently-used")
def least_recently_used(usage):
    """Return more for adapters that were used later."""
    return (-usage.idle_for,)
