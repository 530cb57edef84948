"""Registry of placement scores: how good a target is for a request."""

from typing import NamedTuple

__all__ = ["TargetView", "expected_wait", "placement_score", "register_score"]

NON_PREFERRED_PENALTY_S = 0.15
EVICTION_PENALTY_S = 1.0
UTILISATION_PENALTY_S = 1.5
MAX_PENALISED_RANK = 4
MAX_PENALISED_WORTH = 3.0

_scores = {}


class TargetView(NamedTuple):
    """What the instance knows of one target for one request.

    Attributes
    ----------
    target : str
        The target.
    queue_wait : float
        Expected seconds until the batch has room.
    load_wait : float
        Expected seconds until the adapter is resident; 0 if it is.
    prefill : float
        Expected seconds to work through the prompt.
    prefill_wait : float
        Expected seconds to work through the prompts before it.
    round_trip : float
        Seconds of the round trip to the target.
    outstanding : int
        Requests on the target and in its queue.
    batch_utilisation : float
        The same over the target's batch limit.
    is_resident : bool
        Whether the adapter is resident, or on its way by our own request.
    preferred_rank : int
        Rank of the target by rendezvous hash for the adapter; 0 is its home.
    victim_worth : float
        Requests expected soon for the adapter that a load would replace.
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
        Its name in the settings.

    Returns
    -------
    callable
        Decorator of a function that takes a `TargetView` and returns a sort
        key; the target with the lowest one is asked first.
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
        Its name.

    Returns
    -------
    callable
    """
    return _scores[name]


@register_score("first-token")
def first_token(view):
    """Return the expected time to the first token.

    A load also costs the others: a copy away from the adapter's home takes a
    slot more, and the adapter that leaves has to be loaded again by those who
    want it. An adapter that is loaded where the batch is nearly full will have
    its later requests wait there.
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
        What is known of the target.

    Returns
    -------
    float
    """
    # Other prompts are read while an adapter loads.
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
    """Return the number of requests on the target and in its queue."""
    return (view.outstanding, view.preferred_rank)
