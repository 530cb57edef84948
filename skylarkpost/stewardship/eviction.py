"""Registry of eviction policies, which score idle adapters."""

from typing import NamedTuple

__all__ = [
    "AdapterUsage",
    "eviction_policy",
    "expected_rate",
    "register_eviction",
]

# Callers tend to send several requests in a row.
FOLLOW_UP_RATE_PER_S = 0.02
FOLLOW_UP_HALF_LIFE_S = 30.0

_policies = {}


class AdapterUsage(NamedTuple):
    """Usage of a resident adapter, the input of an eviction policy.

    Attributes
    ----------
    lora_name : str
        The adapter.
    rate : float
        Requests per second on this target over the last minutes.
    idle_for : float
        Seconds since its last request ended.
    load_cost : float
        Duration of a load, in seconds.
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
        Decorator of a function that maps an `AdapterUsage` to a score; the
        adapter with the lowest score is evicted first.
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
    """Return the expected request rate of an adapter.

    Parameters
    ----------
    usage : AdapterUsage
        Usage of the adapter.

    Returns
    -------
    float
        Requests per second: its recent rate plus the follow-up requests of a
        caller that has just used it, which become less likely with time.
    """
    follow_up = 0.5 ** (usage.idle_for / FOLLOW_UP_HALF_LIFE_S)
    return usage.rate + FOLLOW_UP_RATE_PER_S * follow_up


@register_eviction("worth")
def expected_reload_cost(usage):
    """Score by expected request rate times load time."""
    return (expected_rate(usage) * usage.load_cost, -usage.idle_for)


@register_eviction("least-recently-used")
def least_recently_used(usage):
    """Score by recency of use."""
    return (-usage.idle_for,)
