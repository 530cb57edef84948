"""Registry of placement scores, which rank targets for a request."""

from typing import NamedTuple

__all__ = ["TargetView", "expected_wait", "placement_score", "register_score"]

NON_PREFERRED_PENALTY_S = 0.15
EVICTION_PENALTY_S = 1.0
UTILISATION_PENALTY_S = 1.5
MAX_PENALISED_RANK = 4
MAX_PENALISED_WORTH = 3.0

_scores = {}


class TargetView(NamedTuple):
    """State of one target as it matters to one request.

    Attributes
    ----------
    target : str
        Name of the target.
    queue_wait : float
        Expected seconds until a batch slot is free.
    load_wait : float
        Expected seconds until the adapter is resident; 0 if it is.
    prefill : float
        Expected seconds to prefill the prompt.
    prefill_wait : float
        Expected seconds to prefill the prompts queued before it.
    round_trip : float
        Network round-trip time to the target, in seconds.
    outstanding : int
        Requests that run or wait on the target.
    batch_utilisation : float
        `outstanding` divided by the target's batch limit.
    is_resident : bool
        Whether the adapter is resident, or is being loaded for a request of
        this instance.
    preferred_rank : int
        Rendezvous rank of the target for the adapter; 0 is the preferred one.
    victim_worth : float
        Requests expected soon for the adapter that a load would evict.
    """

    target: str
    queue_wait: float
    load_wait: float
    prefill: float
    prefill_wait: float
    round_trip: float
    outstanding: int
    batch_utilisation: float
    is_resident: bool
    preferred_rank: int
    victim_worth: float


def register_score(name):
    """Register a placement score.

    Parameters
    ----------
    name : str
        Name of the score in the settings.

    Returns
    -------
    callable
        Decorator of a function that takes a `TargetView` and returns a sort
        key; the target with the lowest key is tried first.
    """

    def decorate(function):
        assert name not in _scores, f"placement score {name} is registered twice"
        _scores[name] = function
        return function

    return decorate


def placement_score(name):
    """Return a registered placement score.

    Parameters
    ----------
    name : str
        Name of the score.

    Returns
    -------
    callable
    """
    return _scores[name]


@register_score("first-token")
def first_token(view):
    """Return the expected time to the first token.

    A load adds a penalty for its cost to other requests: a copy on a target
    that is not preferred takes an additional slot, the evicted adapter may have
    to be loaded again, and on a nearly full batch later requests for the
    adapter would queue.
    """
    wait = expected_wait(view)
    if not view.is_resident:
        wait += _load_penalty(view)
    return (wait, view.preferred_rank)


def expected_wait(view):
    """Return the expected time to the first token, in seconds.

    Parameters
    ----------
    view : TargetView
        State of the target.

    Returns
    -------
    float
    """
    # The prefill of other prompts overlaps with the load of the adapter.
    until_prefill = max(view.load_wait, view.prefill_wait)
    return view.queue_wait + until_prefill + view.prefill + view.round_trip


def _load_penalty(view):
    non_preferred = NON_PREFERRED_PENALTY_S * min(
        view.preferred_rank, MAX_PENALISED_RANK
    )
    eviction = EVICTION_PENALTY_S * min(view.victim_worth, MAX_PENALISED_WORTH)
    utilisation = UTILISATION_PENALTY_S * view.batch_utilisation**2
    return non_preferred + eviction + utilisation


@register_score("least-loaded")
def least_loaded(view):
    """Return the number of requests that run or wait on the target."""
    return (view.outstanding, view.preferred_rank)
